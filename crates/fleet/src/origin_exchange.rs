//! Makes the origins of streams known to other hosts before their first event, and asks these hosts when a caller resumes
//! a stream.
//!
//! The hosts that hold an origin follow from the stream's key, so that any host can ask them, also when the host that
//! began the stream is gone. A lost origin is never guessed: the stream is not resumed then.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::known_origins::KnownOrigins;
use crate::origin_message::OriginMessage;
use crate::stream_origin::StreamKey;
use crate::stream_origin::StreamOrigin;

/// Hosts that may hold an origin.
pub const HOLDERS_PER_STREAM: usize = 3;
/// Hosts that hold an origin if all of them answer. If the other hosts disagree about the list of hosts, or one holder
/// is lost, another one is found.
const USUAL_HOLDERS: usize = 2;
/// Time until the messages of a round are repeated.
pub const ROUND_TIME: Duration = Duration::from_millis(25);
/// Rounds in which hosts are asked to hold an origin. All of them together take less time than an event may be held.
pub const HOLD_ROUNDS: u32 = 3;
/// Rounds in which hosts are asked for an origin.
pub const FIND_ROUNDS: u32 = 4;

/// Other hosts that may hold the origin of a stream, the first one preferred.
pub type Holders = Vec<u64>;

/// A message and the host that gets it.
pub type OutgoingMessage = (u64, OriginMessage);

/// Result of a received message.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Answer to the sender.
    pub reply: Option<OriginMessage>,
    /// Answer about a stream, for the tasks that wait for it.
    pub event: Option<(StreamKey, OriginEvent)>,
}

/// Answer of another host about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginEvent {
    /// It holds the stream's origin.
    Held,
    /// The stream's origin is known.
    Found(StreamOrigin),
    /// All hosts that may hold the origin have answered, and none knows it.
    Unknown,
}

/// Origins that this host knows, and its questions to others.
#[derive(Debug)]
pub struct OriginExchange {
    /// Hash of this host's name.
    host: u64,
    known: KnownOrigins,
    /// Hosts that were asked for the origin of a stream and have not answered.
    unanswered: IntMap<u64, Holders>,
}

impl OriginExchange {
    /// Creates the state of a host that knows no stream.
    pub fn new(host: u64) -> Self {
        Self {
            host,
            known: KnownOrigins::default(),
            unanswered: IntMap::default(),
        }
    }

    /// Keeps the origin of a stream that this host begins or resumes.
    pub fn keep(
        &mut self,
        now: Duration,
        stream: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) {
        self.known.put(now, stream, origin, lifetime);
    }

    /// Returns the origin of a stream, if this host knows it.
    pub fn get(&self, now: Duration, stream: StreamKey) -> Option<StreamOrigin> {
        self.known.get(now, stream)
    }

    /// Returns the number of streams whose origin this host knows.
    pub fn known_streams(&self) -> usize {
        self.known.len()
    }

    /// Returns the messages of a round that asks hosts to hold an origin. The first round waits for one host only, since
    /// each answer costs processor time; the next ones for any.
    pub fn hold_messages(
        holders: &[u64],
        round: u32,
        stream: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) -> Vec<OutgoingMessage> {
        let asked = match round {
            0 => USUAL_HOLDERS,
            _ => HOLDERS_PER_STREAM,
        };
        let asked = holders.iter().take(asked).enumerate();
        let messages = asked.map(|(rank, holder)| {
            let wants_answer = rank == 0 || round > 0;
            let message = OriginMessage::hold(stream, origin, lifetime, wants_answer);
            (*holder, message)
        });
        messages.collect()
    }

    /// Begins to ask hosts for an origin, unless they are being asked already.
    pub fn begin_search(&mut self, stream: StreamKey, holders: Holders) {
        self.unanswered.entry(stream.0).or_insert(holders);
    }

    /// Returns the number of streams whose origin is being asked for.
    pub fn searches(&self) -> usize {
        self.unanswered.len()
    }

    /// Returns the messages to hosts that have not answered yet.
    pub fn find_messages(&self, stream: StreamKey) -> Vec<OutgoingMessage> {
        let unanswered = self.unanswered.get(&stream.0);
        let message = OriginMessage::Find { stream };
        let messages = unanswered.into_iter().flatten();
        messages.map(|holder| (*holder, message)).collect()
    }

    /// Ends the questions about a stream.
    pub fn end_search(&mut self, stream: StreamKey) {
        self.unanswered.remove(&stream.0);
    }

    /// Handles a message of another host.
    pub fn receive(&mut self, now: Duration, message: OriginMessage) -> Received {
        match message {
            OriginMessage::Hold {
                stream,
                origin,
                lifetime_ms,
                wants_answer,
            } => {
                let lifetime = Duration::from_millis(lifetime_ms);
                self.known.put(now, stream, origin, lifetime);
                Received {
                    reply: wants_answer.then_some(OriginMessage::Held { stream }),
                    event: None,
                }
            }
            OriginMessage::Held { stream } => Received {
                reply: None,
                event: Some((stream, OriginEvent::Held)),
            },
            OriginMessage::Find { stream } => {
                let origin = self.known.get(now, stream);
                Received {
                    reply: Some(OriginMessage::Found {
                        stream,
                        origin,
                        host: self.host,
                    }),
                    event: None,
                }
            }
            OriginMessage::Found {
                stream,
                origin,
                host,
            } => Received {
                reply: None,
                event: self.on_found(stream, origin, host),
            },
        }
    }

    fn on_found(
        &mut self,
        stream: StreamKey,
        origin: Option<StreamOrigin>,
        host: u64,
    ) -> Option<(StreamKey, OriginEvent)> {
        let unanswered = self.unanswered.get_mut(&stream.0)?;
        if let Some(origin) = origin {
            return Some((stream, OriginEvent::Found(origin)));
        }
        unanswered.retain(|asked| *asked != host);
        unanswered
            .is_empty()
            .then_some((stream, OriginEvent::Unknown))
    }
}
