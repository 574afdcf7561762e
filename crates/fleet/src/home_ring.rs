//! Chooses the home endpoints of prompts, at a cost that grows with the logarithm of their number. Hosts that hold the
//! origins of streams are chosen in the same way.
//!
//! Each endpoint has some positions on a ring, and each prompt some points. Its homes are the
//! endpoints that follow one of these points most closely (multi-probe consistent hashing). All
//! hosts that know the same endpoints choose the same homes, an added or removed endpoint moves only
//! the prompts whose home it becomes or was, and with enough points the endpoints are homes of about
//! as many prompts each.

use std::collections::BTreeMap;

use crate::hashing::pair_hash;

/// Number of home endpoints of each prompt. With one, a burst of one prompt overflows to other endpoints and is read again
/// there; with more, each copy is used too rarely to stay cached.
pub const HOMES_PER_PROMPT: usize = 2;
/// Points of a prompt. More points make the shares of endpoints more even, and a decision slower.
const POINTS_PER_PROMPT: u64 = 16;
/// Positions of an endpoint. With one, an endpoint right after another one is the home of hardly any
/// prompt.
const POSITIONS_PER_ENDPOINT: u64 = 8;
/// Endpoints that are looked at after each point. If most endpoints are down, one that works is still
/// found, and if all are, a decision takes no longer than that.
const MAX_STEPS: usize = 32;
/// Salt that makes positions independent of other choices by hash.
const POSITION_SALT: u64 = 0x5f04;

/// Home endpoints, the first one preferred.
pub type Homes = [Option<u64>; HOMES_PER_PROMPT];

/// Endpoints by their position on a ring.
///
/// ```
/// use sedgeridge_fleet::home_ring::HomeRing;
///
/// let mut ring = HomeRing::default();
/// for endpoint in [1, 2, 3] {
///     ring.insert(endpoint);
/// }
/// let [first, second] = ring.homes(7, |_| true);
/// assert_ne!(first, second);
/// assert_eq!(ring.homes(7, |endpoint| Some(endpoint) != first)[0], second);
/// ```
#[derive(Debug, Default)]
pub struct HomeRing {
    /// Endpoints by position, and by themselves where positions are equal.
    endpoints: BTreeMap<(u64, u64), u64>,
}

/// A usable endpoint, and the distance to it from a prompt's point.
type Candidate = (u64, u64);

impl HomeRing {
    /// Adds an endpoint.
    pub fn insert(&mut self, endpoint: u64) {
        let placed = positions(endpoint).map(|position| ((position, endpoint), endpoint));
        self.endpoints.extend(placed);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: u64) {
        for position in positions(endpoint) {
            self.endpoints.remove(&(position, endpoint));
        }
    }

    /// Returns the homes of prompts with a key among the endpoints that `is_usable` accepts. It is
    /// asked about few of them.
    pub fn homes(&self, key: u64, is_usable: impl Fn(u64) -> bool) -> Homes {
        let mut candidates: Vec<Candidate> = Vec::new();
        for number in 0..POINTS_PER_PROMPT {
            let point = pair_hash(key, number);
            candidates.extend(self.following(point, &is_usable).into_iter().flatten());
        }
        let first = candidates.iter().min().map(|(_, endpoint)| *endpoint);
        let others = candidates.iter();
        let others = others.filter(|(_, endpoint)| Some(*endpoint) != first);
        let second = others.min().map(|(_, endpoint)| *endpoint);
        [first, second]
    }

    /// Returns the first usable endpoints at or after a point.
    fn following(
        &self,
        point: u64,
        is_usable: impl Fn(u64) -> bool,
    ) -> [Option<Candidate>; HOMES_PER_PROMPT] {
        let from_here = self.endpoints.range((point, 0)..);
        let from_start = self.endpoints.range(..(point, 0));
        let endpoints = from_here.chain(from_start).take(MAX_STEPS);
        let mut usable = endpoints
            .filter(|(_, endpoint)| is_usable(**endpoint))
            .map(|((position, _), endpoint)| (position.wrapping_sub(point), *endpoint));
        let first = usable.next();
        let is_another = |next: &Candidate| first.is_some_and(|first| first.1 != next.1);
        [first, usable.find(is_another)]
    }
}

/// Returns the positions of an endpoint.
fn positions(endpoint: u64) -> impl Iterator<Item = u64> {
    (0..POSITIONS_PER_ENDPOINT).map(move |number| pair_hash(POSITION_SALT ^ number << 32, endpoint))
}
