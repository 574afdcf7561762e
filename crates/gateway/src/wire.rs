//! Translation between a platform's headers and documents and the gateway's types.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::request;
use http::response;
use sedgeridge_fleet::config::FleetConfig;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::reported_load::ReportedLoad;
use sedgeridge_state::ids::AccountId;
use thiserror::Error;

use crate::store::HostEntry;

/// Content of the head of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller. Endpoints echo it.
    pub id: Arc<str>,
    /// Key of a client account.
    pub key: Option<Arc<str>>,
    /// Time for which the caller will wait.
    pub time_left: Option<Duration>,
    /// Prompt, for model engines.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller has already.
    pub last_event_id: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream that this one resumes.
    pub resumed_attempt: Option<Arc<str>>,
}

/// Content that a request to an endpoint has in addition to the caller's own headers.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardMetadata<'a> {
    /// Endpoint for which the request is meant. Any other rejects it.
    pub endpoint: &'a Endpoint,
    /// Client account that pays for the request.
    pub account: Option<&'a AccountId>,
    /// Time for which the router waits for a response.
    pub time_left: Duration,
    /// Id of the event after which a stream goes on.
    pub last_event_id: Option<u64>,
}

/// Content of the head of an endpoint's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the request that it answers, if it names one.
    pub id: Option<Arc<str>>,
    /// Whether the response carries a proof that the endpoint made it.
    pub has_proof: bool,
    /// Whether the endpoint ran the request.
    pub execution: ExecutionStatus,
    /// Whether the endpoint says that it is about to stop.
    pub is_leaving: bool,
    /// Time for which the endpoint wants no further request from this host.
    pub pause: Option<Duration>,
    /// Load that the endpoint states, if it states any.
    pub load: Option<Result<ReportedLoad, WireError>>,
}

/// Whether an endpoint ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It ran the request, or may have.
    MayHaveRun,
    /// It rejected the request without running it.
    NotRun,
    /// It is not the endpoint that was meant, and did not run the request.
    Misdirected,
}

/// Why a document or head of the platform cannot be used.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum WireError {
    /// A required header or field is missing.
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

/// Translates between a platform's headers and documents and the gateway's types.
pub trait WireFormat: 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The request lacks its id, or a header has no usable value.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestMetadata, WireError>;

    /// Converts the headers of a caller's request to those for an endpoint.
    fn write_forward_headers(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);

    /// Reads the head of an endpoint's response.
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

    /// Reads the entry of the host `host` in the host list.
    ///
    /// # Errors
    ///
    /// The document cannot be used.
    fn parse_host(&self, host: &str, document: &[u8]) -> Result<HostEntry, WireError>;

    /// Returns the data centre that is evacuated while this row of the operator's table exists,
    /// that is, to whose endpoints nothing is sent; `None` for other rows.
    fn evacuated_data_centre(&self, key: &str) -> Option<Arc<str>>;

    /// Returns the path on which the balancer asks whether the router is ready.
    fn ready_path(&self) -> &'static str;
}
