//! Waiting requests of one pool at an entry router, by client account and class.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::settings::RequestClass;

use crate::entry_events::RequestKey;

/// Queue of one client account and class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lane {
    /// The client account.
    pub account: AccountId,
    /// Priority class within the account.
    pub class: RequestClass,
}

/// Requests that wait for a slot of one pool, in arrival order within each lane.
///
/// ```
/// use sedgeridge_coordination::entry_events::RequestKey;
/// use sedgeridge_coordination::entry_queue::{EntryQueue, Lane};
/// use sedgeridge_state::settings::RequestClass;
///
/// let lane = Lane { account: "crew-07".into(), class: RequestClass::Interactive };
/// let mut queue = EntryQueue::default();
/// queue.push_back(lane.clone(), RequestKey(1));
/// assert_eq!(queue.head(&lane), Some(RequestKey(1)));
/// assert_eq!(queue.pop(&lane), Some(RequestKey(1)));
/// assert_eq!(queue.waiting(), 0);
/// ```
#[derive(Debug, Default)]
pub struct EntryQueue {
    lanes: BTreeMap<Lane, VecDeque<RequestKey>>,
    waiting: u32,
}

impl EntryQueue {
    /// Appends a request to its lane.
    pub fn push_back(&mut self, lane: Lane, key: RequestKey) {
        self.lanes.entry(lane).or_default().push_back(key);
        self.waiting += 1;
    }

    /// Puts a request that was delayed first in its lane.
    pub fn push_front(&mut self, lane: Lane, key: RequestKey) {
        self.lanes.entry(lane).or_default().push_front(key);
        self.waiting += 1;
    }

    /// Removes and returns the first request of a lane.
    pub fn pop(&mut self, lane: &Lane) -> Option<RequestKey> {
        let requests = self.lanes.get_mut(lane)?;
        let key = requests.pop_front()?;
        self.waiting -= 1;
        if requests.is_empty() {
            self.lanes.remove(lane);
        }
        Some(key)
    }

    /// Removes a request from any position in a lane; false when it is not there.
    pub fn remove(&mut self, lane: &Lane, key: RequestKey) -> bool {
        let Some(requests) = self.lanes.get_mut(lane) else {
            return false;
        };
        let Some(position) = requests.iter().position(|k| *k == key) else {
            return false;
        };
        requests.remove(position);
        self.waiting -= 1;
        if requests.is_empty() {
            self.lanes.remove(lane);
        }
        true
    }

    /// Returns the first request of a lane.
    pub fn head(&self, lane: &Lane) -> Option<RequestKey> {
        self.lanes.get(lane)?.front().copied()
    }

    /// Returns the number of requests in a lane.
    pub fn lane_len(&self, lane: &Lane) -> u32 {
        self.lanes
            .get(lane)
            .map_or(0, |requests| requests.len() as u32)
    }

    /// Returns the number of requests in all lanes.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the lanes that have requests.
    pub fn lanes(&self) -> impl Iterator<Item = &Lane> {
        self.lanes.keys()
    }
}
