//! Admission and account limits: which requests wait, which are refused at once, and when refused
//! callers return.

use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use sedgeridge_coordination::account_ceilings::AccountCeilings;
use sedgeridge_coordination::drain_rate::DrainRate;
use sedgeridge_coordination::limits::Admission;
use sedgeridge_coordination::limits::AdmissionRequest;
use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::AccountSettings;
use sedgeridge_state::settings::FrontSettings;
use sedgeridge_state::settings::millis;
use yare::parameterized;

const LATE_DEADLINE: Duration = Duration::from_secs(1 << 30);

fn account_settings(max_in_progress: u32, max_requests_per_s: u32) -> AccountSettings {
    AccountSettings {
        id: AccountId::from("crew-07"),
        weight: 1,
        key_sha256: String::new(),
        max_in_progress,
        max_requests_per_s,
    }
}

/// Simulated queue of one account for one pool; the test starts its requests at a fixed rate.
struct SimulatedQueue {
    admission: Admission,
    account: AccountId,
    pool: PoolId,
    deadlines: VecDeque<Duration>,
    expired: u32,
    in_time: u32,
}

impl SimulatedQueue {
    fn new() -> Self {
        Self {
            admission: Admission::new(FrontSettings::default(), 3),
            account: AccountId::from("crew-07"),
            pool: PoolId::from("desk"),
            deadlines: VecDeque::new(),
            expired: 0,
            in_time: 0,
        }
    }

    fn arrive(&mut self, now: Duration, time_left: Duration) -> Result<(), RefusalReason> {
        let waiting = u32::try_from(self.deadlines.len()).unwrap();
        let arrival = AdmissionRequest {
            account: &self.account,
            pool: &self.pool,
            waiting,
            waiting_of_account: waiting,
            requests_ahead: waiting,
            backlogged_accounts: 1,
            deadline: now + time_left,
            min_run_time: Duration::ZERO,
        };
        self.admission
            .admit(now, arrival)
            .map_err(|refusal| refusal.reason)?;
        self.admission.record_queued(now, &self.pool, &self.account);
        self.deadlines.push_back(now + time_left);
        Ok(())
    }

    fn start_one(&mut self, now: Duration) {
        while let Some(deadline) = self.deadlines.pop_front() {
            let left = u32::try_from(self.deadlines.len()).unwrap();
            let (pool, account) = (&self.pool, &self.account);
            if deadline < now {
                self.expired += 1;
                self.admission.record_left(now, pool, account, left, left);
                continue;
            }
            self.in_time += 1;
            self.admission
                .record_started(now, pool, account, left, left);
            return;
        }
    }
}

#[parameterized(
    queue = { 4_096, 0, LATE_DEADLINE, RefusalReason::QueueFull },
    account_queue = { 300, 256, LATE_DEADLINE, RefusalReason::AccountQueueFull },
    deadline = { 0, 0, Duration::ZERO, RefusalReason::DeadlineUnreachable },
)]
fn refuses(waiting: u32, of_account: u32, deadline: Duration, reason: RefusalReason) {
    let (account, pool) = (AccountId::from("crew-07"), PoolId::from("desk"));
    let arrival = AdmissionRequest {
        account: &account,
        pool: &pool,
        waiting,
        waiting_of_account: of_account,
        requests_ahead: of_account,
        backlogged_accounts: 1,
        deadline,
        min_run_time: Duration::ZERO,
    };
    let mut admission = Admission::new(FrontSettings::default(), 1);
    let refusal = admission.admit(Duration::ZERO, arrival).unwrap_err();
    assert_eq!(refusal.reason, reason);
    assert!(refusal.retry_after >= Some(Duration::from_secs(1)));
}

/// Ten times more requests arrive than the pool can start, each with a deadline of two seconds.
/// Those that can't meet it must be refused at once. Without the estimate all would wait in a queue
/// of 256 for 12.8 s, and nearly every request would expire there.
#[test]
fn refuses_at_once_what_cannot_make_its_deadline() {
    let mut queue = SimulatedQueue::new();
    let mut refused = 0;
    for ms in 0..60_000_u64 {
        let now = millis(ms);
        if ms % 5 == 0 && queue.arrive(now, Duration::from_secs(2)).is_err() {
            refused += 1;
        }
        if ms % 50 == 0 {
            queue.start_one(now);
        }
    }
    let SimulatedQueue {
        expired, in_time, ..
    } = queue;
    assert!(
        in_time >= 1_190,
        "slots were idle: {in_time} of 1,200 used, expected at least 1,190"
    );
    assert!(
        expired <= in_time / 20,
        "{expired} expired, {in_time} in time"
    );
    assert_eq!(
        refused + expired + in_time + queue.deadlines.len() as u32,
        12_000
    );
}

/// All endpoints are down for ten minutes, then recover. The measured gap is then longer than any
/// deadline. A returning caller must still be admitted, as otherwise nothing would start and the
/// estimate could never recover.
#[test]
fn an_outage_does_not_shut_an_account_out() {
    let mut queue = SimulatedQueue::new();
    let time_left = Duration::from_secs(10);
    for s in 0..20 {
        let _ = queue.arrive(millis(s * 100), time_left);
        queue.start_one(millis(s * 100));
    }
    let recovered_at = Duration::from_secs(600);
    let _ = queue.arrive(Duration::from_secs(3), Duration::from_secs(800));
    assert!(
        queue.arrive(recovered_at, time_left).is_err(),
        "nothing starts from the queue, so a second request is refused"
    );
    let mut admitted_late = 0;
    for ms in 0..10_000 {
        let now = recovered_at + millis(ms);
        if ms % 100 == 0 {
            queue.start_one(now);
        }
        if ms % 200 == 0 {
            let admitted = queue.arrive(now, time_left).is_ok();
            admitted_late += u32::from(admitted && ms >= 5_000);
        }
    }
    assert_eq!(
        admitted_late, 25,
        "all requests of the second half are admitted"
    );
}

