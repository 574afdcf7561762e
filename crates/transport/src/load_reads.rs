//! Reads endpoints' load reports in a few threads of their own.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use metrics::counter;
use sedgeridge_coordination::slot_budget::EndpointLoad;
use sedgeridge_protocol::engine::LOAD_PATH;
use sedgeridge_protocol::engine::LoadReport;
use sedgeridge_state::ids::EndpointId;
use ureq::Agent;

use crate::address_agent::address_agent;
use crate::address_agent::address_config;

/// Threads that read reports; one that hangs on a silent endpoint holds up only a part of them.
const READERS: usize = 4;
/// Reads that may wait for a reader; a read that finds no room is left out, the next is soon due.
const READ_RING_LEN: usize = 256;
/// Longest time for one read.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest report; a true one has some 80 bytes. An endpoint that sends more, up to the library's 10 MiB,
/// would take as much of its home's memory.
const MAX_REPORT_BYTES: u64 = 16 << 10;

/// A report to read.
#[derive(Debug)]
struct LoadRead {
    endpoint: EndpointId,
    address: SocketAddr,
}

/// Ring to the threads that read load reports.
#[derive(Debug)]
pub struct LoadReads {
    ring: SyncSender<LoadRead>,
    under_way: BTreeSet<EndpointId>,
}

impl LoadReads {
    /// Starts the readers; each end of a read goes to `inputs` by way of `wrap`.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn start<I: Send + 'static>(
        inputs: &SyncSender<I>,
        wrap: fn(EndpointId, Option<EndpointLoad>) -> I,
    ) -> io::Result<Self> {
        let (ring, reads) = sync_channel(READ_RING_LEN);
        let reads = Arc::new(Mutex::new(reads));
        let agent = address_agent(
            address_config()
                .timeout_global(Some(READ_TIMEOUT))
                .http_status_as_error(true)
                .build(),
        );
        for index in 0..READERS {
            let reads = Arc::clone(&reads);
            let inputs = inputs.clone();
            let agent = agent.clone();
            thread::Builder::new()
                .name(format!("load-reads-{index}"))
                .spawn(move || read_all(&agent, &reads, &inputs, wrap))?;
        }
        Ok(Self {
            ring,
            under_way: BTreeSet::new(),
        })
    }

    /// Asks for a report, unless one of the endpoint is being read already.
    pub fn ask(&mut self, endpoint: &EndpointId, address: SocketAddr) {
        if !self.under_way.insert(endpoint.clone()) {
            return;
        }
        let read = LoadRead {
            endpoint: endpoint.clone(),
            address,
        };
        if self.ring.try_send(read).is_err() {
            counter!("sedgeridge_load_reads_total", "result" => "no_room").increment(1);
            self.under_way.remove(endpoint);
        }
    }

    /// Notes that a read ended.
    pub fn ended(&mut self, endpoint: &EndpointId) {
        self.under_way.remove(endpoint);
    }
}

fn read_all<I>(
    agent: &Agent,
    reads: &Mutex<Receiver<LoadRead>>,
    inputs: &SyncSender<I>,
    wrap: fn(EndpointId, Option<EndpointLoad>) -> I,
) {
    loop {
        let next = reads.lock().expect("no reader panics").recv();
        let Ok(LoadRead { endpoint, address }) = next else {
            return;
        };
        let load = read(agent, address);
        let result = if load.is_some() { "read" } else { "failed" };
        counter!("sedgeridge_load_reads_total", "result" => result).increment(1);
        if inputs.send(wrap(endpoint, load)).is_err() {
            return;
        }
    }
}

fn read(agent: &Agent, address: SocketAddr) -> Option<EndpointLoad> {
    let url = format!("http://{address}{LOAD_PATH}");
    let mut response = agent.get(url).call().ok()?;
    let body = response.body_mut().with_config().limit(MAX_REPORT_BYTES);
    let body = body.read_to_vec().ok()?;
    let report: LoadReport = serde_json::from_slice(&body).ok()?;
    Some(EndpointLoad {
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        age: Duration::from_millis(report.age_ms),
        leaving: report.leaving,
    })
}
