//! Continuous batching and the prefix cache, with simulated time.

use std::time::Duration;

use sedgeridge_standins::batch::Batch;
use sedgeridge_standins::batch::BatchConfig;
use sedgeridge_standins::batch::BatchEvent;
use sedgeridge_standins::batch::Job;
use sedgeridge_standins::prefix_cache::Prefix;
use sedgeridge_standins::prefix_cache::PrefixCache;

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

fn batch(slots: usize, prefill_ms: u64) -> Batch {
    Batch::new(BatchConfig {
        slots,
        step: ms(10),
        prefill_per_token: ms(prefill_ms),
        cache_tokens: 100,
    })
}

fn job(id: u64, input_tokens: u64, end_token: u64) -> Job {
    Job {
        id,
        input_tokens,
        prefixes: vec![Prefix {
            key: input_tokens,
            length_tokens: input_tokens,
        }],
        first_token: 0,
        end_token,
    }
}

fn started_ids(events: &[BatchEvent]) -> Vec<u64> {
    events
        .iter()
        .filter_map(|event| match event {
            BatchEvent::Started { id, .. } => Some(*id),
            _ => None,
        })
        .collect()
}

#[test]
fn running_jobs_share_each_step_and_the_rest_wait_in_order() {
    let mut batch = batch(2, 0);
    let mut events = Vec::new();
    for id in 0..4 {
        batch.submit(ms(0), job(id, 1, 2), &mut events);
    }
    assert_eq!(started_ids(&events), [0, 1]);
    assert_eq!((batch.running(), batch.waiting()), (2, 2));
    events.clear();
    batch.advance(ms(10), &mut events);
    let step = [0, 1].map(|id| BatchEvent::Token { id, position: 0 });
    assert_eq!(events, step);
    events.clear();
    batch.advance(ms(20), &mut events);
    assert!(events.contains(&BatchEvent::Finished { id: 0 }));
    assert_eq!(started_ids(&events), [2, 3]);
}

#[test]
fn a_late_wake_up_makes_all_steps_that_were_due() {
    let mut batch = batch(1, 0);
    let mut events = Vec::new();
    batch.submit(ms(0), job(0, 1, 3), &mut events);
    batch.submit(ms(0), job(1, 1, 3), &mut events);
    batch.advance(ms(60), &mut events);
    assert!(events.contains(&BatchEvent::Finished { id: 1 }));
    assert_eq!(batch.next_step(), None);
}

#[test]
fn uncached_input_delays_the_first_token_and_cached_input_does_not() {
    let mut batch = batch(1, 1);
    let mut events = Vec::new();
    batch.submit(ms(0), job(0, 30, 1), &mut events);
    batch.advance(ms(29), &mut events);
    assert_eq!(events.len(), 1, "{events:?}");
    batch.advance(ms(30), &mut events);
    assert!(events.contains(&BatchEvent::Finished { id: 0 }));
    events.clear();
    batch.submit(ms(30), job(1, 30, 1), &mut events);
    let cached = BatchEvent::Started {
        id: 1,
        cached_tokens: 30,
    };
    assert_eq!(events, [cached]);
    batch.advance(ms(40), &mut events);
    assert!(events.contains(&BatchEvent::Finished { id: 1 }));
}

#[test]
fn a_cancelled_job_frees_its_slot_at_once() {
    let mut batch = batch(1, 0);
    let mut events = Vec::new();
    batch.submit(ms(0), job(0, 1, 100), &mut events);
    batch.submit(ms(0), job(1, 1, 100), &mut events);
    batch.submit(ms(0), job(2, 1, 100), &mut events);
    batch.cancel(ms(5), 1, &mut events);
    batch.cancel(ms(5), 0, &mut events);
    assert_eq!(started_ids(&events), [0, 2]);
    batch.cancel(ms(5), 2, &mut events);
    assert_eq!(batch.next_step(), None);
}

#[test]
fn a_resumed_job_starts_at_its_first_token() {
    let mut batch = batch(1, 0);
    let mut events = Vec::new();
    let resumed = Job {
        first_token: 7,
        ..job(0, 1, 9)
    };
    batch.submit(ms(0), resumed, &mut events);
    batch.advance(ms(20), &mut events);
    let tokens: Vec<u64> = events
        .iter()
        .filter_map(|event| match event {
            BatchEvent::Token { position, .. } => Some(*position),
            _ => None,
        })
        .collect();
    assert_eq!(tokens, [7, 8]);
}

fn prompt(lengths: &[(u64, u64)]) -> Vec<Prefix> {
    lengths
        .iter()
        .map(|(key, length_tokens)| Prefix {
            key: *key,
            length_tokens: *length_tokens,
        })
        .collect()
}

#[test]
fn the_cache_finds_the_longest_shared_prefix() {
    let mut cache = PrefixCache::new(100);
    assert_eq!(cache.use_prompt(&prompt(&[(1, 10), (2, 30)])), 0);
    assert_eq!(cache.use_prompt(&prompt(&[(1, 10), (3, 50)])), 10);
    assert_eq!(cache.use_prompt(&prompt(&[(1, 10), (2, 30)])), 30);
    assert_eq!(cache.held_tokens(), 70);
}

#[test]
fn the_cache_stays_within_its_capacity_and_forgets_the_oldest() {
    let mut cache = PrefixCache::new(25);
    for key in 1..=3 {
        cache.use_prompt(&prompt(&[(key, 10)]));
    }
    assert_eq!(cache.held_tokens(), 20);
    assert_eq!(cache.use_prompt(&prompt(&[(1, 10)])), 0);
    assert_eq!(cache.use_prompt(&prompt(&[(3, 10)])), 10);
    assert_eq!(cache.use_prompt(&prompt(&[(9, 26)])), 0);
    assert!(cache.held_tokens() <= 25);
}
