//! Prompt parts that a host remembers as cached by endpoints.

use std::time::Duration;

use sedgeridge_fleet::placement::CachedParts;
use sedgeridge_fleet::placement::MAX_REMEMBERED_PARTS;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::prompt::PromptPart;

const ENDPOINT: u64 = 7;

fn prompt(parts: impl IntoIterator<Item = u64>) -> Prompt {
    let parts: Vec<_> = parts
        .into_iter()
        .map(|id| PromptPart { id, tokens: 10 })
        .collect();
    Prompt {
        prompt_tokens: 10 * parts.len() as u32,
        max_output_tokens: 10,
        parts,
    }
}

/// Guards against a process that is killed at its memory limit with requests in progress. Callers name the parts of their
/// prompts: some hundred prompts a second with a thousand new parts each add up to millions of parts within the time for
/// which a part counts as cached.
#[test]
fn a_flood_of_new_parts_takes_no_more_than_the_bound() {
    let mut cached = CachedParts::default();
    let now = Duration::from_secs(1);
    for request in 0..300 {
        let first = request * 1_000;
        cached.note(now, ENDPOINT, &prompt(first..first + 1_000));
        assert!(cached.len() <= MAX_REMEMBERED_PARTS, "{}", cached.len());
    }
    // The newest are still known.
    let newest = prompt(299_000..300_000);
    assert_eq!(cached.unread_tokens(now, ENDPOINT, &newest, false), 0);
}

/// Guards against a flood of new parts that displaces a part in constant use.
#[test]
fn parts_in_use_outlast_a_flood_of_others() {
    let mut cached = CachedParts::default();
    let now = Duration::from_secs(1);
    let used = prompt([1]);
    for request in 1..300 {
        let first = request * 1_000;
        cached.note(now, ENDPOINT, &used);
        cached.note(now, ENDPOINT, &prompt(first..first + 1_000));
        assert_eq!(cached.unread_tokens(now, ENDPOINT, &used, false), 0);
    }
}

/// Guards against parts that count as cached by an endpoint after its restart. Those of other endpoints stay.
#[test]
fn a_restarted_endpoint_has_nothing_cached() {
    let mut cached = CachedParts::default();
    let now = Duration::from_secs(1);
    let prompt = prompt([1, 2]);
    cached.note(now, ENDPOINT, &prompt);
    cached.note(now, ENDPOINT + 1, &prompt);
    cached.forget_endpoint(ENDPOINT);
    assert_eq!(cached.unread_tokens(now, ENDPOINT, &prompt, false), 20);
    assert_eq!(cached.unread_tokens(now, ENDPOINT + 1, &prompt, false), 0);
}
