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
pub struct RequestMetadata {
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
pub struct ForwardMetadata<'a> {
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
pub struct ResponseMetadata {
    /// The request that it answers, if it says so.
    pub id: Option<Arc<str>>,
    /// Whether the endpoint vouches for the answer.
    pub has_proof: bool,
    /// What the answer says of the run.
    pub execution: ExecutionStatus,
    /// Whether the endpoint says that it is about to stop.
    pub is_leaving: bool,
    /// How long the endpoint wants no further request from this host.
    pub pause: Option<Duration>,
}

/// Whether an endpoint ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
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
pub trait WireFormat: 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The request lacks its id, or a header has no usable value.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestMetadata, WireError>;

    /// Turns the headers of a caller's request into those for an endpoint.
    fn write_forward_headers(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);

    /// Reads the head of an endpoint's answer.
    fn parse_response(&self, head: &response::Parts) -> ResponseMetadata;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// The document cannot be used.
    fn parse_config(&self, document: &[u8]) -> Result<FleetConfig, WireError>;

    /// Reads an endpoint's entry, which is listed under `id`.
    ///
    /// # Errors
    ///
    /// The document cannot be used.
    fn parse_endpoint(&self, id: &str, document: &[u8]) -> Result<Endpoint, WireError>;

    /// Returns the data centre to whose endpoints nothing is to be sent while this row of the operator's table
    /// exists; `None` for other rows.
    fn evacuated_data_centre(&self, key: &str) -> Option<Arc<str>>;

    /// Path on which the balancer asks whether the router is ready.
    fn ready_path(&self) -> &'static str;
}
