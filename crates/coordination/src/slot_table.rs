//! Slots of a pool's endpoints, and the choice of an endpoint with a free one.

use std::collections::BTreeSet;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::SiteId;
use sedgeridge_state::settings::EndpointChoice;

use crate::name_index::NameIndex;
use crate::pool_home::HomeEndpoint;
use crate::pool_home::SlotUsage;
use crate::pool_messages::PrefixHash;
use crate::prefix_affinity::PrefixAffinity;
use crate::random::SeededRandom;

#[derive(Debug)]
struct Endpoint {
    id: EndpointId,
    site: usize,
    configured_slots: u32,
    usable_slots: u32,
    occupied_slots: u32,
    /// Position in [`SlotTable::free_endpoints`].
    free_position: Option<usize>,
}

impl Endpoint {
    fn free_slots(&self) -> u32 {
        self.usable_slots.saturating_sub(self.occupied_slots)
    }
}

/// Slots of all endpoints. Indices stay valid when the configuration changes.
#[derive(Debug)]
pub(crate) struct SlotTable {
    choice: EndpointChoice,
    random: SeededRandom,
    endpoints: Vec<Endpoint>,
    by_id: NameIndex<EndpointId>,
    sites: NameIndex<SiteId>,
    /// Endpoints with a free slot in arbitrary order; the random baseline draws from them.
    free_endpoints: Vec<usize>,
    /// (free slots, endpoint) of endpoints with a free slot.
    by_free_slots: BTreeSet<(u32, usize)>,
    by_free_slots_at_site: Vec<BTreeSet<(u32, usize)>>,
    affinity: PrefixAffinity,
}

impl SlotTable {
    pub(crate) fn new(choice: EndpointChoice, seed: u64) -> Self {
        Self {
            choice,
            random: SeededRandom::new(seed),
            endpoints: Vec::new(),
            by_id: NameIndex::default(),
            sites: NameIndex::default(),
            free_endpoints: Vec::new(),
            by_free_slots: BTreeSet::new(),
            by_free_slots_at_site: Vec::new(),
            affinity: PrefixAffinity::default(),
        }
    }

    /// Adopts the configured endpoints; one that is missing keeps its holdings but gets no grants.
    pub(crate) fn configure(&mut self, configured: &[HomeEndpoint]) {
        let mut absent: BTreeSet<usize> = (0..self.endpoints.len()).collect();
        for endpoint in configured {
            let index = self.configure_one(endpoint);
            absent.remove(&index);
        }
        for index in absent {
            self.endpoints[index].configured_slots = 0;
            self.set_usable(index, 0);
        }
    }

    fn configure_one(&mut self, configured: &HomeEndpoint) -> usize {
        let site = self.site_index(&configured.site);
        let Some(index) = self.by_id.find(&configured.id) else {
            return self.add(configured, site);
        };
        if self.endpoints[index].site != site {
            self.update(index, |endpoint| endpoint.site = site);
        }
        if self.endpoints[index].configured_slots != configured.slots {
            self.endpoints[index].configured_slots = configured.slots;
            self.set_usable(index, configured.slots);
        }
        index
    }

    fn add(&mut self, configured: &HomeEndpoint, site: usize) -> usize {
        let index = self.endpoints.len();
        self.endpoints.push(Endpoint {
            id: configured.id.clone(),
            site,
            configured_slots: configured.slots,
            usable_slots: 0,
            occupied_slots: 0,
            free_position: None,
        });
        self.by_id.insert(configured.id.clone(), index);
        self.set_usable(index, configured.slots);
        index
    }

    /// Returns the index of a site, adding it when it is new.
    pub(crate) fn site_index(&mut self, id: &SiteId) -> usize {
        if let Some(site) = self.sites.find(id) {
            return site;
        }
        let site = self.by_free_slots_at_site.len();
        self.by_free_slots_at_site.push(BTreeSet::new());
        self.sites.insert(id.clone(), site);
        site
    }

    pub(crate) fn find(&self, id: &EndpointId) -> Option<usize> {
        self.by_id.find(id)
    }

