//! Messages between routers, as CBOR.
//!
//! Field names are one letter on the wire: control traffic is bounded per node, and names would be
//! the larger part of a small message. Reading turns them into the typed messages of the
//! `sedgeridge-coordination` crate or refuses them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::peer_config::WireConfig;
use crate::peer_config::read_config;
use crate::peer_config::wire_config;
use sedgeridge_coordination::attempt_results::AttemptFailed;
use sedgeridge_coordination::attempt_results::EndpointResult;
use sedgeridge_coordination::breaker::FailureKind;
use sedgeridge_coordination::node::PeerMessage;
use sedgeridge_coordination::poison_notice::PoisonNews;
use sedgeridge_coordination::poison_notice::PoisonNotice;
use sedgeridge_coordination::pool_messages::Demand;
use sedgeridge_coordination::pool_messages::EntryReport;
use sedgeridge_coordination::pool_messages::Grant;
use sedgeridge_coordination::pool_messages::GrantId;
use sedgeridge_coordination::pool_messages::Holding;
use sedgeridge_coordination::pool_messages::PrefixHash;
use sedgeridge_coordination::pool_messages::Served;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::RequestClass;

/// Largest message that is read.
pub const MAX_PEER_MESSAGE_BYTES: usize = 16 << 20;

/// Why a peer message is refused.
#[derive(Debug, Error)]
pub enum PeerCodecError {
    /// It is no CBOR, or no message known here.
    #[error("peer message does not decode: {0}")]
    Malformed(String),
    /// It names something that cannot be.
    #[error("peer message holds an unknown class {0}")]
    UnknownClass(u8),
    /// It names a failure that is not known here.
    #[error("peer message holds an unknown failure {0}")]
    UnknownFailure(u8),
    /// It summarises a member table in another number of parts.
    #[error("membership digest has {0} parts")]
    WrongDigest(usize),
}

/// First message on a connection: who speaks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHello {
    #[serde(rename = "h")]
    host: String,
    #[serde(rename = "i")]
    incarnation: u64,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireMessage {
    #[serde(rename = "r")]
    Report(WireReport),
    #[serde(rename = "g")]
    Grant(WireGrant),
    #[serde(rename = "f")]
    FullReportWanted(String),
    #[serde(rename = "x")]
    Poison(WirePoison),
    #[serde(rename = "c")]
    Config(WireConfig),
}

