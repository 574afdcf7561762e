//! Measures the cost of claims, from the claim to the recorded outcome, by the number of requests
//! that share their transactions.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use sedgeridge_coordination::claim_events::ClaimAction;
use sedgeridge_coordination::claim_events::ClaimEvent;
use sedgeridge_coordination::claim_events::ClaimOutcome;
use sedgeridge_coordination::claim_events::ClaimRequest;
use sedgeridge_coordination::claim_events::ClaimSettings;
use sedgeridge_coordination::claims::Claims;
use sedgeridge_coordination::store_call::StoreAction;
use sedgeridge_coordination::store_call::StoreEvent;
use sedgeridge_coordination::store_call::StoreResult;
use sedgeridge_state::claim_record::BodyHash;
use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::claim_record::RecordedBody;
use sedgeridge_state::ids::AttemptId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;

const ANSWER_BYTES: usize = 1_024;
/// Longer than the time for which claims and outcomes wait for a transaction.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// A router's claims, with a store that commits every transaction.
struct Bench {
    claims: Claims,
    member: Member,
    answer: RecordedAnswer,
    now: Duration,
    sequence: u64,
    version: u64,
}

impl Bench {
    fn new() -> Self {
        Self {
            claims: Claims::new(ClaimSettings::default(), 1_700_000_000_000, 7),
            member: Member {
                host: HostId::from("router-1"),
                incarnation: Incarnation(1),
            },
            answer: RecordedAnswer {
                status: 200,
                body: RecordedBody::Inline(Arc::from("x".repeat(ANSWER_BYTES))),
            },
            now: Duration::ZERO,
            sequence: 0,
            version: 0,
        }
    }

    fn claim(&mut self, actions: &mut Vec<ClaimAction>) {
        self.sequence += 1;
        let name = self.sequence.to_string();
        let claim = ClaimRequest {
            request: name.as_str().into(),
            account: "crew-07".into(),
            idempotency_key: Arc::from(name),
            body_hash: BodyHash(self.sequence),
            attempt: AttemptId {
                member: self.member.clone(),
                sequence: self.sequence,
            },
        };
        self.claims
            .handle(self.now, ClaimEvent::Claim(claim), actions);
    }

    /// Commits the due transactions and returns the resulting actions.
    fn commit(&mut self, mut actions: Vec<ClaimAction>) -> Vec<ClaimAction> {
        self.now += TICK_INTERVAL;
        self.claims.handle(self.now, ClaimEvent::Tick, &mut actions);
        let mut answers = Vec::new();
        for action in actions {
            if let ClaimAction::Store(StoreAction::Transact { call, .. }) = action {
                self.version += 1;
                let version = self.version;
                let result = StoreResult::Committed { version };
                let event = ClaimEvent::Store(StoreEvent { call, result });
                self.claims.handle(self.now, event, &mut answers);
            }
        }
        answers
    }

    fn run(&mut self, requests: u64) {
        let mut actions = Vec::new();
        for _ in 0..requests {
            self.claim(&mut actions);
        }
        let dispatches = self.commit(actions);
        let mut actions = Vec::new();
        for dispatch in dispatches {
            if let ClaimAction::Dispatch(request) = dispatch {
                let outcome = ClaimOutcome::Ran(self.answer.clone());
                let event = ClaimEvent::Finished { request, outcome };
                self.claims.handle(self.now, event, &mut actions);
            }
        }
        self.commit(actions);
        assert!(self.claims.is_settled());
    }
}

fn claim_life(c: &mut Criterion) {
    let mut group = c.benchmark_group("claim_life");
    for requests in [1_u64, 8, 32, 128] {
        let mut bench = Bench::new();
        group.throughput(Throughput::Elements(requests));
        group.bench_function(BenchmarkId::from_parameter(requests), |b| {
            b.iter(|| bench.run(black_box(requests)));
        });
    }
    group.finish();
}

criterion_group!(benches, claim_life);
criterion_main!(benches);
