//! Requests that crash endpoints are found after few crashes, without refusing others of the batch.

use std::time::Duration;

use sedgeridge_coordination::poison_notice::PoisonEvent;
use sedgeridge_coordination::poison_notice::PoisonNotice;
use sedgeridge_coordination::quarantine::MAX_RECORDS;
use sedgeridge_coordination::quarantine::Quarantine;
use sedgeridge_coordination::quarantine::StartDecision;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::settings::HealthSettings;

const POISON: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);
const QUARANTINE: Duration = Duration::from_secs(300);

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn crash(router: &mut Quarantine, now: Duration, endpoint: &str, batch: &[Fingerprint]) {
    let endpoint = EndpointId::from(endpoint);
    for fingerprint in batch {
        router.on_connection_lost(now, *fingerprint, &endpoint);
    }
    router.on_endpoint_down(now, &endpoint);
}

fn router() -> Quarantine {
    Quarantine::new(HealthSettings::default())
}

/// A poison request and an innocent one share a batch that crashes. Both are retried, one after
/// the other. The innocent one finishes; the poison crashes a second endpoint and is refused.
#[test]
fn poison_is_refused_and_other_request_of_its_batch_is_cleared() {
    let mut router = router();
    crash(&mut router, seconds(0), "desk-1", &[POISON, INNOCENT]);
    assert_eq!(router.try_start(seconds(1), INNOCENT), StartDecision::Start);
    assert_eq!(
        router.try_start(seconds(1), POISON),
        StartDecision::Wait,
        "one at a time"
    );
    router.on_finished(seconds(2), INNOCENT);
    assert_eq!(router.try_start(seconds(3), POISON), StartDecision::Start);
    crash(
        &mut router,
        seconds(10),
        "desk-2",
        &[POISON, Fingerprint(3)],
    );
    assert_eq!(
        router.try_start(seconds(10), POISON),
        StartDecision::Wait,
        "not yet evaluated"
    );
    router.tick(seconds(11));
    assert_eq!(router.try_start(seconds(11), POISON), StartDecision::Refuse);
    assert_eq!(router.refused_for(seconds(11), POISON), Some(QUARANTINE));
    assert_eq!(
        router.try_start(seconds(11), INNOCENT),
        StartDecision::Start
    );
    assert_eq!(
        router.try_start(seconds(11), Fingerprint(3)),
        StartDecision::Start
    );
}

/// The network drops all connections to an endpoint that keeps running.
/// Nothing crashed, so no request is a suspect.
#[test]
fn lost_connections_alone_make_no_suspect() {
    let mut router = router();
    let desk = EndpointId::from("desk-1");
    router.on_connection_lost(seconds(0), INNOCENT, &desk);
    router.tick(seconds(6));
    router.on_endpoint_down(seconds(7), &desk);
    assert!(router.is_empty());
}

/// The endpoint is found to refuse connections before the loss of the stream is detected.
#[test]
fn a_loss_noticed_late_belongs_to_the_same_crash() {
    let mut router = router();
    let desk = EndpointId::from("desk-1");
    router.on_endpoint_down(seconds(0), &desk);
    router.on_connection_lost(seconds(1), POISON, &desk);
    assert_eq!(router.len(), 1);
}

/// One endpoint is broken and crashes under whatever it runs.
/// Its requests are not the cause: the set number of *distinct* endpoints is not reached.
#[test]
fn a_broken_endpoint_does_not_quarantine_a_request_at_once() {
    let mut router = router();
    for s in [0, 10, 20] {
        crash(&mut router, seconds(s), "desk-1", &[INNOCENT]);
        router.tick(seconds(s + 1));
        assert_eq!(
            router.try_start(seconds(s + 2), INNOCENT),
            StartDecision::Start
        );
    }
    router.on_finished(seconds(30), INNOCENT);
    assert_eq!(router.refused_for(seconds(30), INNOCENT), None);
}

/// Two routers each retry a suspect on the same endpoint, which crashes again.
/// Each router saw only its own. The notices about one crash show that either may be the cause, so
/// neither is refused yet.
#[test]
fn two_suspects_of_two_routers_in_one_crash_are_told_apart() {
    let (mut one, mut two) = (router(), router());
    crash(&mut one, seconds(0), "desk-1", &[POISON]);
    crash(&mut two, seconds(0), "desk-1", &[INNOCENT]);
    for second in [1, 10] {
        if second == 10 {
            crash(&mut one, seconds(10), "desk-2", &[POISON]);
            crash(&mut two, seconds(10), "desk-2", &[INNOCENT]);
        }
        for notice in one.take_notices() {
            two.on_notice(seconds(second), notice);
        }
        for notice in two.take_notices() {
            one.on_notice(seconds(second), notice);
        }
    }
    one.tick(seconds(11));
    two.tick(seconds(11));
    assert_eq!(two.try_start(seconds(12), INNOCENT), StartDecision::Start);
    two.on_finished(seconds(13), INNOCENT);
    assert_eq!(one.try_start(seconds(12), POISON), StartDecision::Start);
    crash(&mut one, seconds(20), "desk-3", &[POISON]);
    one.tick(seconds(21));
    assert_eq!(one.try_start(seconds(21), POISON), StartDecision::Refuse);
    assert_eq!(two.try_start(seconds(21), INNOCENT), StartDecision::Start);
}

