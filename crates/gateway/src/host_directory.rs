//! Addresses and data centres of the other hosts, from the host list and from their reports.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::peer_hosts::ListedHost;

use crate::store::HostEntry;

/// The registered hosts, and the addresses at which hosts are reached.
#[derive(Debug, Default)]
pub struct HostDirectory {
    /// Registered hosts by name.
    listed: BTreeMap<Arc<str>, ListedHost>,
    /// Addresses by hash of the host's name.
    addresses: HashMap<u64, SocketAddr>,
}

impl HostDirectory {
    /// Adds or changes an entry of the host list.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sedgeridge_fleet::hashing::stable_hash;
    /// use sedgeridge_gateway::host_directory::HostDirectory;
    /// use sedgeridge_gateway::store::HostEntry;
    ///
    /// let mut hosts = HostDirectory::default();
    /// let peers_address = "127.0.0.1:7400".parse().unwrap();
    /// hosts.put(HostEntry { host: Arc::from("edge-1"), data_centre: Arc::from("a"), peers_address });
    /// assert_eq!(hosts.address(stable_hash("edge-1")), Some(peers_address));
    ///
    /// hosts.remove("edge-1");
    /// assert!(hosts.listed().is_empty());
    /// ```
    pub fn put(&mut self, entry: HostEntry) {
        let listed = ListedHost {
            host: stable_hash(&entry.host),
            data_centre: stable_hash(&entry.data_centre),
        };
        self.addresses.insert(listed.host, entry.peers_address);
        self.listed.insert(entry.host, listed);
    }

    /// Removes an entry of the host list. The host may still send reports, so its address stays.
    pub fn remove(&mut self, host: &str) {
        self.listed.remove(host);
    }

    /// Returns the registered hosts.
    pub fn listed(&self) -> Vec<ListedHost> {
        self.listed.values().copied().collect()
    }

    /// Records the address from which a host sent a report.
    pub fn note_sender(&mut self, host: u64, address: SocketAddr) {
        self.addresses.insert(host, address);
    }

    /// Returns the address of a host.
    pub fn address(&self, host: u64) -> Option<SocketAddr> {
        self.addresses.get(&host).copied()
    }
}
