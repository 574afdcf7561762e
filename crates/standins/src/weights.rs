//! `weights`: the platform's rate-limited weight store.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::spawn_local;

use sedgeridge_protocol::platform::WEIGHTS_PATH;

use crate::answer::StableHash;
use crate::configs::weights::WeightsConfig;
use crate::refusal::Refusal;
use crate::reply;
use crate::reply::BodyChunk;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::RunningServer;
use crate::server::Service;
use crate::server::SharedState;

/// Maximum size of a chunk.
const MAX_CHUNK_BYTES: u64 = 64 * 1024;

/// Starts the stand-in.
///
/// ```
/// use sedgeridge_standins::configs::weights::WeightsConfig;
///
/// let weights = sedgeridge_standins::weights::spawn(WeightsConfig::default())?;
/// assert_ne!(weights.address().port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn spawn(config: WeightsConfig) -> io::Result<RunningServer> {
    server::spawn(config.listen, move |shared| {
        let rate = Rc::new(SharedRate {
            shared,
            config,
            reserved_until: Cell::default(),
        });
        Ok(Weights { rate })
    })
}

#[derive(Debug)]
struct Weights {
    rate: Rc<SharedRate>,
}

/// The transfer rate that all downloads share.
#[derive(Debug)]
struct SharedRate {
    shared: Rc<SharedState>,
    config: WeightsConfig,
    reserved_until: Cell<Duration>,
}

impl SharedRate {
    /// Reserves the time that the bytes take at the rate, and waits for its end.
    async fn wait_for_bytes(&self, size_bytes: u64) {
        let start = self.reserved_until.get().max(self.shared.now());
        let until = start + Duration::from_secs_f64(size_bytes as f64 / self.config.bytes_per_s);
        self.reserved_until.set(until);
        tokio::time::sleep_until(self.shared.instant(until)).await;
    }
}

impl Service for Weights {
    async fn call(&self, call: &Call) -> Reply {
        let name = call.path.strip_prefix(WEIGHTS_PATH);
        match (&call.method, name) {
            (&Method::GET, Some(name)) if name.len() > 1 => {
                let fill_byte = StableHash::new().field(name.as_bytes()).finish() as u8;
                let (sender, chunks) = unbounded_channel();
                spawn_local(send(Rc::clone(&self.rate), fill_byte, sender));
                let break_after = call
                    .plan
                    .drop_after_events
                    .map(|chunks| (chunks, Rc::clone(&call.link)));
                reply::stream(chunks, break_after)
            }
            _ => Refusal::NotFound.into(),
        }
    }
}

async fn send(rate: Rc<SharedRate>, fill_byte: u8, chunks: UnboundedSender<BodyChunk>) {
    let mut remaining_bytes = rate.config.size_bytes;
    while remaining_bytes > 0 {
        let size_bytes = remaining_bytes.min(MAX_CHUNK_BYTES);
        rate.wait_for_bytes(size_bytes).await;
        let chunk = Bytes::from(vec![fill_byte; size_bytes as usize]);
        if chunks.send(BodyChunk::Data(chunk)).is_err() {
            return;
        }
        remaining_bytes -= size_bytes;
    }
    // Sending fails only after the caller has disconnected.
    let _ = chunks.send(BodyChunk::End);
}
