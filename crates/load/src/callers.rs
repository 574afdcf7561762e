//! Callers: threads that send requests and retry them as the fleet's answers say.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::Scope;
use std::time::Duration;

use sedgeridge_coordination::clock::Clock;
use ureq::Agent;

use crate::client;
use crate::client::Call;
use crate::faults::POISON;
use crate::history::CallRecord;
use crate::history::Ending;
use crate::history::Outcome;
use crate::plan::AccountPlan;
use crate::plan::Demand;
use crate::plan::LoadPlan;
use crate::plan::Pace;
use crate::plan::PoolKind;
use crate::plan::ServicePlan;
use crate::random::Random;
use crate::recorder::Recorder;
use crate::work;
use crate::work::Work;

/// Maximum number of calls for one piece of work.
const MAX_CALLS: u32 = 6;
/// Wait before the next call when the answer has no `Retry-After`.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest wait before the next call.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Maximum number of calls in progress of one open-loop demand.
const MAX_OPEN_CALLS: usize = 64;
/// Callers of a closed-loop demand in addition to its share of the slots.
const SPARE_CALLERS: usize = 4;
/// Share of work with a key that is sent a second time, through another router.
const REPEAT_SHARE: f64 = 0.2;
/// Size of the range of work numbers reserved for each caller.
const WORK_NUMBERS_PER_CALLER: u64 = 1 << 24;
/// Maximum random start delay of a caller, so that callers do not all arrive at once.
const MAX_START_DELAY_MS: u64 = 200;
/// Index of the caller that sends poisoned requests; ordinary callers count from 0.
const POISON_CALLER_INDEX: u64 = 1 << 20;
/// Index of the first caller of a flood.
const FIRST_FLOOD_CALLER_INDEX: u64 = 1 << 19;
/// Callers of a flood for each slot of the pool.
const FLOOD_CALLERS_PER_SLOT: u64 = 4;
/// Time between two calls with the same poison.
const POISON_INTERVAL: Duration = Duration::from_millis(500);

/// State that all callers share.
#[derive(Debug)]
pub struct Callers<'a, C> {
    /// The deployment that they call.
    pub plan: &'a LoadPlan,
    /// Their HTTP client.
    pub agent: Agent,
    /// Collects their call records.
    pub recorder: &'a Recorder,
    /// Seed of all random choices.
    pub seed: u64,
    /// Offered load as a multiple of the capacity.
    pub overload: f64,
    /// Source of the current time.
    pub clock: C,
    /// Time at which callers stop sending new work.
    pub stop_at: Duration,
    /// Length of sending.
    pub sending_time: Duration,
}

/// One caller of a demand.
#[derive(Debug, Clone)]
struct Caller<'a> {
    account: &'a AccountPlan,
    service: &'a ServicePlan,
    random: Random,
    first_number: u64,
    round_robin_index: usize,
}