/// The caller sends the poison again through another router, and again after the quarantine. Every
/// router refuses it; after the quarantine it gets one trial, then a quarantine twice as long.
#[test]
fn quarantine_spreads_and_doubles() {
    let (mut one, mut two) = (router(), router());
    crash(&mut one, seconds(0), "desk-1", &[POISON]);
    crash(&mut one, seconds(10), "desk-2", &[POISON]);
    one.tick(seconds(11));
    for notice in one.take_notices() {
        two.on_notice(seconds(12), notice.clone());
        two.on_notice(seconds(12), notice);
    }
    assert_eq!(two.try_start(seconds(13), POISON), StartDecision::Refuse);
    let later = seconds(320);
    assert_eq!(two.try_start(later, POISON), StartDecision::Start);
    crash(&mut two, later, "desk-1", &[POISON]);
    two.tick(later + seconds(1));
    let left = two.refused_for(later + seconds(1), POISON);
    assert_eq!(left, Some(QUARANTINE * 2));
}

/// A router that was cut off learns only that a request is quarantined, and for how long.
/// After that time the request gets one trial; one crash beside a fresh suspect is enough.
#[test]
fn a_quarantine_known_by_notice_alone_counts_after_its_end() {
    let mut router = router();
    let notice = PoisonNotice {
        fingerprint: POISON,
        event: PoisonEvent::Quarantined {
            remaining: seconds(10),
        },
    };
    router.on_notice(seconds(0), notice);
    assert_eq!(router.try_start(seconds(1), POISON), StartDecision::Refuse);
    assert_eq!(router.try_start(seconds(11), POISON), StartDecision::Start);
    crash(&mut router, seconds(12), "desk-1", &[POISON, INNOCENT]);
    router.tick(seconds(13));
    assert_eq!(router.try_start(seconds(13), POISON), StartDecision::Refuse);
    assert_eq!(
        router.try_start(seconds(13), INNOCENT),
        StartDecision::Start
    );
}

#[test]
fn late_repeated_and_absurd_notices_change_nothing() {
    let mut router = router();
    crash(&mut router, seconds(400), "desk-1", &[INNOCENT]);
    let stale = router.take_notices();
    router.on_finished(seconds(401), INNOCENT);
    for notice in stale.iter().chain(&stale) {
        router.on_notice(seconds(402), notice.clone());
    }
    let forged = PoisonNotice {
        fingerprint: INNOCENT,
        event: PoisonEvent::Crashed {
            endpoint: EndpointId::from("desk-9"),
            age: Duration::MAX,
        },
    };
    router.on_notice(seconds(402), forged);
    assert_eq!(
        router.try_start(seconds(403), INNOCENT),
        StartDecision::Start
    );
    assert_eq!(
        router.try_start(seconds(403), INNOCENT),
        StartDecision::Start,
        "no suspect"
    );
    let endless = PoisonNotice {
        fingerprint: POISON,
        event: PoisonEvent::Quarantined {
            remaining: Duration::MAX,
        },
    };
    router.on_notice(seconds(403), endless);
    assert_eq!(
        router.refused_for(seconds(403), POISON),
        Some(QUARANTINE * 32)
    );
}

/// A flood of distinct requests is in progress on endpoints that crash.
/// Records are bounded: old suspects are dropped first, and the quarantined stay.
#[test]
fn memory_is_bounded() {
    let mut router = router();
    crash(&mut router, seconds(0), "desk-1", &[POISON]);
    crash(&mut router, seconds(10), "desk-2", &[POISON]);
    router.tick(seconds(11));
    for n in 0..2 * MAX_RECORDS as u128 {
        crash(&mut router, seconds(20), "desk-3", &[Fingerprint(100 + n)]);
    }
    assert_eq!(router.len(), MAX_RECORDS);
    assert_eq!(router.try_start(seconds(21), POISON), StartDecision::Refuse);
    router.tick(seconds(3_600));
    assert!(router.is_empty());
}
