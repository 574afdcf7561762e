//! `hosts`: the platform's lagging list of live and leaving hosts.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;

use sedgeridge_protocol::platform::HOSTS_PATH;
use sedgeridge_protocol::platform::Host;
use sedgeridge_protocol::platform::HostList;

use crate::configs::hosts::HostsConfig;
use crate::refusal::Refusal;
use crate::reply;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::RunningServer;
use crate::server::Service;
use crate::server::SharedState;

/// Starts the stand-in.
///
/// ```
/// use sedgeridge_standins::configs::hosts::HostsConfig;
///
/// let hosts = sedgeridge_standins::hosts::spawn(HostsConfig::default())?;
/// assert_ne!(hosts.address().port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn spawn(config: HostsConfig) -> io::Result<RunningServer> {
    server::spawn(config.listen, move |shared| {
        Ok(Hosts {
            shared,
            config,
            lists: RefCell::default(),
        })
    })
}

#[derive(Debug)]
struct Hosts {
    shared: Rc<SharedState>,
    config: HostsConfig,
    lists: RefCell<VecDeque<DatedList>>,
}

/// A host list and the time of its order.
#[derive(Debug)]
struct DatedList {
    since: Duration,
    hosts: Vec<Host>,
}

/// The body of a control order that replaces the list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostsOrder {
    hosts: Vec<Host>,
}

impl Hosts {
    fn lag(&self) -> Duration {
        Duration::from_millis(self.config.lag_ms)
    }

    fn replace(&self, hosts: Vec<Host>) {
        let since = self.shared.now();
        self.lists
            .borrow_mut()
            .push_back(DatedList { since, hosts });
    }

    fn list(&self, lag: Duration) -> Reply {
        let as_of = self.shared.now().saturating_sub(lag);
        let lists = self.lists.borrow();
        let hosts = lists
            .iter()
            .rfind(|list| list.since <= as_of)
            .map(|list| list.hosts.clone())
            .unwrap_or_default();
        let age_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        reply::json(StatusCode::OK, &HostList { hosts, age_ms })
    }
}

impl Service for Hosts {
    async fn call(&self, call: &Call) -> Reply {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, HOSTS_PATH) => self.list(self.lag().max(call.plan.read_age)),
            _ => Refusal::NotFound.into(),
        }
    }

    fn control(&self, body: &[u8]) -> Option<Reply> {
        let order: HostsOrder = serde_json::from_slice(body).ok()?;
        self.replace(order.hosts);
        Some(reply::text(StatusCode::OK, "replaced"))
    }
}
