//! Who gets a host's memory when there is little of it.

use sedgeridge_fleet::memory_budget::MemoryBudget;
use sedgeridge_fleet::memory_budget::Requester;

const PROCESS_BYTES: u64 = 88_000_000;
const REQUEST_BYTES: u64 = 60_000;

fn take_all(budget: &mut MemoryBudget, asker: Requester) -> u64 {
    let mut taken = 0;
    while budget.try_reserve(REQUEST_BYTES, asker) {
        taken += 1;
    }
    taken
}

/// The callers of one large account all reach one host and send more than it has memory for. Callers of other
/// accounts there are still served: the account that has had its share finds no room while there
/// is room for the others.
#[test]
fn a_flood_of_one_account_leaves_room_for_others() {
    let mut budget = MemoryBudget::new(PROCESS_BYTES);
    let flood = take_all(&mut budget, Requester::OverShare);
    assert!(flood > 500, "{flood}");
    assert!(budget.is_short());
    let others = take_all(&mut budget, Requester::WithinShare);
    assert!(others > 100, "{others}");
    assert!(budget.held_bytes() <= PROCESS_BYTES / 2);
}

/// What endpoints have made is delivered even where there is no room; new requests wait until it is gone.
#[test]
fn an_answer_counts_although_there_is_no_room_for_it() {
    let mut budget = MemoryBudget::new(PROCESS_BYTES);
    take_all(&mut budget, Requester::WithinShare);
    budget.reserve(1_000_000);
    budget.release(REQUEST_BYTES);
    assert!(!budget.try_reserve(REQUEST_BYTES, Requester::WithinShare));
    budget.release(1_000_000);
    assert!(budget.try_reserve(REQUEST_BYTES, Requester::WithinShare));
}
