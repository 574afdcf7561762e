//! A single router with its entry part and home together.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_coordination::entry_events::Arrival;
use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_coordination::entry_events::GiveUp;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::entry_events::StartAttempt;
use sedgeridge_coordination::node::Node;
use sedgeridge_coordination::node::NodeAction;
use sedgeridge_coordination::node::NodeEvent;
use sedgeridge_coordination::refusal::Outcome;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::RequestClass;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::load;

const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Drives one node and a pool of two endpoints that answer after [`SERVICE_TIME`].
struct OneRouter {
    node: Node,
    now: Duration,
    running_attempts: BTreeMap<(Duration, u64), StartAttempt>,
    max_running: usize,
    started_requests: Vec<RequestKey>,
    given_up: Vec<GiveUp>,
}

impl OneRouter {
    fn new() -> Self {
        let member = Member {
            host: "router-1".into(),
            incarnation: Incarnation(1_700_000_000_000_000),
        };
        let mut router = Self {
            node: Node::new(member, settings(), 7),
            now: Duration::ZERO,
            running_attempts: BTreeMap::new(),
            max_running: 0,
            started_requests: Vec::new(),
            given_up: Vec::new(),
        };
        router.advance(Duration::from_secs(1));
        router
    }

    fn event(&mut self, event: NodeEvent) {
        let mut actions = Vec::new();
        self.node.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                NodeAction::StartAttempt(start) => {
                    self.started_requests.push(start.key);
                    self.running_attempts
                        .insert((self.now + SERVICE_TIME, start.attempt.0), start);
                }
                NodeAction::GiveUp(give_up) => self.given_up.push(give_up),
                _ => {}
            }
        }
        self.max_running = self.max_running.max(self.running_attempts.len());
    }

    fn arrive(&mut self, key: u64, account: &str) {
        self.arrive_with(key, account, Duration::from_secs(60));
    }

    fn arrive_with(&mut self, key: u64, account: &str, time_left: Duration) {
        let arrival = Arrival {
            key: RequestKey(key),
            account: account.into(),
            pool: "desk".into(),
            class: RequestClass::Interactive,
            repeatable: true,
            hint_tokens: 10,
            prefix: None,
            fingerprint: Fingerprint(key.into()),
            deadline: self.now + time_left,
        };
        self.event(NodeEvent::RequestArrived {
            arrival,
            claim: None,
        });
    }

    fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        while self.now < end {
            self.now += Duration::from_millis(1);
            while let Some(entry) = self.running_attempts.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let start = entry.remove();
                self.event(NodeEvent::AttemptEnded {
                    key: start.key,
                    attempt: start.attempt,
                    end: AttemptEnd::Finished {
                        charged_tokens: 10,
                        first_byte: SERVICE_TIME,
                    },
                    recorded: None,
                });
            }
            self.event(NodeEvent::Tick);
        }
    }

    fn grant_count(&self) -> u64 {
        self.node.home_counters().map(|(_, c)| c.grants).sum()
    }
}

fn settings() -> Settings {
    let base = "\
[fleet]
name = one
[site.one]
region = r
[host.router-1]
site = one
caller_address = 127.0.0.1:1001
peer_address = 127.0.0.1:1002
operator_address = 127.0.0.1:1003
[pool.desk]
kind = model
[service.desk]
pool = desk
repeatable = yes
[endpoint.desk-1]
pool = desk
site = one
address = 127.0.0.1:1004
slots = 2
[endpoint.desk-2]
pool = desk
site = one
address = 127.0.0.1:1005
slots = 2
[account.large]
weight = 1
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000001
[account.small]
weight = 1
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000002
";
    load(base, "base.ini", None).expect("the settings are valid")
}

/// Guards against slow answers from a router that loops. A grant covers several short requests, and
/// the waiting requests it covers are withdrawn. When that was not reported, the home kept granting
/// slots for requests that were no longer there.
#[test]
fn a_grant_that_covers_what_waits_is_not_granted_again() {
    let mut router = OneRouter::new();
    for key in 0..200 {
        router.arrive(key, "large");
    }
    router.advance(Duration::from_secs(3));
    assert_eq!(router.started_requests.len(), 200);
    assert!(
        router.grant_count() <= 200,
        "{} grants",
        router.grant_count()
    );
}

/// Guards against requests that wait although slots are free. Each free slot must be used while
/// requests wait, also when one grant covers several requests.
#[test]
fn every_slot_is_used_while_work_waits() {
    let mut router = OneRouter::new();
    for key in 0..400 {
        router.arrive(key, "large");
    }
    let before = router.started_requests.len();
    router.advance(Duration::from_secs(1));
    let capacity_per_s = 4 * 1_000 / SERVICE_TIME.as_millis() as usize;
    let started = router.started_requests.len() - before;
    assert!(
        started * 100 >= capacity_per_s * 95,
        "{started} of {capacity_per_s} started"
    );
    assert!(router.max_running <= 4, "{} at once", router.max_running);
}

/// Guards against a small account that waits behind a flood although both have the same share. With
/// grants that cover many requests, the large account could keep every slot. Both must take turns.
#[test]
fn a_flood_does_not_keep_every_slot() {
    let mut router = OneRouter::new();
    for key in 0..1_000 {
        router.arrive(key, "large");
    }
    router.advance(Duration::from_secs(1));
    for key in 1_000..1_020 {
        router.arrive(key, "small");
    }
    router.advance(Duration::from_millis(700));
    let small = router
        .started_requests
        .iter()
        .filter(|key| key.0 >= 1_000)
        .count();
    assert_eq!(small, 20);
}

/// Guards against a request that starts too late to end before its deadline, so that its caller
/// gets half an answer or "may have run". Once the remaining time is shorter than any such request
/// takes, it must be given up unstarted, with "not run" and a retry time.
#[test]
fn a_request_that_cannot_end_in_time_is_not_started() {
    let mut router = OneRouter::new();
    for key in 0..40 {
        router.arrive(key, "large");
    }
    router.advance(Duration::from_secs(1));
    router.arrive_with(100, "large", SERVICE_TIME / 4);
    for key in 200..204 {
        router.arrive(key, "large");
    }
    router.advance(Duration::from_millis(15));
    router.arrive_with(101, "large", Duration::from_millis(12));
    router.advance(Duration::from_secs(1));
    assert!(!router.started_requests.contains(&RequestKey(100)));
    assert!(!router.started_requests.contains(&RequestKey(101)));
    assert_eq!(router.given_up.len(), 2);
    for give_up in &router.given_up {
        assert_eq!(give_up.outcome, Outcome::NotRun);
        assert!(give_up.retry_after.is_some());
    }
}
