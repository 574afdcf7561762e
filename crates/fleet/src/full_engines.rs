//! Remembers for a moment that engines had no capacity left for accounts over their share.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Route;

/// Time for which a comparison of engines counts. In a flood, comparing engines for each request uses up the processor of a
/// small host, and all requests wait.
const FULL_DURATION: Duration = Duration::from_millis(10);

/// Results of the latest comparisons that found no engine for an account over its share, by route.
///
/// Prompts of one route are alike in length and in the engines that may read them. Engines that are too busy for a long
/// prompt, or full homes of a shared part, say nothing about the prompts of other routes.
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use sedgeridge_fleet::config::{Repeat, Route};
/// use sedgeridge_fleet::full_engines::FullEngines;
///
/// let route = |name: &str| Route {
///     name: Arc::from(name),
///     host: Arc::from("desk.example"),
///     path_prefix: Arc::from("/"),
///     repeat: Repeat::Idempotent,
///     timeout: Duration::from_secs(2),
///     latency_target: Duration::from_millis(250),
///     priority: 0,
///     targets: Vec::new(),
///     max_attempts: 1,
///     is_public: false,
/// };
/// let mut full = FullEngines::default();
/// full.note(Duration::ZERO, &route("digests"));
/// assert!(full.contains(Duration::ZERO, &route("digests")));
/// assert!(!full.contains(Duration::ZERO, &route("chats")));
/// ```
#[derive(Debug, Default)]
pub struct FullEngines {
    until: HashMap<Arc<str>, Duration>,
    latest_until: Duration,
}

impl FullEngines {
    /// Stores that a prompt of the route found no engine.
    pub fn note(&mut self, now: Duration, route: &Route) {
        self.latest_until = now + FULL_DURATION;
        self.until.insert(route.name.clone(), self.latest_until);
    }

    /// Tells whether engines had no capacity for the route a moment ago.
    pub fn contains(&self, now: Duration, route: &Route) -> bool {
        now < self.latest_until && self.until.get(&route.name).is_some_and(|it| now < *it)
    }

    /// Tells whether no comparison counts any more.
    pub fn is_empty(&self, now: Duration) -> bool {
        now >= self.latest_until
    }

    /// Forgets all comparisons, since the routes may have changed.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
