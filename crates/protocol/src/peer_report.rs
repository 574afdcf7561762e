//! Reports of entry routers to homes; part of [`crate::peer`].

use sedgeridge_coordination::attempt_results::AttemptFailed;
use sedgeridge_coordination::attempt_results::EndpointResult;
use sedgeridge_coordination::breaker::FailureKind;
use sedgeridge_coordination::pool_messages::Demand;
use sedgeridge_coordination::pool_messages::EntryReport;
use sedgeridge_coordination::pool_messages::Holding;
use sedgeridge_coordination::pool_messages::PrefixHash;
use sedgeridge_coordination::pool_messages::Served;
use sedgeridge_state::ids::Member;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::PeerCodecError;
use crate::peer::WireGrantId;
use crate::peer::is_false;
use crate::peer::is_zero;
use crate::peer::is_zero_u32;
use crate::peer::read_class;
use crate::peer::read_grant_id;
use crate::peer::wire_class;
use crate::peer::wire_grant_id;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireReport {
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
pub(crate) struct WireResult {
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
pub(crate) struct WireFailure {
    #[serde(rename = "k")]
    kind: u8,
    #[serde(rename = "a")]
    started_ago_ms: u32,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireDemand {
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
pub(crate) struct WireHolding {
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
pub(crate) struct WireServed {
    #[serde(rename = "a")]
    account: String,
    #[serde(rename = "k")]
    total_tokens: u64,
}

pub(crate) fn wire_report(report: &EntryReport) -> WireReport {
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

pub(crate) fn wire_demand(demand: &Demand) -> WireDemand {
    WireDemand {
        account: demand.account.as_str().to_owned(),
        class: wire_class(demand.class),
        waiting: demand.waiting,
        head_cost_tokens: demand.head_cost_tokens,
        head_prefix: demand.head_prefix.map(|prefix| prefix.0),
    }
}

pub(crate) fn wire_holding(holding: &Holding) -> WireHolding {
    WireHolding {
        grant: wire_grant_id(&holding.grant),
        endpoint: holding.endpoint.as_str().to_owned(),
        account: holding.account.as_str().to_owned(),
        estimate_tokens: holding.estimate_tokens,
    }
}

pub(crate) fn wire_served(served: &Served) -> WireServed {
    WireServed {
        account: served.account.as_str().to_owned(),
        total_tokens: served.total_tokens,
    }
}

pub(crate) fn read_report(
    report: &WireReport,
    from: &Member,
) -> Result<EntryReport, PeerCodecError> {
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

pub(crate) fn read_demand(demand: &WireDemand) -> Result<Demand, PeerCodecError> {
    Ok(Demand {
        account: demand.account.as_str().into(),
        class: read_class(demand.class)?,
        waiting: demand.waiting,
        head_cost_tokens: demand.head_cost_tokens,
        head_prefix: demand.head_prefix.map(PrefixHash),
    })
}

pub(crate) fn read_holding(holding: &WireHolding) -> Holding {
    Holding {
        grant: read_grant_id(&holding.grant),
        endpoint: holding.endpoint.as_str().into(),
        account: holding.account.as_str().into(),
        estimate_tokens: holding.estimate_tokens,
    }
}

pub(crate) fn read_served(served: &WireServed) -> Served {
    Served {
        account: served.account.as_str().into(),
        total_tokens: served.total_tokens,
    }
}

pub(crate) fn wire_result(result: &EndpointResult) -> WireResult {
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

pub(crate) fn read_result(result: &WireResult) -> Result<EndpointResult, PeerCodecError> {
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

pub(crate) fn wire_failure(kind: FailureKind) -> u8 {
    let position = FAILURES.iter().position(|known| *known == kind);
    position.map_or(u8::MAX, |position| position as u8)
}

pub(crate) fn read_failure(number: u8) -> Result<FailureKind, PeerCodecError> {
    let kind = FAILURES.get(usize::from(number)).copied();
    kind.ok_or(PeerCodecError::UnknownFailure(number))
}
