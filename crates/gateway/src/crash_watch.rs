//! Checks endpoints whose connections were lost, and logs crashes and quarantines.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_fleet::crash_evidence::QuarantineEvent;
use sedgeridge_fleet::crash_evidence::Quarantined;
use sedgeridge_fleet::crash_evidence::Waiver;
use sedgeridge_fleet::dispatcher::CrashEvent;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::Dispatcher;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::suspect::Suspect;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::attempt;
use crate::clock::Clock;
use crate::endpoint_pool::open_connection;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::gateway::Gateway;
use crate::meters;
use crate::wire::WireFormat;

/// Time in which something in front of an endpoint that is down closes a connection that it has accepted.
const CLOSE_WAIT: Duration = Duration::from_millis(50);
/// Maximum number of changes that wait for the platform's store. Later ones reach other hosts all the same.
const MAX_WAITING_CHANGES: usize = 64;

/// A quarantine that started or ended, to be kept in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The suspect.
    pub suspect: Suspect,
    /// Time for which it is refused; `None` if it is cleared.
    pub duration: Option<Duration>,
    /// Time of the change.
    pub changed_at: Duration,
}

/// Endpoints to be checked, and changes to be kept.
#[derive(Debug, Default)]
pub struct CrashWatch {
    endpoints: RefCell<Vec<Arc<Endpoint>>>,
    has_endpoints: Notify,
    changes: RefCell<Vec<QuarantineChange>>,
    has_changes: Notify,
}

impl CrashWatch {
    /// Waits for quarantines that start or end, and takes them.
    pub async fn take_changes(&self) -> Vec<QuarantineChange> {
        loop {
            let changes = std::mem::take(&mut *self.changes.borrow_mut());
            if !changes.is_empty() {
                return changes;
            }
            self.has_changes.notified().await;
        }
    }

    async fn take_endpoints(&self) -> Vec<Arc<Endpoint>> {
        loop {
            let endpoints = std::mem::take(&mut *self.endpoints.borrow_mut());
            if !endpoints.is_empty() {
                return endpoints;
            }
            self.has_endpoints.notified().await;
        }
    }

    fn add_change(&self, change: QuarantineChange) {
        let mut changes = self.changes.borrow_mut();
        changes.retain(|waiting| waiting.suspect != change.suspect);
        if changes.len() < MAX_WAITING_CHANGES {
            changes.push(change);
            self.has_changes.notify_one();
        }
    }
}

impl<W: WireFormat, C: Clock> Gateway<W, C> {
    /// Checks endpoints that may have crashed, and logs crashes and changes of quarantines.
    pub(crate) fn note_crashes(&self) {
        let endpoints = self.with_dispatcher(Dispatcher::take_endpoints_to_check);
        if !endpoints.is_empty() {
            self.crash_watch.endpoints.borrow_mut().extend(endpoints);
            self.crash_watch.has_endpoints.notify_one();
        }
        for event in self.with_dispatcher(Dispatcher::take_crash_events) {
            match event {
                CrashEvent::EndpointCrashed(endpoint, suspects) => {
                    self.log_crash(&endpoint, &suspects);
                }
                CrashEvent::QuarantineWaived(endpoint, suspect, waiver) => {
                    self.log_waiver(&endpoint, suspect, waiver);
                }
                CrashEvent::Quarantine(QuarantineEvent::Started(quarantined)) => {
                    self.note_quarantine(quarantined);
                }
                CrashEvent::Quarantine(QuarantineEvent::Cleared(suspect)) => {
                    self.note_clearance(suspect);
                }
            }
        }
    }

    fn log_crash(&self, endpoint: &Endpoint, suspects: &[(Suspect, usize)]) {
        meters::count_endpoint_crash();
        let crashes = suspects.iter().map(|(_, crashes)| crashes.to_string());
        let crashes: Vec<_> = crashes.collect();
        let suspects = suspects.iter().map(|(suspect, _)| suspect.to_string());
        let suspects: Vec<_> = suspects.collect();
        let fields = [
            ("endpoint", endpoint.id.as_str().into()),
            ("address", endpoint.address.to_string().into()),
            ("suspects", suspects.join(",").into()),
            ("crashes", crashes.join(",").into()),
        ];
        self.log(LogEvent::EndpointCrashed, &fields);
    }

    fn log_waiver(&self, endpoint: &Endpoint, suspect: Suspect, waiver: Waiver) {
        meters::count_quarantine_waiver(waiver);
        let fields = [
            ("endpoint", endpoint.id.as_str().into()),
            ("suspect", suspect.to_string().into()),
            ("reason", waiver.as_str().into()),
        ];
        self.log(LogEvent::QuarantineWaived, &fields);
    }

    fn note_quarantine(&self, quarantined: Quarantined) {
        meters::count_quarantine("started");
        let fields = [
            ("suspect", quarantined.suspect.to_string().into()),
            ("crashes", quarantined.crashes.into()),
            ("for_ms", millis(quarantined.duration)),
            ("is_ambiguous", quarantined.is_ambiguous.into()),
        ];
        self.log(LogEvent::QuarantineStarted, &fields);
        if quarantined.is_ambiguous {
            return;
        }
        self.crash_watch.add_change(QuarantineChange {
            suspect: quarantined.suspect,
            duration: Some(quarantined.duration),
            changed_at: self.now(),
        });
    }

    fn note_clearance(&self, suspect: Suspect) {
        meters::count_quarantine("cleared");
        let fields = [("suspect", suspect.to_string().into())];
        self.log(LogEvent::QuarantineEnded, &fields);
        self.crash_watch.add_change(QuarantineChange {
            suspect,
            duration: None,
            changed_at: self.now(),
        });
    }
}

/// Connects to endpoints whose connections were lost, for as long as the process runs. One that refuses has crashed.
pub async fn check_endpoints_forever<W: WireFormat, C: Clock>(gateway: Rc<Gateway<W, C>>) {
    loop {
        for endpoint in gateway.crash_watch.take_endpoints().await {
            spawn_local(check_endpoint(gateway.clone(), endpoint));
        }
    }
}

async fn check_endpoint<W: WireFormat, C: Clock>(
    gateway: Rc<Gateway<W, C>>,
    endpoint: Arc<Endpoint>,
) {
    let is_up = match open_connection(endpoint.address).await {
        Ok(connection) => {
            sleep(CLOSE_WAIT).await;
            let is_open = !connection.is_closed();
            if is_open {
                attempt::return_to_pool(&gateway, &endpoint, connection, None);
            }
            is_open
        }
        Err(error) if is_refusal(&error) => false,
        // One that does not answer may have been cut off, which says nothing about its requests.
        Err(_) => return,
    };
    gateway.handle(match is_up {
        true => DispatchEvent::EndpointUp(endpoint),
        false => DispatchEvent::EndpointDown(endpoint),
    });
}

fn is_refusal(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
    )
}
