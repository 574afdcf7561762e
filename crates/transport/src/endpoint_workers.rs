//! The pool of worker threads that run attempts, one at a time each.

use std::io;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use crate::core::CoreInput;
use crate::endpoint_call::AttemptSpec;
use crate::endpoint_call::EndpointClients;

/// Stack size of a worker. It is small because a worker has no large values on its stack, and a router has one
/// worker for each running request.
const WORKER_STACK_BYTES: usize = 256 << 10;

/// Identifies a worker thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerId(usize);

/// Runs attempts on idle workers, and starts a new worker when none is idle.
///
/// The number of workers is bounded by the slots that are granted to the router.
#[derive(Debug)]
pub struct EndpointWorkers {
    clients: EndpointClients,
    core: SyncSender<CoreInput>,
    workers: Vec<SyncSender<AttemptSpec>>,
    idle_workers: Vec<WorkerId>,
}

impl EndpointWorkers {
    /// Creates an empty pool whose workers report to `core`.
    pub fn new(clients: EndpointClients, core: SyncSender<CoreInput>) -> Self {
        Self {
            clients,
            core,
            workers: Vec::new(),
            idle_workers: Vec::new(),
        }
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Fails if a new thread is needed and cannot be started; the attempt has not begun in that case.
    pub fn start(&mut self, spec: AttemptSpec) -> io::Result<()> {
        let id = match self.idle_workers.pop() {
            Some(id) => id,
            None => self.spawn()?,
        };
        self.workers[id.0]
            .send(spec)
            .map_err(|_| io::Error::other("endpoint worker has ended"))
    }

    /// Returns a worker that has finished its attempt to the pool.
    pub fn release(&mut self, id: WorkerId) {
        self.idle_workers.push(id);
    }

    fn spawn(&mut self) -> io::Result<WorkerId> {
        let id = WorkerId(self.workers.len());
        let (sender, inbox) = sync_channel::<AttemptSpec>(1);
        let clients = self.clients.clone();
        let core = self.core.clone();
        thread::Builder::new()
            .name(format!("endpoint-{}", id.0))
            .stack_size(WORKER_STACK_BYTES)
            .spawn(move || {
                for spec in inbox {
                    let attempt = spec.attempt;
                    let result = clients.run(&spec, &core);
                    drop(spec);
                    let input = CoreInput::AttemptEnded {
                        attempt,
                        result,
                        worker: id,
                    };
                    if core.send(input).is_err() {
                        return;
                    }
                }
            })?;
        self.workers.push(sender);
        Ok(id)
    }
}
