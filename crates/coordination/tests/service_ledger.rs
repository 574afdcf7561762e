//! The ledger gives the same sums for any order and repetition of reports.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sedgeridge_coordination::service_ledger::ServiceLedger;

const RUNS: usize = 4;
const ACCOUNTS: usize = 3;

type Merge = (usize, usize, u64);

fn merges() -> impl Strategy<Value = Vec<Merge>> {
    prop::collection::vec((0..RUNS, 0..ACCOUNTS, 0..1_000u64), 0..40)
}

fn sums(ledger: &ServiceLedger) -> Vec<u64> {
    (0..ACCOUNTS)
        .map(|account| ledger.received_tokens(account))
        .collect()
}

fn merged(merges: &[Merge]) -> ServiceLedger {
    let mut ledger = ServiceLedger::default();
    for &(run, account, total_tokens) in merges {
        ledger.merge(run, account, total_tokens);
    }
    ledger
}

/// Sum over runs of the largest total that each reported.
fn oracle(merges: &[Merge]) -> Vec<u64> {
    let largest = |run, account| {
        let totals = merges.iter().filter(|m| (m.0, m.1) == (run, account));
        totals.map(|m| m.2).max().unwrap_or(0)
    };
    (0..ACCOUNTS)
        .map(|account| (0..RUNS).map(|run| largest(run, account)).sum())
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn merging_is_commutative(
        (before, after) in merges().prop_flat_map(|m| (Just(m.clone()), Just(m).prop_shuffle())),
    ) {
        prop_assert_eq!(sums(&merged(&before)), oracle(&before));
        prop_assert_eq!(sums(&merged(&after)), oracle(&before));
    }

    #[test]
    fn merging_is_idempotent(merges in merges()) {
        let twice: Vec<Merge> = merges.iter().chain(&merges).copied().collect();
        prop_assert_eq!(sums(&merged(&twice)), sums(&merged(&merges)));
    }

    // An account is charged twice for the same work: a run is cut off, continues to serve, and
    // returns with its totals. Service from before it left is already in the sums, and service
    // meanwhile was ordered elsewhere. Only service after its return may count.
    #[test]
    fn a_run_that_rejoins_is_not_counted_twice(
        before in 0..1_000u64,
        meanwhile in 0..1_000u64,
        after in 0..1_000u64,
    ) {
        let mut ledger = merged(&[(0, 0, before)]);
        ledger.close_run(0);
        ledger.admit_run(0, [(0, before + meanwhile)]);
        ledger.merge(0, 0, before + meanwhile + after);
        prop_assert_eq!(ledger.received_tokens(0), before + after);
    }

    #[test]
    fn a_restarted_run_starts_from_nothing(before in 0..1_000u64, after in 0..1_000u64) {
        let mut ledger = merged(&[(0, 0, before)]);
        ledger.close_run(0);
        ledger.admit_run(0, []);
        ledger.merge(0, 0, after);
        prop_assert_eq!(ledger.received_tokens(0), before + after);
    }
}
