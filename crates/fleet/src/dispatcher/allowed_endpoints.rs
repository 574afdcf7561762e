//! Selects the endpoints to which a request may go, before their load is compared.

use std::time::Duration;

use super::Dispatcher;
use super::Pending;
use crate::arrival::RequestId;
use crate::hashing::pair_hash;
use crate::home_ring::Homes;
use crate::prompt::Prompt;
use crate::prompt_copies::MAX_COPIES;
use crate::prompt_copies::SentPrompt;

/// Number of shared tokens above which a prompt is read only where copies of its shared part are open. Otherwise, when all
/// engines are nearly full, any engine with a free slot would read the shared part again.
const MAX_SHARED_TOKENS_ANYWHERE: u32 = 300;

/// Endpoints in the order in which they take copies of a shared part.
#[derive(Debug)]
pub(super) struct CopyOrder {
    pub(super) endpoints: Vec<u64>,
    /// Number of endpoints that have a copy.
    open: usize,
    pub(super) may_open: bool,
    /// Hash of this request at this host.
    draw: u64,
}

impl CopyOrder {
    /// Returns the endpoints that are compared: two drawn for this request of those with a copy, and the next one if
    /// another copy may be opened. If all were compared, hosts that learn of each other's work late would choose the same.
    fn compared(&self) -> Vec<u64> {
        let open = &self.endpoints[..self.open.min(self.endpoints.len())];
        let mut compared = match open.len() {
            0..=2 => open.to_vec(),
            count => {
                let count = count as u64;
                let first = self.draw % count;
                let second = (first + 1 + self.draw / count % (count - 1)) % count;
                vec![open[first as usize], open[second as usize]]
            }
        };
        if self.may_open {
            compared.extend(self.endpoints.get(self.open));
        }
        compared
    }

    /// Returns the endpoints without a copy after the next one.
    pub(super) fn rest(&self) -> impl Iterator<Item = u64> {
        self.endpoints.iter().skip(self.open + 1).copied()
    }
}

/// Endpoints to which a request may go.
pub(super) enum AllowedEndpoints {
    /// Any endpoint with free capacity.
    Any,
    /// Only endpoints that have a copy of its shared part, and the next one of the order if another copy may be opened.
    Copies(CopyOrder),
    /// The homes of its prompt and two endpoints that are drawn for this request, or any other if these have no free
    /// capacity.
    ///
    /// Hosts learn of each other's work some tenths of a second late. If they compared all engines, they would all choose
    /// the one that seems idle, and its first events would be late. Two randomly drawn engines are enough to avoid a busy
    /// one, and differ from request to request.
    Preferred {
        homes: Homes,
        drawn: Homes,
        /// A cold endpoint, if this host is one of the few that may send to it.
        cold: Option<u64>,
    },
}

impl AllowedEndpoints {
    /// Returns the keys of the endpoints, each once; `None` for any endpoint.
    pub(super) fn keys(&self) -> Option<Vec<u64>> {
        let mut keys: Vec<_> = match self {
            Self::Any => return None,
            Self::Copies(order) => return Some(order.compared()),
            Self::Preferred { homes, drawn, cold } => {
                let keys = homes.iter().chain(drawn).chain([cold]);
                keys.flatten().copied().collect()
            }
        };
        keys.sort_unstable();
        keys.dedup();
        Some(keys)
    }

    /// Tells whether an endpoint follows the home of the prompt in the order of copies.
    pub(super) fn is_further_copy(&self, endpoint: u64) -> bool {
        match self {
            Self::Copies(order) => order.endpoints.first() != Some(&endpoint),
            Self::Any | Self::Preferred { .. } => false,
        }
    }

    /// Tells whether requests of other hosts have made an endpoint cache the shared part.
    pub(super) fn is_home(&self, endpoint: u64) -> bool {
        match self {
            Self::Any => false,
            Self::Copies(order) => {
                let open = order.endpoints.iter().take(order.open);
                open.into_iter().any(|it| *it == endpoint)
            }
            Self::Preferred { homes, .. } => homes.contains(&Some(endpoint)),
        }
    }
}

impl Dispatcher {
    /// Returns the endpoints to which a request may go.
    pub(super) fn allowed_endpoints(&self, now: Duration, pending: &Pending) -> AllowedEndpoints {
        let arrival = &pending.arrival;
        let prompt = arrival.prompt.as_ref();
        let Some((prompt, key)) = prompt.and_then(|it| Some((it, it.placement_key()?))) else {
            return AllowedEndpoints::Any;
        };
        // A request that was sent before may go to any endpoint: its caller waits for the rest.
        if pending.sends > 0 {
            return AllowedEndpoints::Any;
        }
        let Some(ring) = self.endpoints.home_ring(&arrival.service) else {
            return AllowedEndpoints::Any;
        };
        // Homes are chosen among the endpoints that work. If the homes of a prompt could be down, each of its requests would
        // go to the least busy endpoint and be read again there.
        let is_sound = |endpoint| self.is_sound(now, endpoint);
        if prompt.shared_tokens() > MAX_SHARED_TOKENS_ANYWHERE {
            let order = CopyOrder {
                endpoints: ring.order(key, MAX_COPIES, is_sound),
                open: self.copies.open(now, key),
                may_open: self.copies.may_open(now, key),
                draw: pair_hash(self.settings.host, arrival.id.0),
            };
            return AllowedEndpoints::Copies(order);
        }
        let homes = ring.homes(key, is_sound);
        let draw = pair_hash(self.settings.host, arrival.id.0);
        let drawn = ring.homes(draw, is_sound);
        let cold = self.cold.open_endpoints(now).find(|endpoint| {
            let listed = self.endpoints.get_by_key(*endpoint);
            listed.is_some_and(|it| it.service == arrival.service && !it.is_leaving)
                && self.is_sound(now, *endpoint)
        });
        AllowedEndpoints::Preferred { homes, drawn, cold }
    }

    /// Notes where the shared part of a request that is sent now will be cached.
    pub(super) fn note_copy(&mut self, now: Duration, id: RequestId, endpoint: u64) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let AllowedEndpoints::Copies(order) = self.allowed_endpoints(now, pending) else {
            return;
        };
        let prompt = pending.arrival.prompt.as_ref();
        let key = prompt.and_then(Prompt::placement_key);
        let rank = order.endpoints.iter().position(|it| *it == endpoint);
        let (Some(prompt), Some(key), Some(rank)) = (prompt, key, rank) else {
            return;
        };
        let others = order.endpoints.iter().take(order.open - 1);
        let waits = others.map(|it| self.backlog_ms(*it));
        let shared_tokens = f64::from(prompt.shared_tokens());
        let sent = SentPrompt {
            key,
            rank,
            reading_ms: shared_tokens / self.speeds.tokens_per_ms(endpoint),
            wait_without_last_ms: waits.fold(f64::INFINITY, f64::min),
        };
        self.copies.on_sent(now, sent);
        self.counts.copies_opened = self.copies.opened();
        self.counts.copies_closed = self.copies.closed();
    }

    /// Returns the time in which an endpoint reads what it has to read already.
    fn backlog_ms(&self, endpoint: u64) -> f64 {
        f64::from(self.loads.total(endpoint).unread_tokens) / self.speeds.tokens_per_ms(endpoint)
    }

    /// Returns whether an endpoint works, as far as this host knows, and takes requests now.
    fn is_sound(&self, now: Duration, endpoint: u64) -> bool {
        let listed = self.endpoints.get_by_key(endpoint);
        self.records.is_healthy(now, endpoint) && listed.is_some_and(|it| self.is_open(now, it))
    }
}
