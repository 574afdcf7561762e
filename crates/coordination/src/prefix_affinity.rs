//! Records in bounded memory which endpoints recently served a prompt prefix.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::pool_messages::PrefixHash;

/// Maximum number of prefixes recorded by one home.
const MAX_PREFIXES: usize = 8_192;
/// Maximum number of endpoints recorded for one prefix.
const MAX_ENDPOINTS: usize = 4;

#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity {
    endpoints: BTreeMap<PrefixHash, Vec<usize>>,
    insertion_order: VecDeque<PrefixHash>,
}

impl PrefixAffinity {
    /// Returns the endpoints that recently served `prefix`, the latest first.
    pub(crate) fn recent(&self, prefix: PrefixHash) -> &[usize] {
        self.endpoints.get(&prefix).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn served(&mut self, prefix: PrefixHash, endpoint: usize) {
        if let Some(recent) = self.endpoints.get_mut(&prefix) {
            recent.retain(|known| *known != endpoint);
            recent.insert(0, endpoint);
            recent.truncate(MAX_ENDPOINTS);
            return;
        }
        if self.insertion_order.len() == MAX_PREFIXES
            && let Some(evicted) = self.insertion_order.pop_front()
        {
            self.endpoints.remove(&evicted);
        }
        self.insertion_order.push_back(prefix);
        self.endpoints.insert(prefix, vec![endpoint]);
    }
}
