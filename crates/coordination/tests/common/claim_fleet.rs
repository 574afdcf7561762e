//! Routers that write claims to one store, and a ledger of the requests that ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::claim_events::ClaimAction;
use sedgeridge_coordination::claim_events::ClaimEvent;
use sedgeridge_coordination::claim_events::ClaimOutcome;
use sedgeridge_coordination::claim_events::ClaimRefusal;
use sedgeridge_coordination::claim_events::ClaimRequest;
use sedgeridge_coordination::claim_events::ClaimSettings;
use sedgeridge_coordination::claims::Claims;
use sedgeridge_coordination::store_call::StoreAction;
use sedgeridge_state::claim_record::BodyHash;
use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::claim_record::RecordedBody;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::AttemptId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::RequestId;

use super::store::CallOutcome;
use super::store::Store;

/// Start time of every process of the fleet.
pub const STARTED_UNIX_MS: u64 = 1_800_000_000_000;

/// Result of a request at its router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    Dispatched,
    Replayed(RecordedAnswer),
    Refused(ClaimRefusal),
}

/// A router process.
#[derive(Debug)]
pub struct Router {
    pub member: Member,
    pub claims: Claims,
    pub calls: VecDeque<StoreAction>,
    pub running: VecDeque<RequestId>,
}

/// A request as its caller sent it.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub key: u32,
    pub body: u64,
    pub outcomes: Vec<RequestOutcome>,
}

/// Routers, their store and the ledger.
#[derive(Debug)]
pub struct ClaimFleet {
    pub now: Duration,
    pub store: Store,
    pub routers: Vec<Router>,
    pub sent: BTreeMap<RequestId, SentRequest>,
    /// Requests that ran or may have run, by key.
    pub ran_by_key: BTreeMap<u32, Vec<RequestId>>,
    /// Keys with a request whose outcome is unknown.
    pub unknown_outcome_keys: BTreeSet<u32>,
    /// Whether a router was killed and restarted without memory.
    pub has_restarted: bool,
    settings: ClaimSettings,
    next_id: u64,
}

