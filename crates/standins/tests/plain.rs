//! The plain service, called over HTTP.

mod common;

use std::thread;

use sedgeridge_protocol::headers;
use sedgeridge_protocol::ledger::RunOutcome;
use sedgeridge_standins::answer;
use sedgeridge_standins::configs::plain::PlainConfig;
use sedgeridge_standins::plain;

use common::agent;
use common::agent_with_timeout;
use common::eventually;
use common::load;
use common::post;
use common::runs;

fn config(slots: u32, service_ms: f64) -> PlainConfig {
    let mut config = PlainConfig {
        service_ms,
        ..PlainConfig::default()
    };
    config.endpoint.slots = slots;
    config
}

#[test]
fn each_call_runs_once_with_its_own_answer_and_charge() {
    let booking = plain::spawn(config(2, 1.0)).unwrap();
    thread::scope(|scope| {
        for caller in 0..20 {
            let booking = &booking;
            scope.spawn(move || {
                let body = format!("hold {caller}");
                let url = booking.url("/holds");
                let mut answer = post(&agent(), &url, &body).unwrap();
                let charged = answer::plain_charged_tokens("/holds", body.as_bytes());
                let header = &answer.headers()[headers::CHARGED_TOKENS];
                assert_eq!(*header, charged.to_string());
                let text = answer.body_mut().read_to_string().unwrap();
                assert_eq!(text, answer::plain_answer("/holds", body.as_bytes()));
            });
        }
    });
    let runs = runs(&booking);
    assert_eq!(runs.len(), 20);
    assert!(runs.iter().all(|run| run.outcome == RunOutcome::Finished));
}

#[test]
fn work_that_a_caller_left_is_still_on_the_ledger() {
    // The caller times out while the service works. The charge has begun, so the ledger keeps the
    // run; a check that counts only finished runs would miss a double charge.
    let booking = plain::spawn(config(1, 60_000.0)).unwrap();
    thread::scope(|scope| {
        let url = booking.url("/deposits");
        scope.spawn(move || {
            let timeout = std::time::Duration::from_millis(300);
            assert!(post(&agent_with_timeout(timeout), &url, "charge").is_err());
        });
    });
    eventually("the slot is free", || load(&booking).running == 0);
    let runs = runs(&booking);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].outcome, RunOutcome::Cancelled);
}
