//! Reads a caller's request: its head, its body, and where it leads.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use sedgeridge_fleet::config::Route;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::memory_budget::REQUEST_OVERHEAD_BYTES;
use sedgeridge_fleet::memory_budget::Requester;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::route_table::LookupError;
use sedgeridge_state::ids::AccountId;

use crate::answer;
use crate::answer::Answer;
use crate::answer::remove_connection_headers;
use crate::attempt::Outgoing;
use crate::clock::Clock;
use crate::core::Core;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::held_memory::HeldMemory;
use crate::meters;
use crate::request_body;
use crate::request_body::BodyError;
use crate::wire::RequestFacts;
use crate::wire::Wire;
use crate::wire::WireError;

/// When a caller should come back while no configuration is known.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(300);
/// Time after SIGTERM in which callers may still be led here. The balancer asks each second and
/// takes two misses.
const ROTATION_TIME: Duration = Duration::from_millis(2_600);
/// When a caller should come back after a router that is about to stop refused it: at once, since
/// it reaches another one.
const STOPPING_RETRY: Duration = Duration::from_millis(20);
/// When a caller should come back after a host without memory refused it. It reaches another host, and
/// requests that end here make room within some tens of milliseconds.
const NO_MEMORY_RETRY: Duration = Duration::from_millis(50);

/// Times that the bytes of a request's head are held: as read, decoded, sent on, and in buffers that have
/// grown for them.
const HEAD_COPIES: u64 = 7;

/// A request that was read whole and that a route allows.
#[derive(Debug)]
pub struct ReadRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// The request as it goes to endpoints.
    pub outgoing: Outgoing,
    /// For model engines: what is asked for.
    pub prompt: Option<Prompt>,
    /// When its head had been read.
    pub received_at: Duration,
    /// Memory that it holds.
    pub memory: HeldMemory,
}

/// Returns the time after SIGTERM in which new requests are still taken.
pub fn rotation_time(grace: Duration) -> Duration {
    ROTATION_TIME.min(grace / 2)
}

/// Reads a request.
///
/// # Errors
///
/// The answer for a request that goes to no endpoint.
pub async fn read<W: Wire, C: Clock>(
    core: &Rc<Core<W, C>>,
    request: Request<Incoming>,
) -> Result<ReadRequest, Answer> {
    let received_at = core.now();
    if core.stopping_for() > Some(rotation_time(core.bounds.borrow().grace)) {
        // It would be cut off by the end of the grace time.
        return Err(answer::not_run("stopping", STOPPING_RETRY));
    }
    let (head, body) = request.into_parts();
    let facts = core.wire.request(&head);
    let facts = facts.map_err(|error| malformed(core, &error))?;
    let found = look_up(core, &head, &facts);
    let (route, account) = found.map_err(|error| turned_away(core, &head, &facts, error))?;
    let allowed = facts.time_left.unwrap_or(route.timeout);
    let deadline = received_at + allowed.min(route.timeout);
    let bytes = REQUEST_OVERHEAD_BYTES + HEAD_COPIES * head_bytes(&head);
    let Some(mut memory) = core.memory.hold(bytes, asker(core, account.as_ref())) else {
        request_body::forget(body).await;
        return Err(no_memory(core, &facts));
    };
    let left = deadline.saturating_sub(core.now());
    let body = request_body::read(body, core.max_body_bytes.get(), left, &mut memory).await;
    let body = body.map_err(|error| unread(core, &facts, &error))?;
    let mut headers = head.headers;
    remove_connection_headers(&mut headers);
    let outgoing = Outgoing {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        id: facts.id,
        account,
        deadline,
        last_event_id: facts.last_event_id,
        may_run_again: route.repeat.allows_second_run(),
    };
    Ok(ReadRequest {
        route,
        outgoing,
        prompt: facts.prompt,
        received_at,
        memory,
    })
}

/// Returns the route of a request, and the account that pays.
pub(crate) fn look_up<W: Wire, C: Clock>(
    core: &Rc<Core<W, C>>,
    head: &Parts,
    facts: &RequestFacts,
) -> Result<(Arc<Route>, Option<AccountId>), LookupError> {
    let routes = core.routes.borrow().clone();
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = routes.route(host, head.uri.path())?.clone();
    let account = routes.account(&route, facts.key.as_deref())?;
    Ok((route, account))
}

fn malformed<W: Wire, C: Clock>(core: &Rc<Core<W, C>>, error: &WireError) -> Answer {
    let reason = error.to_string();
    let fields = [("reason", reason.as_str().into())];
    core.log(LogEvent::RequestTurnedAway, &fields);
    answer::own(StatusCode::BAD_REQUEST, &reason)
}

fn turned_away<W: Wire, C: Clock>(
    core: &Rc<Core<W, C>>,
    head: &Parts,
    facts: &RequestFacts,
    error: LookupError,
) -> Answer {
    let fields = [
        ("request", (*facts.id).into()),
        ("path", head.uri.path().into()),
        ("reason", error.as_str().into()),
        ("config_version", core.routes.borrow().version().into()),
    ];
    core.log(LogEvent::RequestTurnedAway, &fields);
    match error {
        LookupError::NoConfig => answer::not_run("no configuration yet", NO_CONFIG_RETRY),
        LookupError::NoRoute => answer::own(StatusCode::NOT_FOUND, "no route"),
        LookupError::UnknownKey => answer::own(StatusCode::UNAUTHORIZED, "unknown key"),
    }
}

fn head_bytes(head: &Parts) -> u64 {
    let fields = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    fields.sum::<usize>() as u64
}

fn asker<W: Wire, C: Clock>(core: &Core<W, C>, account: Option<&AccountId>) -> Requester {
    let account = account.map(|account| stable_hash(account.as_str()));
    let is_over = account.is_some_and(|account| {
        core.with_dispatcher(|dispatcher| dispatcher.is_over_share(account))
    });
    match is_over {
        true => Requester::OverShare,
        false => Requester::WithinShare,
    }
}

fn unread<W: Wire, C: Clock>(
    core: &Rc<Core<W, C>>,
    facts: &RequestFacts,
    error: &BodyError,
) -> Answer {
    let status = match error {
        BodyError::NoMemory => return no_memory(core, facts),
        BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::CutOff => StatusCode::BAD_REQUEST,
    };
    answer::own(status, &error.to_string())
}

fn no_memory<W: Wire, C: Clock>(core: &Rc<Core<W, C>>, facts: &RequestFacts) -> Answer {
    const REASON: &str = "no_memory";
    meters::refused(REASON);
    if core.log.is_wanted(core.now(), LogEvent::RequestRefused) {
        let fields = [
            ("request", (*facts.id).into()),
            ("reason", REASON.into()),
            ("retry_after_ms", millis(NO_MEMORY_RETRY)),
            ("held_bytes", core.memory.held_bytes().into()),
            ("in_progress", core.in_progress.get().into()),
        ];
        core.log(LogEvent::RequestRefused, &fields);
    }
    answer::not_run(REASON, NO_MEMORY_RETRY)
}
