//! Retry budgets: which retries they grant or deny, and that retries never multiply the load.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use sedgeridge_coordination::refusal::Outcome;
use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_coordination::retry_budget::FailedAttempt;
use sedgeridge_coordination::retry_budget::RetryBudgets;
use sedgeridge_coordination::retry_budget::RetryDecision;
use sedgeridge_coordination::retry_budget::RetryDenial;
use sedgeridge_coordination::retry_budget::RetryReason;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::settings::RetrySettings;
use yare::parameterized;

const LATE_DEADLINE: Duration = Duration::from_secs(1 << 30);

fn failed(account: &AccountId, reason: RetryReason) -> FailedAttempt<'_> {
    FailedAttempt {
        account,
        reason,
        attempts: 1,
        repeatable: true,
        deadline: LATE_DEADLINE,
    }
}

fn is_granted(decision: RetryDecision) -> bool {
    matches!(decision, RetryDecision::Retry { .. })
}

#[parameterized(
    attempts_used = { 3, true, RetryReason::ServerError, LATE_DEADLINE, RetryDenial::AttemptsUsed },
    deadline = { 1, true, RetryReason::ServerError, Duration::from_millis(1), RetryDenial::DeadlineNear },
    lost = { 1, false, RetryReason::ConnectionLost, LATE_DEADLINE, RetryDenial::NotRepeatable },
    silent = { 1, false, RetryReason::StreamSilent, LATE_DEADLINE, RetryDenial::NotRepeatable },
    server_error = { 1, false, RetryReason::ServerError, LATE_DEADLINE, RetryDenial::NotRepeatable },
)]
fn denies(
    attempts: u32,
    repeatable: bool,
    reason: RetryReason,
    deadline: Duration,
    expected: RetryDenial,
) {
    let account = AccountId::from("crew-07");
    let mut budgets = RetryBudgets::new(RetrySettings::default(), 1);
    let attempt = FailedAttempt {
        account: &account,
        reason,
        attempts,
        repeatable,
        deadline,
    };
    assert_eq!(
        budgets.decide_retry(Duration::ZERO, attempt),
        RetryDecision::Denied(expected)
    );
}

#[parameterized(refused = { RetryReason::NotStarted }, unconnected = { RetryReason::ConnectFailed })]
fn repeats_what_cannot_have_run(reason: RetryReason) {
    let account = AccountId::from("booking");
    let mut budgets = RetryBudgets::new(RetrySettings::default(), 1);
    let attempt = FailedAttempt {
        repeatable: false,
        ..failed(&account, reason)
    };
    assert!(is_granted(budgets.decide_retry(Duration::ZERO, attempt)));
}

/// A pool is down for a minute and each of 1,000 requests per second fails at once. Without a
/// budget each would be attempted three times, and the pool would recover to three times its load.
/// Only the floor of the account may be spent on retries.
#[test]
fn outage_does_not_multiply_the_load() {
    let account = AccountId::from("crew-07");
    let mut budgets = RetryBudgets::new(RetrySettings::default(), 1);
    let mut retries = 0;
    for ms in 0..60_000 {
        let now = Duration::from_millis(ms);
        let decision = budgets.decide_retry(now, failed(&account, RetryReason::ConnectFailed));
        retries += u32::from(is_granted(decision));
    }
    assert!(retries <= 2 + 6, "{retries} retries for 60,000 failures");
    assert!(retries >= 6, "the floor refills: {retries}");
}

/// All requests of one account fail while another has a rare failure. The first must spend only its
/// own budget, so that the second still gets its retry.
#[test]
fn one_account_cannot_spend_the_budget_of_another() {
    let flood = AccountId::from("flood");
    let small = AccountId::from("small");
    let mut budgets = RetryBudgets::new(RetrySettings::default(), 1);
    for _ in 0..1_000 {
        budgets.decide_retry(Duration::ZERO, failed(&flood, RetryReason::ServerError));
    }
    let decision = budgets.decide_retry(Duration::ZERO, failed(&small, RetryReason::ServerError));
    assert!(is_granted(decision));
    let counts: Vec<_> = budgets.counts().collect();
    let denied = Some(RetryDenial::AccountBudget);
    assert_eq!(
        counts,
        [
            (RetryReason::ServerError, None, 3),
            (RetryReason::ServerError, denied, 998),
        ]
    );
}

#[test]
fn backoff_doubles_and_is_jittered() {
    let account = AccountId::from("crew-07");
    let settings = RetrySettings {
        max_attempts: 100,
        ..RetrySettings::default()
    };
    let mut budgets = RetryBudgets::new(settings, 1);
    let mut distinct = BTreeSet::new();
    for attempts in [1, 1, 2, 2, 3, 3, 90] {
        for _ in 0..5 {
            budgets.on_success(Duration::ZERO, &account);
        }
        let attempt = FailedAttempt {
            attempts,
            ..failed(&account, RetryReason::ServerError)
        };
        let RetryDecision::Retry { backoff } = budgets.decide_retry(Duration::ZERO, attempt) else {
            panic!("denied at attempt {attempts}");
        };
        let full = Duration::from_millis(25 << (attempts - 1).min(10)).min(Duration::from_secs(1));
        assert!(
            backoff >= full / 2 && backoff <= full,
            "{attempts}: {backoff:?}"
        );
        distinct.insert(backoff);
    }
    assert_eq!(distinct.len(), 7);
}

#[test]
fn refusal_names_are_distinct_and_outcomes_honest() {
    let names: BTreeSet<_> = RefusalReason::ALL
        .iter()
        .map(|reason| reason.as_str())
        .collect();
    assert_eq!(names.len(), RefusalReason::ALL.len());
    for reason in RefusalReason::ALL {
        assert!((400..600).contains(&reason.status()));
        assert_ne!(reason.outcome(), Outcome::Ran, "{reason}");
    }
}

/// Configuration with a fixed seed, so that every run tries the same cases.
fn fixed_cases() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    }
}

proptest! {
    #![proptest_config(fixed_cases())]

    /// Naive oracle: over any history, the retries of an account are at most its floor with the
    /// refill by time, plus the configured share of its successes.
    #[test]
    fn retries_stay_within_share_of_successes(
        steps in prop::collection::vec((any::<bool>(), 0_u64..50, 0_u8..3), 1..400),
        budget_percent in 0_u32..100,
    ) {
        let accounts = ["a", "b", "c"].map(AccountId::from);
        let settings = RetrySettings { budget_percent, ..RetrySettings::default() };
        let mut budgets = RetryBudgets::new(settings, 9);
        let mut now = Duration::ZERO;
        let mut successes = [0_u64; 3];
        let mut retries = [0_u64; 3];
        for (success, pause_ms, index) in steps {
            now += Duration::from_millis(pause_ms);
            let index = usize::from(index);
            let account = &accounts[index];
            if success {
                budgets.on_success(now, account);
                successes[index] += 1;
            } else if is_granted(budgets.decide_retry(now, failed(account, RetryReason::ServerError))) {
                retries[index] += 1;
            }
            let floor_milli = 2_000 + now.as_millis() as u64 / 10 + 1;
            let earned_milli = successes[index] * u64::from(budget_percent) * 10;
            prop_assert!(retries[index] * 1_000 <= floor_milli + earned_milli);
        }
    }
}
