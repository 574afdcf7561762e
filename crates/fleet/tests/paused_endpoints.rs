//! Tests for endpoints that refuse requests and ask for a pause.

mod support;

use std::sync::Arc;

use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::RefusalReason;
use sedgeridge_fleet::verdict::Verdict;
use yare::parameterized;

use support::ENGINES;
use support::Host;
use support::PLAIN;
use support::at;
use support::endpoint;
use support::engine_request;
use support::load_play::AccountLoad;
use support::load_play::Load;
use support::load_play::Prompts;
use support::load_play::RetryPolicy;
use support::load_play::TurningAway;
use support::load_play::play;
use support::load_play::play_turned_away;
use support::load_play::total;
use support::plain_request;
use support::prompt;

const PAUSE_MS: u64 = 3_000;
/// Requests that may reach an endpoint during a pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;
/// Time in which requests still arrive that were on their way when the endpoint asked for a pause.
const MAX_DELIVERY_MS: u64 = 500;

fn pause(host: &mut Host, now_ms: u64, service: &str, name: &str, pause_ms: u64) {
    let endpoint = Arc::new(endpoint(service, name));
    let paused = DispatchEvent::EndpointPaused(endpoint, at(pause_ms));
    host.send(now_ms, paused);
}

fn sent_to(verdict: Option<Verdict>) -> Arc<Endpoint> {
    match verdict {
        Some(Verdict::Send(endpoint)) => endpoint,
        other => panic!("expected a send, got {other:?}"),
    }
}

/// Nine engines, a third of which may refuse requests, and a load that the other six can take.
fn load(hosts: usize, seed: u64) -> Load {
    Load {
        hosts,
        engines: 9,
        prompts: Prompts {
            subjects: 60,
            shared_tokens: 1_000,
            own_tokens: 300,
        },
        accounts: (1..=8).map(|it| AccountLoad::steady(it, 20)).collect(),
        length_ms: 15_000,
        retry_policy: RetryPolicy::AsTold,
        seed,
    }
}

const REFUSING: TurningAway = TurningAway {
    engines: 3,
    from_ms: 3_000,
    to_ms: 12_000,
    pause_ms: PAUSE_MS,
};

/// Guards against requests to endpoints during the pauses that they asked for, and against refused
/// callers although other endpoints have room.
#[parameterized(
    hosts_of_6 = { 6 },
    hosts_of_30 = { 30 },
)]
fn a_fleet_keeps_pauses_and_serves_its_callers(hosts: usize) {
    for seed in 1..=3 {
        let calm = total(&play(load(hosts, seed)));
        let (got, away) = play_turned_away(load(hosts, seed), REFUSING);
        let got = total(&got);
        for (who, arrived) in &away.arrived {
            for asked_at in arrived {
                let pause = asked_at + MAX_DELIVERY_MS..asked_at + PAUSE_MS;
                let count = arrived.iter().filter(|at| pause.contains(at)).count();
                assert!(
                    count <= MAX_REQUESTS_IN_PAUSE,
                    "{who:?}: {count} after {asked_at}"
                );
            }
        }
        println!("seed {seed}: calm {calm:?}, away {got:?}");
        assert!(
            got.answered_ratio() >= 0.98 * calm.answered_ratio(),
            "{got:?}"
        );
    }
}

/// Guards against a pause that ends when the endpoint's entry lapses and comes back while the store
/// is unavailable.
#[test]
fn a_pause_outlives_the_entry() {
    let mut host = Host::new(1);
    let paused = endpoint(PLAIN, "booking-1");
    pause(&mut host, 0, PLAIN, "booking-1", PAUSE_MS);
    host.send(10, DispatchEvent::EndpointGone(Arc::new(paused.clone())));
    host.send(20, DispatchEvent::EndpointListed(paused.clone()));
    host.send(
        30,
        DispatchEvent::EndpointGone(Arc::new(endpoint(PLAIN, "booking-2"))),
    );
    let (_, verdict) = host.arrive(40, plain_request(40, Repeat::Idempotent));
    assert!(
        matches!(verdict, Some(Verdict::Refuse { .. })),
        "{verdict:?}"
    );
    let (_, verdict) = host.arrive(PAUSE_MS, plain_request(PAUSE_MS, Repeat::Idempotent));
    assert_eq!(sent_to(verdict).key, paused.key);
}

