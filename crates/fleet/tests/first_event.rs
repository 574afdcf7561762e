//! Prediction of the time to the first event, with a long and a short fixed part, slow engines and slow spells.

mod support;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::first_event::FirstEvent;
use sedgeridge_fleet::first_event::FirstEventModel;
use sedgeridge_fleet::verdict::Verdict;

use support::Host;
use support::engine_request;
use support::load_play::AccountLoad;
use support::load_play::Conditions;
use support::load_play::Load;
use support::load_play::Prompts;
use support::load_play::Results;
use support::load_play::RetryPolicy;
use support::load_play::play_under;
use support::load_play::total;
use support::prompt;

const ENGINES: u64 = 20;
const GREEDY: u64 = 1;
const HALF_SPEED_EVERY: u64 = 4;
const TOKENS_PER_MS: f64 = 140.0;

/// Learns from prompts of several lengths on all engines; `percent` gives the work time of each.
fn model(fixed_ms: f64, percent: impl Fn(u64) -> f64) -> FirstEventModel {
    let mut model = FirstEventModel::default();
    model.expect(2.0);
    let mut random = SeededRandom::new(1);
    for number in 0..2_000_u64 {
        let endpoint = random.below(ENGINES);
        let own_tokens = [600.0, 1_800.0, 9_000.0][number as usize % 3];
        let usual_ms = fixed_ms + own_tokens / TOKENS_PER_MS + random.below(6) as f64;
        let after = Duration::from_secs_f64(usual_ms * percent(endpoint) / 100_000.0);
        model.observe(
            endpoint,
            FirstEvent {
                tokens_ahead: 0.0,
                own_tokens,
                after,
                slowdown: 1.0,
            },
        );
    }
    model
}

fn assert_between(value: f64, range: RangeInclusive<f64>) {
    assert!(range.contains(&value), "{value} not in {range:?}");
}

/// Guards against the fixed part of a first event being taken for reading, which makes engines look ten times too slow.
#[test]
fn a_long_fixed_part_is_told_from_reading() {
    let model = model(50.0, |_| 100.0);
    assert_between(model.fixed_ms(), 45.0..=56.0);
    assert_between(model.tokens_per_ms(1), 95.0..=170.0);
    assert_between(model.first_event_ms(1, 600.0), 50.0..=62.0);
}

/// Guards against reading being taken for a fixed part where there is nearly none.
#[test]
fn a_short_fixed_part_stays_at_its_bound() {
    let model = model(4.0, |_| 100.0);
    assert_between(model.fixed_ms(), 12.0..=14.0);
    assert_between(model.tokens_per_ms(1), 95.0..=250.0);
}

/// Guards against slow engines that look as fast as others, or ten times slower than they are.
#[test]
fn engines_at_half_speed_are_told_from_others() {
    let half_speed = |engine| match engine % HALF_SPEED_EVERY {
        0 => 200.0,
        _ => 100.0,
    };
    let model = model(50.0, half_speed);
    for engine in 0..ENGINES {
        let took = (50.0 + 1_800.0 / TOKENS_PER_MS) * half_speed(engine) / 100.0;
        let expected = model.first_event_ms(engine, 1_800.0);
        assert_between(expected, took * 0.75..=took * 1.25);
    }
}

/// Guards against an engine that is avoided because of one late answer.
#[test]
fn one_late_answer_teaches_little() {
    let mut model = model(50.0, |_| 100.0);
    let before = model.first_event_ms(1, 1_800.0);
    let late = FirstEvent {
        tokens_ahead: 0.0,
        own_tokens: 1_800.0,
        after: Duration::from_secs(30),
        slowdown: 1.0,
    };
    model.observe(1, late);
    assert_between(model.first_event_ms(1, 1_800.0), before..=before * 1.2);
}

/// Guards against a slow spell that teaches a slow speed although the engine stated it.
#[test]
fn a_stated_slow_spell_teaches_nothing() {
    let mut model = model(50.0, |_| 100.0);
    let before = model.first_event_ms(1, 1_800.0);
    for _ in 0..50 {
        let slow = FirstEvent {
            tokens_ahead: 0.0,
            own_tokens: 1_800.0,
            after: Duration::from_secs_f64(before * 2.5 / 1_000.0),
            slowdown: 2.5,
        };
        model.observe(1, slow);
    }
    assert_between(
        model.first_event_ms(1, 1_800.0),
        before * 0.9..=before * 1.1,
    );
}

/// Guards against a queue that teaches a long fixed part, by which still more would be sent to engines that are behind.
#[test]
fn answers_behind_a_backlog_teach_no_fixed_part() {
    let mut model = model(4.0, |_| 100.0);
    for _ in 0..200 {
        let queued = FirstEvent {
            tokens_ahead: 1_000.0,
            own_tokens: 600.0,
            after: Duration::from_millis(100),
            slowdown: 1.0,
        };
        model.observe(1, queued);
    }
    assert_between(model.fixed_ms(), 12.0..=14.0);
}

