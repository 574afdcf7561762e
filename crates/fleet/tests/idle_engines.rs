//! Engines with free capacity are used, also for accounts over their share.

mod support;

use std::collections::BTreeMap;

use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::verdict::Verdict;

use support::Host;
use support::engine_request;
use support::load_play::AccountLoad;
use support::load_play::Load;
use support::load_play::Prompts;
use support::load_play::Results;
use support::load_play::RetryPolicy;
use support::load_play::play;
use support::load_play::total;
use support::prompt;

const GREEDY: u64 = 1;
const MODEST: u64 = 2;

/// One account requests more than its share, of engines that could read twice as much.
fn calm_flood(seed: u64) -> Load {
    let modest = (MODEST..8).map(|account| AccountLoad::steady(account, 6));
    let greedy = AccountLoad::steady(GREEDY, 40);
    Load {
        hosts: 6,
        engines: 6,
        prompts: Prompts {
            subjects: 12,
            shared_tokens: 200,
            own_tokens: 800,
        },
        accounts: modest.chain([greedy]).collect(),
        length_ms: 10_000,
        retry_policy: RetryPolicy::AsTold,
        seed,
    }
}

/// Guards against requests that are refused while engines are idle.
#[test]
fn an_account_over_its_share_is_served_while_engines_have_room() {
    let mut greedy = Results::default();
    let mut modest = Results::default();
    for seed in 1..=3 {
        let mut got = play(calm_flood(seed));
        let of_greedy = got.remove(&GREEDY).expect("the account");
        greedy = sum(greedy, of_greedy);
        modest = sum(modest, total(&got));
    }
    assert!(modest.in_time_ratio() >= 0.98, "{modest:?}");
    assert!(greedy.in_time_ratio() >= 0.9, "{greedy:?}");
}

fn sum(one: Results, other: Results) -> Results {
    Results {
        requests: one.requests + other.requests,
        tries: one.tries + other.tries,
        in_time: one.in_time + other.in_time,
        late: one.late + other.late,
        refused: one.refused + other.refused,
    }
}

/// Guards against engines that stay unused in a flood: each refusal without a comparison of engines must not extend the
/// time for which the host takes engines for full.
#[test]
fn engines_that_become_idle_in_a_flood_are_used() {
    let mut host = Host::new(1);
    // The greedy account is over its share; the modest one requests less, and has one request on each engine.
    for subject in 0..60 {
        let (id, verdict) = host.arrive(0, engine_request(0, GREEDY, prompt(subject, 1_000)));
        assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
        end_all(&mut host, 0, &[id]);
    }
    let mut running = BTreeMap::new();
    for subject in 0..20 {
        if running.len() == 2 {
            break;
        }
        let prompt = prompt(subject, 9_000);
        let (id, verdict) = host.arrive(0, engine_request(0, MODEST, prompt));
        match verdict {
            Some(Verdict::Send(endpoint)) if !running.contains_key(&endpoint.key) => {
                running.insert(endpoint.key, id);
            }
            _ => {
                host.send(0, DispatchEvent::Abandoned(id));
            }
        }
    }
    assert_eq!(running.len(), 2, "each engine runs a request");
    let running: Vec<_> = running.into_values().collect();
    host.send(100, DispatchEvent::Tick);
    let mut sent = 0;
    for now in 100..200 {
        if now == 120 {
            end_all(&mut host, now, &running);
        }
        let (_, verdict) = host.arrive(now, engine_request(now, GREEDY, prompt(now, 100)));
        let is_sent = matches!(verdict, Some(Verdict::Send(_)));
        assert!(!is_sent || now >= 120, "sent to a busy engine at {now}");
        sent += u32::from(is_sent);
    }
    assert!(sent > 0, "nothing was sent while the engines were idle");
}

fn end_all(host: &mut Host, now: u64, running: &[RequestId]) {
    for id in running {
        host.send(now, DispatchEvent::FirstPiece(*id));
        host.send(now, DispatchEvent::Completed(*id));
    }
}
