//! HTTP headers that sedgeridge reads and writes.

/// Names the caller request; chosen by the caller, or by the router when absent.
pub const REQUEST_ID: &str = "x-sedgeridge-request-id";
/// Identifies one attempt; set by the router towards endpoints and echoed by them.
pub const ATTEMPT_ID: &str = "x-sedgeridge-attempt-id";
/// Names the client account towards endpoints.
pub const ACCOUNT: &str = "x-sedgeridge-account";
/// Final outcome on every answer: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-sedgeridge-outcome";
/// Machine-readable reason of a refusal.
pub const REASON: &str = "x-sedgeridge-reason";
/// Caller's deadline for the whole request, in milliseconds from its arrival.
pub const DEADLINE_MS: &str = "x-sedgeridge-deadline-ms";
/// Caller's key for a request that may not be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set by an endpoint on a refusal that it gave before it started the request.
pub const NOT_STARTED: &str = "x-endpoint-not-started";
/// Output tokens that the caller already holds; the endpoint resumes after them.
pub const RESUME_AFTER_TOKENS: &str = "x-endpoint-resume-after-tokens";
/// Position of the first output token carried by an answer.
pub const FIRST_TOKEN: &str = "x-endpoint-first-token";
/// Caller's estimate of the service tokens a plain request costs.
pub const COST_HINT_TOKENS: &str = "x-sedgeridge-cost-hint-tokens";
/// Service tokens that a plain service charged for the request.
pub const CHARGED_TOKENS: &str = "x-endpoint-charged-tokens";
