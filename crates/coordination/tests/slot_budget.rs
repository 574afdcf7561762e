//! The learned concurrency of an endpoint, tested with a simulated engine whose reports lag.

use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_coordination::slot_budget::EndpointLoad;
use sedgeridge_coordination::slot_budget::SlotBudget;
use sedgeridge_state::settings::millis;

const REPORT_AGE: Duration = Duration::from_millis(300);
const STALE_AFTER: Duration = Duration::from_secs(1);

/// An engine that runs `capacity` requests at once and queues the others itself.
struct Engine {
    capacity: usize,
    queued: usize,
    run_ends: Vec<Duration>,
    past: VecDeque<(Duration, usize, usize)>,
    random: SeededRandom,
}

impl Engine {
    fn new(capacity: usize) -> Self {
        Self {
            capacity,
            queued: 0,
            run_ends: Vec::new(),
            past: VecDeque::new(),
            random: SeededRandom::new(11),
        }
    }

    fn held(&self) -> usize {
        self.queued + self.run_ends.len()
    }

    fn step(&mut self, now: Duration) {
        self.run_ends.retain(|end| *end > now);
        while self.queued > 0 && self.run_ends.len() < self.capacity {
            self.queued -= 1;
            let run_ms = 500 + self.random.below(1_000);
            self.run_ends.push(now + millis(run_ms));
        }
        self.past.push_back((now, self.run_ends.len(), self.queued));
    }

    fn report(&mut self, now: Duration) -> EndpointLoad {
        while self.past.len() > 1 && self.past[1].0 + REPORT_AGE <= now {
            self.past.pop_front();
        }
        let (at, running, waiting) = self.past[0];
        EndpointLoad {
            running: running as u32,
            waiting: waiting as u32,
            slots: 16,
            age: now - at,
            leaving: false,
        }
    }
}

/// Returns the mean share of the engine in use and the mean length of the engine's own queue.
fn run(engine: &mut Engine, budget: &mut SlotBudget, from: Duration, to: Duration) -> (f64, f64) {
    let (mut used, mut queued, mut steps) = (0, 0, 0);
    let mut now = from;
    while now < to {
        engine.step(now);
        if now.as_millis().is_multiple_of(250) {
            let report = engine.report(now);
            budget.record_report(now, report);
        }
        let usable = budget.usable_slots(now, STALE_AFTER) as usize;
        engine.queued += usable.saturating_sub(engine.held());
        budget.record_held(now, engine.held() as u32);
        used += engine.run_ends.len();
        queued += engine.queued;
        steps += 1;
        now += millis(5);
    }
    let mean = |sum: usize| sum as f64 / f64::from(steps);
    (mean(used) / engine.capacity as f64, mean(queued))
}

/// An engine set to 16 slots has memory for five requests; its reports are 300 ms old.
/// More would wait inside it, outside the fair order. Fewer would leave it idle while work waits.
#[test]
fn learns_a_capacity_below_the_configured_one_and_follows_it_up() {
    let mut engine = Engine::new(5);
    let mut budget = SlotBudget::new(16);
    run(
        &mut engine,
        &mut budget,
        Duration::ZERO,
        Duration::from_secs(10),
    );
    let (used, queued) = run(
        &mut engine,
        &mut budget,
        Duration::from_secs(10),
        Duration::from_secs(60),
    );
    eprintln!("used {used:.3}, queued in the engine {queued:.2}");
    assert!(used >= 0.97, "{used}");
    assert!(queued <= 1.5, "{queued}");

    engine.capacity = 12;
    run(
        &mut engine,
        &mut budget,
        Duration::from_secs(60),
        Duration::from_secs(70),
    );
    let (used, queued) = run(
        &mut engine,
        &mut budget,
        Duration::from_secs(70),
        Duration::from_secs(120),
    );
    eprintln!("used {used:.3}, queued in the engine {queued:.2}");
    assert!(used >= 0.97, "{used}");
    assert!(queued <= 1.5, "{queued}");
}

/// A home restarts with no memory while six requests of the old one still run on eight slots.
/// It may add two, not eight. When the six end, it may use all slots.
#[test]
fn work_of_an_earlier_home_takes_up_slots() {
    let mut budget = SlotBudget::new(8);
    let report = |running| EndpointLoad {
        running,
        waiting: 0,
        slots: 8,
        age: REPORT_AGE,
        leaving: false,
    };
    budget.record_report(millis(1_000), report(6));
    assert_eq!(budget.usable_slots(millis(1_000), STALE_AFTER), 2);
    budget.record_held(millis(1_000), 2);
    budget.record_report(millis(1_250), report(6));
    assert_eq!(
        budget.usable_slots(millis(1_250), STALE_AFTER),
        2,
        "not yet in the figures"
    );
    budget.record_report(millis(1_500), report(8));
    assert_eq!(budget.usable_slots(millis(1_500), STALE_AFTER), 2);
    budget.record_report(millis(1_750), report(2));
    assert_eq!(budget.usable_slots(millis(1_750), STALE_AFTER), 8);
}

/// Seven of eight requests end, and the report that comes then still shows them running.
/// Compared with the requests held now, they would look like foreign work and idle the engine.
#[test]
fn a_late_report_is_compared_with_what_was_held_then() {
    let mut budget = SlotBudget::new(8);
    budget.record_held(millis(100), 8);
    budget.record_held(millis(1_000), 1);
    let late = EndpointLoad {
        running: 8,
        waiting: 0,
        slots: 8,
        age: REPORT_AGE,
        leaving: false,
    };
    budget.record_report(millis(1_100), late);
    assert_eq!(budget.usable_slots(millis(1_100), STALE_AFTER), 8);
}

/// A report claims absurd values. The endpoint keeps one slot, and gets all back once it is stale.
#[test]
fn an_absurd_report_does_not_exclude_an_endpoint() {
    let mut budget = SlotBudget::new(8);
    let absurd = EndpointLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: 0,
        age: Duration::ZERO,
        leaving: false,
    };
    budget.record_report(millis(1_000), absurd);
    assert_eq!(budget.usable_slots(millis(1_000), STALE_AFTER), 1);
    budget.record_report(
        millis(1_250),
        EndpointLoad {
            running: 1,
            waiting: 0,
            slots: 8,
            ..absurd
        },
    );
    assert!(budget.usable_slots(millis(1_250), STALE_AFTER) >= 1);
}

/// Reports are lost for good and the engine slows down as it queues.
/// The time to the first byte is then the only signal; it must lower the budget and raise it again.
#[test]
fn latency_controls_the_budget_while_reports_are_missing() {
    let mut budget = SlotBudget::new(16);
    let mut now = Duration::ZERO;
    let mut answer = |budget: &mut SlotBudget, first_byte: Duration| {
        for _ in 0..64 {
            now += millis(10);
            budget.record_held(now, budget.usable_slots(now, STALE_AFTER));
            budget.record_first_byte(now, first_byte, STALE_AFTER);
        }
        budget.usable_slots(now, STALE_AFTER)
    };
    assert_eq!(answer(&mut budget, millis(50)), 16);
    assert!(answer(&mut budget, millis(400)) <= 4);
    assert!(answer(&mut budget, millis(50)) >= 8);
}
