//! Selects the endpoints to which a request may go, before their load is compared.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::Pending;
use crate::arrival::Arrival;
use crate::endpoint_table::Endpoint;
use crate::hashing::pair_hash;
use crate::home_ring::Homes;
use crate::stream_origin::StreamOrigin;

/// Number of shared tokens above which a prompt is read only at its homes. Otherwise, when all engines are nearly full, any
/// engine with a free slot would read the shared part again.
const MAX_SHARED_TOKENS_ANYWHERE: u32 = 300;

/// Endpoints that are compared for a stream that goes on. Enough to find a free one among busy ones, in a service of any
/// size.
const MAX_COMPARED_WITH_ORIGIN: usize = 32;

/// Endpoints to which a request may go.
pub(super) enum AllowedEndpoints {
    /// Any endpoint with free capacity.
    Any,
    /// Only the homes of its prompt.
    Homes(Homes),
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
            Self::Homes(homes) => homes.iter().flatten().copied().collect(),
            Self::Preferred { homes, drawn, cold } => {
                let keys = homes.iter().chain(drawn).chain([cold]);
                keys.flatten().copied().collect()
            }
        };
        keys.sort_unstable();
        keys.dedup();
        Some(keys)
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
        let homes = ring.homes(key, is_sound);
        if prompt.shared_tokens() > MAX_SHARED_TOKENS_ANYWHERE {
            return AllowedEndpoints::Homes(homes);
        }
        let draw = pair_hash(self.settings.host, arrival.id.0);
        let drawn = ring.homes(draw, is_sound);
        let cold = self.cold.open_endpoints(now).find(|endpoint| {
            let listed = self.endpoints.get_by_key(*endpoint);
            listed.is_some_and(|it| it.service == arrival.service && !it.is_leaving)
                && self.is_sound(now, *endpoint)
        });
        AllowedEndpoints::Preferred { homes, drawn, cold }
    }

    /// Returns the endpoints at which a stream with this origin may go on.
    pub(super) fn endpoints_with_origin(
        &self,
        arrival: &Arrival,
        origin: StreamOrigin,
    ) -> &[Arc<Endpoint>] {
        let usable = self.endpoints.with_origin(origin);
        // The route may lead to another service than when the stream began.
        match usable.first() {
            Some(first) if first.service == arrival.service => usable,
            _ => &[],
        }
    }

    /// Returns those of them that are compared for a request, a different part for each request and host.
    pub(super) fn drawn_with_origin(
        &self,
        arrival: &Arrival,
        origin: StreamOrigin,
    ) -> impl Iterator<Item = &Arc<Endpoint>> {
        let usable = self.endpoints_with_origin(arrival, origin);
        let draw = pair_hash(self.settings.host, arrival.id.0);
        let first = draw.checked_rem(usable.len() as u64).unwrap_or(0);
        let from_first = usable.iter().cycle().skip(first as usize);
        from_first.take(usable.len().min(MAX_COMPARED_WITH_ORIGIN))
    }

    /// Returns whether an endpoint works, as far as this host knows, and takes requests now.
    fn is_sound(&self, now: Duration, endpoint: u64) -> bool {
        let listed = self.endpoints.get_by_key(endpoint);
        self.records.is_healthy(now, endpoint) && listed.is_some_and(|it| self.is_open(now, it))
    }
}
