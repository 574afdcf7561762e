//! Builds a router's operator pages and updates its metrics from the state of its [`Node`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use sedgeridge_coordination::membership::LiveMember;
use sedgeridge_coordination::membership::MemberState as LiveState;
use sedgeridge_coordination::node::Node;
use sedgeridge_coordination::node_view::AccountView;
use sedgeridge_coordination::node_view::EndpointCondition;
use sedgeridge_coordination::node_view::EndpointView;
use sedgeridge_protocol::operator::AccountRow;
use sedgeridge_protocol::operator::AccountsPage;
use sedgeridge_protocol::operator::EndpointRow;
use sedgeridge_protocol::operator::EndpointState;
use sedgeridge_protocol::operator::EndpointsPage;
use sedgeridge_protocol::operator::MemberRow;
use sedgeridge_protocol::operator::MemberState;
use sedgeridge_protocol::operator::RouterStatus;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::EndpointSettings;
use sedgeridge_state::settings::Settings;

use crate::status::RouterPages;
use crate::status::SharedStatus;

/// Time between two updates of the lists, which take longer to build than the rest.
const LISTS_INTERVAL: Duration = Duration::from_secs(1);

/// Publishes the pages of one router.
#[derive(Debug)]
pub(crate) struct RouterPublisher {
    member: Member,
    shared_status: SharedStatus,
    pages: RouterPages,
    lists_due_at: Duration,
}

/// Whether the router takes requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Phase {
    pub(crate) ready: bool,
    pub(crate) stopping: bool,
}

impl RouterPublisher {
    /// Creates a publisher for the router run `member`.
    pub(crate) fn new(member: Member, shared_status: SharedStatus) -> Self {
        Self {
            member,
            shared_status,
            pages: RouterPages::default(),
            lists_due_at: Duration::ZERO,
        }
    }

    /// Publishes the router's current state.
    pub(crate) fn publish(
        &mut self,
        now: Duration,
        node: &Node,
        settings: &Settings,
        phase: Phase,
    ) {
        if now >= self.lists_due_at {
            self.lists_due_at = now + LISTS_INTERVAL;
            self.update_lists(now, node, settings);
        }
        let load = node.load();
        let status = &mut self.pages.status;
        status.ready = phase.ready && !phase.stopping;
        status.stopping = phase.stopping;
        status.waiting = load.waiting_requests.into();
        status.running = load.running_requests as u64;
        status.homes = load.homed_pools as u64;
        status.members = load.live_members as u64;
        status.config_generation = load.config_generation;
        self.shared_status.publish(self.pages.clone());
        gauge!("sedgeridge_requests_waiting").set(f64::from(load.waiting_requests));
        gauge!("sedgeridge_requests_running").set(load.running_requests as f64);
        gauge!("sedgeridge_members_live").set(load.live_members as f64);
        gauge!("sedgeridge_pools_homed").set(load.homed_pools as f64);
        update_counters(node);
    }

    fn update_lists(&mut self, now: Duration, node: &Node, settings: &Settings) {
        let host = settings.host(self.member.host.as_str());
        self.pages.status = RouterStatus {
            host: self.member.host.to_string(),
            site: host.map_or_else(String::new, |host| host.site.to_string()),
            incarnation: self.member.incarnation.0,
            member_list: node.members().iter().map(member_row).collect(),
            ..RouterStatus::default()
        };
        self.pages.endpoints = Arc::new(endpoints_page(now, node, settings));
        self.pages.accounts = Arc::new(accounts_page(node, settings));
    }
}

fn member_row(live: &LiveMember) -> MemberRow {
    MemberRow {
        host: live.member.host.to_string(),
        incarnation: live.member.incarnation.0,
        state: match live.state {
            LiveState::Alive => MemberState::Live,
            LiveState::Leaving => MemberState::Leaving,
        },
    }
}

fn endpoints_page(now: Duration, node: &Node, settings: &Settings) -> EndpointsPage {
    let views = node.endpoint_views(now);
    let views: BTreeMap<&str, &EndpointView> = views
        .iter()
        .map(|view| (view.endpoint.as_str(), view))
        .collect();
    let rows = settings.endpoints.iter().map(|endpoint| {
        let home = node.home_of_pool(&endpoint.pool).unwrap_or_default();
        endpoint_row(endpoint, home, views.get(endpoint.id.as_str()).copied())
    });
    EndpointsPage {
        endpoints: rows.collect(),
    }
}

fn endpoint_row(
    endpoint: &EndpointSettings,
    home: &str,
    view: Option<&EndpointView>,
) -> EndpointRow {
    let report = view.and_then(|view| view.load_report);
    EndpointRow {
        endpoint: endpoint.id.to_string(),
        pool: endpoint.pool.to_string(),
        site: endpoint.site.to_string(),
        address: endpoint.address,
        state: view.map_or(EndpointState::HomedElsewhere, |view| {
            state_of(view.condition)
        }),
        slots: endpoint.slots,
        running: report.map_or(0, |report| report.load.running),
        waiting: report.map_or(0, |report| report.load.waiting),
        report_age_ms: report.map(|report| report.age.as_millis() as u64),
        usable_slots: view.map_or(0, |view| view.usable_slots),
        occupied_slots: view.map_or(0, |view| view.occupied_slots),
        home: home.to_owned(),
    }
}

fn state_of(condition: EndpointCondition) -> EndpointState {
    match condition {
        EndpointCondition::Serving => EndpointState::Serving,
        EndpointCondition::Ejected => EndpointState::Ejected,
        EndpointCondition::Leaving => EndpointState::Leaving,
    }
}

fn accounts_page(node: &Node, settings: &Settings) -> AccountsPage {
    let weights: BTreeMap<&str, u32> = settings
        .accounts
        .iter()
        .map(|account| (account.id.as_str(), account.weight))
        .collect();
    let row = |view: AccountView| AccountRow {
        weight: weights.get(view.account.as_str()).copied().unwrap_or(0),
        account: view.account.to_string(),
        pool: view.pool.to_string(),
        waiting: view.waiting_requests.into(),
        running: view.running_requests.into(),
        service_tokens: view.served_tokens,
    };
    AccountsPage {
        accounts: node.account_views().into_iter().map(row).collect(),
    }
}

/// Updates the metrics of the counters that the node keeps.
fn update_counters(node: &Node) {
    let mut rejections = BTreeMap::new();
    let (mut grants, mut timed_out, mut late) = (0, 0, 0);
    for (_, counters) in node.home_counters() {
        for (reason, count) in &counters.rejections {
            *rejections.entry(reason.label()).or_default() += count;
        }
        grants += counters.grants;
        timed_out += counters.timed_out_grants;
        late += counters.late_grants;
    }
    for (reason, count) in rejections {
        counter!("sedgeridge_home_rejections_total", "reason" => reason).absolute(count);
    }
    for (result, count) in [("given", grants), ("timed_out", timed_out), ("late", late)] {
        counter!("sedgeridge_home_grants_total", "result" => result).absolute(count);
    }
    for (reason, count) in node.membership_rejections().iter() {
        counter!("sedgeridge_membership_rejections_total", "reason" => reason.as_str())
            .absolute(count);
    }
    let mut denials = BTreeMap::new();
    for (_, denial, count) in node.retry_counts() {
        if let Some(denial) = denial {
            *denials.entry(denial.as_str()).or_default() += count;
        }
    }
    for (reason, count) in denials {
        counter!("sedgeridge_retries_denied_total", "reason" => reason).absolute(count);
    }
}
