//! The endpoints that the platform lists, by service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::ServiceId;

use crate::hashing::stable_hash;

/// One run of an endpoint. A restart has a new id.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its id, which callers of the endpoint can ask it to check.
    pub id: EndpointId,
    /// The id's hash, by which hosts name the endpoint to one another.
    pub key: u64,
    /// The service it runs.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop and takes no new work.
    pub is_leaving: bool,
}

impl Endpoint {
    /// Returns the hash of an id.
    pub fn key_of(id: &EndpointId) -> u64 {
        stable_hash(id.as_str())
    }
}

/// The listed endpoints.
#[derive(Debug, Default)]
pub struct EndpointTable {
    by_id: BTreeMap<EndpointId, Endpoint>,
}

impl EndpointTable {
    /// Takes in a new or changed entry.
    pub fn put(&mut self, mut endpoint: Endpoint) {
        let known = self.by_id.get(&endpoint.id);
        // An id names one run, and a run that is leaving does not come back.
        endpoint.is_leaving |= known.is_some_and(|known| known.is_leaving);
        self.by_id.insert(endpoint.id.clone(), endpoint);
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: &EndpointId) -> Option<Endpoint> {
        self.by_id.remove(id)
    }

    /// Marks an endpoint as leaving; tells whether that was news.
    pub fn set_leaving(&mut self, key: u64) -> bool {
        let found = self
            .by_id
            .values_mut()
            .find(|endpoint| endpoint.key == key && !endpoint.is_leaving);
        found.is_some_and(|endpoint| {
            endpoint.is_leaving = true;
            true
        })
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.by_id.get(id)
    }

    /// Iterates over all entries.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_id.values()
    }

    /// Iterates over the endpoints of a service that take new work.
    pub fn usable<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let is_usable = move |endpoint: &&Endpoint| !endpoint.is_leaving && endpoint.service == *service;
        self.by_id.values().filter(is_usable)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Tells whether nothing is listed.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
