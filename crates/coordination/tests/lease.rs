//! Failures that the lease must withstand.

mod common;

use std::time::Duration;

use common::lease_fleet::LeaseFleet;
use common::store::CallOutcome;
use sedgeridge_coordination::lease_events::LeaseEvent;
use sedgeridge_state::lease_record::FencingNumber;

fn fleet_held_by_first_host() -> LeaseFleet {
    let mut fleet = LeaseFleet::new(2);
    fleet.event(0, LeaseEvent::Tick);
    fleet.deliver(0, CallOutcome::Answered);
    fleet.deliver(0, CallOutcome::Answered);
    assert_eq!(fleet.holders(), [0]);
    fleet
}

// The holder is paused past its term and another host takes the lease over.
// The paused process resumes and sends an order before any of its timers has run.
// Its clock shows that the term is over, so the order is not sent.
#[test]
fn a_holder_paused_past_its_term_gives_no_order() {
    let mut fleet = fleet_held_by_first_host();
    fleet.run(1_000);
    fleet.hosts[0].paused = true;
    fleet.run(15_000);
    assert_eq!(fleet.holders(), [1]);
    fleet.hosts[0].paused = false;
    assert!(!fleet.order_unfenced(0));
    fleet.check();
    let fencing = fleet.held(1).map(|h| h.fencing);
    assert_eq!(fencing, Some(FencingNumber(2)));
}

// A renewal takes effect and its answer is lost. The holder reads back, finds its own record and
// remains the holder, but only for a term counted from the sending of the renewal.
// A term counted from the answer would end after a candidate may take over.
#[test]
fn a_lost_renewal_answer_extends_the_term_from_its_sending() {
    let mut fleet = fleet_held_by_first_host();
    let first = fleet.held(0).map(|h| h.deadline);
    fleet.advance(3_000);
    let sent_at = fleet.now;
    fleet.advance(2_000);
    fleet.deliver(0, CallOutcome::AnswerLost);
    fleet.deliver(0, CallOutcome::Answered);
    let second = fleet.held(0).map(|h| h.deadline);
    assert!(second > first);
    assert_eq!(second, Some(sent_at + Duration::from_secs(10)));
    fleet.check();
}

// The store is down for longer than a term. The holder stops at its deadline, by its own clock;
// when the store is back, a host acquires the lease with a higher fencing number.
#[test]
fn an_outage_longer_than_the_term_ends_the_lease() {
    let mut fleet = fleet_held_by_first_host();
    for _ in 0..150 {
        fleet.advance(100);
        for host in 0..2 {
            fleet.deliver(host, CallOutcome::Refused);
        }
        fleet.check();
    }
    assert!(fleet.holders().is_empty());
    fleet.run(15_000);
    assert_eq!(fleet.holders().len(), 1);
    assert_eq!(fleet.epochs.len(), 2);
}

// A planned stop releases the lease, so the next host doesn't wait for a term.
// It still waits for the longest order delay before it orders engines that ignore fencing numbers.
#[test]
fn a_planned_stop_hands_over_without_waiting_a_term() {
    let mut fleet = fleet_held_by_first_host();
    fleet.run(2_000);
    assert!(!fleet.order_unfenced(0));
    fleet.run(4_000);
    assert!(fleet.order_unfenced(0));
    fleet.event(0, LeaseEvent::Stop);
    assert!(fleet.holders().is_empty());
    fleet.run(2_000);
    assert_eq!(fleet.holders(), [1]);
    assert!(!fleet.order_unfenced(1));
    fleet.run(6_000);
    assert!(fleet.order_unfenced(1));
}

// The acquisition gets no answer and the read-back finds no row, so the host writes it again.
// Meanwhile the first write takes effect, and the second conflicts with a row of the same record.
// That confirms the acquisition; if it counted as another holder's row, nobody would hold the lease
// for a term.
#[test]
fn an_acquisition_that_lands_late_is_settled() {
    let mut fleet = LeaseFleet::new(2);
    fleet.event(0, LeaseEvent::Tick);
    fleet.deliver(0, CallOutcome::Answered);
    fleet.deliver(0, CallOutcome::Delayed);
    fleet.deliver(0, CallOutcome::Answered);
    assert!(fleet.holders().is_empty());
    fleet.store.run_delayed_write();
    fleet.deliver(0, CallOutcome::Answered);
    fleet.check();
    assert_eq!(fleet.holders(), [0]);
}

// A renewal is sent twice; neither is answered, and only the first took effect. The read-back finds
// the record that both wrote. The term counts from the first sending: a candidate that has seen the
// row since then would take over before a term counted from the second sending has ended.
#[test]
fn a_renewal_sent_twice_counts_from_the_first_sending() {
    let mut fleet = fleet_held_by_first_host();
    fleet.advance(3_000);
    let first_sent_at = fleet.now;
    fleet.deliver(0, CallOutcome::Delayed);
    fleet.advance(1_000);
    fleet.deliver(0, CallOutcome::Answered);
    fleet.store.run_delayed_write();
    fleet.advance(1_000);
    fleet.deliver(0, CallOutcome::AnswerLost);
    fleet.deliver(0, CallOutcome::Answered);
    let deadline = fleet.held(0).map(|h| h.deadline);
    assert_eq!(deadline, Some(first_sent_at + Duration::from_secs(10)));
    fleet.check();
}

// An acquisition is answered after its whole term has passed. If it were reported as held, work
// would start that must be cancelled in the same step; so the host waits like any candidate.
#[test]
fn an_acquisition_answered_after_its_term_is_not_announced() {
    let mut fleet = LeaseFleet::new(1);
    fleet.event(0, LeaseEvent::Tick);
    fleet.deliver(0, CallOutcome::Answered);
    fleet.advance(10_000);
    fleet.deliver(0, CallOutcome::Answered);
    assert!(fleet.epochs.is_empty());
    fleet.run(15_000);
    assert_eq!(fleet.holders(), [0]);
}