impl<'a, C: Clock + Sync> Callers<'a, C> {
    /// Starts every caller of every account.
    pub fn start<'scope>(&'scope self, scope: &'scope Scope<'scope, '_>) {
        let mut index = 0;
        for account in &self.plan.accounts {
            for demand in &account.demands {
                let Some(service) = self.plan.service(&demand.service) else {
                    continue;
                };
                let threads = self.caller_threads(account, demand, service);
                for _ in 0..threads {
                    let caller = self.caller(index, account, service);
                    index += 1;
                    let pace = demand.pace;
                    scope.spawn(move || self.run(caller, pace));
                }
            }
        }
    }

    fn caller(&self, index: u64, account: &'a AccountPlan, service: &'a ServicePlan) -> Caller<'a> {
        let mut random = Random::new(self.seed ^ (index << 32));
        let round_robin_index = random.next_u64() as usize % self.plan.routers.len();
        Caller {
            account,
            service,
            random,
            first_number: index * WORK_NUMBERS_PER_CALLER,
            round_robin_index,
        }
    }

    /// Number of callers of a demand. A backlogged account gets its share of the overloaded slots
    /// plus some spare callers: it must have waiting requests also while answers are in transit.
    fn caller_threads(
        &self,
        account: &AccountPlan,
        demand: &Demand,
        service: &ServicePlan,
    ) -> usize {
        if demand.pace != Pace::Backlogged {
            return 1;
        }
        let slots = f64::from(self.plan.pool_slots(&service.pool));
        let share = f64::from(account.weight) / self.backlogged_weight(&service.pool);
        (slots * share * self.overload).ceil() as usize + SPARE_CALLERS
    }

    fn backlogged_weight(&self, pool: &str) -> f64 {
        let in_pool = |demand: &Demand| {
            let service = self.plan.service(&demand.service);
            demand.pace == Pace::Backlogged && service.is_some_and(|s| s.pool == pool)
        };
        let accounts = self.plan.accounts.iter();
        let backlogged = accounts.filter(|a| a.demands.iter().any(in_pool));
        backlogged.map(|a| f64::from(a.weight)).sum()
    }

    fn run(&self, caller: Caller<'a>, pace: Pace) {
        match pace {
            Pace::Backlogged => self.closed_loop(caller),
            Pace::PerSecond(rate_per_s) => self.open_loop(caller, rate_per_s),
        }
    }

    fn closed_loop(&self, mut caller: Caller<'a>) {
        let start_ms = caller.random.between(0, MAX_START_DELAY_MS);
        self.sleep(Duration::from_millis(start_ms));
        self.send_work_until(&mut caller, self.stop_at);
    }

    fn send_work_until(&self, caller: &mut Caller<'a>, end: Duration) {
        let mut number = caller.first_number;
        while self.clock.now() < end {
            self.run_work(caller, number);
            number += 1;
        }
    }

    /// Makes the first backlogged account send many times its share for the middle third of the
    /// run.
    pub fn start_flood<'scope>(&'scope self, scope: &'scope Scope<'scope, '_>) {
        let accounts = self.plan.accounts.iter();
        let mut large = accounts.flat_map(|account| {
            let demands = account.demands.iter();
            let backlogged = demands.filter(|demand| demand.pace == Pace::Backlogged);
            backlogged.map(move |demand| (account, demand))
        });
        let Some((account, demand)) = large.next() else {
            return;
        };
        let Some(service) = self.plan.service(&demand.service) else {
            return;
        };
        let callers = FLOOD_CALLERS_PER_SLOT * u64::from(self.plan.pool_slots(&service.pool));
        let third = self.sending_time / 3;
        for index in 0..callers {
            let mut caller = self.caller(FIRST_FLOOD_CALLER_INDEX + index, account, service);
            scope.spawn(move || {
                let begin = self.stop_at - 2 * third;
                thread::sleep(begin.saturating_sub(self.clock.now()));
                self.send_work_until(&mut caller, self.stop_at - third);
            });
        }
    }

    fn open_loop(&self, mut caller: Caller<'a>, rate_per_s: f64) {
        let open_calls = AtomicUsize::new(0);
        let mut number = caller.first_number;
        thread::scope(|scope| {
            loop {
                let gap_s = caller.random.arrival_gap_s(rate_per_s);
                self.sleep(Duration::from_secs_f64(gap_s));
                if !self.is_sending() {
                    return;
                }
                if open_calls.load(Ordering::Relaxed) >= MAX_OPEN_CALLS {
                    continue;
                }
                let mut single_caller = caller.clone();
                single_caller.random = Random::new(caller.random.next_u64());
                caller.round_robin_index += 1;
                number += 1;
                let open_calls = &open_calls;
                open_calls.fetch_add(1, Ordering::Relaxed);
                scope.spawn(move || {
                    self.run_work(&mut single_caller, number);
                    open_calls.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
    }

    fn is_sending(&self) -> bool {
        self.clock.now() < self.stop_at
    }

    /// Sleeps, but not beyond `stop_at`.
    fn sleep(&self, time: Duration) {
        let left = self.stop_at.saturating_sub(self.clock.now());
        thread::sleep(time.min(left));
    }

    fn run_work(&self, caller: &mut Caller<'a>, number: u64) {
        let Caller {
            account, service, ..
        } = *caller;
        let work = work::generate(&mut caller.random, number, &account.name, service);
        let repeated = work.idempotency_key.is_some() && caller.random.happens(REPEAT_SHARE);
        let repeat_at_once = repeated && caller.random.happens(0.5);
        let round_robin_index = caller.round_robin_index;
        caller.round_robin_index += 1;
        let repeat = |round_robin_index| {
            let router = round_robin_index % self.plan.routers.len();
            self.call(caller, &work, "repeat", router, true);
        };
        thread::scope(|scope| {
            if repeat_at_once {
                scope.spawn(|| repeat(round_robin_index + 1));
            }
            self.call_until_final(caller, &work, round_robin_index);
        });
        if repeated && !repeat_at_once {
            repeat(round_robin_index + 1);
        }
    }

    /// Calls until the fleet reports a final outcome. After a broken connection the caller goes to
    /// the next router, as a load balancer would send it.
    fn call_until_final(&self, caller: &Caller<'a>, work: &Work, round_robin_index: usize) {
        let routers = self.plan.routers.len();
        let mut router = caller.account.spread.router(round_robin_index, routers);
        for attempt in 1..=MAX_CALLS {
            let (record, retry_after) =
                self.call(caller, work, &attempt.to_string(), router, false);
            match next_step(&record) {
                NextStep::Done => return,
                NextStep::RetryNextRouter => router = (router + 1) % routers,
                NextStep::RetrySameRouter if !self.is_sending() => return,
                NextStep::RetrySameRouter => {}
            }
            let wait = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            thread::sleep(wait.min(MAX_RETRY_AFTER));
        }
    }

    /// Repeats one poisoned request until `stop_at`.
    pub fn send_poison(&self) {
        let models = self.plan.services.iter();
        let mut models = models.filter(|s| s.kind == PoolKind::Model && s.repeatable);
        let (Some(service), Some(account)) = (models.next(), self.plan.accounts.last()) else {
            return;
        };
        let mut caller = self.caller(POISON_CALLER_INDEX, account, service);
        let number = caller.first_number;
        let work =
            work::generate_poisoned(&mut caller.random, number, &account.name, service, POISON);
        let mut attempt = 0;
        while self.is_sending() {
            let router = attempt % self.plan.routers.len();
            attempt += 1;
            self.call(&caller, &work, &attempt.to_string(), router, false);
            self.sleep(POISON_INTERVAL);
        }
    }

    fn call(
        &self,
        caller: &Caller<'a>,
        work: &Work,
        attempt: &str,
        router: usize,
        repeat: bool,
    ) -> (CallRecord, Option<Duration>) {
        let request_id = format!("load-{}-{}-{attempt}", self.seed, work.number);
        self.recorder.record_sent();
        let call = Call {
            account: caller.account,
            service: &caller.service.name,
            router: &self.plan.routers[router],
            work,
            request_id: &request_id,
            repeat,
        };
        let result = client::call(&self.agent, call);
        self.recorder.record_ended(result.record.clone());
        (result.record, result.retry_after)
    }
}

enum NextStep {
    Done,
    RetrySameRouter,
    RetryNextRouter,
}

fn next_step(record: &CallRecord) -> NextStep {
    match (record.ending, record.outcome) {
        (Ending::Broken, _) => NextStep::RetryNextRouter,
        (Ending::Refused, Some(Outcome::NotRun)) => NextStep::RetrySameRouter,
        _ => NextStep::Done,
    }
}
