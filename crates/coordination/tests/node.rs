//! One router by itself: entry part and home together.

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

const RUN: Duration = Duration::from_millis(20);

/// Drives one node and a pool of two endpoints that answer after [`RUN`].
struct OneRouter {
    node: Node,
    now: Duration,
    due: BTreeMap<(Duration, u64), StartAttempt>,
    running_at_most: usize,
    started: Vec<RequestKey>,
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
            due: BTreeMap::new(),
            running_at_most: 0,
            started: Vec::new(),
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
                    self.started.push(start.key);
                    self.due.insert((self.now + RUN, start.attempt.0), start);
                }
                NodeAction::GiveUp(give_up) => self.given_up.push(give_up),
                _ => {}
            }
        }
        self.running_at_most = self.running_at_most.max(self.due.len());
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
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let start = entry.remove();
                self.event(NodeEvent::AttemptEnded {
                    key: start.key,
                    attempt: start.attempt,
                    end: AttemptEnd::Finished {
                        charged_tokens: 10,
                        first_byte: RUN,
                    },
                    recorded: None,
                });
            }
            self.event(NodeEvent::Tick);
        }
    }

    fn grants(&self) -> u64 {
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

/// The caller sees slow answers from the whole fleet: the router spins. A grant covers several
/// short requests, so the waiting ones it covers are withdrawn; when that was not reported, the
/// home granted a slot again and again for requests that were no longer there.
#[test]
fn a_grant_that_covers_what_waits_is_not_granted_again() {
    let mut router = OneRouter::new();
    for key in 0..200 {
        router.arrive(key, "large");
    }
    router.advance(Duration::from_secs(3));
    assert_eq!(router.started.len(), 200);
    assert!(router.grants() <= 200, "{} grants", router.grants());
}

/// A caller's requests wait although slots are free. Each free slot must be used while work waits,
/// also when one grant covers several requests.
#[test]
fn every_slot_is_used_while_work_waits() {
    let mut router = OneRouter::new();
    for key in 0..400 {
        router.arrive(key, "large");
    }
    let before = router.started.len();
    router.advance(Duration::from_secs(1));
    let in_a_second = 4 * 1_000 / RUN.as_millis() as usize;
    let started = router.started.len() - before;
    assert!(
        started * 100 >= in_a_second * 95,
        "{started} of {in_a_second} started"
    );
    assert!(
        router.running_at_most <= 4,
        "{} at once",
        router.running_at_most
    );
}

/// A small account waits behind a flood although both are entitled to the same share. With grants
/// that cover many requests, the large one could keep every slot; it must get them in turn.
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
    let small = router.started.iter().filter(|key| key.0 >= 1_000).count();
    assert_eq!(small, 20);
}

/// A caller with a near deadline gets half an answer, or is told that its request may have run: the
/// request waited until a slot was free, and what was left was less than any such request takes. It
/// must be given up unstarted, with "not run" and a time to come back.
#[test]
fn a_request_that_cannot_end_in_time_is_not_started() {
    let mut router = OneRouter::new();
    for key in 0..40 {
        router.arrive(key, "large");
    }
    router.advance(Duration::from_secs(1));
    router.arrive_with(100, "large", RUN / 4);
    for key in 200..204 {
        router.arrive(key, "large");
    }
    router.advance(Duration::from_millis(15));
    router.arrive_with(101, "large", Duration::from_millis(12));
    router.advance(Duration::from_secs(1));
    assert!(!router.started.contains(&RequestKey(100)));
    assert!(!router.started.contains(&RequestKey(101)));
    assert_eq!(router.given_up.len(), 2);
    for give_up in &router.given_up {
        assert_eq!(give_up.outcome, Outcome::NotRun);
        assert!(give_up.retry_after.is_some());
    }
}
