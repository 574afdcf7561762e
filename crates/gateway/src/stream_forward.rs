//! Passes a stream of events on to its caller, and goes on at another endpoint if one breaks off.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::event_stream::EventSplitter;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::Verdict;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::answer::STREAM_DEPTH;
use crate::answer::StreamCut;
use crate::attempt;
use crate::attempt::EndpointAnswer;
use crate::attempt::Outgoing;
use crate::clock::Clock;
use crate::core::Core;
use crate::core::RequestGuard;
use crate::event_log::LogEvent;
use crate::meters;
use crate::wire::WireFormat;

/// A stream in progress.
#[derive(Debug)]
pub struct StreamForwarder<W: WireFormat, C: Clock> {
    /// The router's state.
    pub core: Rc<Core<W, C>>,
    /// Ends the request with the stream.
    pub guard: RequestGuard<W, C>,
    /// The request.
    pub id: RequestId,
    /// The request as it goes to endpoints.
    pub outgoing: Outgoing,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the first event of the present attempt has come.
    pub has_begun: bool,
    /// Whether the caller has let as many events wait as are kept for it.
    pub is_caller_slow: bool,
}

/// Why no more events are passed on.
enum StreamEnd {
    Complete,
    Broken(Failure),
    CallerLeft,
}

type Pieces = mpsc::Sender<Result<Bytes, StreamCut>>;

impl<W: WireFormat, C: Clock> StreamForwarder<W, C> {
    /// Starts passing on, and returns the pieces for the caller's answer.
    pub fn start(
        self,
        endpoint: Arc<Endpoint>,
        answer: EndpointAnswer,
    ) -> mpsc::Receiver<Result<Bytes, StreamCut>> {
        let (sender, receiver) = mpsc::channel(STREAM_DEPTH);
        spawn_local(self.run(endpoint, answer, sender));
        receiver
    }

    async fn run(mut self, endpoint: Arc<Endpoint>, answer: EndpointAnswer, pieces: Pieces) {
        let left = self.outgoing.deadline.saturating_sub(self.core.now());
        let passing = timeout(left, self.pass(endpoint, answer, &pieces));
        match passing.await {
            Ok(true) => {
                meters::served(self.repeat);
                self.guard.complete();
                return;
            }
            Ok(false) => {}
            Err(_) => self.guard.time_out(),
        }
        // The caller is gone already, or must see that the answer is not complete.
        let _ = pieces.try_send(Err(StreamCut));
    }

    /// Passes events on until the end; returns whether the answer is complete.
    async fn pass(
        &mut self,
        mut endpoint: Arc<Endpoint>,
        mut answer: EndpointAnswer,
        pieces: &Pieces,
    ) -> bool {
        let mut splitter = EventSplitter::default();
        loop {
            let end = self
                .pass_one(&endpoint, answer, &mut splitter, pieces)
                .await;
            let failure = match end {
                StreamEnd::Complete => return true,
                StreamEnd::CallerLeft => return false,
                StreamEnd::Broken(failure) => failure,
            };
            splitter.drop_partial();
            self.has_begun = false;
            self.outgoing.last_event_id = splitter.last_id().or(self.outgoing.last_event_id);
            self.log_break(&endpoint, failure);
            let Some(next) = self.resume(failure, pieces).await else {
                return false;
            };
            (endpoint, answer) = next;
        }
    }

    fn log_break(&self, endpoint: &Endpoint, failure: Failure) {
        meters::attempt_failed(failure.as_str());
        let fields = [
            ("request", (*self.outgoing.id).into()),
            ("endpoint", endpoint.id.as_str().into()),
            ("failure", failure.as_str().into()),
            ("last_event", self.outgoing.last_event_id.into()),
        ];
        self.core.log(LogEvent::AttemptFailed, &fields);
    }

    /// Passes the events of one endpoint on.
    async fn pass_one(
        &mut self,
        endpoint: &Endpoint,
        answer: EndpointAnswer,
        splitter: &mut EventSplitter,
        pieces: &Pieces,
    ) -> StreamEnd {
        let EndpointAnswer {
            mut body,
            connection,
            keep_alive,
            is_kept_open,
            ..
        } = answer;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = pieces.closed() => return StreamEnd::CallerLeft,
            };
            let data = match frame {
                None => break,
                Some(Err(_)) => return StreamEnd::Broken(Failure::ConnectionLost),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let events = splitter.push(&data);
            if splitter.is_too_long() {
                return StreamEnd::Broken(Failure::SpoiledAnswer);
            }
            if events.is_empty() {
                continue;
            }
            if !std::mem::replace(&mut self.has_begun, true) {
                self.core.handle(DispatchEvent::FirstPiece(self.id));
            }
            if !self.hand_over(pieces, Bytes::from(events)).await {
                return StreamEnd::CallerLeft;
            }
        }
        if splitter.has_partial_event() {
            return StreamEnd::Broken(Failure::SpoiledAnswer);
        }
        if is_kept_open {
            attempt::keep(&self.core, endpoint, connection, keep_alive);
        }
        StreamEnd::Complete
    }

    /// Hands events over for the caller; tells whether it is still there.
    async fn hand_over(&mut self, pieces: &Pieces, events: Bytes) -> bool {
        let length = events.len();
        let Err(TrySendError::Full(events)) = pieces.try_send(Ok(events)) else {
            return !pieces.is_closed();
        };
        if !std::mem::replace(&mut self.is_caller_slow, true) {
            // From here on the stream may hold this much until the caller reads.
            self.guard.hold_answer((STREAM_DEPTH * length) as u64);
        }
        pieces.send(events).await.is_ok()
    }

    /// Sends the request on to other endpoints until one goes on with the stream.
    async fn resume(
        &mut self,
        failure: Failure,
        pieces: &Pieces,
    ) -> Option<(Arc<Endpoint>, EndpointAnswer)> {
        let mut waiting = self.core.attempt_failed(self.id, &self.outgoing, failure);
        loop {
            let verdict = tokio::select! {
                verdict = self.core.verdict(waiting) => verdict,
                () = pieces.closed() => return None,
            };
            let Verdict::Send(endpoint) = verdict else {
                self.guard.cut();
                return None;
            };
            let sent = tokio::select! {
                sent = attempt::send(&self.core, &self.outgoing, &endpoint) => sent,
                () = pieces.closed() => return None,
            };
            match sent {
                Ok(answer) if answer.head.status.is_success() => return Some((endpoint, answer)),
                Ok(_) => {
                    waiting =
                        self.core
                            .attempt_failed(self.id, &self.outgoing, Failure::ServerError);
                }
                Err(failure) => {
                    waiting = self.core.attempt_failed(self.id, &self.outgoing, failure);
                }
            }
        }
    }
}
