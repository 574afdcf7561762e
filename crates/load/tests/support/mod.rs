//! Constructed load plans and histories for tests.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use sedgeridge_load::history::CallRecord;
use sedgeridge_load::history::Ending;
use sedgeridge_load::history::History;
use sedgeridge_load::history::Outcome;
use sedgeridge_load::history::RunRecord;
use sedgeridge_load::history::Span;
use sedgeridge_load::plan::LoadPlan;
use serde_json::json;

/// Two endpoints with one slot each in pool `p`, accounts `a` and `b` (weight 2) and `c`.
pub fn plan() -> LoadPlan {
    let endpoint = |name| json!({"name": name, "pool": "p", "slots": 1, "address": "127.0.0.1:1"});
    let account = |name, weight| json!({"name": name, "key": "k", "weight": weight, "spread": "all", "demands": []});
    let plan = json!({
        "deployment": "test",
        "output_token_factor": 4,
        "routers": [],
        "endpoints": [endpoint("e1"), endpoint("e2")],
        "services": [{"name": "s", "pool": "p", "kind": "model", "repeatable": true}],
        "accounts": [account("a", 1), account("b", 2), account("c", 1)],
        "links": [],
        "table_address": "127.0.0.1:1",
    });
    serde_json::from_value(plan).expect("a load plan")
}

/// A call of account `a` that got its expected answer.
pub fn call(request_id: &str, work: u64) -> CallRecord {
    CallRecord {
        request_id: request_id.to_owned(),
        work,
        account: "a".to_owned(),
        service: "s".to_owned(),
        router: "router-1".to_owned(),
        idempotency_key: None,
        repeat: false,
        sent_at_us: 0,
        first_token_at_us: None,
        ended_at_us: 1_000,
        status: Some(200),
        outcome: Some(Outcome::Ran),
        reason: None,
        ending: Ending::Whole,
    }
}

/// A call that was refused.
pub fn refused(request_id: &str, work: u64, outcome: Outcome) -> CallRecord {
    CallRecord {
        status: Some(503),
        outcome: Some(outcome),
        ending: Ending::Refused,
        ..call(request_id, work)
    }
}

/// A run of account `a` on endpoint `e1`.
pub fn run(request_id: &str, start_us: u64, end_us: u64) -> RunRecord {
    RunRecord {
        request_id: request_id.to_owned(),
        account: "a".to_owned(),
        endpoint: "e1".to_owned(),
        started_at_us: start_us,
        ended_at_us: Some(end_us),
        input_charge_tokens: 0,
        output_charge_tokens: 0,
        idempotency_key: None,
    }
}

/// A history over the first 1,000 microseconds.
pub fn history(calls: Vec<CallRecord>, runs: Vec<RunRecord>) -> History {
    let all = Span::new(0, 1_000);
    History {
        calls,
        runs,
        sending: all,
        steady: all,
    }
}