    pub(crate) fn id(&self, endpoint: usize) -> &EndpointId {
        &self.endpoints[endpoint].id
    }

    pub(crate) fn set_usable(&mut self, endpoint: usize, usable_slots: u32) {
        self.update(endpoint, |endpoint| endpoint.usable_slots = usable_slots);
    }

    /// Occupies a slot even if none is free, because the work already runs on the endpoint.
    pub(crate) fn occupy(&mut self, endpoint: usize) {
        self.update(endpoint, |endpoint| endpoint.occupied_slots += 1);
    }

    pub(crate) fn release(&mut self, endpoint: usize) {
        self.update(endpoint, |endpoint| endpoint.occupied_slots -= 1);
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        !self.free_endpoints.is_empty()
    }

    pub(crate) fn usage(&self, endpoint: usize) -> SlotUsage {
        let endpoint = &self.endpoints[endpoint];
        SlotUsage {
            usable: endpoint.usable_slots,
            occupied: endpoint.occupied_slots,
        }
    }

    /// Occupies a free slot and returns its endpoint.
    pub(crate) fn occupy_free_slot(
        &mut self,
        prefix: Option<PrefixHash>,
        site: Option<usize>,
    ) -> Option<usize> {
        let endpoint = match self.choice {
            EndpointChoice::Affinity => self.choose_by_affinity(prefix, site)?,
            EndpointChoice::Random => self.draw_random()?,
        };
        self.occupy(endpoint);
        if let Some(prefix) = prefix {
            self.affinity.served(prefix, endpoint);
        }
        Some(endpoint)
    }

    fn choose_by_affinity(&self, prefix: Option<PrefixHash>, site: Option<usize>) -> Option<usize> {
        let recent = prefix.map_or(&[][..], |prefix| self.affinity.recent(prefix));
        let warm = recent
            .iter()
            .copied()
            .find(|endpoint| self.endpoints[*endpoint].free_slots() > 0);
        warm.or_else(|| self.most_free_endpoint(site))
    }

    fn most_free_endpoint(&self, site: Option<usize>) -> Option<usize> {
        let (max_free_slots, any_site) = *self.by_free_slots.last()?;
        let near = site.and_then(|site| self.by_free_slots_at_site[site].last());
        match near {
            Some(&(free_slots, endpoint)) if free_slots == max_free_slots => Some(endpoint),
            _ => Some(any_site),
        }
    }

    fn draw_random(&mut self) -> Option<usize> {
        if self.free_endpoints.is_empty() {
            return None;
        }
        let position = self.random.index(self.free_endpoints.len());
        Some(self.free_endpoints[position])
    }

    /// Changes an endpoint and updates the indices of free slots.
    fn update(&mut self, index: usize, change: impl FnOnce(&mut Endpoint)) {
        let endpoint = &mut self.endpoints[index];
        let before = (endpoint.free_slots(), endpoint.site);
        change(endpoint);
        let after = (endpoint.free_slots(), endpoint.site);
        if before == after {
            return;
        }
        if before.0 > 0 {
            self.by_free_slots.remove(&(before.0, index));
            self.by_free_slots_at_site[before.1].remove(&(before.0, index));
        }
        if after.0 > 0 {
            self.by_free_slots.insert((after.0, index));
            self.by_free_slots_at_site[after.1].insert((after.0, index));
        }
        self.set_listed_as_free(index, after.0 > 0);
    }

    fn set_listed_as_free(&mut self, index: usize, is_free: bool) {
        match (self.endpoints[index].free_position, is_free) {
            (None, true) => {
                self.endpoints[index].free_position = Some(self.free_endpoints.len());
                self.free_endpoints.push(index);
            }
            (Some(position), false) => {
                self.endpoints[index].free_position = None;
                self.free_endpoints.swap_remove(position);
                if let Some(&moved) = self.free_endpoints.get(position) {
                    self.endpoints[moved].free_position = Some(position);
                }
            }
            _ => {}
        }
    }
}