impl ClaimFleet {
    pub fn new(routers: usize, settings: ClaimSettings) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            store: Store::default(),
            routers: Vec::new(),
            sent: BTreeMap::new(),
            ran_by_key: BTreeMap::new(),
            unknown_outcome_keys: BTreeSet::new(),
            has_restarted: false,
            settings,
            next_id: 0,
        };
        for index in 0..routers {
            let router = fleet.start(index, 1);
            fleet.routers.push(router);
        }
        fleet.announce_members();
        fleet
    }

    fn start(&self, index: usize, incarnation: u64) -> Router {
        let host = HostId::from(format!("router-{index}").as_str());
        Router {
            member: Member {
                host,
                incarnation: Incarnation(incarnation),
            },
            claims: Claims::new(self.settings.clone(), STARTED_UNIX_MS, index as u64),
            calls: VecDeque::new(),
            running: VecDeque::new(),
        }
    }

    /// Tells every router which members are alive.
    pub fn announce_members(&mut self) {
        let members: Vec<_> = self.routers.iter().map(|r| r.member.clone()).collect();
        for index in 0..self.routers.len() {
            self.event(index, ClaimEvent::Members(members.clone()));
        }
    }

    /// Sends a request with this key to a router, with body 0.
    pub fn claim_key(&mut self, router: usize, key: u32) -> RequestId {
        self.claim(router, key, 0)
    }

    /// Sends a request with this key and body to a router.
    pub fn claim(&mut self, router: usize, key: u32, body: u64) -> RequestId {
        self.next_id += 1;
        let request = RequestId::from(format!("request-{}", self.next_id).as_str());
        let sent = SentRequest {
            key,
            body,
            outcomes: Vec::new(),
        };
        self.sent.insert(request.clone(), sent);
        let attempt = AttemptId {
            member: self.routers[router].member.clone(),
            sequence: self.next_id,
        };
        let claim = ClaimRequest {
            request: request.clone(),
            account: AccountId::from("crew-07"),
            idempotency_key: Arc::from(format!("deposit-{key}")),
            body_hash: BodyHash(body),
            attempt,
        };
        self.event(router, ClaimEvent::Claim(claim));
        request
    }

    /// Passes an event to a router and executes the resulting actions.
    pub fn event(&mut self, router: usize, event: ClaimEvent) {
        let mut actions = Vec::new();
        let claims = &mut self.routers[router].claims;
        claims.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                ClaimAction::Store(call) => self.routers[router].calls.push_back(call),
                ClaimAction::Dispatch(request) => self.dispatch(router, request),
                ClaimAction::Replay { request, answer } => {
                    self.record_outcome(&request, RequestOutcome::Replayed(answer));
                }
                ClaimAction::Refuse {
                    request, reason, ..
                } => self.record_outcome(&request, RequestOutcome::Refused(reason)),
            }
        }
    }

    fn dispatch(&mut self, router: usize, request: RequestId) {
        self.record_outcome(&request, RequestOutcome::Dispatched);
        let key = self.sent[&request].key;
        self.ran_by_key
            .entry(key)
            .or_default()
            .push(request.clone());
        self.routers[router].running.push_back(request);
    }

    fn record_outcome(&mut self, request: &RequestId, outcome: RequestOutcome) {
        let sent = self.sent.get_mut(request).expect("a request that was sent");
        sent.outcomes.push(outcome);
    }

    /// Delivers the oldest call of a router to the store.
    pub fn deliver(&mut self, router: usize, call_outcome: CallOutcome) {
        if let Some(call) = self.routers[router].calls.pop_front() {
            let event = self.store.call(&call, call_outcome);
            self.event(router, ClaimEvent::Store(event));
        }
    }

    /// Ends the oldest dispatched request of a router: it ran (0), did not run (1) or may have run.
    pub fn finish(&mut self, router: usize, kind: u8) {
        let Some(request) = self.routers[router].running.pop_front() else {
            return;
        };
        let key = self.sent[&request].key;
        let outcome = match kind {
            0 => ClaimOutcome::Ran(answer_of(&request)),
            1 => {
                let ran = self.ran_by_key.entry(key).or_default();
                ran.retain(|r| *r != request);
                ClaimOutcome::NotRun
            }
            _ => {
                self.unknown_outcome_keys.insert(key);
                ClaimOutcome::Unknown
            }
        };
        self.event(router, ClaimEvent::Finished { request, outcome });
    }

    /// Kills a router and starts it again without memory. Its calls may still reach the store.
    pub fn restart(&mut self, router: usize) {
        for call in &self.routers[router].calls {
            self.store.delay_write(call);
        }
        let incarnation = self.routers[router].member.incarnation.0 + 1;
        self.has_restarted = true;
        self.routers[router] = self.start(router, incarnation);
        self.announce_members();
    }

    /// Advances the clock of all routers.
    pub fn advance(&mut self, by_ms: u64) {
        self.now += Duration::from_millis(by_ms);
        for index in 0..self.routers.len() {
            self.event(index, ClaimEvent::Tick);
        }
    }

    /// Runs with a store that answers every call until all requests and claims are settled.
    pub fn run_until_settled(&mut self) {
        for _ in 0..200 {
            self.advance(200);
            for index in 0..self.routers.len() {
                while !self.routers[index].calls.is_empty() {
                    self.deliver(index, CallOutcome::Answered);
                }
                while !self.routers[index].running.is_empty() {
                    self.finish(index, 0);
                }
            }
        }
    }

    pub fn outcomes_of(&self, request: &RequestId) -> &[RequestOutcome] {
        &self.sent[request].outcomes
    }

    /// Checks the invariants.
    pub fn check(&self) {
        for (key, ran) in &self.ran_by_key {
            assert!(ran.len() <= 1, "key {key} ran more than once: {ran:?}");
        }
        for (request, sent) in &self.sent {
            assert!(
                sent.outcomes.len() <= 1,
                "{request} has several outcomes: {:?}",
                sent.outcomes
            );
            if let Some(RequestOutcome::Replayed(answer)) = sent.outcomes.first() {
                self.check_replay(sent, answer);
            }
        }
    }

    fn check_replay(&self, sent: &SentRequest, answer: &RecordedAnswer) {
        let ran = &self.ran_by_key[&sent.key][0];
        assert_eq!(
            *answer,
            answer_of(ran),
            "replayed the answer of another request"
        );
        assert_eq!(
            sent.body, self.sent[ran].body,
            "replayed an answer for another body"
        );
    }
}

/// The answer that an endpoint gives to a request.
pub fn answer_of(request: &RequestId) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        body: RecordedBody::Inline(Arc::from(format!("charged\nfor {request}"))),
    }
}
