//! Failures that claims must withstand.

mod common;

use std::time::Duration;

use common::claim_fleet::ClaimFleet;
use common::claim_fleet::RequestOutcome;
use common::claim_fleet::answer_of;
use common::store::CallOutcome;
use sedgeridge_coordination::claim_events::ClaimEvent;
use sedgeridge_coordination::claim_events::ClaimRefusal;
use sedgeridge_coordination::claim_events::ClaimSettings;

const BODY: u64 = 11;
const KEY: u32 = 1;

fn fleet() -> ClaimFleet {
    ClaimFleet::new(2, ClaimSettings::default())
}

fn settle(fleet: &mut ClaimFleet, router: usize) {
    fleet.advance(100);
    while !fleet.routers[router].calls.is_empty() {
        fleet.deliver(router, CallOutcome::Answered);
    }
}

// A caller sends a request twice and the load balancer passes them to two routers at the same time.
// Both write a claim for the absent key; the store commits one and returns its row to the other.
// The second request is told that the first is in progress, and a later repeat gets its answer.
#[test]
fn a_key_claimed_at_two_routers_runs_once() {
    let mut fleet = fleet();
    let first = fleet.claim(0, KEY, BODY);
    let second = fleet.claim(1, KEY, BODY);
    settle(&mut fleet, 0);
    settle(&mut fleet, 1);
    assert_eq!(fleet.outcomes_of(&first), [RequestOutcome::Dispatched]);
    let in_progress = RequestOutcome::Refused(ClaimRefusal::InProgress);
    assert_eq!(fleet.outcomes_of(&second), [in_progress]);

    fleet.finish(0, 0);
    settle(&mut fleet, 0);
    let third = fleet.claim(1, KEY, BODY);
    settle(&mut fleet, 1);
    assert_eq!(
        fleet.outcomes_of(&third),
        [RequestOutcome::Replayed(answer_of(&first))]
    );
    fleet.check();
}

// The claim's write takes effect, but the store's answer is lost. The router reads back, finds its
// own attempt in the row and dispatches. Without the read it could only refuse, and the key would
// be blocked for good.
#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let mut fleet = fleet();
    let request = fleet.claim(0, KEY, BODY);
    fleet.advance(20);
    fleet.deliver(0, CallOutcome::AnswerLost);
    assert_eq!(fleet.outcomes_of(&request), []);
    fleet.deliver(0, CallOutcome::Answered);
    assert_eq!(fleet.outcomes_of(&request), [RequestOutcome::Dispatched]);
    fleet.check();
}

// The claim's write gets no answer and is still in transit when the router reads back and finds no
// row. The router writes again on the same condition and dispatches; then the delayed write
// arrives. Its condition no longer holds, so the row is unchanged and nothing runs again.
#[test]
fn a_write_that_arrives_late_changes_nothing() {
    let mut fleet = fleet();
    let request = fleet.claim(0, KEY, BODY);
    fleet.advance(20);
    fleet.deliver(0, CallOutcome::Delayed);
    fleet.deliver(0, CallOutcome::Answered);
    fleet.deliver(0, CallOutcome::Answered);
    assert_eq!(fleet.outcomes_of(&request), [RequestOutcome::Dispatched]);
    fleet.store.run_delayed_write();
    fleet.finish(0, 1);
    settle(&mut fleet, 0);
    let repeat = fleet.claim(1, KEY, BODY);
    settle(&mut fleet, 1);
    assert_eq!(fleet.outcomes_of(&repeat), [RequestOutcome::Dispatched]);
    fleet.check();
}

// The store fails during a claim's write, and the read-back is refused too. The caller is told "not
// run" at once, which is true, as only this router may dispatch. When the store is back, the claim
// is released and the caller's repeat runs at another router.
#[test]
fn a_claim_given_up_in_an_outage_does_not_block_the_repeat() {
    let mut fleet = fleet();
    let request = fleet.claim(0, KEY, BODY);
    fleet.advance(20);
    fleet.deliver(0, CallOutcome::AnswerLost);
    fleet.deliver(0, CallOutcome::Refused);
    let refused = RequestOutcome::Refused(ClaimRefusal::StoreUnavailable);
    assert_eq!(fleet.outcomes_of(&request), [refused]);

    fleet.run_until_settled();
    let repeat = fleet.claim(1, KEY, BODY);
    settle(&mut fleet, 1);
    assert_eq!(fleet.outcomes_of(&repeat), [RequestOutcome::Dispatched]);
    fleet.check();
}

// As above, but the caller repeats at the same router before the claim is released. The row holds
// an attempt that this router abandoned, so the repeat takes the claim over.
#[test]
fn a_repeat_takes_over_the_claim_that_its_router_gave_up() {
    let mut fleet = fleet();
    let request = fleet.claim(0, KEY, BODY);
    fleet.advance(20);
    fleet.deliver(0, CallOutcome::Delayed);
    fleet.event(0, ClaimEvent::GiveUp(request.clone()));
    let given_up = RequestOutcome::Refused(ClaimRefusal::GivenUp);
    assert_eq!(fleet.outcomes_of(&request), [given_up]);

    fleet.store.run_delayed_write();
    let repeat = fleet.claim(0, KEY, BODY);
    fleet.routers[0].calls.clear();
    fleet.advance(20);
    for _ in 0..3 {
        fleet.deliver(0, CallOutcome::Answered);
        fleet.advance(30);
    }
    assert_eq!(fleet.outcomes_of(&repeat), [RequestOutcome::Dispatched]);
    fleet.check();
}

