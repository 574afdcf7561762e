//! Which endpoints have which parts of prompts in their cache.

use std::collections::HashMap;
use std::time::Duration;

use crate::hashing::pair_hash;
use crate::prompt::Prompt;

/// Time after its last use for which a part is taken as cached. Engines evict the parts that were not
/// used for longest; under load their memory turns over in some tens of seconds.
const CACHED_FOR: Duration = Duration::from_secs(15);
/// Most parts that are remembered, some megabytes. A host that sends 200 requests a second with three
/// parts each notes 9,000 in the time above.
pub const MAX_REMEMBERED_PARTS: usize = 20_000;

/// Parts that this host's requests have brought to endpoints.
///
/// They are kept in two generations. When the younger one has half of the bound, the older one is dropped and
/// the younger takes its place: callers choose how many parts they name, and no flood of them makes
/// the host remember more than the bound, or look through all of them for each request.
#[derive(Debug, Default)]
pub struct CachedParts {
    younger: HashMap<(u64, u64), Duration>,
    older: HashMap<(u64, u64), Duration>,
}

impl CachedParts {
    /// Notes that an endpoint has read a prompt.
    pub fn note(&mut self, now: Duration, endpoint: u64, prompt: &Prompt) {
        for part in &prompt.parts {
            if self.younger.len() >= MAX_REMEMBERED_PARTS / 2 {
                self.older = std::mem::take(&mut self.younger);
            }
            self.younger.insert((endpoint, part.id), now);
        }
    }

    /// Returns how many parts are remembered; one that was used lately may count twice.
    pub fn len(&self) -> usize {
        self.younger.len() + self.older.len()
    }

    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Estimates how many tokens of a prompt an endpoint has to read. `is_home` tells that the fleet
    /// places this prompt there, so that other hosts have brought its shared parts.
    pub fn unread_tokens(
        &self,
        now: Duration,
        endpoint: u64,
        prompt: &Prompt,
        is_home: bool,
    ) -> u32 {
        let shared = prompt.shared_parts().len();
        let mut cached = 0;
        for (index, part) in prompt.parts.iter().enumerate() {
            let read_at = self.read_at(endpoint, part.id);
            let is_read = read_at.is_some_and(|at| now.saturating_sub(at) < CACHED_FOR);
            let is_cached = is_read || is_home && index < shared;
            if !is_cached {
                break;
            }
            cached += part.tokens;
        }
        prompt.prompt_tokens.saturating_sub(cached)
    }

    /// Forgets an endpoint that is gone or was restarted.
    pub fn forget_endpoint(&mut self, endpoint: u64) {
        self.younger.retain(|(at, _), _| *at != endpoint);
        self.older.retain(|(at, _), _| *at != endpoint);
    }

    fn read_at(&self, endpoint: u64, part: u64) -> Option<Duration> {
        let key = (endpoint, part);
        let read_at = self.younger.get(&key).or_else(|| self.older.get(&key));
        read_at.copied()
    }
}

/// Endpoints on which the fleet places each prompt. With one, a burst of one prompt has to leave
/// it and is read again elsewhere; with more, each copy is used too rarely to stay cached.
pub const HOMES_PER_PROMPT: usize = 2;

/// Returns the endpoints on which the fleet places prompts with this key: the same on every host
/// that knows the same endpoints, and unchanged when another endpoint comes or goes.
///
/// ```
/// use sedgeridge_fleet::placement::home_endpoints;
///
/// let homes = home_endpoints(7, [1, 2, 3]);
/// assert_eq!(homes, home_endpoints(7, [3, 2, 1]));
/// ```
pub fn home_endpoints(
    key: u64,
    endpoints: impl IntoIterator<Item = u64>,
) -> [Option<u64>; HOMES_PER_PROMPT] {
    let mut best: [Option<(u64, u64)>; HOMES_PER_PROMPT] = [None; HOMES_PER_PROMPT];
    for endpoint in endpoints {
        let mut scored = Some((pair_hash(key, endpoint), endpoint));
        for place in &mut best {
            if scored > *place {
                std::mem::swap(place, &mut scored);
            }
        }
    }
    best.map(|place| place.map(|(_, endpoint)| endpoint))
}
