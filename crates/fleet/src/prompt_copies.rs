//! Decides at how many endpoints the shared part of a prompt is kept, and computes the cost of reading it again.
//!
//! A prompt has two homes. A further copy is opened at the next endpoint of its order when requests would wait longer at the
//! endpoints that have one than the part takes to read again, and closed when that wait is gone.

use std::collections::HashMap;
use std::time::Duration;

use crate::home_ring::HOMES_PER_PROMPT;

/// Maximum number of endpoints that a host considers for one prompt key.
pub const MAX_COPIES: usize = 12;
/// Maximum number of keys with further copies that a host remembers.
pub const MAX_REMEMBERED_KEYS: usize = 4_096;
/// Minimum time between two openings of one key at one host: reports show by then what the last one changed.
const OPENING_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a copy is kept after it was last needed. Load varies within this time without a lasting change.
const CLOSING_DELAY: Duration = Duration::from_secs(1);
/// Fraction of the reading time of the shared part. A copy stays needed while the wait without it is longer than that; a
/// copy that is closed at the wait at which it is opened would be opened and closed again and again.
const CLOSING_RATIO: f64 = 0.5;

/// Returns the cost of reading shared tokens again beyond the reading time, in milliseconds.
///
/// Others wait for as long as the engine reads, and the tokens displace others from its memory. The engine reads those
/// again if it turns its memory over within the time for which parts stay in use.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::prompt_copies::reread_cost_ms;
///
/// let lifetime = Duration::from_secs(10);
/// assert_eq!(reread_cost_ms(1_000, 20.0, u64::MAX, lifetime).round(), 50.0);
/// assert_eq!(reread_cost_ms(1_000, 20.0, 200_000, lifetime), 100.0);
/// ```
pub fn reread_cost_ms(
    tokens: u32,
    tokens_per_ms: f64,
    memory_tokens: u64,
    lifetime: Duration,
) -> f64 {
    let reading_ms = f64::from(tokens) / tokens_per_ms;
    let readable_tokens = tokens_per_ms * lifetime.as_secs_f64() * 1_000.0;
    let displaced_ratio = (readable_tokens / memory_tokens.max(1) as f64).min(1.0);
    reading_ms * (1.0 + displaced_ratio)
}

/// A send of a prompt to one of the endpoints of its order.
#[derive(Debug, Clone, Copy)]
pub struct SentPrompt {
    /// Key of the prompt.
    pub key: u64,
    /// Position of the endpoint in the order of the key.
    pub rank: usize,
    /// Time in which the endpoint reads the shared part.
    pub reading_ms: f64,
    /// Shortest wait at the open endpoints other than the last one; infinite if none of them has free capacity.
    pub wait_without_last_ms: f64,
}

/// Keys whose prompts are kept at more endpoints than their homes, as far as this host knows.
///
/// Keys are kept in two generations, so that callers who choose them exceed no bound.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::prompt_copies::PromptCopies;
/// use sedgeridge_fleet::prompt_copies::SentPrompt;
///
/// let mut copies = PromptCopies::new(Duration::from_secs(10));
/// let third = SentPrompt { key: 7, rank: 2, reading_ms: 50.0, wait_without_last_ms: 80.0 };
/// copies.on_sent(Duration::from_secs(1), third);
/// assert_eq!(copies.open(Duration::from_secs(1), 7), 3);
/// assert_eq!(copies.open(Duration::from_secs(11), 7), 2);
/// ```
#[derive(Debug)]
pub struct PromptCopies {
    /// Time after the last send of a key for which its copies count.
    lifetime: Duration,
    younger: HashMap<u64, Copies>,
    older: HashMap<u64, Copies>,
    opened: u64,
    closed: u64,
}

#[derive(Debug, Clone, Copy)]
struct Copies {
    /// Number of endpoints, the homes included.
    open: usize,
    opened_at: Duration,
    /// When the last copy was last needed.
    needed_at: Duration,
    sent_at: Duration,
}

impl PromptCopies {
    /// Creates an empty table. Copies of a key that is not used for `lifetime` are forgotten.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            younger: HashMap::new(),
            older: HashMap::new(),
            opened: 0,
            closed: 0,
        }
    }

    /// Returns at how many endpoints of its order the prompts of a key are kept, the homes included.
    pub fn open(&self, now: Duration, key: u64) -> usize {
        self.get(now, key)
            .map_or(HOMES_PER_PROMPT, |copies| copies.open)
    }

    /// Tells whether a further copy may be opened now.
    pub fn may_open(&self, now: Duration, key: u64) -> bool {
        self.get(now, key).is_none_or(|copies| {
            copies.open < MAX_COPIES && now.saturating_sub(copies.opened_at) >= OPENING_INTERVAL
        })
    }

    /// Opens and closes copies after a send.
    pub fn on_sent(&mut self, now: Duration, sent: SentPrompt) {
        let known = self.get(now, sent.key);
        let open = known.map_or(HOMES_PER_PROMPT, |copies| copies.open);
        if sent.rank >= open {
            self.opened += (sent.rank + 1 - open) as u64;
            let copies = Copies {
                open: sent.rank + 1,
                opened_at: now,
                needed_at: now,
                sent_at: now,
            };
            self.put(sent.key, copies);
            return;
        }
        let Some(mut copies) = known else {
            return;
        };
        copies.sent_at = now;
        if sent.wait_without_last_ms > sent.reading_ms * CLOSING_RATIO {
            copies.needed_at = now;
        } else if now.saturating_sub(copies.needed_at) >= CLOSING_DELAY {
            self.closed += 1;
            copies.open -= 1;
            copies.needed_at = now;
        }
        match copies.open > HOMES_PER_PROMPT {
            true => self.put(sent.key, copies),
            false => self.remove(sent.key),
        }
    }

    /// Returns how many copies this host has opened since the start.
    pub fn opened(&self) -> u64 {
        self.opened
    }

    /// Returns how many copies this host has closed since the start. Those that were forgotten are not counted.
    pub fn closed(&self) -> u64 {
        self.closed
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.younger.len() + self.older.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn get(&self, now: Duration, key: u64) -> Option<Copies> {
        let copies = self.younger.get(&key).or_else(|| self.older.get(&key));
        let copies = copies.copied();
        copies.filter(|it| now.saturating_sub(it.sent_at) < self.lifetime)
    }

    fn put(&mut self, key: u64, copies: Copies) {
        if self.younger.len() >= MAX_REMEMBERED_KEYS / 2 && !self.younger.contains_key(&key) {
            self.older = std::mem::take(&mut self.younger);
        }
        self.older.remove(&key);
        self.younger.insert(key, copies);
    }

    fn remove(&mut self, key: u64) {
        self.younger.remove(&key);
        self.older.remove(&key);
    }
}