#[derive(Debug, Serialize, Deserialize)]
struct WireReport {
    #[serde(rename = "p")]
    pool: String,
    #[serde(rename = "s")]
    sequence: u64,
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    full: bool,
    #[serde(rename = "g")]
    grants_received: u64,
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    demand: Vec<WireDemand>,
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    holdings: Vec<WireHolding>,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    ended: Vec<WireGrantId>,
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    served: Vec<WireServed>,
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    results: Vec<WireResult>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireResult {
    #[serde(rename = "e")]
    endpoint: String,
    #[serde(rename = "n", default, skip_serializing_if = "is_zero_u32")]
    answered: u32,
    #[serde(rename = "b", default, skip_serializing_if = "is_zero_u32")]
    first_byte_ms: u32,
    #[serde(rename = "s", default, skip_serializing_if = "is_zero_u32")]
    started_ago_ms: u32,
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    failures: Vec<WireFailure>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireFailure {
    #[serde(rename = "k")]
    kind: u8,
    #[serde(rename = "a")]
    started_ago_ms: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct WirePoison {
    #[serde(rename = "f")]
    fingerprint: [u8; 16],
    #[serde(rename = "n")]
    news: WirePoisonNews,
}

#[derive(Debug, Serialize, Deserialize)]
enum WirePoisonNews {
    #[serde(rename = "c")]
    Crashed { endpoint: String, age_ms: u64 },
    #[serde(rename = "q")]
    Quarantined { remaining_ms: u64 },
    #[serde(rename = "f")]
    Finished,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireDemand {
    #[serde(rename = "a")]
    account: String,
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    class: u8,
    #[serde(rename = "n")]
    waiting: u32,
    #[serde(rename = "k")]
    head_cost_tokens: u64,
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    head_prefix: Option<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireHolding {
    #[serde(rename = "g")]
    grant: WireGrantId,
    #[serde(rename = "e")]
    endpoint: String,
    #[serde(rename = "a")]
    account: String,
    #[serde(rename = "k")]
    estimate_tokens: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireServed {
    #[serde(rename = "a")]
    account: String,
    #[serde(rename = "k")]
    total_tokens: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireGrantId {
    #[serde(rename = "h")]
    host: String,
    #[serde(rename = "i")]
    incarnation: u64,
    #[serde(rename = "s")]
    sequence: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireGrant {
    #[serde(rename = "s")]
    sequence: u64,
    #[serde(rename = "p")]
    pool: String,
    #[serde(rename = "e")]
    endpoint: String,
    #[serde(rename = "a")]
    account: String,
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    class: u8,
    #[serde(rename = "w", default, skip_serializing_if = "is_false")]
    contended: bool,
}

fn is_false(value: &bool) -> bool {
    !*value
}

fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}

fn is_zero(value: &u8) -> bool {
    *value == 0
}

/// Encodes the hello of a member.
pub fn encode_hello(member: &Member) -> Vec<u8> {
    to_cbor(&WireHello {
        host: member.host.as_str().to_owned(),
        incarnation: member.incarnation.0,
    })
}

/// Decodes a hello.
///
/// # Errors
///
/// Refuses bytes that are not a hello.
pub fn decode_hello(bytes: &[u8]) -> Result<Member, PeerCodecError> {
    let hello: WireHello = from_cbor(bytes)?;
    Ok(Member {
        host: HostId::from(hello.host.as_str()),
        incarnation: Incarnation(hello.incarnation),
    })
}

/// Encodes a message.
///
/// ```
/// use sedgeridge_coordination::node::PeerMessage;
/// use sedgeridge_protocol::peer::{decode, encode};
/// use sedgeridge_state::ids::{Incarnation, Member};
///
/// let from = Member { host: "router-1".into(), incarnation: Incarnation(7) };
/// let message = PeerMessage::FullReportWanted { pool: "desk".into() };
/// let bytes = encode(&message);
/// assert_eq!(decode(&bytes, &from).unwrap(), message);
/// assert!(decode(&bytes[..bytes.len() - 1], &from).is_err());
/// ```
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    to_cbor(&match message {
        PeerMessage::Report(report) => WireMessage::Report(wire_report(report)),
        PeerMessage::Grant(grant) => WireMessage::Grant(wire_grant(grant)),
        PeerMessage::FullReportWanted { pool } => {
            WireMessage::FullReportWanted(pool.as_str().to_owned())
        }
        PeerMessage::Poison(notice) => WireMessage::Poison(wire_poison(notice)),
        PeerMessage::Config(message) => WireMessage::Config(wire_config(message)),
    })
}

/// Decodes a message that `from` sent.
///
/// # Errors
///
/// Refuses bytes that are not a message.
pub fn decode(bytes: &[u8], from: &Member) -> Result<PeerMessage, PeerCodecError> {
    Ok(match from_cbor(bytes)? {
        WireMessage::Report(report) => PeerMessage::Report(read_report(&report, from)?),
        WireMessage::Grant(grant) => PeerMessage::Grant(read_grant(&grant, from)?),
        WireMessage::FullReportWanted(pool) => PeerMessage::FullReportWanted {
            pool: pool.as_str().into(),
        },
        WireMessage::Poison(notice) => PeerMessage::Poison(read_poison(&notice)),
        WireMessage::Config(message) => PeerMessage::Config(read_config(message)),
    })
}

pub(crate) fn to_cbor(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("plain data always encodes");
    bytes
}

pub(crate) fn from_cbor<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, PeerCodecError> {
    ciborium::from_reader(bytes).map_err(|error| PeerCodecError::Malformed(error.to_string()))
}

fn wire_class(class: RequestClass) -> u8 {
    match class {
        RequestClass::Interactive => 0,
        RequestClass::Deferred => 1,
    }
}

fn read_class(class: u8) -> Result<RequestClass, PeerCodecError> {
    match class {
        0 => Ok(RequestClass::Interactive),
        1 => Ok(RequestClass::Deferred),
        other => Err(PeerCodecError::UnknownClass(other)),
    }
}

fn wire_grant_id(id: &GrantId) -> WireGrantId {
    WireGrantId {
        host: id.home.host.as_str().to_owned(),
        incarnation: id.home.incarnation.0,
        sequence: id.sequence,
    }
}

fn read_grant_id(id: &WireGrantId) -> GrantId {
    GrantId {
        home: Member {
            host: HostId::from(id.host.as_str()),
            incarnation: Incarnation(id.incarnation),
        },
        sequence: id.sequence,
    }
}

fn wire_report(report: &EntryReport) -> WireReport {
    WireReport {
        pool: report.pool.as_str().to_owned(),
        sequence: report.sequence,
        full: report.full,
        grants_received: report.grants_received,
        demand: report.demand.iter().map(wire_demand).collect(),
        holdings: report.holdings.iter().map(wire_holding).collect(),
        ended: report.ended.iter().map(wire_grant_id).collect(),
        served: report.served.iter().map(wire_served).collect(),
        results: report.results.iter().map(wire_result).collect(),
    }
}

fn wire_demand(demand: &Demand) -> WireDemand {
    WireDemand {
        account: demand.account.as_str().to_owned(),
        class: wire_class(demand.class),
        waiting: demand.waiting,
        head_cost_tokens: demand.head_cost_tokens,
        head_prefix: demand.head_prefix.map(|prefix| prefix.0),
    }
}

fn wire_holding(holding: &Holding) -> WireHolding {
    WireHolding {
        grant: wire_grant_id(&holding.grant),
        endpoint: holding.endpoint.as_str().to_owned(),
        account: holding.account.as_str().to_owned(),
        estimate_tokens: holding.estimate_tokens,
    }
}

fn wire_served(served: &Served) -> WireServed {
    WireServed {
        account: served.account.as_str().to_owned(),
        total_tokens: served.total_tokens,
    }
}

fn wire_grant(grant: &Grant) -> WireGrant {
    WireGrant {
        sequence: grant.id.sequence,
        pool: grant.pool.as_str().to_owned(),
        endpoint: grant.endpoint.as_str().to_owned(),
        account: grant.account.as_str().to_owned(),
        class: wire_class(grant.class),
        contended: grant.contended,
    }
}

fn read_report(report: &WireReport, from: &Member) -> Result<EntryReport, PeerCodecError> {
    let demand: Result<Vec<Demand>, PeerCodecError> =
        report.demand.iter().map(read_demand).collect();
    let results: Result<Vec<EndpointResult>, PeerCodecError> =
        report.results.iter().map(read_result).collect();
    Ok(EntryReport {
        from: from.clone(),
        pool: report.pool.as_str().into(),
        sequence: report.sequence,
        full: report.full,
        grants_received: report.grants_received,
        demand: demand?,
        holdings: report.holdings.iter().map(read_holding).collect(),
        ended: report.ended.iter().map(read_grant_id).collect(),
        served: report.served.iter().map(read_served).collect(),
        results: results?,
    })
}

fn read_demand(demand: &WireDemand) -> Result<Demand, PeerCodecError> {
    Ok(Demand {
        account: demand.account.as_str().into(),
        class: read_class(demand.class)?,
        waiting: demand.waiting,
        head_cost_tokens: demand.head_cost_tokens,
        head_prefix: demand.head_prefix.map(PrefixHash),
    })
}

fn read_holding(holding: &WireHolding) -> Holding {
    Holding {
        grant: read_grant_id(&holding.grant),
        endpoint: holding.endpoint.as_str().into(),
        account: holding.account.as_str().into(),
        estimate_tokens: holding.estimate_tokens,
    }
}

fn read_served(served: &WireServed) -> Served {
    Served {
        account: served.account.as_str().into(),
        total_tokens: served.total_tokens,
    }
}

fn read_grant(grant: &WireGrant, from: &Member) -> Result<Grant, PeerCodecError> {
    Ok(Grant {
        id: GrantId {
            home: from.clone(),
            sequence: grant.sequence,
        },
        pool: grant.pool.as_str().into(),
        endpoint: grant.endpoint.as_str().into(),
        account: grant.account.as_str().into(),
        class: read_class(grant.class)?,
        contended: grant.contended,
    })
}

fn wire_result(result: &EndpointResult) -> WireResult {
    WireResult {
        endpoint: result.endpoint.as_str().to_owned(),
        answered: result.answered,
        first_byte_ms: result.first_byte_ms,
        started_ago_ms: result.started_ago_ms,
        failures: result
            .failures
            .iter()
            .map(|failure| WireFailure {
                kind: wire_failure(failure.kind),
                started_ago_ms: failure.started_ago_ms,
            })
            .collect(),
    }
}

fn read_result(result: &WireResult) -> Result<EndpointResult, PeerCodecError> {
    let failures = result.failures.iter().map(|failure| {
        Ok(AttemptFailed {
            kind: read_failure(failure.kind)?,
            started_ago_ms: failure.started_ago_ms,
        })
    });
    Ok(EndpointResult {
        endpoint: result.endpoint.as_str().into(),
        answered: result.answered,
        first_byte_ms: result.first_byte_ms,
        started_ago_ms: result.started_ago_ms,
        failures: failures.collect::<Result<_, PeerCodecError>>()?,
    })
}

/// Failures by their number on the wire; the order never changes.
const FAILURES: [FailureKind; 6] = [
    FailureKind::ConnectFailed,
    FailureKind::ConnectionLost,
    FailureKind::TimedOut,
    FailureKind::ServerError,
    FailureKind::Silent,
    FailureKind::ReportMissing,
];

fn wire_failure(kind: FailureKind) -> u8 {
    let position = FAILURES.iter().position(|known| *known == kind);
    position.map_or(u8::MAX, |position| position as u8)
}

fn read_failure(number: u8) -> Result<FailureKind, PeerCodecError> {
    let kind = FAILURES.get(usize::from(number)).copied();
    kind.ok_or(PeerCodecError::UnknownFailure(number))
}

fn wire_poison(notice: &PoisonNotice) -> WirePoison {
    WirePoison {
        fingerprint: notice.fingerprint.0.to_be_bytes(),
        news: match &notice.news {
            PoisonNews::Crashed { endpoint, age } => WirePoisonNews::Crashed {
                endpoint: endpoint.as_str().to_owned(),
                age_ms: age.as_millis() as u64,
            },
            PoisonNews::Quarantined { remaining } => WirePoisonNews::Quarantined {
                remaining_ms: remaining.as_millis() as u64,
            },
            PoisonNews::Finished => WirePoisonNews::Finished,
        },
    }
}

fn read_poison(notice: &WirePoison) -> PoisonNotice {
    PoisonNotice {
        fingerprint: Fingerprint(u128::from_be_bytes(notice.fingerprint)),
        news: match &notice.news {
            WirePoisonNews::Crashed { endpoint, age_ms } => PoisonNews::Crashed {
                endpoint: endpoint.as_str().into(),
                age: Duration::from_millis(*age_ms),
            },
            WirePoisonNews::Quarantined { remaining_ms } => PoisonNews::Quarantined {
                remaining: Duration::from_millis(*remaining_ms),
            },
            WirePoisonNews::Finished => PoisonNews::Finished,
        },
    }
}
