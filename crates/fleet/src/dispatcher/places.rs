//! Where a request should go, before it is asked who has room.

use std::time::Duration;

use super::Dispatcher;
use super::Pending;
use crate::hashing::pair_hash;
use crate::placement::HOMES_PER_PROMPT;
use crate::placement::home_endpoints;

/// Shared tokens above which a prompt is read only at its homes. When all engines are about full,
/// whichever has a slot left would read the shared part anew.
const FEW_SHARED_TOKENS: u32 = 300;

/// Endpoints where a request should go.
pub(super) enum Places {
    /// Any that has room.
    Anywhere,
    /// The homes of its prompt and no other.
    Homes([Option<u64>; HOMES_PER_PROMPT]),
    /// The homes of its prompt and two that are drawn for this request, or any other if these have no
    /// room.
    ///
    /// Hosts hear of each other's work some tenths of a second late. Comparing all engines they all
    /// choose the one that had seemed idle, whose first events then come late. Two engines by chance are
    /// enough to pass over a busy one, and differ from request to request.
    Preferred {
        homes: [Option<u64>; HOMES_PER_PROMPT],
        drawn: [Option<u64>; HOMES_PER_PROMPT],
        /// A cold endpoint to which this host is one of the few that send.
        cold: Option<u64>,
    },
}

impl Places {
    pub(super) fn allow(&self, endpoint: u64) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Homes(homes) => homes.contains(&Some(endpoint)),
            Self::Preferred { homes, drawn, cold } => {
                let endpoint = Some(endpoint);
                homes.contains(&endpoint) || drawn.contains(&endpoint) || *cold == endpoint
            }
        }
    }

    pub(super) fn home_rank(&self, endpoint: u64) -> Option<usize> {
        match self {
            Self::Anywhere => None,
            Self::Homes(homes) | Self::Preferred { homes, .. } => {
                homes.iter().position(|home| *home == Some(endpoint))
            }
        }
    }
}

impl Dispatcher {
    /// Returns where a request should go.
    pub(super) fn places(&self, now: Duration, pending: &Pending) -> Places {
        let usable = self.endpoints.usable(&pending.arrival.service);
        let prompt = pending.arrival.prompt.as_ref();
        let Some((prompt, key)) = prompt.and_then(|it| Some((it, it.placement_key()?))) else {
            return Places::Anywhere;
        };
        // Prompts are placed among the endpoints that work: when the homes of a prompt were down, each
        // of its requests went to the least busy endpoint and was read anew there.
        let sound = usable.iter().filter(|endpoint| {
            self.records.is_sound(now, endpoint.key) && self.is_open(now, endpoint)
        });
        let sound: Vec<_> = sound.map(|endpoint| endpoint.key).collect();
        let homes = home_endpoints(key, sound.iter().copied());
        // What was tried elsewhere goes on wherever there is room: its caller waits for the rest.
        if pending.sends > 0 {
            return Places::Anywhere;
        }
        if prompt.shared_tokens() > FEW_SHARED_TOKENS {
            return Places::Homes(homes);
        }
        let draw = pair_hash(self.settings.host, pending.arrival.id.0);
        let cold = self
            .cold
            .open(now)
            .find(|endpoint| sound.contains(endpoint));
        let drawn = home_endpoints(draw, sound);
        Places::Preferred { homes, drawn, cold }
    }
}
