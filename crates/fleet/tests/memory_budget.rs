//! Use of a host's memory when little of it is left.

use sedgeridge_fleet::memory_budget::MemoryBudget;
use sedgeridge_fleet::memory_budget::Requester;

const PROCESS_BYTES: u64 = 88_000_000;
const REQUEST_BYTES: u64 = 60_000;

/// Reserves memory for requests until none fits; returns their number.
fn fill(budget: &mut MemoryBudget, requester: Requester) -> u64 {
    let mut requests = 0;
    while budget.try_reserve(REQUEST_BYTES, requester) {
        requests += 1;
    }
    requests
}

/// Guards against a large account whose callers all reach one host and take all of its memory. Requests of an account over
/// its share are refused while memory is left for other accounts.
#[test]
fn a_flood_of_one_account_leaves_room_for_others() {
    let mut budget = MemoryBudget::new(PROCESS_BYTES);
    let flood = fill(&mut budget, Requester::OverShare);
    assert!(flood > 500, "{flood}");
    assert!(budget.is_short());
    let others = fill(&mut budget, Requester::WithinShare);
    assert!(others > 100, "{others}");
    assert!(budget.held_bytes() <= PROCESS_BYTES / 2);
}

/// Guards against answers that are not counted: they are delivered even if no memory is left, and new requests are refused
/// until it is released.
#[test]
fn an_answer_counts_although_no_memory_is_left_for_it() {
    let mut budget = MemoryBudget::new(PROCESS_BYTES);
    fill(&mut budget, Requester::WithinShare);
    budget.reserve(1_000_000);
    budget.release(REQUEST_BYTES);
    assert!(!budget.try_reserve(REQUEST_BYTES, Requester::WithinShare));
    budget.release(1_000_000);
    assert!(budget.try_reserve(REQUEST_BYTES, Requester::WithinShare));
}
