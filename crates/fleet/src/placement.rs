//! Tracks which prompt parts endpoints have cached.

use std::collections::HashMap;
use std::time::Duration;

use crate::prompt::Prompt;

/// Default of the time after its last use for which a part counts as cached. Engines evict the least recently used parts;
/// under load the contents of their memory change completely within some tens of seconds.
pub const DEFAULT_CACHE_LIFETIME: Duration = Duration::from_secs(15);
/// Maximum number of remembered parts, which take some megabytes. A host that sends 200 requests a second with three parts
/// each notes 9,000 parts within [`DEFAULT_CACHE_LIFETIME`].
pub const MAX_REMEMBERED_PARTS: usize = 20_000;

/// Prompt parts that this host's requests made endpoints cache.
///
/// Parts are kept in two generations. When the younger one reaches half of the maximum, it replaces the older one. Callers
/// choose how many parts they name; even a flood of them neither exceeds the maximum nor makes the host search all parts
/// for each request.
#[derive(Debug)]
pub struct CachedParts {
    lifetime: Duration,
    younger: HashMap<(u64, u64), Duration>,
    older: HashMap<(u64, u64), Duration>,
}

impl Default for CachedParts {
    fn default() -> Self {
        Self::new(DEFAULT_CACHE_LIFETIME)
    }
}

impl CachedParts {
    /// Creates an empty table. A part counts as cached for `lifetime` after its last use.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            younger: HashMap::new(),
            older: HashMap::new(),
        }
    }

    /// Notes that an endpoint has read a prompt.
    pub fn note(&mut self, now: Duration, endpoint: u64, prompt: &Prompt) {
        for part in &prompt.parts {
            if self.younger.len() >= MAX_REMEMBERED_PARTS / 2 {
                self.older = std::mem::take(&mut self.younger);
            }
            self.younger.insert((endpoint, part.id), now);
        }
    }

    /// Returns the number of remembered parts. A recently used part may count twice.
    pub fn len(&self) -> usize {
        self.younger.len() + self.older.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Estimates how many tokens of a prompt an endpoint has to read. `is_home` tells whether the endpoint is a home of the
    /// prompt; the requests of other hosts have made it cache the shared parts then.
    pub fn unread_tokens(
        &self,
        now: Duration,
        endpoint: u64,
        prompt: &Prompt,
        is_home: bool,
    ) -> u32 {
        let shared_parts = prompt.shared_parts().len();
        let mut cached = 0;
        for (index, part) in prompt.parts.iter().enumerate() {
            let read_at = self.read_at(endpoint, part.id);
            let is_read = read_at.is_some_and(|at| now.saturating_sub(at) < self.lifetime);
            let is_cached = is_read || is_home && index < shared_parts;
            if !is_cached {
                break;
            }
            cached += part.tokens;
        }
        prompt.prompt_tokens.saturating_sub(cached)
    }

    /// Removes an endpoint that is gone or was restarted.
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
