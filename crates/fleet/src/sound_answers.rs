//! Answers that have begun, until they have gone on for long enough to show that they don't crash their endpoints.

use std::collections::VecDeque;
use std::time::Duration;

use nohash_hasher::IntMap;

use crate::arrival::RequestId;
use crate::attempt_progress::CRASH_TIME;
use crate::attempt_progress::SOUND_ANSWER_TIME;
use crate::suspect::Suspect;

/// Maximum number of answers that are followed at the same time.
const MAX_FOLLOWED: usize = 8_192;
/// Maximum number of parts in each of the two generations of [`SoundParts`].
const MAX_PARTS: usize = 4_096;
/// Time for which a generation takes in parts.
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
    /// Suspects, if the endpoint crashes.
    pub suspects: Vec<Suspect>,
}

/// Answers that have begun, complete or not.
#[derive(Debug, Default)]
pub struct SoundAnswers {
    followed: VecDeque<BegunAnswer>,
    parts: SoundParts,
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
            for suspect in &answer.suspects {
                if let Suspect::Part(part) = suspect {
                    self.parts.put(now, *part, answer.sent_at);
                }
            }
        }
        sound
    }

    /// Returns when the newest request with a part was sent whose answer did not crash its endpoint.
    pub fn last_sound(&self, suspect: Suspect) -> Option<Duration> {
        match suspect {
            Suspect::Part(part) => self.parts.get(part),
            Suspect::Request(_) => None,
        }
    }
}

fn is_sound(now: Duration, answer: &BegunAnswer) -> bool {
    now.saturating_sub(answer.begun_at) >= SOUND_ANSWER_TIME
}

/// Parts of recent answers, in two generations so that the older one can be dropped at once.
#[derive(Debug, Default)]
struct SoundParts {
    young: IntMap<u64, Duration>,
    old: IntMap<u64, Duration>,
    young_since: Duration,
}

impl SoundParts {
    fn put(&mut self, now: Duration, part: u64, sent_at: Duration) {
        let is_over = now.saturating_sub(self.young_since) > GENERATION_TIME;
        if is_over || self.young.len() >= MAX_PARTS {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
        let known = self.young.entry(part).or_insert(sent_at);
        *known = sent_at.max(*known);
    }

    fn get(&self, part: u64) -> Option<Duration> {
        let (young, old) = (self.young.get(&part), self.old.get(&part));
        young.max(old).copied()
    }
}
