//! Claims of requests that may not be repeated: transactions against the table.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::claim_events::ClaimAction;
use sedgeridge_coordination::claim_events::ClaimEvent;
use sedgeridge_coordination::claim_events::ClaimOutcome;
use sedgeridge_coordination::claim_events::ClaimRequest;
use sedgeridge_coordination::claim_events::ClaimSettings;
use sedgeridge_coordination::claims::Claims;
use sedgeridge_coordination::store_call::StoreEvent;
use sedgeridge_state::claim_record::BodyHash;
use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::claim_record::RecordedBody;
use sedgeridge_state::ids::AttemptId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::RequestId;

use crate::design;
use crate::memory_table::MemoryTable;
use crate::meter::Stopwatch;
use crate::random::Random;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::sample::Sample;
use crate::target;

const STARTED_UNIX_MS: u64 = 1_800_000_000_000;
/// Assumption: duration of one call to the table service.
const TABLE_DELAY: Duration = Duration::from_millis(5);
/// Assumption: time a plain service takes for one request.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Assumption: size of an answer that is recorded for repeated requests.
const RECORDED_ANSWER_BYTES: usize = 200;
const MEASURED_TIME: Duration = Duration::from_secs(6_000);
const QUICK_MEASURED_TIME: Duration = Duration::from_secs(120);
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Claims that one router makes, by their rate.
pub const RATE: Bench = Bench {
    name: "claims-rate",
    size_title: "claims a router and 10 seconds",
    sizes: &[1, 2, 4, 8, 16],
    quick_sizes: &[4, 8, 12, 16],
    target: target::CLAIMED_REQUESTS_PERCENT / 10.0 * target::REQUESTS_PER_S / target::NODES,
    metrics: &[
        Metric {
            name: "transactions",
            title: "claims: transactions a router and second",
        },
        Metric {
            name: "rows",
            title: "claims: rows written a router and second",
        },
        Metric {
            name: "call_bytes",
            title: "claims: bodies sent to the table a router and second, bytes",
        },
        Metric {
            name: "cpu_us",
            title: "claims: processor time a router and second, us",
        },
    ],
    is_timed: true,
    measure,
};

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PendingEvent {
    Arrival,
    Answer(usize),
    Ended(RequestId),
    Tick,
}

/// The claims of one router, and the table they are written to.
struct SimulatedRouter {
    claims: Claims,
    table: MemoryTable,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, PendingEvent)>>,
    answers: Vec<Option<StoreEvent>>,
    sequence: u64,
    watch: Stopwatch,
    random: Random,
}

fn measure(point: Point) -> Sample {
    let time = if point.quick {
        QUICK_MEASURED_TIME
    } else {
        MEASURED_TIME
    };
    let mut router = SimulatedRouter {
        claims: Claims::new(ClaimSettings::default(), STARTED_UNIX_MS, point.seed),
        table: MemoryTable::default(),
        now: Duration::ZERO,
        queue: BinaryHeap::new(),
        answers: Vec::new(),
        sequence: 0,
        watch: Stopwatch::start(),
        random: Random::new(point.seed),
    };
    router.schedule(Duration::ZERO, PendingEvent::Arrival);
    router.schedule(Duration::ZERO, PendingEvent::Tick);
    router.run_until(time, point.size as f64 / 10.0);
    let seconds = time.as_secs_f64();
    let mut sample = Sample::default();
    sample.set("transactions", router.table.transactions as f64 / seconds);
    sample.set("rows", router.table.rows_written as f64 / seconds);
    sample.set("call_bytes", router.table.call_bytes as f64 / seconds);
    sample.set("cpu_us", router.watch.cpu_micros() / seconds);
    sample
}

impl SimulatedRouter {
    fn run_until(&mut self, time: Duration, rate_per_s: f64) {
        while let Some(Reverse((at, _, pending))) = self.queue.pop() {
            if at > time {
                return;
            }
            self.now = at;
            match pending {
                PendingEvent::Arrival => {
                    let pause = self.random.exponential_interval_s(rate_per_s);
                    self.schedule(at + Duration::from_secs_f64(pause), PendingEvent::Arrival);
                    let claim = self.new_claim();
                    self.handle_event(ClaimEvent::Claim(claim));
                }
                PendingEvent::Answer(index) => {
                    let answer = self.answers[index].take();
                    self.handle_event(ClaimEvent::Store(
                        answer.expect("each answer is delivered once"),
                    ));
                }
                PendingEvent::Ended(request) => {
                    let body = RecordedBody::Inline(Arc::from("x".repeat(RECORDED_ANSWER_BYTES)));
                    let answer = RecordedAnswer { status: 200, body };
                    let outcome = ClaimOutcome::Ran(answer);
                    self.handle_event(ClaimEvent::Finished { request, outcome });
                }
                PendingEvent::Tick => {
                    if self.claims.next_wake().is_some_and(|wake| wake <= at) {
                        self.handle_event(ClaimEvent::Tick);
                    }
                    self.schedule(at + TICK_INTERVAL, PendingEvent::Tick);
                }
            }
        }
    }

    fn new_claim(&mut self) -> ClaimRequest {
        let key = self.sequence;
        ClaimRequest {
            request: RequestId::from(key.to_string().as_str()),
            account: design::account_id(self.random.below(6_900) as usize),
            idempotency_key: Arc::from(format!("deposit-{key:012}")),
            body_hash: BodyHash(self.random.next_u64()),
            attempt: AttemptId {
                member: Member {
                    host: design::host_id(0),
                    incarnation: Incarnation(STARTED_UNIX_MS * 1_000),
                },
                sequence: key,
            },
        }
    }

    fn handle_event(&mut self, event: ClaimEvent) {
        let mut actions = Vec::new();
        let (claims, now) = (&mut self.claims, self.now);
        self.watch
            .measure(|| claims.handle(now, event, &mut actions));
        for action in actions {
            match action {
                ClaimAction::Store(call) => {
                    let answer = self.table.execute(&call);
                    self.answers.push(Some(answer));
                    let index = self.answers.len() - 1;
                    self.schedule(self.now + TABLE_DELAY, PendingEvent::Answer(index));
                }
                ClaimAction::Dispatch(request) => {
                    self.schedule(self.now + SERVICE_TIME, PendingEvent::Ended(request));
                }
                ClaimAction::Replay { .. } | ClaimAction::Refuse { .. } => {
                    unreachable!("keys are new and the table answers")
                }
            }
        }
    }

    fn schedule(&mut self, at: Duration, pending: PendingEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, pending)));
    }
}
