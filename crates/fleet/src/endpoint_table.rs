//! Holds the endpoints that the platform lists, by service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nohash_hasher::IntMap;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::ServiceId;

use crate::hashing::pair_hash;
use crate::hashing::stable_hash;
use crate::home_ring::HomeRing;
use crate::stream_origin::StreamOrigin;

/// One run of an endpoint. A restart may keep the id; the new run then has a later start.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Id, which callers of the endpoint can ask it to check.
    pub id: EndpointId,
    /// Start of this run in Unix milliseconds, if the endpoint states it.
    pub started_at_ms: Option<u64>,
    /// Hash of id and start, by which hosts refer to the run in reports. Cached prompts and work in
    /// progress of an earlier run do not apply to this one.
    pub key: u64,
    /// Service that it runs.
    pub service: ServiceId,
    /// Version of its software.
    pub software_version: Arc<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop and takes no new work.
    pub is_leaving: bool,
    /// Time for which it stays cold, according to its entry.
    pub cold_for: Duration,
}

impl Endpoint {
    /// Returns the hash of a run.
    ///
    /// ```
    /// use sedgeridge_fleet::endpoint_table::Endpoint;
    /// use sedgeridge_state::ids::EndpointId;
    ///
    /// let id = EndpointId::from("desk-1");
    /// assert_ne!(Endpoint::key_of(&id, Some(5)), Endpoint::key_of(&id, Some(6)));
    /// ```
    pub fn key_of(id: &EndpointId, started_at_ms: Option<u64>) -> u64 {
        let id = stable_hash(id.as_str());
        started_at_ms.map_or(id, |started_at_ms| pair_hash(id, started_at_ms))
    }

    /// Returns a name that is unique to this run, for records of the runs that crashed.
    pub fn run_name(&self) -> EndpointId {
        match self.started_at_ms {
            Some(started_at_ms) => {
                EndpointId::from(format!("{}@{started_at_ms}", self.id).as_str())
            }
            None => self.id.clone(),
        }
    }
}

/// The listed endpoints.
///
/// A change looks at the changed endpoint only. A host that starts in a large fleet learns of
/// thousands of endpoints at once. If each of them took a look at all others, the host would answer
/// no request for seconds.
#[derive(Debug, Default)]
pub struct EndpointTable {
    by_id: BTreeMap<EndpointId, Arc<Endpoint>>,
    by_key: IntMap<u64, Arc<Endpoint>>,
    by_service: HashMap<ServiceId, ServiceEndpoints>,
    /// Endpoints that take new work, in order of their ids, by the origin of the streams that they begin.
    by_origin: IntMap<u64, Vec<Arc<Endpoint>>>,
}

/// The endpoints of one service.
#[derive(Debug, Default)]
struct ServiceEndpoints {
    /// Number of all endpoints, including those that are leaving.
    count: usize,
    /// Endpoints that take new work, in order of their ids.
    usable: Vec<Arc<Endpoint>>,
    /// The same endpoints, as homes of prompts.
    homes: HomeRing,
}

impl ServiceEndpoints {
    fn add(&mut self, endpoint: &Arc<Endpoint>) {
        self.count += 1;
        if endpoint.is_leaving {
            return;
        }
        if let Err(at) = self.position_of(&endpoint.id) {
            self.usable.insert(at, endpoint.clone());
            self.homes.insert(endpoint.key);
        }
    }

    fn remove(&mut self, endpoint: &Endpoint) {
        self.count -= 1;
        if let Ok(at) = self.position_of(&endpoint.id) {
            let removed = self.usable.remove(at);
            self.homes.remove(removed.key);
        }
    }

    fn position_of(&self, id: &EndpointId) -> Result<usize, usize> {
        position_of(&self.usable, id)
    }
}

/// Returns the position of an id among endpoints in order of their ids, or the one at which it would be inserted.
fn position_of(endpoints: &[Arc<Endpoint>], id: &EndpointId) -> Result<usize, usize> {
    endpoints.binary_search_by(|known| known.id.cmp(id))
}

