//! Forwards a stream of events to its caller, and resumes it at another endpoint if one breaks off.

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
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::attempt;
use crate::attempt::EndpointResponse;
use crate::attempt::OutgoingRequest;
use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::gateway::Gateway;
use crate::gateway::RequestGuard;
use crate::meters;
use crate::request_log::log_failed_attempt;
use crate::stream_queue::StreamReceiver;
use crate::stream_queue::StreamSender;
use crate::stream_queue::stream_queue;
use crate::wire::WireFormat;

/// Number of copies of a chunk in memory: as read, split into events, written, and in buffers that have grown for it. The
/// queue counts its own chunks.
const CHUNK_COPIES: u64 = 4;

/// A stream in progress.
#[derive(Debug)]
pub struct StreamForwarder<W: WireFormat, C: Clock> {
    /// State of the router.
    pub gateway: Rc<Gateway<W, C>>,
    /// Guard of the request, which ends with the stream.
    pub guard: RequestGuard<W, C>,
    /// Id of the request.
    pub id: RequestId,
    /// The request to forward to endpoints.
    pub outgoing: OutgoingRequest,
    /// Whether and how the route's requests may be repeated.
    pub repeat: Repeat,
    /// Makes the origin of a resumable stream known to other hosts, until one of them holds it.
    pub publication: Option<JoinHandle<()>>,
    /// Whether the first event of the current attempt has arrived.
    pub has_first_event: bool,
    /// Length of the longest chunk so far, whose copies are counted in the request's memory.
    pub longest_chunk_bytes: u64,
}

/// Why forwarding ended.
enum StreamEnd {
    Complete,
    Broken(Failure),
    CallerLeft,
}

impl<W: WireFormat, C: Clock> StreamForwarder<W, C> {
    /// Starts forwarding. Returns the chunks of the caller's response.
    pub fn start(self, endpoint: Arc<Endpoint>, response: EndpointResponse) -> StreamReceiver {
        let (sender, receiver) = stream_queue(Some(self.guard.share_memory()));
        spawn_local(self.run(endpoint, response, sender));
        receiver
    }

    async fn run(
        mut self,
        endpoint: Arc<Endpoint>,
        response: EndpointResponse,
        sender: StreamSender,
    ) {
        let time_left = self.outgoing.deadline.saturating_sub(self.gateway.now());
        let forwarding = timeout(time_left, self.forward(endpoint, response, &sender));
        match forwarding.await {
            Ok(true) => {
                meters::count_served(self.repeat);
                self.guard.complete();
                sender.complete();
            }
            Ok(false) => {}
            Err(_) => self.guard.mark_timed_out(),
        }
    }

    /// Forwards events until the stream ends. Returns whether the response is complete.
    async fn forward(
        &mut self,
        mut endpoint: Arc<Endpoint>,
        mut response: EndpointResponse,
        sender: &StreamSender,
    ) -> bool {
        let mut splitter = EventSplitter::default();
        let first_version = endpoint.software_version.clone();
        loop {
            let end = self
                .forward_from(&endpoint, response, &mut splitter, sender)
                .await;
            let failure = match end {
                StreamEnd::Complete => return true,
                StreamEnd::CallerLeft => return false,
                StreamEnd::Broken(failure) => failure,
            };
            splitter.drop_partial();
            self.has_first_event = false;
            self.outgoing.last_event_id = splitter.last_id().or(self.outgoing.last_event_id);
            self.log_interruption(&endpoint, failure);
            let Some(next) = self.resume(failure, sender).await else {
                return false;
            };
            (endpoint, response) = next;
            self.log_continuation(&endpoint, &first_version);
        }
    }

    fn log_continuation(&self, endpoint: &Endpoint, first_version: &str) {
        meters::count_continued_stream(*endpoint.software_version == *first_version);
        let fields = [
            ("request", (*self.outgoing.id).into()),
            ("endpoint", endpoint.id.as_str().into()),
            ("version", (*endpoint.software_version).into()),
            ("first_version", first_version.into()),
            ("last_event", self.outgoing.last_event_id.into()),
        ];
        self.gateway.log(LogEvent::StreamContinued, &fields);
    }

