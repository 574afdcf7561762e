//! A pool of worker threads; each runs one attempt at a time.

use std::io;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use crate::core::CoreInput;
use crate::endpoint_call::AttemptSpec;
use crate::endpoint_call::EndpointClients;

/// Stack of a worker: it holds no large values, and a router has one for each request that runs.
const WORKER_STACK_BYTES: usize = 256 << 10;

/// Identifies a worker thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerId(usize);

/// Starts attempts on idle workers, and new workers when none is idle.
///
/// The slots granted to the router bound the number of workers.
#[derive(Debug)]
pub struct EndpointWorkers {
    clients: EndpointClients,
    core: SyncSender<CoreInput>,
    workers: Vec<SyncSender<AttemptSpec>>,
    idle: Vec<WorkerId>,
}

impl EndpointWorkers {
    /// Creates an empty pool whose workers report to `core`.
    pub fn new(clients: EndpointClients, core: SyncSender<CoreInput>) -> Self {
        Self {
            clients,
            core,
            workers: Vec::new(),
            idle: Vec::new(),
        }
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Fails when a new thread is needed and cannot be started; the attempt has not begun then.
    pub fn start(&mut self, order: AttemptSpec) -> io::Result<()> {
        let id = match self.idle.pop() {
            Some(id) => id,
            None => self.spawn()?,
        };
        self.workers[id.0]
            .send(order)
            .map_err(|_| io::Error::other("endpoint worker has ended"))
    }

    /// Takes a worker back that finished its attempt.
    pub fn release(&mut self, id: WorkerId) {
        self.idle.push(id);
    }

    fn spawn(&mut self) -> io::Result<WorkerId> {
        let id = WorkerId(self.workers.len());
        let (orders, inbox) = sync_channel::<AttemptSpec>(1);
        let clients = self.clients.clone();
        let core = self.core.clone();
        thread::Builder::new()
            .name(format!("endpoint-{}", id.0))
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || {
                for order in inbox {
                    let attempt = order.attempt;
                    let ended = clients.run(&order, &core);
                    drop(order);
                    let input = CoreInput::AttemptEnded {
                        attempt,
                        ended,
                        worker: id,
                    };
                    if core.send(input).is_err() {
                        return;
                    }
                }
            })?;
        self.workers.push(orders);
        Ok(id)
    }
}
