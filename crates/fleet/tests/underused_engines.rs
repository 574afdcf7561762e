//! Engines that are far faster than the stated throughput, of which a large fleet uses a small part.

mod support;

use sedgeridge_fleet::config::FleetConfig;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::verdict::Verdict;

use support::ENGINES;
use support::Host;
use support::at;
use support::config;
use support::endpoint;
use support::engine_request;
use support::prompt;

const ENGINE_COUNT: u64 = 300;
/// Throughput that the operator states for all engines together: a hundredth of what they read.
const STATED_TOKENS_PER_S: f64 = 300_000.0;
const TOKENS_PER_MS: u64 = 100;
/// Account that requests most of what the fleet gets.
const GREEDY_ACCOUNT: u64 = 7;

/// A host that has sent prompts to many of the engines.
fn host() -> Host {
    let mut host = Host::new(1);
    let mut config = FleetConfig::clone(&config());
    config.limits.tokens_per_s = Some(STATED_TOKENS_PER_S);
    host.send(0, DispatchEvent::Configured(config.into()));
    for number in 0..ENGINE_COUNT {
        let engine = endpoint(ENGINES, &format!("engine-{number}"));
        host.send(0, DispatchEvent::EndpointListed(engine));
    }
    for subject in 0..40 {
        let now = subject * 200;
        let (id, verdict) = host.arrive(now, engine_request(now, 1, prompt(subject, 9_000)));
        assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
        host.send(now + 10_000 / TOKENS_PER_MS, DispatchEvent::FirstPiece(id));
        host.send(now + 150, DispatchEvent::Completed(id));
    }
    host.send(8_000, DispatchEvent::Tick);
    host
}

/// Guards against prompts that wait or are refused because an engine is taken for a hundred times slower than it is: the
/// throughput that is stated for a large fleet says little about one engine.
#[test]
fn a_second_prompt_goes_to_an_engine_that_reads_another_one() {
    let mut host = host();
    let now = 8_000;
    for subject in 100..120 {
        for _ in 0..2 {
            let arrival = engine_request(now, 2, prompt(subject, 2_000));
            let (_, verdict) = host.arrive(now, arrival);
            assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
        }
    }
}

/// Guards against refusals while nearly all engines are idle. An account is far over its share of the stated throughput;
/// its prompts about one subject meet at its homes, which read one after another, and no other account waits for them.
#[test]
fn an_account_over_its_share_is_served_by_idle_engines() {
    let mut host = host();
    let now = 8_000;
    for subject in 200..400 {
        let (id, verdict) = host.arrive(
            now,
            engine_request(now, GREEDY_ACCOUNT, prompt(subject, 9_000)),
        );
        assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
        host.send(now, DispatchEvent::FirstPiece(id));
        host.send(now, DispatchEvent::Completed(id));
    }
    // Other hosts could not serve two accounts, whose tokens count as requested.
    host.dispatcher.on_shed(at(now), 3, 1_000_000.0);
    host.dispatcher.on_shed(at(now), 4, 1_000_000.0);
    host.send(now + 50, DispatchEvent::Tick);
    assert!(host.dispatcher.is_over_share(GREEDY_ACCOUNT));
    for subject in 500..520 {
        for _ in 0..2 {
            let arrival = engine_request(now + 50, GREEDY_ACCOUNT, prompt(subject, 2_000));
            let (_, verdict) = host.arrive(now + 50, arrival);
            assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
        }
    }
}
