//! Recorded concurrent runs of the claims, checked for linearizability.
//!
//! Each idempotency key is a register that is free, claimed by a request, or holds its answer.
//! Callers of three routers use the same few keys concurrently, and the store loses, delays and
//! refuses calls. The history of each key is checked separately, as linearizability is a local
//! property.

mod common;

use common::claim_fleet::ClaimFleet;
use common::claim_fleet::RequestOutcome;
use common::claim_fleet::answer_of;
use common::store::CallOutcome;
use sedgeridge_coordination::claim_events::ClaimEvent;
use sedgeridge_coordination::claim_events::ClaimSettings;
use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_state::ids::RequestId;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

const ROUTERS: u64 = 3;
const KEYS: u64 = 2;
const RUN_COUNT: u64 = 300;
const STEPS_PER_RUN: u64 = 150;
const MAX_REQUESTS: usize = 24;

/// Effect of one request on the register of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Operation {
    /// It claimed the key and was dispatched.
    Claimed(RequestId),
    /// It was given the answer of another request.
    Replayed(RequestId),
    /// It was refused, or never answered.
    Nothing,
    /// It ended without having run.
    Released(RequestId),
    /// It ended with an answer.
    Answered(RequestId),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Register {
    Free,
    Claimed(RequestId),
    Answered(RequestId),
}

struct ClaimRegister;

impl Specification for ClaimRegister {
    type State = Register;
    type Operation = Operation;

    fn init() -> Register {
        Register::Free
    }

    fn apply(operation: &Operation, state: &Register) -> (bool, Register) {
        match (operation, state) {
            (Operation::Nothing, _) => (true, state.clone()),
            (Operation::Claimed(request), Register::Free) => {
                (true, Register::Claimed(request.clone()))
            }
            (Operation::Released(request), Register::Claimed(holder)) if request == holder => {
                (true, Register::Free)
            }
            (Operation::Answered(request), Register::Claimed(holder)) if request == holder => {
                (true, Register::Answered(request.clone()))
            }
            (Operation::Replayed(request), Register::Answered(holder)) if request == holder => {
                (true, state.clone())
            }
            _ => (false, state.clone()),
        }
    }
}

/// Calls and responses in the order of their occurrence.
#[derive(Debug, Default)]
struct Recorder {
    /// Key, process and action.
    actions: Vec<(u32, usize, Action<Operation>)>,
    processes: usize,
    /// Requests that were sent and not answered, with their processes.
    open_requests: Vec<(RequestId, usize)>,
    /// Operations that may take effect at any later time.
    unfinished: Vec<(u32, usize, Operation)>,
}

impl Recorder {
    fn call(&mut self, key: u32, operation: Operation) -> usize {
        self.processes += 1;
        let process = self.processes;
        self.actions.push((key, process, Action::Call(operation)));
        process
    }

    fn sent(&mut self, key: u32, request: RequestId) {
        let process = self.call(key, Operation::Nothing);
        self.open_requests.push((request, process));
    }

    /// Records the answers that arrived since the last step.
    fn record_answers(&mut self, fleet: &ClaimFleet) {
        let open = std::mem::take(&mut self.open_requests);
        for (request, process) in open {
            let sent = &fleet.sent[&request];
            let operation = match sent.outcomes.first() {
                None => {
                    self.open_requests.push((request, process));
                    continue;
                }
                Some(RequestOutcome::Dispatched) => Operation::Claimed(request),
                Some(RequestOutcome::Refused(_)) => Operation::Nothing,
                Some(RequestOutcome::Replayed(answer)) => {
                    let mut all = fleet.sent.keys();
                    let first = all.find(|r| answer_of(r) == *answer);
                    Operation::Replayed(first.expect("the request that ran").clone())
                }
            };
            self.actions
                .push((sent.key, process, Action::Response(operation)));
        }
    }

    /// Ends the operations that may still take effect, and the requests without answer.
    fn finish(mut self, fleet: &ClaimFleet) -> Self {
        for (key, process, operation) in std::mem::take(&mut self.unfinished) {
            self.actions
                .push((key, process, Action::Response(operation)));
        }
        for (request, process) in std::mem::take(&mut self.open_requests) {
            let key = fleet.sent[&request].key;
            self.actions
                .push((key, process, Action::Response(Operation::Nothing)));
        }
        self
    }

    fn is_linearizable(&self, key: u32) -> bool {
        let of_key = self.actions.iter().filter(|(k, _, _)| *k == key);
        let actions: Vec<_> = of_key.map(|(_, p, action)| (*p, action.clone())).collect();
        actions.is_empty() || WGLChecker::<ClaimRegister>::is_linearizable(renumber(actions))
    }
}

