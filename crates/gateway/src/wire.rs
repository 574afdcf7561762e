//! What a platform's headers and documents say, in the product's words.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::request;
use http::response;
use sedgeridge_fleet::config::FleetConfig;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_state::ids::AccountId;
use thiserror::Error;

/// Facts that the head of a caller's request states.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestFacts {
    /// Identifies this attempt of the caller. Endpoints echo it.
    pub id: Arc<str>,
    /// Key of a client account.
    pub key: Option<Arc<str>>,
    /// How long the caller will wait.
    pub time_left: Option<Duration>,
    /// For model engines: what is asked for.
    pub prompt: Option<Prompt>,
    /// The caller has events up to this id already.
    pub last_event_id: Option<u64>,
}

/// What a request to an endpoint says in addition to the caller's own headers.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardFacts<'a> {
    /// The endpoint for which the request is meant. Any other turns it away.
    pub endpoint: &'a Endpoint,
    /// The account that pays.
    pub account: Option<&'a AccountId>,
    /// How long an answer is waited for.
    pub time_left: Duration,
    /// Go on after this event.
    pub last_event_id: Option<u64>,
}

/// What the head of an endpoint's answer states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerFacts {
    /// The request that it answers, if it says so.
    pub id: Option<Arc<str>>,
    /// Whether the endpoint vouches for the answer.
    pub is_vouched: bool,
    /// What the answer says of the run.
    pub run: RunStatus,
    /// Whether the endpoint says that it is about to stop.
    pub is_leaving: bool,
    /// How long the endpoint wants no further request from this host.
    pub pause: Option<Duration>,
}

/// Whether an endpoint ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// It did, or may have.
    MayHaveRun,
    /// It turned the request away unrun.
    NotRun,
    /// It is not the endpoint that was meant, and did not run the request.
    Misdirected,
}

/// Why a document or head of the platform cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// A header or field that is needed is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A header or field has no usable value.
    #[error("{name} cannot be read: {reason}")]
    Malformed {
        /// The header or field.
        name: &'static str,
        /// What is wrong.
        reason: String,
    },
}

/// Translates between a platform's forms and the product's types.
pub trait Wire: 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The request lacks its id, or a header has no usable value.
    fn request(&self, head: &request::Parts) -> Result<RequestFacts, WireError>;

    /// Turns the headers of a caller's request into those for an endpoint.
    fn forward(&self, headers: &mut HeaderMap, facts: &ForwardFacts<'_>);

    /// Reads the head of an endpoint's answer.
    fn answer(&self, head: &response::Parts) -> AnswerFacts;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// The document cannot be used.
    fn config(&self, document: &[u8]) -> Result<FleetConfig, WireError>;

    /// Reads an endpoint's entry, which is listed under `id`.
    ///
    /// # Errors
    ///
    /// The document cannot be used.
    fn endpoint(&self, id: &str, document: &[u8]) -> Result<Endpoint, WireError>;

    /// Returns the data centre to whose endpoints nothing is to be sent while this row of the operator's table
    /// exists; `None` for other rows.
    fn evacuated(&self, key: &str) -> Option<Arc<str>>;

    /// Path on which the balancer asks whether the router is ready.
    fn ready_path(&self) -> &'static str;
}
