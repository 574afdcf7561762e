//! Tells requests that resume a stream from others, and finds where the stream may go on.

use std::time::Duration;

use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::config::Route;
use sedgeridge_fleet::stream_origin::ResumableStream;
use sedgeridge_fleet::stream_origin::StreamKey;
use sedgeridge_fleet::stream_origin::StreamOrigin;
use sedgeridge_fleet::verdict::Basis;
use sedgeridge_fleet::verdict::RefusalReason;
use sedgeridge_state::ids::ServiceId;

use crate::caller_request::RoutedRequest;
use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::gateway::Gateway;
use crate::meters;
use crate::request_log::RefusedRequest;
use crate::request_log::log_refusal;
use crate::response;
use crate::response::CallerResponse;
use crate::stream_origins;
use crate::stream_origins::OriginSource;
use crate::wire::RequestMetadata;
use crate::wire::WireFormat;

/// `Retry-After` for a stream whose origin no host knows. Hosts that did not answer may be back by then.
const UNKNOWN_ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The resumable stream that a request is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamRequest {
    /// The route has no resumable streams.
    NotResumable,
    /// The request begins a stream.
    Begins(ResumableStream),
    /// The request resumes a stream.
    Resumes(ResumableStream),
    /// The request resumes a stream and does not say which.
    ResumesUnnamed,
}

impl StreamRequest {
    /// Classifies a request by its route and head.
    pub fn new(route: &Route, metadata: &RequestMetadata, received_at: Duration) -> Self {
        if route.repeat != (Repeat::Stream { resumable: true }) {
            return Self::NotResumable;
        }
        let time_left = metadata.time_left.unwrap_or(route.timeout);
        let stream = |attempt: &str| ResumableStream {
            key: StreamKey::of_attempt(attempt),
            deadline: received_at.saturating_add(time_left),
        };
        match &metadata.resumed_attempt {
            Some(attempt) => Self::Resumes(stream(attempt)),
            None if metadata.last_event_id.is_some() => Self::ResumesUnnamed,
            None => Self::Begins(stream(&metadata.id)),
        }
    }

    /// Returns the stream, if it is resumable and known by name.
    pub fn stream(&self) -> Option<ResumableStream> {
        match self {
            Self::Begins(stream) | Self::Resumes(stream) => Some(*stream),
            Self::NotResumable | Self::ResumesUnnamed => None,
        }
    }
}

/// Returns the origin of the stream that a request resumes; `None` if it resumes none.
///
/// # Errors
///
/// The origin is not known. Returns the refusal: at an endpoint of any other software version, the stream would become
/// unusable for its caller.
pub async fn find_origin<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    service: &ServiceId,
    read: &RoutedRequest,
) -> Result<Option<StreamOrigin>, CallerResponse> {
    let found = match &read.stream {
        StreamRequest::NotResumable | StreamRequest::Begins(_) => return Ok(None),
        StreamRequest::Resumes(stream) => stream_origins::find(gateway, stream.key).await,
        StreamRequest::ResumesUnnamed => {
            let now = gateway.now();
            let sole = gateway.with_dispatcher(|dispatcher| dispatcher.sole_origin(now, service));
            sole.map(|origin| (origin, OriginSource::SoleVersion))
        }
    };
    let outcome = found.map_or("unknown", |(_, source)| source.as_str());
    meters::count_resumed_stream(outcome);
    let is_named = matches!(read.stream, StreamRequest::Resumes(_));
    let resumes = is_named.then_some(&*read.first_attempt);
    let fields = [
        ("request", (*read.outgoing.id).into()),
        ("resumes", resumes.into()),
        ("last_event", read.outgoing.last_event_id.into()),
        ("origin", outcome.into()),
    ];
    gateway.log(LogEvent::StreamResumed, &fields);
    match found {
        Some((origin, _)) => Ok(Some(origin)),
        None => Err(refuse(gateway, read)),
    }
}

fn refuse<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    read: &RoutedRequest,
) -> CallerResponse {
    let account = read.outgoing.account.as_ref();
    let refused = RefusedRequest {
        id: &read.outgoing.id,
        account: account.map_or("", |account| account.as_str()),
        route: &read.route.name,
        received_at: read.received_at,
    };
    let (reason, retry_after) = (RefusalReason::OriginUnknown, UNKNOWN_ORIGIN_RETRY_AFTER);
    log_refusal(gateway, &refused, reason, retry_after, &Basis::default());
    response::not_run_response(reason.as_str(), retry_after)
}
