//! Computes answers as pure functions of the request, so that any tool can check them byte for
//! byte.

use sedgeridge_protocol::chat::ChatMessage;
use sedgeridge_protocol::chat::ChatRequest;

/// Output limit of a request without `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 128;
/// Minimum answer length, in percent of the limit.
const MIN_ANSWER_PERCENT: u64 = 25;
/// Minimum charge of a plain service.
const PLAIN_MIN_TOKENS: u64 = 1;
/// Number of different charges of a plain service, counted up from the minimum.
const PLAIN_CHARGE_RANGE_TOKENS: u64 = 16;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

const WORDS: [&str; 16] = [
    "lens", "light", "camera", "tripod", "permit", "route", "ferry", "desk", "filter", "battery",
    "record", "letter", "driver", "booking", "return", "review",
];

/// An incremental hash that is the same on every host and in every build.
#[derive(Debug, Clone, Copy)]
pub struct StableHash(u64);

impl StableHash {
    /// Creates the hash of no fields.
    pub fn new() -> Self {
        Self(FNV_OFFSET)
    }

    /// Adds one field. Its length is hashed too, so that moving bytes between fields changes the
    /// hash.
    pub fn field(mut self, bytes: &[u8]) -> Self {
        for byte in (bytes.len() as u64).to_le_bytes().iter().chain(bytes) {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        self
    }

    /// Returns the hash of all fields.
    pub fn finish(self) -> u64 {
        mix(self.0)
    }
}

impl Default for StableHash {
    fn default() -> Self {
        Self::new()
    }
}

/// Spreads the bits of a number (the finaliser of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the key of a chat request. Equal requests, streamed or not, have equal keys and answers.
///
/// ```
/// use sedgeridge_protocol::chat::ChatMessage;
/// use sedgeridge_protocol::chat::ChatRequest;
/// use sedgeridge_standins::answer;
///
/// let request = ChatRequest {
///     model: "desk".into(),
///     messages: vec![ChatMessage { role: "user".into(), content: "which lens".into() }],
///     stream: true,
///     max_tokens: Some(8),
/// };
/// let plain = ChatRequest { stream: false, ..request.clone() };
/// assert_eq!(answer::request_key(&request), answer::request_key(&plain));
/// ```
pub fn request_key(request: &ChatRequest) -> u64 {
    let limit = output_limit(request);
    let start = StableHash::new()
        .field(request.model.as_bytes())
        .field(&limit.to_le_bytes());
    add_messages(start, &request.messages).finish()
}

/// Returns the key and the length in tokens of each prefix of a conversation, shortest first.
pub fn prefix_keys(request: &ChatRequest) -> Vec<(u64, u64)> {
    let mut hash = StableHash::new().field(request.model.as_bytes());
    let mut length_tokens = 0;
    request
        .messages
        .iter()
        .map(|message| {
            hash = add_messages(hash, std::slice::from_ref(message));
            length_tokens += message_tokens(message);
            (hash.finish(), length_tokens)
        })
        .collect()
}

/// Number of input tokens: one for each word of all messages.
pub fn input_tokens(request: &ChatRequest) -> u64 {
    request.messages.iter().map(message_tokens).sum()
}

/// Number of output tokens of the whole answer: 25% to 100% of the limit, at least one.
pub fn output_tokens(request: &ChatRequest) -> u64 {
    let limit = u64::from(output_limit(request)).max(1);
    let min_tokens = (limit * MIN_ANSWER_PERCENT).div_ceil(100);
    min_tokens + mix(request_key(request)) % (limit - min_tokens + 1)
}

/// Text of one output token; it ends with one space.
///
/// ```
/// let token = sedgeridge_standins::answer::answer_token(7, 0);
/// assert!(token.ends_with(' '));
/// assert_eq!(token, sedgeridge_standins::answer::answer_token(7, 0));
/// ```
pub fn answer_token(request_key: u64, position: u64) -> String {
    let draw = mix(request_key ^ mix(position));
    let word = WORDS[(draw % WORDS.len() as u64) as usize];
    format!("{word}-{:04x} ", (draw >> 16) & 0xffff)
}

/// The whole answer of a chat request.
pub fn answer_text(request: &ChatRequest) -> String {
    answer_text_from(request, 0)
}

/// The answer of a chat request from `first_token` on, as sent to a caller that resumes a stream.
pub fn answer_text_from(request: &ChatRequest, first_token: u64) -> String {
    let key = request_key(request);
    (first_token..output_tokens(request))
        .map(|position| answer_token(key, position))
        .collect()
}

/// Why the answer ends: `length` when it fills the limit, else `stop`.
pub fn finish_reason(request: &ChatRequest) -> &'static str {
    if output_tokens(request) >= u64::from(output_limit(request)) {
        "length"
    } else {
        "stop"
    }
}

/// Returns the key of a request to a plain service.
pub fn plain_key(path: &str, body: &[u8]) -> u64 {
    StableHash::new()
        .field(path.as_bytes())
        .field(body)
        .finish()
}

/// The answer body of a plain service.
///
/// ```
/// use sedgeridge_standins::answer::plain_answer;
/// assert_eq!(plain_answer("/holds", b"a"), plain_answer("/holds", b"a"));
/// assert_ne!(plain_answer("/holds", b"a"), plain_answer("/holds", b"b"));
/// ```
pub fn plain_answer(path: &str, body: &[u8]) -> String {
    let key = plain_key(path, body);
    format!("{{\"receipt\":\"{key:016x}\"}}\n")
}

/// Service tokens that a plain service charges for the request.
pub fn plain_charged_tokens(path: &str, body: &[u8]) -> u64 {
    PLAIN_MIN_TOKENS + mix(plain_key(path, body)) % PLAIN_CHARGE_RANGE_TOKENS
}

fn output_limit(request: &ChatRequest) -> u32 {
    request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
}

fn message_tokens(message: &ChatMessage) -> u64 {
    message.content.split_whitespace().count() as u64
}

fn add_messages(hash: StableHash, messages: &[ChatMessage]) -> StableHash {
    messages.iter().fold(hash, |hash, message| {
        hash.field(message.role.as_bytes())
            .field(message.content.as_bytes())
    })
}
