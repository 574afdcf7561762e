//! Sums of the work of one or more hosts, by endpoint and by client account.

use nohash_hasher::IntMap;

use crate::account_shares::Usage;
use crate::endpoint_load::Load;

/// Sums of work in progress and of recent usage.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkSums {
    loads: IntMap<u64, Load>,
    usage: IntMap<u64, Usage>,
}

impl WorkSums {
    /// Adds rows of a report: loads by endpoint, usage by account.
    pub fn add(&mut self, loads: &[(u64, Load)], usage: &[(u64, Usage)]) {
        for (endpoint, load) in loads {
            self.loads.entry(*endpoint).or_default().add(*load);
        }
        for (account, used) in usage {
            self.usage.entry(*account).or_default().add(*used);
        }
    }

    /// Adds other sums.
    pub fn add_sums(&mut self, other: &Self) {
        for (endpoint, load) in &other.loads {
            self.loads.entry(*endpoint).or_default().add(*load);
        }
        for (account, used) in &other.usage {
            self.usage.entry(*account).or_default().add(*used);
        }
    }

    /// Subtracts sums that were added before.
    pub fn subtract(&mut self, other: &Self) {
        for (endpoint, load) in &other.loads {
            self.loads.entry(*endpoint).or_default().subtract(*load);
        }
        for (account, used) in &other.usage {
            self.usage.entry(*account).or_default().subtract(*used);
        }
    }

    /// Returns the endpoints with work in progress, as rows of a report.
    pub fn loads(&self) -> Vec<(u64, Load)> {
        let busy = self.loads.iter().filter(|(_, load)| !load.is_idle());
        busy.map(|(key, load)| (*key, *load)).collect()
    }

    /// Returns the accounts with usage, as rows of a report.
    pub fn usage(&self) -> Vec<(u64, Usage)> {
        let used = self
            .usage
            .iter()
            .filter(|(_, usage)| **usage != Usage::default());
        used.map(|(key, usage)| (*key, *usage)).collect()
    }
}
