//! Which faults come when: the same seed gives the same schedule.

use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use serde::Serialize;

/// Shortest and longest time between the beginnings of two faults. Most faults last longer, so that
/// four or five overlap as a rule.
const GAP_MS: (u64, u64) = (60, 500);
/// Shortest and longest time of a fault.
const LENGTH_MS: (u64, u64) = (150, 3_000);
/// Longest delay of a slow link, store or endpoint.
const MOST_DELAY_MS: u64 = 400;

/// Sizes of what may be hit.
#[derive(Debug, Clone, Copy)]
pub struct Targets {
    /// Routers.
    pub routers: u64,
    /// Endpoints.
    pub endpoints: u64,
}

/// What a link does to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum LinkFault {
    /// Delays each byte.
    Delay(u64),
    /// Resets all connections, and new ones.
    Reset,
    /// Holds all bytes back; connections stay open.
    Hold,
    /// Swallows all bytes of the open connections; new ones work.
    Silence,
}

/// What goes wrong with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ServerFault {
    /// It answers 503 without a word on whether the request ran.
    Outage,
    /// It works, and then closes the connection without the answer, or within it.
    LostAnswers,
    /// It closes each connection on which it has read a request.
    Closes,
    /// It waits before the work.
    Slow(u64),
    /// It waits between the work and the answer.
    Late(u64),
}

/// A fault; numbers name what is hit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// A router is killed, and started again at the end.
    Kill(u64),
    /// A router is asked to stop, and started again at the end.
    Stop(u64),
    /// A router is frozen until the end.
    Pause(u64),
    /// A router is told to read its settings again.
    Reload(u64),
    /// The link between callers and a router.
    CallersLink(u64, LinkFault),
    /// The link between a router and the store.
    StoreLink(u64, LinkFault),
    /// The link between all routers and an endpoint.
    EndpointLink(u64, LinkFault),
    /// The store.
    Store(ServerFault),
    /// The store forgets its history.
    StoreForgets,
    /// An endpoint.
    Endpoint(u64, ServerFault),
    /// An endpoint says that it leaves, leaves, and comes back as another one.
    Leave(u64),
    /// The operator changes keys.
    ChangeKeys,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Planned {
    /// When it begins, since the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What happens.
    pub fault: Fault,
}

/// Draws the faults of a run. All end before `end`.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_soak::schedule::{Targets, draw};
///
/// let targets = Targets { routers: 3, endpoints: 4 };
/// let drawn = draw(7, targets, Duration::from_secs(10));
/// assert_eq!(drawn, draw(7, targets, Duration::from_secs(10)));
/// ```
pub fn draw(seed: u64, targets: Targets, end: Duration) -> Vec<Planned> {
    let mut random = SeededRandom::new(seed);
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += between(&mut random, GAP_MS);
        let length = between(&mut random, LENGTH_MS);
        let fault = draw_fault(&mut random, targets);
        if at + length >= end {
            return planned;
        }
        planned.push(Planned { at, length, fault });
    }
}

fn draw_fault(random: &mut SeededRandom, targets: Targets) -> Fault {
    let router = random.below(targets.routers);
    let endpoint = random.below(targets.endpoints);
    match random.below(20) {
        0 | 1 => Fault::Kill(router),
        2 | 3 => Fault::Stop(router),
        4 => Fault::Pause(router),
        5 => Fault::Reload(router),
        6 => Fault::CallersLink(router, draw_link_fault(random)),
        7 | 8 => Fault::StoreLink(router, draw_link_fault(random)),
        9..=12 => Fault::EndpointLink(endpoint, draw_link_fault(random)),
        13 => Fault::Store(draw_server_fault(random)),
        14 => Fault::StoreForgets,
        15..=17 => Fault::Endpoint(endpoint, draw_server_fault(random)),
        18 => Fault::Leave(endpoint),
        _ => Fault::ChangeKeys,
    }
}

fn draw_link_fault(random: &mut SeededRandom) -> LinkFault {
    match random.below(4) {
        0 => LinkFault::Delay(1 + random.below(MOST_DELAY_MS)),
        1 => LinkFault::Reset,
        2 => LinkFault::Hold,
        _ => LinkFault::Silence,
    }
}

fn draw_server_fault(random: &mut SeededRandom) -> ServerFault {
    match random.below(5) {
        0 => ServerFault::Outage,
        1 => ServerFault::LostAnswers,
        2 => ServerFault::Closes,
        3 => ServerFault::Slow(1 + random.below(MOST_DELAY_MS)),
        _ => ServerFault::Late(1 + random.below(MOST_DELAY_MS)),
    }
}

fn between(random: &mut SeededRandom, (low, high): (u64, u64)) -> Duration {
    Duration::from_millis(low + random.below(high - low))
}