impl EndpointTable {
    /// Adds a new or changed entry. Returns the earlier run that it replaces.
    ///
    /// An entry of an earlier run than the known one is ignored: it was on its way when the
    /// endpoint restarted. An entry without a start counts as earlier than any with one.
    pub fn put(&mut self, mut endpoint: Endpoint) -> Option<Arc<Endpoint>> {
        let known = self.by_id.get(&endpoint.id);
        if known.is_some_and(|known| known.started_at_ms > endpoint.started_at_ms) {
            return None;
        }
        let same_run = known.filter(|known| known.key == endpoint.key);
        // A leaving run does not come back.
        endpoint.is_leaving |= same_run.is_some_and(|known| known.is_leaving);
        let endpoint = Arc::new(endpoint);
        let replaced = self.remove(&endpoint.id);
        let service_endpoints = self.by_service.entry(endpoint.service.clone()).or_default();
        service_endpoints.add(&endpoint);
        self.add_by_origin(&endpoint);
        self.by_id.insert(endpoint.id.clone(), endpoint.clone());
        self.by_key.insert(endpoint.key, endpoint.clone());
        replaced.filter(|replaced| replaced.key != endpoint.key)
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: &EndpointId) -> Option<Arc<Endpoint>> {
        let removed = self.by_id.remove(id)?;
        self.by_key.remove(&removed.key);
        if let Some(service_endpoints) = self.by_service.get_mut(&removed.service) {
            service_endpoints.remove(&removed);
        }
        self.remove_by_origin(&removed);
        Some(removed)
    }

    fn add_by_origin(&mut self, endpoint: &Arc<Endpoint>) {
        if endpoint.is_leaving {
            return;
        }
        let StreamOrigin(origin) = StreamOrigin::of(endpoint);
        let usable = self.by_origin.entry(origin).or_default();
        if let Err(at) = position_of(usable, &endpoint.id) {
            usable.insert(at, endpoint.clone());
        }
    }

    fn remove_by_origin(&mut self, endpoint: &Endpoint) {
        let StreamOrigin(origin) = StreamOrigin::of(endpoint);
        let Some(usable) = self.by_origin.get_mut(&origin) else {
            return;
        };
        if let Ok(at) = position_of(usable, &endpoint.id) {
            usable.remove(at);
        }
        if usable.is_empty() {
            self.by_origin.remove(&origin);
        }
    }

    /// Marks a run as leaving. Returns whether it was not marked before. A later run under the same
    /// id is not changed.
    pub fn set_leaving(&mut self, run: &Endpoint) -> bool {
        let known = self.by_id.get(&run.id);
        let known = known.filter(|known| known.key == run.key && !known.is_leaving);
        let Some(known) = known else {
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

    /// Returns an endpoint by the key of its run.
    pub fn get_by_key(&self, key: u64) -> Option<&Arc<Endpoint>> {
        self.by_key.get(&key)
    }

    /// Returns the ring of a service's endpoints that take new work; `None` if it has none.
    pub fn home_ring(&self, service: &ServiceId) -> Option<&HomeRing> {
        self.by_service.get(service).map(|it| &it.homes)
    }

    /// Iterates over all entries.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.by_id.values()
    }

    /// Returns the endpoints of a service that take new work, in order of their ids.
    pub fn usable(&self, service: &ServiceId) -> &[Arc<Endpoint>] {
        let service_endpoints = self.by_service.get(service);
        service_endpoints.map_or(&[], |it| it.usable.as_slice())
    }

    /// Returns the endpoints that begin streams with this origin and take new work, in order of their ids.
    pub fn with_origin(&self, origin: StreamOrigin) -> &[Arc<Endpoint>] {
        let usable = self.by_origin.get(&origin.0);
        usable.map_or(&[], Vec::as_slice)
    }

    /// Returns whether a run is listed and takes new work.
    pub fn is_usable(&self, run: &Endpoint) -> bool {
        let known = self.by_id.get(&run.id);
        known.is_some_and(|known| known.key == run.key && !known.is_leaving)
    }

    /// Returns the number of a service's entries, including those of leaving endpoints.
    pub fn count(&self, service: &ServiceId) -> usize {
        self.by_service.get(service).map_or(0, |it| it.count)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether nothing is listed.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
