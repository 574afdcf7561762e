//! Applies membership changes to the home of a pool.

use std::time::Duration;

use sedgeridge_state::ids::Member;

use crate::pool_home::HomeAction;
use crate::pool_home::HostSite;
use crate::pool_home::PoolHome;

impl PoolHome {
    pub(crate) fn set_members(
        &mut self,
        now: Duration,
        members: &[Member],
        actions: &mut Vec<HomeAction>,
    ) {
        self.members_known = true;
        for router in self.entries.indices() {
            let host = &self.entries.record(router).member.host;
            if !members.iter().any(|member| member.host == *host) {
                self.remove_router(router);
            }
        }
        for member in members {
            self.set_member(now, member, actions);
        }
    }

    fn set_member(&mut self, now: Duration, member: &Member, actions: &mut Vec<HomeAction>) {
        if let Some(router) = self.entries.find(&member.host) {
            if self.entries.record(router).member.incarnation >= member.incarnation {
                return;
            }
            self.remove_router(router);
        }
        let router = self.add_router(member);
        self.request_full_report(now, router, actions);
    }

    pub(crate) fn add_router(&mut self, member: &Member) -> usize {
        let known_site = self
            .host_sites
            .iter()
            .find(|known| known.host == member.host);
        let site = known_site.map(|known| self.slots.site_index(&known.site));
        self.entries.add(member, site)
    }

    /// Frees everything that a router run holds: once the run has ended, its streams are cut.
    pub(crate) fn remove_router(&mut self, router: usize) {
        let ids = self.entries.record(router).grant_ids(&self.member);
        for id in ids {
            self.end_grant(router, &id);
        }
        let waiting_accounts = self.demand.remove_router(router);
        self.changed_accounts.extend(waiting_accounts);
        self.accounts.close_run(router);
        self.entries.remove(router);
    }

    pub(crate) fn set_host_sites(&mut self, host_sites: Vec<HostSite>) {
        for known in &host_sites {
            let site = self.slots.site_index(&known.site);
            if let Some(router) = self.entries.find(&known.host) {
                self.entries.record_mut(router).site = Some(site);
            }
        }
        self.host_sites = host_sites;
    }
}
