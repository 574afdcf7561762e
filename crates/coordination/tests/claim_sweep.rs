//! The sweep deletes all expired claims and no others.

mod common;

use std::time::Duration;

use common::claim_fleet::ClaimFleet;
use common::claim_fleet::RequestOutcome;
use common::claim_fleet::STARTED_UNIX_MS;
use common::claim_fleet::answer_of;
use common::store::CallOutcome;
use common::store::Store;
use sedgeridge_coordination::claim_events::ClaimSettings;
use sedgeridge_coordination::claim_sweep::ClaimSweep;
use sedgeridge_coordination::claim_sweep::ClaimSweepEvent;
use sedgeridge_coordination::claim_sweep::ClaimSweepSettings;
use sedgeridge_coordination::claim_sweep::SWEEP_CURSOR_KEY;

const RETENTION_MS: u64 = 600_000;

fn fleet() -> ClaimFleet {
    let settings = ClaimSettings {
        retention_ms: RETENTION_MS,
        ..ClaimSettings::default()
    };
    ClaimFleet::new(1, settings)
}

/// Runs a sweep of 400 steps from `now`; about every third call ends with `fault`.
fn sweep(store: &mut Store, now: Duration, fault: CallOutcome, seed: u64) {
    let mut random = seed;
    let settings = ClaimSweepSettings {
        max_deletes: 4,
        ..ClaimSweepSettings::default()
    };
    let mut sweep = ClaimSweep::new(settings, STARTED_UNIX_MS, 3);
    let mut actions = Vec::new();
    sweep.handle(now, ClaimSweepEvent::LeaseHeld(true), &mut actions);
    for step in 0..400_u32 {
        let at = now + Duration::from_millis(u64::from(step));
        for call in std::mem::take(&mut actions) {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let outcome = if (random >> 33).is_multiple_of(3) {
                fault
            } else {
                CallOutcome::Answered
            };
            let event = store.call(&call, outcome);
            sweep.handle(at, ClaimSweepEvent::Store(event), &mut actions);
        }
        let later = at + Duration::from_secs(60 * u64::from(step.min(1)));
        sweep.handle(later, ClaimSweepEvent::Tick, &mut actions);
    }
}

// A claim is released and its key is claimed again later, while the index still lists both claims.
// The first index entry expires first. If it led to deletion of the row, a repeat would run twice.
#[test]
fn a_key_claimed_again_outlives_its_first_listing() {
    let mut fleet = fleet();
    fleet.claim(0, 1, 0);
    fleet.claim(0, 2, 0);
    run_calls(&mut fleet);
    fleet.finish(0, 1);
    fleet.finish(0, 0);
    run_calls(&mut fleet);
    fleet.advance(RETENTION_MS - 60_000);
    let again = fleet.claim(0, 1, 0);
    run_calls(&mut fleet);
    fleet.finish(0, 0);
    run_calls(&mut fleet);

    let now = Duration::from_millis(RETENTION_MS + 120_000);
    sweep(&mut fleet.store, now, CallOutcome::Answered, 0);
    assert!(fleet.store.value("claim/crew-07/deposit-2").is_none());
    fleet.now = now;
    let repeat = fleet.claim(0, 1, 0);
    run_calls(&mut fleet);
    assert_eq!(
        fleet.outcomes_of(&repeat),
        [RequestOutcome::Replayed(answer_of(&again))]
    );
}

// The store loses answers and refuses calls during the sweep of more claims than one transaction
// may delete. The sweep reads the bucket again; in the end no claim and no index row is left.
#[test]
fn a_sweep_through_faults_leaves_nothing_behind() {
    let faults = [
        CallOutcome::AnswerLost,
        CallOutcome::Refused,
        CallOutcome::CallLost,
    ];
    for (fault, seed) in faults.into_iter().cycle().zip(0..60) {
        let mut fleet = fleet();
        for key in 0..11 {
            fleet.claim(0, key, 0);
        }
        run_calls(&mut fleet);
        let now = Duration::from_millis(RETENTION_MS + 120_000);
        sweep(&mut fleet.store, now, fault, seed);
        assert_eq!(fleet.store.count("claim/"), 0, "{fault:?}");
        assert_eq!(fleet.store.count("claim-index/"), 0, "{fault:?}");
        assert!(fleet.store.value(SWEEP_CURSOR_KEY).is_some(), "{fault:?}");
    }
}

fn run_calls(fleet: &mut ClaimFleet) {
    for _ in 0..2 {
        fleet.advance(100);
        while !fleet.routers[0].calls.is_empty() {
            fleet.deliver(0, CallOutcome::Answered);
        }
    }
}
