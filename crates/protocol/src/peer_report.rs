//! Wire form of the reports that entry routers send to the home of a pool; part of
//! [`crate::peer`].

use sedgeridge_coordination::attempt_results::EndpointResult;
use sedgeridge_coordination::attempt_results::ReportedFailure;
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
use crate::peer::class_from_wire;
use crate::peer::class_to_wire;
use crate::peer::grant_id_from_wire;
use crate::peer::grant_id_to_wire;
use crate::peer::is_false;
use crate::peer::is_zero;
use crate::peer::is_zero_u32;

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

pub(crate) fn report_to_wire(report: &EntryReport) -> WireReport {
    WireReport {
        pool: report.pool.as_str().to_owned(),
        sequence: report.sequence,
        full: report.full,
        grants_received: report.grants_received,
        demand: report.demand.iter().map(demand_to_wire).collect(),
        holdings: report.holdings.iter().map(holding_to_wire).collect(),
        ended: report.ended.iter().map(grant_id_to_wire).collect(),
        served: report.served.iter().map(served_to_wire).collect(),
        results: report.results.iter().map(result_to_wire).collect(),
    }
}

pub(crate) fn demand_to_wire(demand: &Demand) -> WireDemand {
    WireDemand {
        account: demand.account.as_str().to_owned(),
        class: class_to_wire(demand.class),
        waiting: demand.waiting,
        head_cost_tokens: demand.head_cost_tokens,
        head_prefix: demand.head_prefix.map(|prefix| prefix.0),
    }
}

pub(crate) fn holding_to_wire(holding: &Holding) -> WireHolding {
    WireHolding {
        grant: grant_id_to_wire(&holding.grant),
        endpoint: holding.endpoint.as_str().to_owned(),
        account: holding.account.as_str().to_owned(),
        estimate_tokens: holding.estimate_tokens,
    }
}

pub(crate) fn served_to_wire(served: &Served) -> WireServed {
    WireServed {
        account: served.account.as_str().to_owned(),
        total_tokens: served.total_tokens,
    }
}

pub(crate) fn report_from_wire(
    report: &WireReport,
    from: &Member,
) -> Result<EntryReport, PeerCodecError> {
    let demand: Result<Vec<Demand>, PeerCodecError> =
        report.demand.iter().map(demand_from_wire).collect();
    let results: Result<Vec<EndpointResult>, PeerCodecError> =
        report.results.iter().map(result_from_wire).collect();
    Ok(EntryReport {
        from: from.clone(),
        pool: report.pool.as_str().into(),
        sequence: report.sequence,
        full: report.full,
        grants_received: report.grants_received,
        demand: demand?,
        holdings: report.holdings.iter().map(holding_from_wire).collect(),
        ended: report.ended.iter().map(grant_id_from_wire).collect(),
        served: report.served.iter().map(served_from_wire).collect(),
        results: results?,
    })
}

pub(crate) fn demand_from_wire(demand: &WireDemand) -> Result<Demand, PeerCodecError> {
    Ok(Demand {
        account: demand.account.as_str().into(),
        class: class_from_wire(demand.class)?,
        waiting: demand.waiting,
        head_cost_tokens: demand.head_cost_tokens,
        head_prefix: demand.head_prefix.map(PrefixHash),
    })
}

pub(crate) fn holding_from_wire(holding: &WireHolding) -> Holding {
    Holding {
        grant: grant_id_from_wire(&holding.grant),
        endpoint: holding.endpoint.as_str().into(),
        account: holding.account.as_str().into(),
        estimate_tokens: holding.estimate_tokens,
    }
}

pub(crate) fn served_from_wire(served: &WireServed) -> Served {
    Served {
        account: served.account.as_str().into(),
        total_tokens: served.total_tokens,
    }
}

pub(crate) fn result_to_wire(result: &EndpointResult) -> WireResult {
    WireResult {
        endpoint: result.endpoint.as_str().to_owned(),
        answered: result.answered,
        first_byte_ms: result.first_byte_ms,
        started_ago_ms: result.started_ago_ms,
        failures: result
            .failures
            .iter()
            .map(|failure| WireFailure {
                kind: failure_to_wire(failure.kind),
                started_ago_ms: failure.started_ago_ms,
            })
            .collect(),
    }
}

pub(crate) fn result_from_wire(result: &WireResult) -> Result<EndpointResult, PeerCodecError> {
    let failures = result.failures.iter().map(|failure| {
        Ok(ReportedFailure {
            kind: failure_from_wire(failure.kind)?,
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

/// Kinds of failure, indexed by their number on the wire. The order must never change.
const FAILURE_KINDS: [FailureKind; 6] = [
    FailureKind::ConnectFailed,
    FailureKind::ConnectionLost,
    FailureKind::TimedOut,
    FailureKind::ServerError,
    FailureKind::Silent,
    FailureKind::ReportMissing,
];

pub(crate) fn failure_to_wire(kind: FailureKind) -> u8 {
    let position = FAILURE_KINDS.iter().position(|known| *known == kind);
    position.map_or(u8::MAX, |position| position as u8)
}

pub(crate) fn failure_from_wire(number: u8) -> Result<FailureKind, PeerCodecError> {
    let kind = FAILURE_KINDS.get(usize::from(number)).copied();
    kind.ok_or(PeerCodecError::UnknownFailure(number))
}
