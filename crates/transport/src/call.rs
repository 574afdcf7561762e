//! A caller's request in the form in which it is sent to an endpoint.

use std::sync::Arc;

use bytes::Bytes;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::RequestId;

/// How an answer is read and forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerForm {
    /// Server-sent events, forwarded one by one; a broken stream can be resumed.
    ChatStream,
    /// One JSON document of a model engine, forwarded when it is complete.
    ChatWhole,
    /// Any body of a plain service, forwarded when it is complete.
    Plain,
}

/// Everything that an attempt sends to the endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// The client account.
    pub account: AccountId,
    /// The request.
    pub request_id: RequestId,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query at the endpoint.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Idempotency key, if the caller gave one.
    pub idempotency_key: Option<Arc<str>>,
    /// The body.
    pub body: Bytes,
    /// How the answer is forwarded.
    pub form: AnswerForm,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Estimated cost in tokens, charged if the endpoint does not report the cost.
    pub hint_tokens: u64,
}
