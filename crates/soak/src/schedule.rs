//! Plans random faults; the same seed gives the same schedule.

use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use serde::Serialize;

/// Bounds of the time between the starts of two faults. Most faults last longer, so usually four or
/// five overlap.
const FAULT_GAP_MS: (u64, u64) = (60, 500);
/// Bounds of the duration of a fault.
const FAULT_DURATION_MS: (u64, u64) = (150, 3_000);
/// Number of times that the store comes back from an older copy in a run.
const STORE_RETURNS: u64 = 2;
/// Bounds of the parts of a return, as percentages of the fault period that the return may take.
const COPY_AT_PERCENT: (u64, u64) = (0, 20);
const COPY_AGE_PERCENT: (u64, u64) = (10, 40);
const AWAY_PERCENT: (u64, u64) = (4, 20);
const REWRITE_DELAY_PERCENT: (u64, u64) = (0, 20);
/// Longest time after the store's return until the operator and the endpoints have written again.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(1_900);
/// Makes the store's returns independent of the other faults of a seed.
const RETURN_SALT: u64 = 0x5e_7a11;
/// Number of releases in a run. The second one may begin before the first is over.
const RELEASES: u32 = 2;
/// Bounds of the start of a release and of the time from one endpoint to the next, as percentages of the fault period that
/// the release may take.
const RELEASE_AT_PERCENT: (u64, u64) = (0, 50);
const RELEASE_GAP_PERCENT: (u64, u64) = (5, 40);
/// Bounds of the time for which a replaced endpoint is leaving.
const UPGRADE_DURATION_MS: (u64, u64) = (150, 600);
/// Makes the releases independent of the other faults of a seed.
const RELEASE_SALT: u64 = 0x5e_7a12;
/// Maximum delay of a slow link, store or endpoint.
const MAX_DELAY_MS: u64 = 400;

/// Numbers of routers and endpoints that faults may affect.
#[derive(Debug, Clone, Copy)]
pub struct Targets {
    /// Number of routers.
    pub routers: u64,
    /// Number of endpoints.
    pub endpoints: u64,
}

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum LinkFault {
    /// Delays each byte by this many milliseconds.
    Delay(u64),
    /// Closes all open connections, and new ones at once.
    Reset,
    /// Holds back all bytes; connections stay open.
    Hold,
    /// Discards all bytes of the open connections; new ones work.
    Silence,
}

/// A fault of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ServerFault {
    /// Answers 503 without saying whether the request ran.
    Outage,
    /// Does the work, then closes the connection before or during the answer.
    LostAnswers,
    /// Closes each connection after reading a request.
    Closes,
    /// Waits this many milliseconds before the work.
    Slow(u64),
    /// Waits this many milliseconds between the work and the answer.
    Late(u64),
}

/// A fault; numbers are indices of routers or endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// Kills a router and restarts it at the end.
    Kill(u64),
    /// Stops a router and restarts it at the end.
    Stop(u64),
    /// Suspends the process of a router until the end.
    Pause(u64),
    /// Makes a router reload its settings.
    Reload(u64),
    /// A fault of the link between callers and a router.
    CallersLink(u64, LinkFault),
    /// A fault of the link between a router and the store.
    StoreLink(u64, LinkFault),
    /// A fault of the link between all routers and an endpoint.
    EndpointLink(u64, LinkFault),
    /// A fault of the store.
    Store(ServerFault),
    /// The store drops its history.
    StoreForgets,
    /// A copy of the store is taken.
    CopyStore,
    /// The store goes away and comes back from the last copy.
    RestoreStore,
    /// The operator and the endpoints write again what the store lost.
    WriteAgain,
    /// A fault of an endpoint.
    Endpoint(u64, ServerFault),
    /// Marks an endpoint as leaving, then removes it and lists it again under a new id.
    Leave(u64),
    /// Marks an endpoint as leaving, then lists it again under a new id with the software of this release.
    Upgrade(u64, u32),
    /// The operator changes keys.
    ChangeKeys,
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PlannedFault {
    /// Start of the fault, since faults began to be injected.
    pub at: Duration,
    /// Duration of the fault.
    pub length: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Plans the faults of a run at random, with returns of the store and releases among them. All end before `end`.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_soak::schedule::{Targets, plan_faults};
///
/// let targets = Targets { routers: 3, endpoints: 4 };
/// let planned = plan_faults(7, targets, Duration::from_secs(10));
/// assert_eq!(planned, plan_faults(7, targets, Duration::from_secs(10)));
/// ```
pub fn plan_faults(seed: u64, targets: Targets, end: Duration) -> Vec<PlannedFault> {
    let mut random = SeededRandom::new(seed);
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += random_duration(&mut random, FAULT_GAP_MS);
        let length = random_duration(&mut random, FAULT_DURATION_MS);
        let fault = random_fault(&mut random, targets);
        if at + length >= end {
            break;
        }
        planned.push(PlannedFault { at, length, fault });
    }
    planned.extend(plan_store_returns(seed, end));
    planned.extend(plan_releases(seed, targets, end));
    planned
}