/// One account requests far more than its share of the stated throughput; engines could read more than twice as much.
fn flood(seed: u64, greedy_per_s: u64) -> Load {
    let modest = (2..12).map(|account| AccountLoad::steady(account, 10));
    let greedy = AccountLoad::steady(GREEDY, greedy_per_s);
    Load {
        hosts: 4,
        engines: ENGINES as usize,
        prompts: Prompts {
            subjects: 60,
            shared_tokens: 200,
            own_tokens: 700,
        },
        accounts: modest.chain([greedy]).collect(),
        length_ms: 6_000,
        retry_policy: RetryPolicy::AsTold,
        seed,
    }
}

fn conditions() -> Conditions {
    Conditions {
        tokens_per_ms: TOKENS_PER_MS as u64,
        first_event_ms: 50,
        long_prompt_every: Some(5),
        ..Conditions::default()
    }
}

fn modest(mut got: BTreeMap<u64, Results>) -> Results {
    got.remove(&GREEDY);
    total(&got)
}

/// Guards against requests that are refused while engines are idle, since the fixed part of a first event is counted as
/// backlog.
#[test]
fn requests_are_not_refused_while_engines_with_a_long_fixed_part_are_idle() {
    for seed in 1..=3 {
        let (got, _) = play_under(flood(seed, 400), conditions());
        let greedy = got[&GREEDY];
        assert!(greedy.tries_per_request() <= 1.05, "{greedy:?}");
        assert!(greedy.in_time_ratio() >= 0.97, "{greedy:?}");
        let modest = modest(got);
        assert!(modest.in_time_ratio() >= 0.97, "{modest:?}");
    }
}

/// Guards against slow engines that get as much as others, or nothing.
#[test]
fn engines_at_half_speed_get_about_half_of_the_work() {
    let conditions = Conditions {
        half_speed_every: Some(HALF_SPEED_EVERY),
        ..conditions()
    };
    for seed in 1..=3 {
        let (got, requests) = play_under(flood(seed, 300), conditions);
        let is_slow = |engine: &u64| engine.is_multiple_of(HALF_SPEED_EVERY);
        let slow = requests.iter().filter(|(engine, _)| is_slow(engine));
        let slow: u64 = slow.map(|(_, requests)| requests).sum();
        let all: u64 = requests.values().sum();
        let of_a_slow_one = slow as f64 / (ENGINES / HALF_SPEED_EVERY) as f64;
        let fast_ones = ENGINES - ENGINES / HALF_SPEED_EVERY;
        let of_a_fast_one = (all - slow) as f64 / fast_ones as f64;
        assert_between(of_a_slow_one / of_a_fast_one, 0.25..=0.8);
        let got = total(&got);
        assert!(got.in_time_ratio() >= 0.9, "{got:?}");
    }
}

/// Guards against engines that are left for good because of slow spells, and against callers who wait for one.
#[test]
fn engines_in_slow_spells_are_avoided_for_a_moment_only() {
    let conditions = Conditions {
        has_slow_spells: true,
        ..conditions()
    };
    for seed in 1..=3 {
        let (got, requests) = play_under(flood(seed, 400), conditions);
        let got = total(&got);
        assert!(got.in_time_ratio() >= 0.95, "{got:?}");
        let mean = requests.values().sum::<u64>() / ENGINES;
        let least = requests.values().min().copied().unwrap_or_default();
        assert!(least * 3 >= mean, "{requests:?}");
    }
}

/// Guards against an engine that looks idle because it never answers.
#[test]
fn an_engine_that_does_not_answer_keeps_its_backlog() {
    let mut host = Host::new(1);
    for subject in 0..200 {
        let own_tokens = [100, 9_000][subject as usize % 2];
        let arrival = engine_request(subject * 1_000, 2, prompt(subject, own_tokens));
        let (id, _) = host.arrive(subject * 1_000, arrival);
        host.send(subject * 1_000 + 60, DispatchEvent::FirstPiece(id));
        host.send(subject * 1_000 + 70, DispatchEvent::Completed(id));
    }
    let start = 300_000;
    let arrival = engine_request(start, 1, prompt(1_000, 9_000));
    let (_, verdict) = host.arrive(start, arrival);
    let Some(Verdict::Send(engine)) = verdict else {
        panic!("not sent: {verdict:?}");
    };
    let unread_at = |host: &mut Host, now| {
        host.send(now, DispatchEvent::Tick);
        host.dispatcher.endpoint_load(engine.key).unread_tokens
    };
    let unread = unread_at(&mut host, start + 1);
    assert!(unread >= 9_000, "{unread}");
    let counted: Vec<_> = (start + 2..start + 20_000)
        .map(|now| unread_at(&mut host, now))
        .collect();
    assert!(
        counted.contains(&0),
        "the prompt counts as read for a while"
    );
    assert_eq!(counted.last(), Some(&unread));
}
