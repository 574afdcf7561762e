//! Makes the origins of streams known to other hosts, and asks them for the origin of a stream that a caller resumes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use sedgeridge_fleet::origin_exchange::FIND_ROUNDS;
use sedgeridge_fleet::origin_exchange::HOLD_ROUNDS;
use sedgeridge_fleet::origin_exchange::Holders;
use sedgeridge_fleet::origin_exchange::OriginEvent;
use sedgeridge_fleet::origin_exchange::OriginExchange;
use sedgeridge_fleet::origin_exchange::OutgoingMessage;
use sedgeridge_fleet::origin_exchange::ROUND_TIME;
use sedgeridge_fleet::origin_message::OriginMessage;
use sedgeridge_fleet::stream_origin::ResumableStream;
use sedgeridge_fleet::stream_origin::StreamKey;
use sedgeridge_fleet::stream_origin::StreamOrigin;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::gateway::Gateway;
use crate::meters;
use crate::wire::WireFormat;

/// Origins that this host knows, messages to be sent, and tasks that wait for answers.
#[derive(Debug)]
pub struct StreamOrigins {
    exchange: RefCell<OriginExchange>,
    outgoing: RefCell<Vec<OutgoingMessage>>,
    has_outgoing: Notify,
    waiting: RefCell<HashMap<StreamKey, Vec<oneshot::Sender<OriginEvent>>>>,
}

/// Where the origin of a resumed stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// This host knew it.
    OwnHost,
    /// Another host knew it.
    OtherHost,
    /// The caller did not name the stream, and there is only one software version at which it can have begun.
    SoleVersion,
}

impl OriginSource {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OwnHost => "own_host",
            Self::OtherHost => "other_host",
            Self::SoleVersion => "sole_version",
        }
    }
}

impl StreamOrigins {
    /// Creates the state of a host that knows no stream. `host` is the hash of its name.
    pub fn new(host: u64) -> Self {
        Self {
            exchange: RefCell::new(OriginExchange::new(host)),
            outgoing: RefCell::default(),
            has_outgoing: Notify::new(),
            waiting: RefCell::default(),
        }
    }

    /// Returns the number of streams whose origin this host knows.
    pub fn known_streams(&self) -> usize {
        self.exchange.borrow().known_streams()
    }

    /// Waits for messages to other hosts and takes them.
    pub async fn take_outgoing(&self) -> Vec<OutgoingMessage> {
        loop {
            let outgoing = std::mem::take(&mut *self.outgoing.borrow_mut());
            if !outgoing.is_empty() {
                return outgoing;
            }
            self.has_outgoing.notified().await;
        }
    }

    /// Asks hosts for the origin of a stream. `None` if none of them knows it, or answers in time.
    pub async fn ask(&self, stream: StreamKey, holders: Holders) -> Option<StreamOrigin> {
        self.exchange.borrow_mut().begin_search(stream, holders);
        let _search = SearchGuard {
            origins: self,
            stream,
        };
        let mut answer = self.wait_for_event(stream);
        for _ in 0..FIND_ROUNDS {
            let messages = self.exchange.borrow().find_messages(stream);
            self.send(messages);
            if let Ok(answer) = timeout(ROUND_TIME, &mut answer).await {
                return match answer {
                    Ok(OriginEvent::Found(origin)) => Some(origin),
                    Ok(OriginEvent::Held | OriginEvent::Unknown) | Err(_) => None,
                };
            }
        }
        None
    }

    /// Returns the number of streams whose origin is being asked for.
    pub fn searches(&self) -> usize {
        self.exchange.borrow().searches()
    }

    fn send(&self, messages: Vec<OutgoingMessage>) {
        self.outgoing.borrow_mut().extend(messages);
        self.has_outgoing.notify_one();
    }

    fn wait_for_event(&self, stream: StreamKey) -> oneshot::Receiver<OriginEvent> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(stream).or_default().push(sender);
        receiver
    }

    fn on_event(&self, stream: StreamKey, event: OriginEvent) {
        let waiting = self.waiting.borrow_mut().remove(&stream);
        for sender in waiting.into_iter().flatten() {
            // The receiver is gone if its task has stopped waiting.
            let _ = sender.send(event);
        }
    }

    /// Forgets tasks that have stopped waiting for a stream. Returns whether none is left.
    fn drop_waiting(&self, stream: StreamKey) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let Some(senders) = waiting.get_mut(&stream) else {
            return true;
        };
        senders.retain(|sender| !sender.is_closed());
        let is_last = senders.is_empty();
        if is_last {
            waiting.remove(&stream);
        }
        is_last
    }
}

/// Ends the search for a stream's origin with its last task, also if the task is dropped because its caller left.
struct SearchGuard<'a> {
    origins: &'a StreamOrigins,
    stream: StreamKey,
}

impl Drop for SearchGuard<'_> {
    fn drop(&mut self) {
        if self.origins.drop_waiting(self.stream) {
            let mut exchange = self.origins.exchange.borrow_mut();
            exchange.end_search(self.stream);
        }
    }
}

/// Handles a message of another host. Returns the answer to it.
pub fn receive<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    message: OriginMessage,
) -> Option<OriginMessage> {
    let origins = &gateway.origins;
    let received = origins
        .exchange
        .borrow_mut()
        .receive(gateway.now(), message);
    if let Some((stream, event)) = received.event {
        origins.on_event(stream, event);
    }
    received.reply
}

/// Makes the origin of a stream known to other hosts. Returns once one of them holds it, or none has answered for a while.
///
/// Without an answer the stream goes on all the same: its caller can't resume it at another host then, but need not, as
/// long as this host lives.
pub async fn publish<W: WireFormat, C: Clock>(
    gateway: Rc<Gateway<W, C>>,
    stream: ResumableStream,
    origin: StreamOrigin,
) {
    let origins = &gateway.origins;
    let now = gateway.now();
    let lifetime = stream.lifetime(now);
    origins
        .exchange
        .borrow_mut()
        .keep(now, stream.key, origin, lifetime);
    let holders = gateway.with_dispatcher(|dispatcher| dispatcher.origin_holders(now, stream.key));
    if holders.is_empty() {
        return;
    }
    let mut held = origins.wait_for_event(stream.key);
    for round in 0..HOLD_ROUNDS {
        let messages = OriginExchange::hold_messages(&holders, round, stream.key, origin, lifetime);
        origins.send(messages);
        if timeout(ROUND_TIME, &mut held).await.is_ok() {
            meters::count_published_origin(true);
            return;
        }
    }
    drop(held);
    origins.drop_waiting(stream.key);
    meters::count_published_origin(false);
    gateway.log(
        LogEvent::OriginUnanswered,
        &[("holders", holders.len().into())],
    );
}

/// Finds the origin of a stream that a caller resumes. `None` if no host that may hold it knows it, or answers in time.
pub async fn find<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    stream: StreamKey,
) -> Option<(StreamOrigin, OriginSource)> {
    let origins = &gateway.origins;
    let now = gateway.now();
    let known = origins.exchange.borrow().get(now, stream);
    if let Some(origin) = known {
        return Some((origin, OriginSource::OwnHost));
    }
    let holders =
        gateway.with_dispatcher(|dispatcher| dispatcher.possible_origin_holders(now, stream));
    let origin = origins.ask(stream, holders).await?;
    Some((origin, OriginSource::OtherHost))
}
