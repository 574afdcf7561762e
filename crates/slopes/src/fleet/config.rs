//! The accepted configuration of a simulated fleet, in a table that always answers.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_coordination::config_events::ConfigEvent;
use sedgeridge_coordination::config_events::ConfigItem;
use sedgeridge_coordination::config_events::Generation;
use sedgeridge_coordination::node_config::ConfigRead;
use sedgeridge_protocol::peer_config::config_item;
use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::config_records::ConfigContent;

use crate::fleet::Fleet;
use crate::fleet::PendingEvent;

/// Assumption: duration of one read.
const READ_DELAY: Duration = Duration::from_millis(5);

/// Accepted generations, and the generation in force on each host.
#[derive(Debug, Default)]
pub struct ConfigTable {
    /// Reads by all hosts.
    pub reads: u64,
    accepted: Vec<ConfigContent>,
    in_force: BTreeMap<usize, u64>,
}

impl ConfigTable {
    /// Accepts a change as the next generation.
    pub fn accept(&mut self, content: ConfigContent) {
        self.accepted.push(content);
    }

    /// Returns the newest generation.
    pub fn newest_generation(&self) -> u64 {
        self.accepted.len() as u64
    }

    /// Returns the number of hosts that have the newest generation in force.
    pub fn up_to_date_hosts(&self) -> usize {
        let newest = self.newest_generation();
        self.in_force.values().filter(|g| **g == newest).count()
    }

    fn answer(&mut self, read: &ConfigRead) -> ConfigEvent<ConfigContent> {
        self.reads += 1;
        match read {
            ConfigRead::Head { call, .. } => ConfigEvent::HeadRead {
                call: *call,
                generation: (self.newest_generation() > 0)
                    .then(|| Generation(self.newest_generation())),
            },
            ConfigRead::Changes { call, after, up_to } => ConfigEvent::Fetched {
                call: *call,
                items: self.items(after.map_or(1, |after| after.0 + 1), up_to.0),
            },
        }
    }

    fn items(&self, first: u64, last: u64) -> Vec<ConfigItem<ConfigContent>> {
        let content = |generation: u64| self.accepted[generation as usize - 1].clone();
        let generations = first..=last.min(self.newest_generation());
        generations.map(|g| config_item(g, content(g))).collect()
    }
}

impl Fleet {
    /// Accepts a whole configuration, which every host then reads.
    pub fn accept_whole(&mut self, document: ConfigDocument) {
        self.config.accept(ConfigContent::Snapshot(document));
    }

    /// Answers a host's read of the table after [`READ_DELAY`].
    pub(super) fn read_config(&mut self, node: usize, read: &ConfigRead) {
        let event = self.config.answer(read);
        let pending = PendingEvent::ConfigRead(Box::new(event));
        self.schedule(self.now + READ_DELAY, node, pending);
    }

    /// Records that a generation is in force on a host.
    pub(super) fn set_in_force(&mut self, node: usize, generation: Generation) {
        self.config.in_force.insert(node, generation.0);
    }
}
