//! Which endpoints have which parts of prompts in their cache.

use std::collections::HashMap;
use std::time::Duration;

use crate::hashing::pair_hash;
use crate::prompt::Prompt;

/// Time after its last use for which a part is taken as cached. Engines evict the parts that were not
/// used for longest; under load their memory turns over in some tens of seconds.
const CACHED_FOR: Duration = Duration::from_secs(15);
/// Most parts that are remembered.
const MAX_PARTS: usize = 20_000;

/// Parts that this host's requests have brought to endpoints.
#[derive(Debug, Default)]
pub struct CachedParts {
    read_at: HashMap<(u64, u64), Duration>,
}

impl CachedParts {
    /// Notes that an endpoint has read a prompt.
    pub fn note(&mut self, now: Duration, endpoint: u64, prompt: &Prompt) {
        for part in &prompt.parts {
            self.read_at.insert((endpoint, part.id), now);
        }
        if self.read_at.len() > MAX_PARTS {
            self.forget_old(now);
        }
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
            let read_at = self.read_at.get(&(endpoint, part.id));
            let is_read = read_at.is_some_and(|at| now.saturating_sub(*at) < CACHED_FOR);
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
        self.read_at.retain(|(at, _), _| *at != endpoint);
    }

    /// Forgets parts that are no longer taken as cached.
    pub fn forget_old(&mut self, now: Duration) {
        self.read_at
            .retain(|_, at| now.saturating_sub(*at) < CACHED_FOR);
    }
}

/// Endpoints on which the fleet places each prompt. With one, a burst of one prompt has to leave
/// it and is read again elsewhere; with more, each copy is used too rarely to stay cached.
pub const HOMES: usize = 2;

/// Returns the endpoints on which the fleet places prompts with this key: the same on every host
/// that knows the same endpoints, and unchanged when another endpoint comes or goes.
///
/// ```
/// use sedgeridge_fleet::placement::home_endpoints;
///
/// let homes = home_endpoints(7, [1, 2, 3]);
/// assert_eq!(homes, home_endpoints(7, [3, 2, 1]));
/// ```
pub fn home_endpoints(key: u64, endpoints: impl IntoIterator<Item = u64>) -> [Option<u64>; HOMES] {
    let mut best: [Option<(u64, u64)>; HOMES] = [None; HOMES];
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