/// Plans releases, each of which replaces the endpoints one after the other, as far as they fit into the run.
fn plan_releases(seed: u64, targets: Targets, end: Duration) -> Vec<PlannedFault> {
    let mut random = SeededRandom::new(seed ^ RELEASE_SALT);
    let period = end / RELEASES;
    let mut planned = Vec::new();
    for release in 1..=RELEASES {
        let mut part =
            |(low, high): (u64, u64)| period * (low + random.below(high - low)) as u32 / 100;
        let mut at = period * (release - 1) + part(RELEASE_AT_PERCENT);
        let gap = part(RELEASE_GAP_PERCENT);
        for endpoint in 0..targets.endpoints {
            let length = random_duration(&mut random, UPGRADE_DURATION_MS);
            let fault = Fault::Upgrade(endpoint, release);
            if at + length < end {
                planned.push(PlannedFault { at, length, fault });
            }
            at += gap;
        }
    }
    planned
}

/// Plans the times at which the store comes back from an older copy. Each return may begin before the
/// one before it is over, with a copy from before that one.
fn plan_store_returns(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let mut random = SeededRandom::new(seed ^ RETURN_SALT);
    let period = end / STORE_RETURNS as u32;
    let mut planned = Vec::new();
    for number in 0..STORE_RETURNS as u32 {
        let mut part =
            |(low, high): (u64, u64)| period * (low + random.below(high - low)) as u32 / 100;
        let copied_at = period * number + part(COPY_AT_PERCENT);
        let lost_at = copied_at + part(COPY_AGE_PERCENT);
        let away = part(AWAY_PERCENT);
        let rewritten_at = lost_at + away + part(REWRITE_DELAY_PERCENT).min(MAX_REWRITE_DELAY);
        let steps = [
            (copied_at, Duration::ZERO, Fault::CopyStore),
            (lost_at, away, Fault::RestoreStore),
            (rewritten_at, Duration::ZERO, Fault::WriteAgain),
            (rewritten_at, Duration::ZERO, Fault::ChangeKeys),
        ];
        let steps = steps.map(|(at, length, fault)| PlannedFault { at, length, fault });
        planned.extend(steps);
    }
    planned
}

fn random_fault(random: &mut SeededRandom, targets: Targets) -> Fault {
    let router = random.below(targets.routers);
    let endpoint = random.below(targets.endpoints);
    match random.below(20) {
        0 | 1 => Fault::Kill(router),
        2 | 3 => Fault::Stop(router),
        4 => Fault::Pause(router),
        5 => Fault::Reload(router),
        6 => Fault::CallersLink(router, random_link_fault(random)),
        7 | 8 => Fault::StoreLink(router, random_link_fault(random)),
        9..=12 => Fault::EndpointLink(endpoint, random_link_fault(random)),
        13 => Fault::Store(random_server_fault(random)),
        14 => Fault::StoreForgets,
        15..=17 => Fault::Endpoint(endpoint, random_server_fault(random)),
        18 => Fault::Leave(endpoint),
        _ => Fault::ChangeKeys,
    }
}

fn random_link_fault(random: &mut SeededRandom) -> LinkFault {
    match random.below(4) {
        0 => LinkFault::Delay(1 + random.below(MAX_DELAY_MS)),
        1 => LinkFault::Reset,
        2 => LinkFault::Hold,
        _ => LinkFault::Silence,
    }
}

fn random_server_fault(random: &mut SeededRandom) -> ServerFault {
    match random.below(5) {
        0 => ServerFault::Outage,
        1 => ServerFault::LostAnswers,
        2 => ServerFault::Closes,
        3 => ServerFault::Slow(1 + random.below(MAX_DELAY_MS)),
        _ => ServerFault::Late(1 + random.below(MAX_DELAY_MS)),
    }
}

fn random_duration(random: &mut SeededRandom, (low, high): (u64, u64)) -> Duration {
    Duration::from_millis(low + random.below(high - low))
}
