//! Results of attempts by endpoint, collected for the report to the home of the pool.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;

use crate::breaker::FailureKind;

/// Results of the attempts of one entry router on one endpoint since its last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointResult {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Number of whole answers.
    pub answered: u32,
    /// Mean time until their first byte.
    pub first_byte_ms: u32,
    /// Longest time since one of their attempts started. An answer to an attempt that started
    /// before an ejection says nothing about the health of the endpoint after it.
    pub started_ago_ms: u32,
    /// Failures, each with the time since its attempt started.
    pub failures: Vec<ReportedFailure>,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedFailure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Time since the attempt started.
    pub started_ago_ms: u32,
}

/// Maximum number of failures of one endpoint in one report; more add no information.
const MAX_FAILURES: usize = 8;

/// Results of attempts that are not reported yet.
#[derive(Debug, Default)]
pub(crate) struct AttemptResults {
    endpoints: BTreeMap<EndpointId, EndpointTally>,
}

#[derive(Debug, Default)]
struct EndpointTally {
    answered: u32,
    first_byte_sum: Duration,
    max_started_ago: Duration,
    failures: Vec<ReportedFailure>,
}

impl AttemptResults {
    pub(crate) fn record_answer(
        &mut self,
        endpoint: &EndpointId,
        first_byte: Duration,
        started_ago: Duration,
    ) {
        let tally = self.endpoints.entry(endpoint.clone()).or_default();
        tally.answered += 1;
        tally.first_byte_sum += first_byte;
        tally.max_started_ago = tally.max_started_ago.max(started_ago);
    }

    pub(crate) fn record_failure(
        &mut self,
        endpoint: &EndpointId,
        kind: FailureKind,
        started_ago: Duration,
    ) {
        let tally = self.endpoints.entry(endpoint.clone()).or_default();
        if tally.failures.len() < MAX_FAILURES {
            tally.failures.push(ReportedFailure {
                kind,
                started_ago_ms: millis_u32(started_ago),
            });
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    pub(crate) fn has_failures(&self) -> bool {
        self.endpoints
            .values()
            .any(|tally| !tally.failures.is_empty())
    }

    pub(crate) fn take(&mut self) -> Vec<EndpointResult> {
        let endpoints = std::mem::take(&mut self.endpoints);
        let results = endpoints.into_iter().map(|(endpoint, tally)| {
            let first_byte = tally.first_byte_sum / tally.answered.max(1);
            EndpointResult {
                endpoint,
                answered: tally.answered,
                first_byte_ms: millis_u32(first_byte),
                started_ago_ms: millis_u32(tally.max_started_ago),
                failures: tally.failures,
            }
        });
        results.collect()
    }
}

fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