/// Guards against callers that wait, or are told to come back too soon, while no endpoint takes
/// requests.
#[test]
fn callers_are_refused_until_the_first_pause_ends_while_all_endpoints_pause() {
    let mut host = Host::new(1);
    pause(&mut host, 0, PLAIN, "booking-1", 1_500);
    pause(&mut host, 0, PLAIN, "booking-2", 900);
    match host.arrive(100, plain_request(100, Repeat::Idempotent)).1 {
        Some(Verdict::Refuse {
            reason: RefusalReason::NoEndpoint,
            retry_after,
            ..
        }) => assert!(
            (at(800)..at(1_200)).contains(&retry_after),
            "{retry_after:?}"
        ),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against refused callers although an endpoint's short pause ends while they may still
/// wait.
#[test]
fn a_caller_waits_for_a_pause_that_ends_in_its_time() {
    let mut host = Host::new(1);
    pause(&mut host, 0, PLAIN, "booking-1", 50);
    pause(&mut host, 0, PLAIN, "booking-2", 900);
    let (id, verdict) = host.arrive(10, plain_request(10, Repeat::Idempotent));
    assert_eq!(verdict, None);
    let (sent_at, verdict) = host.wait(10, id).expect("a verdict");
    assert_eq!(sent_to(Some(verdict)).id.as_str(), "booking-1");
    assert!((50..=75).contains(&sent_at), "{sent_at}");
}

/// Guards against callers who all come back at the moment when the endpoints take requests again.
#[test]
fn callers_who_are_refused_in_a_pause_come_back_spread_out() {
    let mut host = Host::new(1);
    for name in ["booking-1", "booking-2"] {
        pause(&mut host, 0, PLAIN, name, 1_000);
    }
    let returns = (0..100).map(|number| {
        let now_ms = number * 8;
        match host
            .arrive(now_ms, plain_request(now_ms, Repeat::Idempotent))
            .1
        {
            Some(Verdict::Refuse { retry_after, .. }) => now_ms + retry_after.as_millis() as u64,
            other => panic!("expected a refusal, got {other:?}"),
        }
    });
    let returns: Vec<_> = returns.collect();
    assert!(returns.iter().all(|at| *at >= 1_000), "{returns:?}");
    let count_from = |from| {
        returns
            .iter()
            .filter(|at| (from..from + 50).contains(*at))
            .count()
    };
    let most = (1_000..1_500).map(count_from).max();
    assert!(most < Some(50), "{most:?} of 100 within 50 ms");
}

/// Guards against a refused caller that is told to come back before any endpoint takes requests.
#[test]
fn the_last_refusal_of_an_endpoint_tells_when_to_come_back() {
    let mut host = Host::new(1);
    let (id, _) = host.arrive(0, plain_request(0, Repeat::AtMostOnce));
    for name in ["booking-1", "booking-2"] {
        pause(&mut host, 10, PLAIN, name, 1_200);
    }
    let failed = DispatchEvent::AttemptFailed(id, Failure::TurnedAway);
    match support::verdict_of(id, host.send(10, failed)) {
        Some(Verdict::Refuse { retry_after, .. }) => assert!(retry_after >= at(1_200)),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against unserved prompts because all engines that usually read them pause.
#[test]
fn a_prompt_is_read_elsewhere_while_its_usual_engine_pauses() {
    let mut host = Host::new(1);
    for now_ms in [0, 1_000] {
        let (id, verdict) = host.arrive(now_ms, engine_request(now_ms, 1, prompt(5, 100)));
        let usual = sent_to(verdict);
        host.send(now_ms + 20, DispatchEvent::FirstPiece(id));
        host.send(now_ms + 40, DispatchEvent::Completed(id));
        pause(&mut host, now_ms + 50, ENGINES, usual.id.as_str(), 800);
        let now_ms = now_ms + 60;
        let (_, verdict) = host.arrive(now_ms, engine_request(now_ms, 1, prompt(5, 200)));
        assert_ne!(sent_to(verdict).key, usual.key);
    }
}