    fn log_interruption(&self, endpoint: &Endpoint, failure: Failure) {
        let fields = [
            ("request", (*self.outgoing.id).into()),
            ("endpoint", endpoint.id.as_str().into()),
            ("version", (*endpoint.software_version).into()),
            ("failure", failure.as_str().into()),
            ("last_event", self.outgoing.last_event_id.into()),
        ];
        log_failed_attempt(&self.gateway, self.id, failure, &fields);
    }

    /// Forwards the events of one endpoint.
    async fn forward_from(
        &mut self,
        endpoint: &Endpoint,
        response: EndpointResponse,
        splitter: &mut EventSplitter,
        sender: &StreamSender,
    ) -> StreamEnd {
        let EndpointResponse {
            mut body,
            connection,
            keep_alive_timeout,
            is_reusable,
            is_unframed,
            ..
        } = response;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sender.closed() => return StreamEnd::CallerLeft,
            };
            let data = match frame {
                None => break,
                Some(Err(_)) => return StreamEnd::Broken(Failure::ConnectionLost),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let events = splitter.push(&data);
            self.count_copies(splitter.partial_bytes() as u64);
            if splitter.is_too_long() {
                return StreamEnd::Broken(Failure::SpoiledAnswer);
            }
            if events.is_empty() {
                continue;
            }
            if !std::mem::replace(&mut self.has_first_event, true) {
                self.gateway.handle(DispatchEvent::FirstPiece(self.id));
            }
            if !self.deliver(sender, Bytes::from(events)).await {
                return StreamEnd::CallerLeft;
            }
        }
        let has_begun = self.has_first_event || self.outgoing.last_event_id.is_some();
        if is_unframed && (splitter.has_partial_event() || !has_begun) {
            // A crash ends such a stream like its last event does.
            return StreamEnd::Broken(Failure::ConnectionLost);
        }
        if splitter.has_partial_event() {
            return StreamEnd::Broken(Failure::SpoiledAnswer);
        }
        if is_reusable {
            attempt::return_to_pool(&self.gateway, endpoint, connection, keep_alive_timeout);
        }
        StreamEnd::Complete
    }

    /// Queues events for the caller. Returns whether the caller is still connected.
    async fn deliver(&mut self, sender: &StreamSender, events: Bytes) -> bool {
        if let Some(publication) = self.publication.take() {
            // A caller that has an event may resume the stream at any host. The task can't be cancelled.
            let _ = publication.await;
        }
        self.count_copies(events.len() as u64);
        sender.send(events).await
    }

    fn count_copies(&mut self, chunk_bytes: u64) {
        let more = chunk_bytes.saturating_sub(self.longest_chunk_bytes);
        self.guard.add_response_memory(more * CHUNK_COPIES);
        self.longest_chunk_bytes += more;
    }

    /// Sends the request to other endpoints until one resumes the stream.
    async fn resume(
        &mut self,
        failure: Failure,
        sender: &StreamSender,
    ) -> Option<(Arc<Endpoint>, EndpointResponse)> {
        let mut receiver = self.gateway.attempt_failed(self.id, failure);
        loop {
            let verdict = tokio::select! {
                verdict = self.gateway.wait_for_verdict(receiver) => verdict,
                () = sender.closed() => return None,
            };
            let Verdict::Send(endpoint) = verdict else {
                self.guard.mark_stream_interrupted();
                return None;
            };
            let sent = tokio::select! {
                sent = attempt::send(&self.gateway, &self.outgoing, &endpoint) => sent,
                () = sender.closed() => return None,
            };
            match sent {
                Ok(next) if next.head.status.is_success() => return Some((endpoint, next)),
                Ok(_) => {
                    receiver = self.gateway.attempt_failed(self.id, Failure::ServerError);
                }
                Err(failure) => {
                    receiver = self.gateway.attempt_failed(self.id, failure);
                }
            }
        }
    }
}
