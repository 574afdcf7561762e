//! The state that a process publishes for its operator pages.

use std::sync::Arc;
use std::sync::RwLock;

use sedgeridge_protocol::coordinator::CoordinatorStatus;
use sedgeridge_protocol::operator::ACCOUNTS_PATH;
use sedgeridge_protocol::operator::AccountsPage;
use sedgeridge_protocol::operator::ENDPOINTS_PATH;
use sedgeridge_protocol::operator::EndpointsPage;
use sedgeridge_protocol::operator::STATUS_PATH;
use serde::Serialize;

pub use sedgeridge_protocol::operator::RouterStatus;

/// Content of a router's operator pages.
#[derive(Debug, Clone, Default)]
pub struct RouterPages {
    /// Status of the router itself.
    pub status: RouterStatus,
    /// The endpoints.
    pub endpoints: Arc<EndpointsPage>,
    /// The active client accounts.
    pub accounts: Arc<AccountsPage>,
}

/// State of a process that its operator pages show.
pub trait HostStatus: Clone {
    /// Returns whether the process is ready to do its work.
    fn is_ready(&self) -> bool;

    /// Renders a page as JSON; `None` if there is no such page.
    fn page(&self, path: &str) -> Option<String>;

    /// Returns whether an endpoint of this name may exist in the configuration.
    fn knows_endpoint(&self, name: &str) -> bool;
}

impl HostStatus for RouterPages {
    fn is_ready(&self) -> bool {
        self.status.ready
    }

    fn page(&self, path: &str) -> Option<String> {
        match path {
            STATUS_PATH => Some(json(&self.status)),
            ENDPOINTS_PATH => Some(json(&*self.endpoints)),
            ACCOUNTS_PATH => Some(json(&*self.accounts)),
            _ => None,
        }
    }

    fn knows_endpoint(&self, name: &str) -> bool {
        let rows = &self.endpoints.endpoints;
        rows.iter().any(|row| row.endpoint == name)
    }
}

impl HostStatus for CoordinatorStatus {
    fn is_ready(&self) -> bool {
        self.ready
    }

    fn page(&self, path: &str) -> Option<String> {
        (path == STATUS_PATH).then(|| json(self))
    }

    /// Always true, as a coordinator publishes no list of endpoints.
    fn knows_endpoint(&self, _name: &str) -> bool {
        true
    }
}

fn json(page: &impl Serialize) -> String {
    serde_json::to_string(page).expect("a page serialises to JSON")
}

/// The last published status; clones share it.
#[derive(Debug, Clone, Default)]
pub struct SharedStatus<S = RouterPages> {
    status: Arc<RwLock<S>>,
}

impl<S: Clone> SharedStatus<S> {
    /// Replaces the status.
    pub fn publish(&self, status: S) {
        *self.status.write().expect("no writer panics") = status;
    }

    /// Copies the status.
    pub fn read(&self) -> S {
        self.status.read().expect("no writer panics").clone()
    }
}
