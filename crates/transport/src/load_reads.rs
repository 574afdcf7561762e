//! Reads of endpoints' load reports, in a few separate threads.

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

/// Threads that read reports. With several, a thread that waits for a silent endpoint delays only a part of
/// the reads.
const READ_THREADS: usize = 4;
/// Reads that may wait for a thread. A read beyond them is dropped, as the next one is due soon.
const READ_CHANNEL_LEN: usize = 256;
/// Longest time for one read.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest report that is read; a valid one has about 80 bytes. With the library's limit of 10 MiB, a faulty
/// endpoint could take as much of its home's memory.
const MAX_REPORT_BYTES: u64 = 16 << 10;

/// A report to read.
#[derive(Debug)]
struct LoadRead {
    endpoint: EndpointId,
    address: SocketAddr,
}

/// Channel to the threads that read load reports.
#[derive(Debug)]
pub struct LoadReads {
    sender: SyncSender<LoadRead>,
    in_progress: BTreeSet<EndpointId>,
}

impl LoadReads {
    /// Starts the threads. They convert the result of each read with `wrap` and send it to `inputs`.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn start<I: Send + 'static>(
        inputs: &SyncSender<I>,
        wrap: fn(EndpointId, Option<EndpointLoad>) -> I,
    ) -> io::Result<Self> {
        let (sender, reads) = sync_channel(READ_CHANNEL_LEN);
        let reads = Arc::new(Mutex::new(reads));
        let agent = address_agent(
            address_config()
                .timeout_global(Some(READ_TIMEOUT))
                .http_status_as_error(true)
                .build(),
        );
        for index in 0..READ_THREADS {
            let reads = Arc::clone(&reads);
            let inputs = inputs.clone();
            let agent = agent.clone();
            thread::Builder::new()
                .name(format!("load-reads-{index}"))
                .spawn(move || run_reads(&agent, &reads, &inputs, wrap))?;
        }
        Ok(Self {
            sender,
            in_progress: BTreeSet::new(),
        })
    }

    /// Starts to read the report of an endpoint, unless a read of it is in progress.
    pub fn start_read(&mut self, endpoint: &EndpointId, address: SocketAddr) {
        if !self.in_progress.insert(endpoint.clone()) {
            return;
        }
        let read = LoadRead {
            endpoint: endpoint.clone(),
            address,
        };
        if self.sender.try_send(read).is_err() {
            counter!("sedgeridge_load_reads_total", "result" => "no_room").increment(1);
            self.in_progress.remove(endpoint);
        }
    }

    /// Records that the read of an endpoint's report ended.
    pub fn read_ended(&mut self, endpoint: &EndpointId) {
        self.in_progress.remove(endpoint);
    }
}

fn run_reads<I>(
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