/// Numbers the processes from 0, as the checker indexes a list by process.
fn renumber(actions: Vec<(usize, Action<Operation>)>) -> History<Operation> {
    let mut seen = Vec::new();
    let numbered = actions.into_iter().map(|(process, action)| {
        let known = seen.iter().position(|p| *p == process);
        let number = known.unwrap_or_else(|| {
            seen.push(process);
            seen.len() - 1
        });
        (number, action)
    });
    History::from_actions(numbered.collect())
}

fn call_outcome(random: &mut SeededRandom) -> CallOutcome {
    match random.below(10) {
        0 => CallOutcome::AnswerLost,
        1 => CallOutcome::CallLost,
        2 => CallOutcome::Delayed,
        3 => CallOutcome::Refused,
        4 => CallOutcome::Stale(2),
        _ => CallOutcome::Answered,
    }
}

fn record(seed: u64) -> Recorder {
    let mut random = SeededRandom::new(seed);
    let mut fleet = ClaimFleet::new(ROUTERS as usize, ClaimSettings::default());
    let mut recorder = Recorder::default();
    for _ in 0..STEPS_PER_RUN {
        let router = random.below(ROUTERS) as usize;
        match random.below(20) {
            0..5 if fleet.sent.len() < MAX_REQUESTS => {
                let key = random.below(KEYS) as u32;
                let request = fleet.claim(router, key, 0);
                recorder.sent(key, request);
            }
            0..14 => fleet.deliver(router, call_outcome(&mut random)),
            14 => fleet.store.run_delayed_write(),
            15 => fleet.restart(router),
            16..18 => finish(&mut fleet, &mut recorder, router, random.below(2) as u8),
            _ => fleet.advance([20, 100, 400][random.below(3) as usize]),
        }
        recorder.record_answers(&fleet);
    }
    recorder.finish(&fleet)
}

fn finish(fleet: &mut ClaimFleet, recorder: &mut Recorder, router: usize, kind: u8) {
    let Some(request) = fleet.routers[router].running.front().cloned() else {
        return;
    };
    let key = fleet.sent[&request].key;
    let operation = match kind {
        0 => Operation::Answered(request),
        _ => Operation::Released(request),
    };
    let process = recorder.call(key, operation.clone());
    recorder.unfinished.push((key, process, operation));
    fleet.finish(router, kind);
}

// Routers are killed, answers lost and writes delayed while callers repeat their keys at other
// routers. All answers must fit one order in which each key is claimed by one request at a time,
// freed only by a claimant that did not run, and answered only with the claimant's answer.
#[test]
fn claims_of_concurrent_callers_are_linearizable() {
    let mut claimed = 0;
    let mut replayed = 0;
    for seed in 0..RUN_COUNT {
        let recorder = record(seed);
        for (_, _, action) in &recorder.actions {
            let Action::Response(operation) = action else {
                continue;
            };
            claimed += usize::from(matches!(operation, Operation::Claimed(_)));
            replayed += usize::from(matches!(operation, Operation::Replayed(_)));
        }
        for key in 0..KEYS as u32 {
            let is_linearizable = recorder.is_linearizable(key);
            assert!(
                is_linearizable,
                "seed {seed}, key {key}: {:#?}",
                recorder.actions
            );
        }
    }
    println!("{RUN_COUNT} runs: {claimed} claims, {replayed} replays");
    assert!(
        claimed > 100 && replayed > 10,
        "the runs had too few claims or replays"
    );
}

// The checker rejects a history in which one key was claimed twice.
#[test]
fn a_key_claimed_twice_is_not_linearizable() {
    let mut recorder = Recorder::default();
    for name in ["request-1", "request-2"] {
        let process = recorder.call(0, Operation::Nothing);
        let claimed = Operation::Claimed(RequestId::from(name));
        recorder
            .actions
            .push((0, process, Action::Response(claimed)));
    }
    assert!(!recorder.is_linearizable(0));
}

// The claim of a request that was given up may still be written. Nothing is dispatched for it, and
// the key remains usable.
#[test]
fn a_claim_given_up_leaves_no_trace_in_the_history() {
    let mut fleet = ClaimFleet::new(1, ClaimSettings::default());
    let mut recorder = Recorder::default();
    let first = fleet.claim(0, 0, 0);
    recorder.sent(0, first.clone());
    fleet.advance(20);
    fleet.event(0, ClaimEvent::GiveUp(first));
    recorder.record_answers(&fleet);
    let second = fleet.claim(0, 0, 0);
    recorder.sent(0, second);
    fleet.run_until_settled();
    recorder.record_answers(&fleet);
    let recorder = recorder.finish(&fleet);
    assert!(recorder.is_linearizable(0));
}
