//! Choice of engines for prompts with shared parts when engines are full or fail.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::prompt::PromptPart;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::Verdict;

use support::ENGINES;
use support::Host;
use support::endpoint;
use support::engine_request;

/// Slots of an engine.
const SLOTS: usize = 4;

fn host_with_six_engines(host: u64) -> Host {
    let mut host = Host::new(host);
    for number in 3..=6 {
        let engine = endpoint(ENGINES, &format!("desk-{number}"));
        host.send(0, DispatchEvent::EndpointListed(engine));
    }
    host
}

fn prompt(shared: u32, own: u32) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        prompt_tokens: shared + own,
        max_output_tokens: 10,
        parts: vec![part(5, shared), part(1_000 + u64::from(own), own)],
    }
}

fn send(host: &mut Host, now: u64, prompt: Prompt) -> Option<(RequestId, Arc<Endpoint>)> {
    let (id, verdict) = host.arrive(now, engine_request(now, 1, prompt));
    match verdict {
        Some(Verdict::Send(endpoint)) => Some((id, endpoint)),
        _ => None,
    }
}

/// Sends requests that differ only in their own parts; returns the number of requests on each engine.
fn spread(host: &mut Host, shared: u32, requests: u32) -> BTreeMap<String, usize> {
    let mut taken = BTreeMap::new();
    for own in 1..=requests {
        if let Some((_, endpoint)) = send(host, 0, prompt(shared, own)) {
            *taken.entry(endpoint.id.to_string()).or_default() += 1;
        }
    }
    taken
}

/// Guards against a long shared part that every engine reads: when the homes of a subject are full, its requests must wait
/// for one further copy or be refused, and not go to any engine with a free slot.
#[test]
fn a_burst_on_a_long_shared_part_opens_one_copy_at_a_time() {
    let taken = spread(&mut host_with_six_engines(1), 1_000, 20);
    assert_eq!(taken.len(), 3, "{taken:?}");
    assert!(taken.values().all(|requests| *requests <= SLOTS));
}

#[test]
fn a_short_shared_part_is_read_by_any_engine_with_a_free_slot() {
    let taken = spread(&mut host_with_six_engines(1), 100, 24);
    assert!(taken.len() > 4, "{taken:?}");
}

/// Lets a request at the home of a subject fail, so that the home counts as failing; returns the home.
fn fail_home(host: &mut Host, failure: Failure) -> Arc<Endpoint> {
    let (id, home) = send(host, 0, prompt(1_000, 1)).expect("a home");
    host.send(0, DispatchEvent::AttemptFailed(id, failure));
    host.send(0, DispatchEvent::Abandoned(id));
    home
}

/// Guards against a shared part that several engines read after its home became unreachable: all hosts have to send the
/// requests to the same other engine.
#[test]
fn requests_whose_home_is_lost_meet_at_one_other_engine() {
    let mut met = Vec::new();
    for host in 1..=3 {
        let mut host = host_with_six_engines(host);
        let home = fail_home(&mut host, Failure::NotConnected);
        for own in 10..12 {
            let (_, endpoint) = send(&mut host, 10, prompt(1_000, own)).expect("another engine");
            assert_ne!(endpoint.id, home.id);
            met.push(endpoint.id.clone());
        }
    }
    met.dedup();
    assert_eq!(met.len(), 1, "{met:?}");
}

/// Guards against requests that all fail because their home answers with errors: they have to move to another engine, and
/// back when the home is tried again some seconds later.
#[test]
fn prompts_leave_an_engine_that_fails_and_come_back() {
    let mut host = host_with_six_engines(1);
    let home = fail_home(&mut host, Failure::ServerError);
    for own in 10..20 {
        let Some((id, endpoint)) = send(&mut host, 10, prompt(1_000, own)) else {
            continue;
        };
        if endpoint.id == home.id {
            host.send(10, DispatchEvent::AttemptFailed(id, Failure::ServerError));
        }
        host.send(10, DispatchEvent::Abandoned(id));
    }
    let (id, elsewhere) = send(&mut host, 20, prompt(1_000, 30)).expect("another engine");
    assert_ne!(elsewhere.id, home.id);
    host.send(30, DispatchEvent::Completed(id));
    let (_, back) = send(&mut host, 8_000, prompt(1_000, 31)).expect("an engine");
    assert_eq!(back.id, home.id);
}

/// Guards against prompts that leave a home that is full for a moment: other engines would read their shared parts again.
#[test]
fn a_full_home_keeps_its_prompts() {
    let mut host = host_with_six_engines(1);
    let home = fail_home(&mut host, Failure::TurnedAway);
    let second = send(&mut host, 10, prompt(1_000, 10))
        .expect("the second home")
        .1;
    assert_ne!(second.id, home.id);
    for own in 11..14 {
        if let Some((_, endpoint)) = send(&mut host, 10, prompt(1_000, own)) {
            assert_eq!(endpoint.id, second.id, "neither of the homes");
        }
    }
    let (_, endpoint) = send(&mut host, 100, prompt(1_000, 20)).expect("the home");
    assert_eq!(endpoint.id, home.id);
}
