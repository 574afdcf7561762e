//! Generates the work that callers request, with the expected answer to each piece.

use sedgeridge_protocol::chat::CHAT_PATH;
use sedgeridge_protocol::chat::ChatMessage;
use sedgeridge_protocol::chat::ChatRequest;
use sedgeridge_standins::answer;

use crate::plan::PoolKind;
use crate::plan::ServicePlan;
use crate::random::Random;

/// Path within a plain service.
const PLAIN_PATH: &str = "/calls";
/// Number of words in a prompt prefix that an account's requests share.
const PREFIX_WORDS: u64 = 60;
/// Number of prompt prefixes of one account.
const PREFIXES_PER_ACCOUNT: u64 = 2;
/// Range of the number of words in the part that is new in each request.
const NEW_WORD_COUNT_RANGE: (u64, u64) = (5, 80);
/// Range of the requested maximum number of output tokens.
const MAX_TOKENS_RANGE: (u64, u64) = (16, 64);
/// Share of model requests whose answer is streamed.
const STREAM_SHARE: f64 = 0.8;

/// One piece of work.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Number of the work, unique within a run.
    pub number: u64,
    /// Path at the router.
    pub path: String,
    /// Request body.
    pub body: String,
    /// Whether the answer comes as server-sent events.
    pub stream: bool,
    /// Protocol of the service.
    pub kind: PoolKind,
    /// Expected answer: the text of a model's message, or the body of a plain service's response.
    pub answer: String,
    /// Key under which it may run at most once, if it must not be repeated.
    pub idempotency_key: Option<String>,
}

/// Generates a random piece of work of an account for a service.
///
/// ```
/// use sedgeridge_load::plan::PoolKind;
/// use sedgeridge_load::plan::ServicePlan;
/// use sedgeridge_load::random::Random;
/// use sedgeridge_load::work::generate;
///
/// let deposits = ServicePlan {
///     name: "deposits".into(),
///     pool: "booking".into(),
///     kind: PoolKind::Plain,
///     repeatable: false,
/// };
/// let work = generate(&mut Random::new(1), 7, "crew-01", &deposits);
/// assert_eq!(work.idempotency_key.as_deref(), Some("key-7"));
/// ```
pub fn generate(random: &mut Random, number: u64, account: &str, service: &ServicePlan) -> Work {
    let idempotency_key = (!service.repeatable).then(|| format!("key-{number}"));
    match service.kind {
        PoolKind::Model => {
            let request = chat_request(random, account, service, &format!("work {number}"));
            model_work(number, &request, idempotency_key)
        }
        PoolKind::Plain => plain_work(random, number, account, service, idempotency_key),
    }
}

/// Generates a piece of model work whose request contains a text that crashes engines.
pub fn generate_poisoned(
    random: &mut Random,
    number: u64,
    account: &str,
    service: &ServicePlan,
    poison: &str,
) -> Work {
    let request = chat_request(random, account, service, &format!("{poison} {number}"));
    model_work(number, &request, None)
}

fn chat_request(
    random: &mut Random,
    account: &str,
    service: &ServicePlan,
    subject: &str,
) -> ChatRequest {
    let prefix = random.between(1, PREFIXES_PER_ACCOUNT);
    let (least, most) = NEW_WORD_COUNT_RANGE;
    let new_words = words("word", random.between(least, most));
    let (least, most) = MAX_TOKENS_RANGE;
    ChatRequest {
        model: service.name.clone(),
        messages: vec![
            message(
                "system",
                words(&format!("{account}-{prefix}"), PREFIX_WORDS),
            ),
            message("user", format!("{subject} {new_words}")),
        ],
        stream: random.happens(STREAM_SHARE),
        max_tokens: Some(random.between(least, most) as u32),
    }
}

fn model_work(number: u64, request: &ChatRequest, idempotency_key: Option<String>) -> Work {
    Work {
        number,
        path: CHAT_PATH.to_owned(),
        body: serde_json::to_string(request).expect("a chat request is plain JSON"),
        stream: request.stream,
        kind: PoolKind::Model,
        answer: answer::answer_text(request),
        idempotency_key,
    }
}

fn plain_work(
    random: &mut Random,
    number: u64,
    account: &str,
    service: &ServicePlan,
    idempotency_key: Option<String>,
) -> Work {
    let nonce = random.next_u64();
    let body = format!("{{\"account\":\"{account}\",\"work\":{number},\"nonce\":{nonce}}}");
    Work {
        number,
        path: format!("/services/{}{PLAIN_PATH}", service.name),
        answer: answer::plain_answer(PLAIN_PATH, body.as_bytes()),
        body,
        stream: false,
        kind: PoolKind::Plain,
        idempotency_key,
    }
}

fn message(role: &str, content: String) -> ChatMessage {
    ChatMessage {
        role: role.to_owned(),
        content,
    }
}

fn words(stem: &str, count: u64) -> String {
    let words: Vec<String> = (0..count).map(|n| format!("{stem}-{n}")).collect();
    words.join(" ")
}