/// A thousand callers are refused at the same time by a queue that starts ten requests per second.
/// With equal retry delays they would all return together and be refused again.
#[test]
fn refused_callers_do_not_return_together() {
    let mut queue = SimulatedQueue::new();
    for ms in (0..20_000).step_by(50) {
        let _ = queue.arrive(millis(ms), Duration::from_secs(600));
        if ms % 100 == 0 {
            queue.start_one(millis(ms));
        }
    }
    let now = Duration::from_secs(20);
    let (pool, account) = (queue.pool.clone(), queue.account.clone());
    let mut returns_in_second = [0_u32; 91];
    for _ in 0..1_000 {
        let reason = RefusalReason::AccountQueueFull;
        let refusal = queue
            .admission
            .refuse(now, reason, &pool, &account, Duration::ZERO);
        let after = refusal.retry_after.unwrap();
        assert!(after >= Duration::from_secs(1) && after <= Duration::from_secs(90));
        returns_in_second[after.as_secs() as usize] += 1;
    }
    let max_returns = returns_in_second.iter().max().unwrap();
    assert!(
        *max_returns <= 40,
        "{max_returns} of 1,000 return in the same second"
    );
}

#[test]
fn drain_rate_is_not_misled_by_bursts_or_by_slow_queues() {
    for (burst, period_s) in [(1, 20), (10, 1), (10, 20)] {
        let mut rate = DrainRate::default();
        rate.record_queued(Duration::ZERO);
        let mut now = Duration::ZERO;
        for _ in 0..50 {
            now += Duration::from_secs(period_s);
            for _ in 0..burst {
                rate.record_started(now, true);
            }
        }
        let true_gap_s = period_s as f64 / f64::from(burst);
        let gap_s = rate.expected_gap(now).unwrap().as_secs_f64();
        assert!(
            (gap_s / true_gap_s - 1.0).abs() < 0.25,
            "{gap_s} for {true_gap_s}"
        );
    }
}

#[test]
fn idle_time_does_not_count_as_slow_drain() {
    let mut rate = DrainRate::default();
    for s in 0..20 {
        rate.record_queued(Duration::from_secs(s));
        rate.record_started(Duration::from_secs(s) + millis(10), false);
    }
    let gap = rate.expected_gap(Duration::from_secs(20)).unwrap();
    assert!(gap <= millis(11), "{gap:?}");
}

#[test]
fn a_changed_configuration_refills_no_rate_limit() {
    let account = AccountId::from("crew-07");
    let mut ceilings = AccountCeilings::default();
    let mut starts = 0;
    for _ in 0..10 {
        ceilings.configure(Duration::ZERO, &[account_settings(0, 1)]);
        if ceilings.check(Duration::ZERO, &account, 0).is_ok() {
            ceilings.record_start(Duration::ZERO, &account);
            starts += 1;
        }
    }
    assert_eq!(starts, 1);
    let reached = ceilings.check(Duration::ZERO, &account, 0).unwrap_err();
    assert_eq!(reached.reason, RefusalReason::RateLimited);
    assert_eq!(reached.next_start_in, Some(Duration::from_secs(1)));
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

    /// Naive oracle: in any window there are at most as many starts as the rate allows, plus those
    /// of one second; never more requests in progress than the limit; and a returned wait is long
    /// enough.
    #[test]
    fn ceilings_hold_over_every_window(
        pauses_us in prop::collection::vec(0_u64..400_000, 1..300),
        max_requests_per_s in 1_u32..20,
        max_in_progress in 1_u32..8,
    ) {
        let account = AccountId::from("crew-07");
        let mut ceilings = AccountCeilings::default();
        ceilings.configure(Duration::ZERO, &[account_settings(max_in_progress, max_requests_per_s)]);
        let mut now = Duration::ZERO;
        let mut starts: Vec<Duration> = Vec::new();
        let run = Duration::from_millis(600);
        for pause_us in pauses_us {
            now += Duration::from_micros(pause_us);
            let in_progress = starts.iter().filter(|start| **start + run > now).count() as u32;
            match ceilings.check(now, &account, in_progress) {
                Ok(()) => {
                    prop_assert!(in_progress < max_in_progress);
                    ceilings.record_start(now, &account);
                    starts.push(now);
                }
                Err(reached) => {
                    if let Some(wait) = reached.next_start_in {
                        prop_assert!(ceilings.check(now + wait, &account, 0).is_ok());
                        now += wait;
                    }
                }
            }
        }
        for (first, from) in starts.iter().enumerate() {
            for (count, to) in starts[first..].iter().enumerate() {
                let allowed = f64::from(max_requests_per_s) * (1.0 + (*to - *from).as_secs_f64());
                prop_assert!((count + 1) as f64 <= allowed + 1e-3);
            }
        }
    }
}
