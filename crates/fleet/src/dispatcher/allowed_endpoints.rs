//! Selects the endpoints to which a request may go, before their load is compared.

use std::time::Duration;

use super::Dispatcher;
use super::Pending;
use crate::hashing::pair_hash;
use crate::placement::HOMES_PER_PROMPT;
use crate::placement::home_endpoints;

/// Number of shared tokens above which a prompt is read only at its homes. Otherwise, when all engines are nearly full, any
/// engine with a free slot would read the shared part again.
const MAX_SHARED_TOKENS_ANYWHERE: u32 = 300;

/// Endpoints to which a request may go.
pub(super) enum AllowedEndpoints {
    /// Any endpoint with free capacity.
    Any,
    /// Only the homes of its prompt.
    Homes([Option<u64>; HOMES_PER_PROMPT]),
    /// The homes of its prompt and two endpoints that are drawn for this request, or any other if these have no free
    /// capacity.
    ///
    /// Hosts learn of each other's work some tenths of a second late. If they compared all engines, they would all choose
    /// the one that seems idle, and its first events would be late. Two randomly drawn engines are enough to avoid a busy
    /// one, and differ from request to request.
    Preferred {
        homes: [Option<u64>; HOMES_PER_PROMPT],
        drawn: [Option<u64>; HOMES_PER_PROMPT],
        /// A cold endpoint, if this host is one of the few that may send to it.
        cold: Option<u64>,
    },
}

impl AllowedEndpoints {
    pub(super) fn contains(&self, endpoint: u64) -> bool {
        match self {
            Self::Any => true,
            Self::Homes(homes) => homes.contains(&Some(endpoint)),
            Self::Preferred { homes, drawn, cold } => {
                let endpoint = Some(endpoint);
                homes.contains(&endpoint) || drawn.contains(&endpoint) || *cold == endpoint
            }
        }
    }

    pub(super) fn home_rank(&self, endpoint: u64) -> Option<usize> {
        match self {
            Self::Any => None,
            Self::Homes(homes) | Self::Preferred { homes, .. } => {
                homes.iter().position(|home| *home == Some(endpoint))
            }
        }
    }
}

impl Dispatcher {
    /// Returns the endpoints to which a request may go.
    pub(super) fn allowed_endpoints(&self, now: Duration, pending: &Pending) -> AllowedEndpoints {
        let usable = self.endpoints.usable(&pending.arrival.service);
        let prompt = pending.arrival.prompt.as_ref();
        let Some((prompt, key)) = prompt.and_then(|it| Some((it, it.placement_key()?))) else {
            return AllowedEndpoints::Any;
        };
        // Homes are chosen among the endpoints that work. If the homes of a prompt could be down, each of its requests would
        // go to the least busy endpoint and be read again there.
        let sound = usable.iter().filter(|endpoint| {
            self.records.is_healthy(now, endpoint.key) && self.is_open(now, endpoint)
        });
        let sound: Vec<_> = sound.map(|endpoint| endpoint.key).collect();
        let homes = home_endpoints(key, sound.iter().copied());
        // A request that was sent before may go to any endpoint: its caller waits for the rest.
        if pending.sends > 0 {
            return AllowedEndpoints::Any;
        }
        if prompt.shared_tokens() > MAX_SHARED_TOKENS_ANYWHERE {
            return AllowedEndpoints::Homes(homes);
        }
        let draw = pair_hash(self.settings.host, pending.arrival.id.0);
        let cold = self
            .cold
            .open_endpoints(now)
            .find(|endpoint| sound.contains(endpoint));
        let drawn = home_endpoints(draw, sound);
        AllowedEndpoints::Preferred { homes, drawn, cold }
    }
}