// The router dies after dispatch and before the outcome is recorded; the caller repeats at another
// router. The claim is open and its owner is dead, so the request may have run. The repeat is told
// "unknown", never "not run", and nothing runs again.
#[test]
fn a_repeat_after_the_owner_died_is_told_unknown() {
    let mut fleet = fleet();
    fleet.claim(0, KEY, BODY);
    settle(&mut fleet, 0);
    fleet.restart(0);
    for router in [1, 0] {
        let repeat = fleet.claim(router, KEY, BODY);
        settle(&mut fleet, router);
        let unknown = RequestOutcome::Refused(ClaimRefusal::EarlierOutcomeUnknown);
        assert_eq!(fleet.outcomes_of(&repeat), [unknown]);
    }
    fleet.check();
}

// A host restarts without memory and numbers its attempts from the start under its old incarnation.
// Its new attempt has the same id as the one in the table, which was dispatched. The row doesn't
// count as the new attempt's claim, because no write of that attempt lost its answer.
#[test]
fn a_reused_attempt_id_is_not_taken_for_the_own_claim() {
    let mut fleet = fleet();
    fleet.claim(0, KEY, BODY);
    settle(&mut fleet, 0);
    let row = fleet.store.value("claim/crew-07/deposit-1");
    let row = row.expect("the claim").to_owned();
    let mut again = ClaimFleet::new(2, ClaimSettings::default());
    again.store.put("claim/crew-07/deposit-1", &row);
    let request = again.claim(0, KEY, BODY);
    settle(&mut again, 0);
    let unknown = RequestOutcome::Refused(ClaimRefusal::EarlierOutcomeUnknown);
    assert_eq!(again.outcomes_of(&request), [unknown]);
}

// The claims of two callers share a transaction; one key is taken, so the store rejects both. The
// taken one is answered from the row that the store returns; the other is sent again at once.
#[test]
fn a_taken_key_does_not_fail_the_claims_it_shares_a_transaction_with() {
    let mut fleet = fleet();
    fleet.claim(1, KEY, BODY);
    settle(&mut fleet, 1);
    let taken = fleet.claim(0, KEY, BODY);
    let other = fleet.claim(0, 2, BODY);
    fleet.advance(20);
    assert_eq!(fleet.routers[0].calls.len(), 1);
    fleet.deliver(0, CallOutcome::Answered);
    let in_progress = RequestOutcome::Refused(ClaimRefusal::InProgress);
    assert_eq!(fleet.outcomes_of(&taken), [in_progress]);
    fleet.deliver(0, CallOutcome::Answered);
    assert_eq!(fleet.outcomes_of(&other), [RequestOutcome::Dispatched]);
    fleet.check();
}

// The store refuses a call. During the pause that follows, each further request is refused at once,
// without a call to the store, and told when to retry. After the pause, the next claim tries the
// store.
#[test]
fn an_outage_is_answered_at_once() {
    let mut fleet = fleet();
    fleet.claim(0, KEY, BODY);
    fleet.advance(20);
    fleet.deliver(0, CallOutcome::Refused);
    let second = fleet.claim(0, 2, BODY);
    let refused = RequestOutcome::Refused(ClaimRefusal::StoreUnavailable);
    assert_eq!(fleet.outcomes_of(&second), [refused]);
    assert!(fleet.routers[0].calls.is_empty());
    fleet.advance(200);
    let third = fleet.claim(0, 3, BODY);
    settle(&mut fleet, 0);
    assert_eq!(fleet.outcomes_of(&third), [RequestOutcome::Dispatched]);
}

// A caller uses a key again with another body. Replaying the first answer would confirm a request
// that never ran, so this is an error.
#[test]
fn a_key_used_with_another_body_is_an_error() {
    let mut fleet = fleet();
    fleet.claim(0, KEY, BODY);
    settle(&mut fleet, 0);
    fleet.finish(0, 0);
    settle(&mut fleet, 0);
    for router in 0..2 {
        let other = fleet.claim(router, KEY, BODY + 1);
        settle(&mut fleet, router);
        let reused = RequestOutcome::Refused(ClaimRefusal::KeyReused);
        assert_eq!(fleet.outcomes_of(&other), [reused]);
    }
}

// The store stops answering. The claim is refused after its own timeout, well before that of the
// store call, and the late answer to the write dispatches nothing.
#[test]
fn a_claim_refused_for_slowness_never_runs() {
    let mut fleet = fleet();
    let request = fleet.claim(0, KEY, BODY);
    fleet.advance(20);
    fleet.advance(1_000);
    let slow = RequestOutcome::Refused(ClaimRefusal::StoreTimeout);
    assert_eq!(fleet.outcomes_of(&request), std::slice::from_ref(&slow));
    fleet.deliver(0, CallOutcome::Answered);
    fleet.run_until_settled();
    assert_eq!(fleet.outcomes_of(&request), [slow]);
    fleet.check();
}

// The membership changes when a claim's transaction is due. The event comes from another part of
// the router, where a store call would be lost and the claim would wait for an answer that never
// comes. So the call is made on the next tick.
#[test]
fn a_change_of_members_causes_no_action() {
    let mut fleet = fleet();
    fleet.claim(0, KEY, BODY);
    fleet.now += Duration::from_millis(50);
    fleet.event(0, ClaimEvent::Members(Vec::new()));
    assert!(fleet.routers[0].calls.is_empty());
    fleet.advance(0);
    assert_eq!(fleet.routers[0].calls.len(), 1);
}
