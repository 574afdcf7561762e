//! Queue of a stream's events between the task that reads them from an endpoint and the connection of their caller.
//!
//! A stream is complete only if its sender says so. If the sender is dropped for any other reason, the receiver ends with
//! an error, however full the queue was, so that an interrupted response never looks complete.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::Stream;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::caller_connection;
use crate::endpoint_pool;
use crate::held_memory::HeldMemory;

/// Bytes that are queued for a slow caller before reading from its endpoint pauses.
const MAX_QUEUED_BYTES: usize = 64 * 1024;
/// Memory that a queued chunk takes beside its bytes.
const CHUNK_OVERHEAD_BYTES: usize = 128;
/// Buffers that are full only while a queue is: that of the connection to the caller, and two of that to the endpoint, which
/// hyper replaces while chunks of the one before are in use.
const FULL_BUFFERS_BYTES: usize =
    caller_connection::MAX_BUFFERED_BYTES + 2 * endpoint_pool::MAX_BUFFERED_BYTES;

/// A stream ended before its last event.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("the stream ended before the response was complete")]
pub struct StreamInterrupted;

/// Sending end of a queue.
#[derive(Debug)]
pub struct StreamSender {
    chunks: mpsc::UnboundedSender<Bytes>,
    state: Rc<QueueState>,
}

/// Receiving end of a queue.
#[derive(Debug)]
pub struct StreamReceiver {
    chunks: mpsc::UnboundedReceiver<Bytes>,
    state: Rc<QueueState>,
    has_ended: bool,
}

#[derive(Debug)]
struct QueueState {
    queued_bytes: Cell<usize>,
    /// Notified when the receiver has taken a chunk.
    has_taken: Notify,
    has_been_full: Cell<bool>,
    is_complete: Cell<bool>,
    /// Memory of the request, which includes that of the queue.
    memory: Option<HeldMemory>,
}

/// Creates a queue whose chunks are counted in a request's memory.
///
/// ```
/// use bytes::Bytes;
/// use futures_util::StreamExt;
/// use sedgeridge_gateway::stream_queue::{StreamInterrupted, stream_queue};
///
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let (sender, mut receiver) = stream_queue(None);
/// assert!(sender.send(Bytes::from("id: 0\n\n")).await);
/// drop(sender);
/// assert_eq!(receiver.next().await, Some(Ok(Bytes::from("id: 0\n\n"))));
/// assert_eq!(receiver.next().await, Some(Err(StreamInterrupted)));
/// # });
/// ```
pub fn stream_queue(memory: Option<HeldMemory>) -> (StreamSender, StreamReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let state = Rc::new(QueueState {
        queued_bytes: Cell::new(0),
        has_taken: Notify::new(),
        has_been_full: Cell::new(false),
        is_complete: Cell::new(false),
        memory,
    });
    let sender = StreamSender {
        chunks: sender,
        state: state.clone(),
    };
    let receiver = StreamReceiver {
        chunks: receiver,
        state,
        has_ended: false,
    };
    (sender, receiver)
}

impl StreamSender {
    /// Queues a chunk, once there is room. Returns whether the caller is still connected.
    pub async fn send(&self, chunk: Bytes) -> bool {
        while self.state.queued_bytes.get() >= MAX_QUEUED_BYTES && !self.chunks.is_closed() {
            self.state.count_full_buffers();
            tokio::select! {
                () = self.state.has_taken.notified() => {}
                () = self.chunks.closed() => {}
            }
        }
        if self.chunks.is_closed() {
            return false;
        }
        self.state.add(&chunk);
        self.chunks.send(chunk).is_ok()
    }

    /// Marks the stream as complete. The receiver ends after the chunks that are queued.
    pub fn complete(self) {
        self.state.is_complete.set(true);
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl Stream for StreamReceiver {
    type Item = Result<Bytes, StreamInterrupted>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = std::task::ready!(self.chunks.poll_recv(context));
        if let Some(chunk) = chunk {
            self.state.remove(&chunk);
            return Poll::Ready(Some(Ok(chunk)));
        }
        let is_interrupted = !self.state.is_complete.get() && !self.has_ended;
        self.has_ended = true;
        Poll::Ready(is_interrupted.then_some(Err(StreamInterrupted)))
    }
}

impl Drop for StreamReceiver {
    fn drop(&mut self) {
        self.chunks.close();
        while let Ok(chunk) = self.chunks.try_recv() {
            self.state.remove(&chunk);
        }
    }
}

impl QueueState {
    /// Counts the buffers of both connections once they are full. They stay as long as the request.
    fn count_full_buffers(&self) {
        if !self.has_been_full.replace(true)
            && let Some(memory) = &self.memory
        {
            memory.add(FULL_BUFFERS_BYTES as u64);
        }
    }

    fn add(&self, chunk: &Bytes) {
        self.queued_bytes.set(self.queued_bytes.get() + chunk.len());
        if let Some(memory) = &self.memory {
            memory.add(counted_bytes(chunk));
        }
    }

    fn remove(&self, chunk: &Bytes) {
        self.queued_bytes.set(self.queued_bytes.get() - chunk.len());
        if let Some(memory) = &self.memory {
            memory.give_back(counted_bytes(chunk));
        }
        self.has_taken.notify_one();
    }
}

fn counted_bytes(chunk: &Bytes) -> u64 {
    (chunk.len() + CHUNK_OVERHEAD_BYTES) as u64
}
