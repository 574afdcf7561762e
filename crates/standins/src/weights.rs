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
use crate::server::Shared;

/// Largest piece that is sent at once.
const PIECE_BYTES: u64 = 64 * 1024;

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
        let rate = Rc::new(Rate {
            shared,
            config,
            taken_until: Cell::default(),
        });
        Ok(Weights { rate })
    })
}

#[derive(Debug)]
struct Weights {
    rate: Rc<Rate>,
}

/// The transfer rate that all downloads share.
#[derive(Debug)]
struct Rate {
    shared: Rc<Shared>,
    config: WeightsConfig,
    taken_until: Cell<Duration>,
}

impl Rate {
    /// Waits until the bytes fit into the rate.
    async fn pass(&self, size_bytes: u64) {
        let start = self.taken_until.get().max(self.shared.now());
        let until = start + Duration::from_secs_f64(size_bytes as f64 / self.config.bytes_per_s);
        self.taken_until.set(until);
        tokio::time::sleep_until(self.shared.instant(until)).await;
    }
}

impl Service for Weights {
    async fn call(&self, call: &Call) -> Reply {
        let name = call.path.strip_prefix(WEIGHTS_PATH);
        match (&call.method, name) {
            (&Method::GET, Some(name)) if name.len() > 1 => {
                let fill = StableHash::new().field(name.as_bytes()).finish() as u8;
                let (sender, pieces) = unbounded_channel();
                spawn_local(send(Rc::clone(&self.rate), fill, sender));
                let break_after = call
                    .plan
                    .drop_after_events
                    .map(|left| (left, Rc::clone(&call.link)));
                reply::stream(pieces, break_after)
            }
            _ => Refusal::NotFound.into(),
        }
    }
}

async fn send(rate: Rc<Rate>, fill: u8, pieces: UnboundedSender<BodyChunk>) {
    let mut left_bytes = rate.config.size_bytes;
    while left_bytes > 0 {
        let size_bytes = left_bytes.min(PIECE_BYTES);
        rate.pass(size_bytes).await;
        let piece = Bytes::from(vec![fill; size_bytes as usize]);
        if pieces.send(BodyChunk::Data(piece)).is_err() {
            return;
        }
        left_bytes -= size_bytes;
    }
    // The caller may go at any time; there is nobody left to tell.
    let _ = pieces.send(BodyChunk::End);
}
