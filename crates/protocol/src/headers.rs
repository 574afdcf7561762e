//! Names of the HTTP headers that sedgeridge reads and writes.

/// Id of the caller's request; chosen by the caller, or by the router when absent.
pub const REQUEST_ID: &str = "x-sedgeridge-request-id";
/// Id of one attempt; set by the router on requests to endpoints, which echo it.
pub const ATTEMPT_ID: &str = "x-sedgeridge-attempt-id";
/// Name of the client account; set by the router on requests to endpoints.
pub const ACCOUNT: &str = "x-sedgeridge-account";
/// Final outcome of the request, on every answer: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-sedgeridge-outcome";
/// Machine-readable reason of a refusal.
pub const REASON: &str = "x-sedgeridge-reason";
/// Caller's deadline for the whole request, in milliseconds from its arrival.
pub const DEADLINE_MS: &str = "x-sedgeridge-deadline-ms";
/// Caller's key for a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set by an endpoint when it refuses a request before starting it.
pub const NOT_STARTED: &str = "x-endpoint-not-started";
/// Number of output tokens that the caller already has; the endpoint resumes after them.
pub const RESUME_AFTER_TOKENS: &str = "x-endpoint-resume-after-tokens";
/// Position of the first output token in an answer.
pub const FIRST_TOKEN: &str = "x-endpoint-first-token";
/// Caller's estimate of the service tokens that a request to a plain service costs.
pub const COST_HINT_TOKENS: &str = "x-sedgeridge-cost-hint-tokens";
/// Service tokens that a plain service charged for the request.
pub const CHARGED_TOKENS: &str = "x-endpoint-charged-tokens";
