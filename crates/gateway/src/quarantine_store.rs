//! Keeps quarantines in the platform's store, for hosts that start when no other host knows them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::hashing::stable_hash;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::crash_watch::QuarantineChange;
use crate::event_log::LogEvent;
use crate::gateway::Gateway;
use crate::store::Store;
use crate::store::StoredQuarantine;
use crate::wire::WireFormat;

/// Pause between attempts to read the quarantines after the start.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time after the start in which a host that comes to follow the store still reads them. Later it has heard of them.
const READ_TIME: Duration = Duration::from_secs(30);
/// Longest random pause before a change is written. The other hosts that follow the store know of it too, and those that
/// come later find it written.
const MAX_WRITE_DELAY_MS: u64 = 1_000;
/// Pause between attempts to write a change.
const WRITE_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Reads the quarantines that the store has kept, then writes changes for as long as the process runs.
///
/// Only hosts that follow the store call it, so that the calls don't grow with the fleet.
pub async fn keep_forever<W: WireFormat, C: Clock, S: Store>(
    gateway: Rc<Gateway<W, C>>,
    store: Rc<S>,
) {
    read_kept(&gateway, &*store).await;
    let random = RefCell::new(SeededRandom::new(stable_hash(&gateway.settings.host)));
    loop {
        for change in gateway.crash_watch.take_changes().await {
            let delay_ms = random.borrow_mut().below(MAX_WRITE_DELAY_MS);
            sleep(Duration::from_millis(delay_ms)).await;
            write(&gateway, &*store, change).await;
        }
    }
}

async fn read_kept<W: WireFormat, C: Clock, S: Store>(gateway: &Gateway<W, C>, store: &S) {
    while gateway.now() < READ_TIME {
        if follows_store(gateway)
            && let Some(kept) = store.read_quarantines().await
        {
            restore(gateway, &kept);
            return;
        }
        sleep(READ_RETRY_PAUSE).await;
    }
}

fn restore<W: WireFormat, C: Clock>(gateway: &Gateway<W, C>, kept: &[StoredQuarantine]) {
    if kept.is_empty() {
        return;
    }
    let now = gateway.now();
    gateway.with_dispatcher(|dispatcher| {
        for quarantine in kept {
            dispatcher.restore_quarantine(now, quarantine.suspect, quarantine.left);
        }
    });
    let suspects: Vec<_> = kept.iter().map(|it| it.suspect.to_string()).collect();
    let fields = [("suspects", suspects.join(",").into())];
    gateway.log(LogEvent::QuarantinesRead, &fields);
}

/// Writes a change until the store acknowledges it or it is over.
async fn write<W: WireFormat, C: Clock, S: Store>(
    gateway: &Gateway<W, C>,
    store: &S,
    change: QuarantineChange,
) {
    while follows_store(gateway) && !gateway.is_stopping() {
        let is_acknowledged = match change.duration {
            None => store.drop_quarantine(change.suspect).await,
            Some(duration) => {
                let age = gateway.now().saturating_sub(change.changed_at);
                let left = duration.saturating_sub(age);
                let quarantine = StoredQuarantine {
                    suspect: change.suspect,
                    left,
                };
                left.is_zero() || store.keep_quarantine(&quarantine).await
            }
        };
        if is_acknowledged {
            return;
        }
        sleep(WRITE_RETRY_PAUSE).await;
    }
}

fn follows_store<W: WireFormat, C: Clock>(gateway: &Gateway<W, C>) -> bool {
    let now = gateway.now();
    gateway.with_dispatcher(|dispatcher| dispatcher.store_role(now).is_following())
}
