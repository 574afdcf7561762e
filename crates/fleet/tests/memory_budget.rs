//! Who gets a host's memory when there is little of it.

use sedgeridge_fleet::memory_budget::Asker;
use sedgeridge_fleet::memory_budget::MemoryBudget;

const PROCESS_BYTES: u64 = 88_000_000;
const REQUEST_BYTES: u64 = 60_000;

fn take_all(budget: &mut MemoryBudget, asker: Asker) -> u64 {
    let mut taken = 0;
    while budget.take(REQUEST_BYTES, asker) {
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
    let flood = take_all(&mut budget, Asker::OverShare);
    assert!(flood > 500, "{flood}");
    assert!(budget.is_short());
    let others = take_all(&mut budget, Asker::WithinShare);
    assert!(others > 100, "{others}");
    assert!(budget.held_bytes() <= PROCESS_BYTES / 2);
}

/// What endpoints have made is delivered even where there is no room; new requests wait until it is gone.
#[test]
fn an_answer_counts_although_there_is_no_room_for_it() {
    let mut budget = MemoryBudget::new(PROCESS_BYTES);
    take_all(&mut budget, Asker::WithinShare);
    budget.add(1_000_000);
    budget.give_back(REQUEST_BYTES);
    assert!(!budget.take(REQUEST_BYTES, Asker::WithinShare));
    budget.give_back(1_000_000);
    assert!(budget.take(REQUEST_BYTES, Asker::WithinShare));
}
