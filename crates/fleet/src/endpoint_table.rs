//! The endpoints that the platform lists, by service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::ServiceId;

use crate::hashing::pair_hash;
use crate::hashing::stable_hash;

/// One run of an endpoint. A restart may keep the id; it then has a later start.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its id, which callers of the endpoint can ask it to check.
    pub id: EndpointId,
    /// Start of this run in Unix milliseconds, where the endpoint states it.
    pub started_at_ms: Option<u64>,
    /// Hash of id and start, by which hosts name the run to one another: what an earlier run had
    /// cached or in progress says nothing of this one.
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
    /// How long it stays cold, as of its entry.
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

    /// Returns a name that no other run has, for records of what runs crashed.
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
/// A change costs a look at the endpoint alone. A host that starts in a large fleet learns thousands at once, and
/// with a look at all others for each of them answers nobody for seconds.
#[derive(Debug, Default)]
pub struct EndpointTable {
    by_id: BTreeMap<EndpointId, Arc<Endpoint>>,
    by_service: HashMap<ServiceId, ServiceEndpoints>,
}

/// The endpoints of one service.
#[derive(Debug, Default)]
struct ServiceEndpoints {
    /// All of them, those that leave included.
    count: usize,
    /// Those that take new work, in order of their ids.
    usable: Vec<Arc<Endpoint>>,
}

impl ServiceEndpoints {
    fn add(&mut self, endpoint: &Arc<Endpoint>) {
        self.count += 1;
        if endpoint.is_leaving {
            return;
        }
        if let Err(at) = self.place_of(&endpoint.id) {
            self.usable.insert(at, endpoint.clone());
        }
    }

    fn take_out(&mut self, endpoint: &Endpoint) {
        self.count -= 1;
        if let Ok(at) = self.place_of(&endpoint.id) {
            self.usable.remove(at);
        }
    }

    fn place_of(&self, id: &EndpointId) -> Result<usize, usize> {
        self.usable.binary_search_by(|known| known.id.cmp(id))
    }
}

impl EndpointTable {
    /// Takes in a new or changed entry. Returns the earlier run that it replaces.
    ///
    /// An entry of a run before the known one changes nothing: it was on its way when the endpoint
    /// restarted. One that states no start counts as earlier than any that does.
    pub fn put(&mut self, mut endpoint: Endpoint) -> Option<Arc<Endpoint>> {
        let known = self.by_id.get(&endpoint.id);
        if known.is_some_and(|known| known.started_at_ms > endpoint.started_at_ms) {
            return None;
        }
        let same_run = known.filter(|known| known.key == endpoint.key);
        // A run that is leaving does not come back.
        endpoint.is_leaving |= same_run.is_some_and(|known| known.is_leaving);
        let endpoint = Arc::new(endpoint);
        let before = self.remove(&endpoint.id);
        let of_service = self.by_service.entry(endpoint.service.clone()).or_default();
        of_service.add(&endpoint);
        self.by_id.insert(endpoint.id.clone(), endpoint.clone());
        before.filter(|before| before.key != endpoint.key)
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: &EndpointId) -> Option<Arc<Endpoint>> {
        let removed = self.by_id.remove(id)?;
        if let Some(of_service) = self.by_service.get_mut(&removed.service) {
            of_service.take_out(&removed);
        }
        Some(removed)
    }

    /// Marks a run as leaving; tells whether that was news. A later run under the same id stays.
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

    /// Iterates over all entries.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.by_id.values()
    }

    /// Returns the endpoints of a service that take new work, in order of their ids.
    pub fn usable(&self, service: &ServiceId) -> &[Arc<Endpoint>] {
        let of_service = self.by_service.get(service);
        of_service.map_or(&[], |it| it.usable.as_slice())
    }

    /// Tells whether a run is listed and takes new work.
    pub fn is_usable(&self, run: &Endpoint) -> bool {
        let known = self.by_id.get(&run.id);
        known.is_some_and(|known| known.key == run.key && !known.is_leaving)
    }

    /// Returns the number of a service's entries, those of endpoints that leave included.
    pub fn count(&self, service: &ServiceId) -> usize {
        self.by_service.get(service).map_or(0, |it| it.count)
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
