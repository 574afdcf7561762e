//! What a process publishes for its operator pages.

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

/// A router's pages as last published.
#[derive(Debug, Clone, Default)]
pub struct RouterPages {
    /// The router itself.
    pub status: RouterStatus,
    /// The endpoints.
    pub endpoints: Arc<EndpointsPage>,
    /// The active client accounts.
    pub accounts: Arc<AccountsPage>,
}

/// What a process tells operators of itself.
pub trait HostStatus: Clone {
    /// Tells whether the process does its work.
    fn is_ready(&self) -> bool;

    /// Renders a page of JSON; `None` when there is no such page.
    fn page(&self, path: &str) -> Option<String>;

    /// Tells whether the configuration has an endpoint of this name.
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

    /// A coordinator lists no endpoints, so it rules none out.
    fn knows_endpoint(&self, _name: &str) -> bool {
        true
    }
}

fn json(page: &impl Serialize) -> String {
    serde_json::to_string(page).expect("a page is plain data")
}

/// Shared place of what was published last.
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
