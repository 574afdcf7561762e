//! Makes the origins of streams known to other hosts, and asks them for the origin of a stream that a caller resumes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use sedgeridge_fleet::origin_exchange::FIND_ROUNDS;
use sedgeridge_fleet::origin_exchange::KEEP_ROUNDS;
use sedgeridge_fleet::origin_exchange::OriginExchange;
use sedgeridge_fleet::origin_exchange::OriginNews;
use sedgeridge_fleet::origin_exchange::OutgoingMessage;
use sedgeridge_fleet::origin_exchange::ROUND_TIME;
use sedgeridge_fleet::origin_message::OriginMessage;
use sedgeridge_fleet::stream_origin::CallerStreamId;
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
    waiting: RefCell<HashMap<StreamKey, Vec<oneshot::Sender<OriginNews>>>>,
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

    fn send(&self, messages: Vec<OutgoingMessage>) {
        self.outgoing.borrow_mut().extend(messages);
        self.has_outgoing.notify_one();
    }

    fn wait_for_news(&self, stream: StreamKey) -> oneshot::Receiver<OriginNews> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.entry(stream).or_default().push(sender);
        receiver
    }

    fn on_news(&self, stream: StreamKey, news: OriginNews) {
        let waiting = self.waiting.borrow_mut().remove(&stream);
        for sender in waiting.into_iter().flatten() {
            // The receiver is gone if its task has stopped waiting.
            let _ = sender.send(news);
        }
    }

    /// Forgets tasks that have stopped waiting for a stream.
    fn drop_waiting(&self, stream: StreamKey) {
        let mut waiting = self.waiting.borrow_mut();
        if let Some(senders) = waiting.get_mut(&stream) {
            senders.retain(|sender| !sender.is_closed());
            if senders.is_empty() {
                waiting.remove(&stream);
            }
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
    if let Some((stream, news)) = received.news {
        origins.on_news(stream, news);
    }
    received.reply
}

/// Makes the origin of a stream known to other hosts. Returns once one of them holds it, or none has answered for a while.
///
/// Without an answer the stream goes on all the same: its caller can't resume it at another host then, but need not, as
/// long as this host lives.
pub async fn publish<W: WireFormat, C: Clock>(
    gateway: Rc<Gateway<W, C>>,
    stream: CallerStreamId,
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
    let mut kept = origins.wait_for_news(stream.key);
    for round in 0..KEEP_ROUNDS {
        let messages = OriginExchange::keep_messages(&holders, round, stream.key, origin, lifetime);
        origins.send(messages);
        if timeout(ROUND_TIME, &mut kept).await.is_ok() {
            meters::count_published_origin(true);
            return;
        }
    }
    drop(kept);
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
    if holders.is_empty() {
        return None;
    }
    origins.exchange.borrow_mut().begin_search(stream, holders);
    let news = search(origins, stream).await;
    origins.exchange.borrow_mut().end_search(stream);
    match news {
        Some(OriginNews::Found(origin)) => Some((origin, OriginSource::OtherHost)),
        Some(OriginNews::Kept | OriginNews::Unknown) | None => None,
    }
}

async fn search(origins: &StreamOrigins, stream: StreamKey) -> Option<OriginNews> {
    let mut news = origins.wait_for_news(stream);
    for _ in 0..FIND_ROUNDS {
        let messages = origins.exchange.borrow().find_messages(stream);
        origins.send(messages);
        if let Ok(news) = timeout(ROUND_TIME, &mut news).await {
            return news.ok();
        }
    }
    drop(news);
    origins.drop_waiting(stream);
    None
}
