//! Reads the platform's list of live and leaving hosts in a separate thread.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

use metrics::counter;
use sedgeridge_coordination::membership::HostHint;
use sedgeridge_coordination::membership::ListedHost;
use sedgeridge_protocol::platform::HOSTS_PATH;
use sedgeridge_protocol::platform::Host;
use sedgeridge_protocol::platform::HostList;
use sedgeridge_protocol::platform::HostState;
use sedgeridge_state::ids::HostId;
use ureq::Agent;

use crate::address_agent::address_agent;
use crate::address_agent::address_config;

/// Time between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Longest list that is read: eight times the list of 400 hosts and 2,200 endpoints at about 100 bytes each.
const MAX_LIST_BYTES: u64 = 2 << 20;

/// Starts the thread. It converts each list that it reads with `wrap` and sends it to `inputs`.
///
/// A failed read changes nothing: the last list stays in use, since an outage of the platform says nothing
/// about the hosts.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start_host_list_reads<I: Send + 'static>(
    address: SocketAddr,
    call_timeout: Duration,
    inputs: &SyncSender<I>,
    wrap: fn(Vec<ListedHost>) -> I,
) -> io::Result<()> {
    let inputs = inputs.clone();
    let agent = address_agent(address_config().timeout_global(Some(call_timeout)).build());
    thread::Builder::new()
        .name("host-list".into())
        .spawn(move || run_reads(&agent, address, &inputs, wrap))?;
    Ok(())
}

fn run_reads<I>(
    agent: &Agent,
    address: SocketAddr,
    inputs: &SyncSender<I>,
    wrap: fn(Vec<ListedHost>) -> I,
) {
    loop {
        let list = read(agent, address);
        let result = if list.is_some() { "read" } else { "failed" };
        counter!("sedgeridge_host_list_reads_total", "result" => result).increment(1);
        if let Some(list) = list
            && inputs.send(wrap(list)).is_err()
        {
            return;
        }
        thread::sleep(READ_INTERVAL);
    }
}

fn read(agent: &Agent, address: SocketAddr) -> Option<Vec<ListedHost>> {
    let url = format!("http://{address}{HOSTS_PATH}");
    let mut response = agent.get(url).call().ok()?;
    let body = response.body_mut().with_config().limit(MAX_LIST_BYTES);
    let body = body.read_to_vec().ok()?;
    let list: HostList = serde_json::from_slice(&body).ok()?;
    Some(list.hosts.iter().map(listed_host).collect())
}

fn listed_host(host: &Host) -> ListedHost {
    ListedHost {
        host: HostId::from(host.name.as_str()),
        hint: match host.state {
            HostState::Live => HostHint::Live,
            HostState::Leaving => HostHint::Leaving,
        },
    }
}
