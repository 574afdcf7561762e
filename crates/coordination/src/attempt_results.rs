//! What attempts told about their endpoints, tally for the home of the pool.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;

use crate::breaker::FailureKind;

/// What the attempts of one entry router told about one endpoint since its last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointResult {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whole answers.
    pub answered: u32,
    /// Mean time until they began.
    pub first_byte_ms: u32,
    /// Longest time since the attempt of one of them began: an answer to an attempt from before an
    /// ejection says nothing about the endpoint's health after it.
    pub started_ago_ms: u32,
    /// Failures, each with the time since its attempt began.
    pub failures: Vec<ReportedFailure>,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedFailure {
    /// How it failed.
    pub kind: FailureKind,
    /// Time since it began.
    pub started_ago_ms: u32,
}

/// Most failures of one endpoint that one report carries; more say nothing new.
const MAX_FAILURES: usize = 8;

/// Results not yet reported.
#[derive(Debug, Default)]
pub(crate) struct AttemptResults {
    endpoints: BTreeMap<EndpointId, EndpointTally>,
}

#[derive(Debug, Default)]
struct EndpointTally {
    answered: u32,
    first_byte_sum: Duration,
    started_ago: Duration,
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
        tally.started_ago = tally.started_ago.max(started_ago);
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
                started_ago_ms: millis_u32(tally.started_ago),
                failures: tally.failures,
            }
        });
        results.collect()
    }
}

fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
