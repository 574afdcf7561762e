//! The endpoints that the platform lists, by service.

use std::collections::BTreeMap;
use std::collections::HashMap;
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
    by_id: BTreeMap<EndpointId, Arc<Endpoint>>,
    usable: HashMap<ServiceId, Vec<Arc<Endpoint>>>,
}

impl EndpointTable {
    /// Takes in a new or changed entry.
    pub fn put(&mut self, mut endpoint: Endpoint) {
        let known = self.by_id.get(&endpoint.id);
        // An id names one run, and a run that is leaving does not come back.
        endpoint.is_leaving |= known.is_some_and(|known| known.is_leaving);
        let id = endpoint.id.clone();
        self.by_id.insert(id, Arc::new(endpoint));
        self.sort_by_service();
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: &EndpointId) -> Option<Arc<Endpoint>> {
        let removed = self.by_id.remove(id);
        self.sort_by_service();
        removed
    }

    /// Marks an endpoint as leaving; tells whether that was news.
    pub fn set_leaving(&mut self, id: &EndpointId) -> bool {
        let Some(known) = self.by_id.get(id).filter(|known| !known.is_leaving) else {
            return false;
        };
        let mut leaving = Endpoint::clone(known);
        leaving.is_leaving = true;
        self.put(leaving);
        true
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&Arc<Endpoint>> {
        self.by_id.get(id)
    }

    /// Iterates over all entries.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.by_id.values()
    }

    /// Returns the endpoints of a service that take new work, in order of their ids.
    pub fn usable(&self, service: &ServiceId) -> &[Arc<Endpoint>] {
        self.usable.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Tells whether nothing is listed.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn sort_by_service(&mut self) {
        self.usable.clear();
        for endpoint in self.by_id.values().filter(|endpoint| !endpoint.is_leaving) {
            let of_service = self.usable.entry(endpoint.service.clone()).or_default();
            of_service.push(endpoint.clone());
        }
    }
}
