//! Compares decisions about random events with an oracle: each request ends once, no request that may have run is refused
//! as not run, and no work stays counted after all requests have ended.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::*;
use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::verdict::Decision;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::Verdict;

use support::Host;
use support::engine_request;
use support::plain_request;
use support::prompt;

#[derive(Debug, Clone)]
enum Step {
    Arrive { kind: u8, account: u64, own: u32 },
    FirstPiece(usize),
    Complete(usize),
    Fail(usize, Failure),
    Leave(usize),
    Wait(u64),
}

fn failures() -> impl Strategy<Value = Failure> {
    prop::sample::select(vec![
        Failure::NotConnected,
        Failure::TurnedAway,
        Failure::Misdirected,
        Failure::ConnectionLost,
        Failure::SpoiledAnswer,
        Failure::ServerError,
        Failure::TimedOut,
    ])
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let arrive = (0..4_u8, 1..4_u64, 1..5_000_u32);
    let step = prop_oneof![
        4 => arrive.prop_map(|(kind, account, own)| Step::Arrive { kind, account, own }),
        2 => (0..64_usize).prop_map(Step::FirstPiece),
        2 => (0..64_usize).prop_map(Step::Complete),
        2 => (0..64_usize, failures()).prop_map(|(request, failure)| Step::Fail(request, failure)),
        1 => (0..64_usize).prop_map(Step::Leave),
        3 => (0..400_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

fn arrival(now: u64, kind: u8, account: u64, own: u32) -> Arrival {
    match kind {
        0 => plain_request(now, Repeat::AtMostOnce),
        1 => plain_request(now, Repeat::Idempotent),
        2 => engine_request(now, account, prompt(account, own)),
        _ => {
            let mut request = engine_request(now, account, prompt(account, own));
            request.route = support::route(support::ENGINES, Repeat::AtMostOnce, 1);
            request
        }
    }
}

#[derive(Debug)]
struct Tracked {
    allows_second_run: bool,
    max_attempts: u32,
    sends: u32,
    may_have_run: bool,
    has_attempt: bool,
}

#[derive(Debug, Default)]
struct Oracle {
    open: BTreeMap<RequestId, Tracked>,
}

impl Oracle {
    fn arrived(&mut self, id: RequestId, arrival: &Arrival) {
        let tracked = Tracked {
            allows_second_run: arrival.route.repeat.allows_second_run(),
            max_attempts: arrival.route.max_attempts,
            sends: 0,
            may_have_run: false,
            has_attempt: false,
        };
        self.open.insert(id, tracked);
    }

    fn decided(&mut self, decisions: Vec<Decision>) {
        for Decision { request, verdict } in decisions {
            let tracked = self.open.get_mut(&request).expect("decided after its end");
            assert!(
                !tracked.has_attempt,
                "decided while an attempt is in progress"
            );
            match verdict {
                Verdict::Send(_) => {
                    let may_be_sent = !tracked.may_have_run || tracked.allows_second_run;
                    assert!(may_be_sent, "sent again although it may have run");
                    tracked.sends += 1;
                    tracked.has_attempt = true;
                    assert!(tracked.sends <= tracked.max_attempts);
                }
                Verdict::Refuse { .. } => {
                    assert!(!tracked.may_have_run, "refused although it may have run");
                    self.open.remove(&request);
                }
                Verdict::Fail(_) => {
                    assert!(tracked.may_have_run, "failed without having run");
                    self.open.remove(&request);
                }
            }
        }
    }

    /// Picks one of the requests with an attempt in progress.
    fn pick_running(&self, index: usize) -> Option<RequestId> {
        let running: Vec<_> = self.open.iter().filter(|(_, t)| t.has_attempt).collect();
        let picked = running.get(index.checked_rem(running.len())?)?;
        Some(*picked.0)
    }

    fn failed(&mut self, id: RequestId, failure: Failure) {
        let tracked = self.open.get_mut(&id).expect("in progress");
        tracked.has_attempt = false;
        tracked.may_have_run |= failure.may_have_run();
        if !failure.was_sent() {
            tracked.sends -= 1;
        }
    }
}

fn play(steps: Vec<Step>) {
    let mut host = Host::new(1);
    let mut oracle = Oracle::default();
    let mut now = 0;
    for step in steps {
        now += 1;
        let event = match step {
            Step::Arrive { kind, account, own } => {
                let mut request = arrival(now, kind, account, own);
                request.id = RequestId(now);
                oracle.arrived(request.id, &request);
                DispatchEvent::Arrived(Box::new(request))
            }
            Step::FirstPiece(index) => match oracle.pick_running(index) {
                Some(id) => DispatchEvent::FirstPiece(id),
                None => continue,
            },
            Step::Complete(index) => match oracle.pick_running(index) {
                Some(id) => {
                    oracle.open.remove(&id);
                    DispatchEvent::Completed(id)
                }
                None => continue,
            },
            Step::Fail(index, failure) => match oracle.pick_running(index) {
                Some(id) => {
                    oracle.failed(id, failure);
                    DispatchEvent::AttemptFailed(id, failure)
                }
                None => continue,
            },
            Step::Leave(index) => match oracle.pick_running(index) {
                Some(id) => {
                    oracle.open.remove(&id);
                    DispatchEvent::Abandoned(id)
                }
                None => continue,
            },
            Step::Wait(millis) => {
                now += millis;
                DispatchEvent::Tick
            }
        };
        oracle.decided(host.send(now, event));
    }
    // Queued requests end by their deadlines, and no work stays counted.
    for _ in 0..40 {
        now += 100;
        oracle.decided(host.send(now, DispatchEvent::Tick));
        while let Some(id) = oracle.pick_running(0) {
            oracle.open.remove(&id);
            oracle.decided(host.send(now, DispatchEvent::Completed(id)));
        }
    }
    assert!(
        oracle.open.is_empty(),
        "requests without an end: {:?}",
        oracle.open
    );
    assert_eq!(host.dispatcher.unfinished_requests(), 0);
    assert_eq!(host.dispatcher.queued_requests(), 0);
    let report = host.dispatcher.report(support::live());
    assert!(
        report.loads.is_empty(),
        "work still counted: {:?}",
        report.loads
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn every_request_ends_once_and_with_a_true_answer(steps in steps()) {
        play(steps);
    }
}
