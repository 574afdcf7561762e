//! A caller's request as it goes to an endpoint.

use std::sync::Arc;

use bytes::Bytes;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::RequestId;

/// How an answer is read and passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerForm {
    /// Server-sent events, passed on one by one; a broken stream can be resumed.
    ChatStream,
    /// One JSON document of a model engine, passed on when it is whole.
    ChatWhole,
    /// Any body of a plain service, passed on when it is whole.
    Plain,
}

/// Everything an attempt needs to send.
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
    /// How the answer is passed on.
    pub form: AnswerForm,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Rough hint of the cost, charged when nothing better is known.
    pub hint_tokens: u64,
}
