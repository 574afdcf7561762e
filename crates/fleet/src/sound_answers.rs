//! Answers that show that their requests, or parts of their prompts, don't crash endpoints: that of a part once it has gone
//! on for long enough, that of a whole request once it is complete.

use std::collections::VecDeque;
use std::time::Duration;

use nohash_hasher::IntMap;

use crate::arrival::RequestId;
use crate::attempt_progress::CRASH_TIME;
use crate::attempt_progress::SOUND_ANSWER_TIME;
use crate::suspect::Suspect;

/// Maximum number of answers that are followed at the same time.
const MAX_FOLLOWED: usize = 8_192;
/// Maximum number of keys in each of the two generations of [`RecentlySound`].
const MAX_KEYS: usize = 4_096;
/// Time for which a generation takes in keys.
const GENERATION_TIME: Duration = Duration::from_secs(10);

/// An answer of which the first piece has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BegunAnswer {
    /// The request.
    pub request: RequestId,
    /// Key of the endpoint's run.
    pub endpoint: u64,
    /// When the request was sent.
    pub sent_at: Duration,
    /// When the first piece arrived.
    pub begun_at: Duration,
    /// Parts of the prompt that are suspects if the endpoint crashes.
    pub parts: Vec<Suspect>,
    /// The whole request, if its content is known.
    pub whole: Option<Suspect>,
}

/// Answers that have begun, complete or not.
#[derive(Debug, Default)]
pub struct SoundAnswers {
    followed: VecDeque<BegunAnswer>,
    parts: RecentlySound,
    requests: RecentlySound,
    /// Whole requests whose answers have gone on for long enough to be less likely the cause of a crash.
    long_requests: RecentlySound,
}

impl SoundAnswers {
    /// Follows an answer that begins now. If there are too many, the oldest one proves nothing.
    pub fn follow(&mut self, answer: BegunAnswer) {
        if self.followed.len() >= MAX_FOLLOWED {
            self.followed.pop_front();
        }
        self.followed.push_back(answer);
    }

    /// Stops to follow a request's answers. Its caller has left, or the answer failed without a lost connection.
    pub fn withdraw(&mut self, request: RequestId) {
        self.followed.retain(|answer| answer.request != request);
    }

    /// Takes the answers of an endpoint whose connection was lost. Those that began a moment ago are returned; others that
    /// have not gone on for long enough prove nothing.
    pub fn take_lost(&mut self, now: Duration, endpoint: u64) -> Vec<BegunAnswer> {
        let is_lost = |it: &BegunAnswer| it.endpoint == endpoint && !is_sound(now, it);
        let lost = self.followed.iter().filter(|it| is_lost(it));
        let is_fresh = |it: &&BegunAnswer| now.saturating_sub(it.begun_at) < CRASH_TIME;
        let lost = lost.filter(is_fresh).cloned().collect();
        self.followed.retain(|it| !is_lost(it));
        lost
    }

    /// Takes the answers that have gone on for long enough.
    pub fn take_sound(&mut self, now: Duration) -> Vec<BegunAnswer> {
        let sound = self.followed.iter().take_while(|it| is_sound(now, it));
        let sound: Vec<_> = self.followed.drain(..sound.count()).collect();
        for answer in &sound {
            for part in &answer.parts {
                self.note_sound(now, *part, answer.sent_at);
            }
            if let Some(Suspect::Request(hash)) = answer.whole {
                self.long_requests.put(now, hash, answer.sent_at);
            }
        }
        sound
    }

    /// Records that the answer to a request that was sent at `sent_at` did not crash its endpoint.
    pub fn note_sound(&mut self, now: Duration, suspect: Suspect, sent_at: Duration) {
        match suspect {
            Suspect::Part(part) => self.parts.put(now, part, sent_at),
            Suspect::Request(hash) => self.requests.put(now, hash, sent_at),
        }
    }

    /// Tells whether answers to requests with a suspect have gone on for long, or were complete.
    pub fn has_worked(&self, suspect: Suspect) -> bool {
        let is_long = match suspect {
            Suspect::Part(_) => false,
            Suspect::Request(hash) => self.long_requests.get(hash).is_some(),
        };
        is_long || self.last_sound(suspect).is_some()
    }

    /// Returns when the newest request with a suspect was sent whose answer did not crash its endpoint.
    pub fn last_sound(&self, suspect: Suspect) -> Option<Duration> {
        match suspect {
            Suspect::Part(part) => self.parts.get(part),
            Suspect::Request(hash) => self.requests.get(hash),
        }
    }
}

fn is_sound(now: Duration, answer: &BegunAnswer) -> bool {
    now.saturating_sub(answer.begun_at) >= SOUND_ANSWER_TIME
}

/// Times of recent answers by a key, in two generations so that the older one can be dropped at once.
#[derive(Debug, Default)]
struct RecentlySound {
    young: IntMap<u64, Duration>,
    old: IntMap<u64, Duration>,
    young_since: Duration,
}

impl RecentlySound {
    fn put(&mut self, now: Duration, key: u64, sent_at: Duration) {
        let is_over = now.saturating_sub(self.young_since) > GENERATION_TIME;
        if is_over || self.young.len() >= MAX_KEYS {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
        let known = self.young.entry(key).or_insert(sent_at);
        *known = sent_at.max(*known);
    }

    fn get(&self, key: u64) -> Option<Duration> {
        let (young, old) = (self.young.get(&key), self.old.get(&key));
        young.max(old).copied()
    }
}
