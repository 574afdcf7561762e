//! Builds the wire form of chat answers, whole and streamed.

use serde::Serialize;

use sedgeridge_protocol::chat::ChatAnswer;
use sedgeridge_protocol::chat::ChatChoice;
use sedgeridge_protocol::chat::ChatChunk;
use sedgeridge_protocol::chat::ChatMessage;
use sedgeridge_protocol::chat::ChatRequest;
use sedgeridge_protocol::chat::ChunkChoice;
use sedgeridge_protocol::chat::ChunkDelta;
use sedgeridge_protocol::chat::STREAM_END;
use sedgeridge_protocol::chat::Usage;

use crate::answer;

/// Builds the event of one token.
pub fn token_event(id: &str, text: String) -> String {
    event(&chunk(id, Some(text), None, None))
}

/// Builds the last event, with the usage, and the end marker after it.
pub fn end_event(id: &str, finish_reason: &str, usage: Usage) -> String {
    let last = chunk(id, None, Some(finish_reason.to_owned()), Some(usage));
    format!("{}data: {STREAM_END}\n\n", event(&last))
}

/// Builds a whole answer that begins at the given token.
pub fn whole(id: &str, request: &ChatRequest, first_token: u64, usage: Usage) -> ChatAnswer {
    ChatAnswer {
        id: id.to_owned(),
        object: "chat.completion".to_owned(),
        choices: vec![ChatChoice {
            index: 0,
            message: ChatMessage {
                role: "assistant".to_owned(),
                content: answer::answer_text_from(request, first_token),
            },
            finish_reason: answer::finish_reason(request).to_owned(),
        }],
        usage,
    }
}

fn chunk(
    id: &str,
    content: Option<String>,
    finish_reason: Option<String>,
    usage: Option<Usage>,
) -> ChatChunk {
    ChatChunk {
        id: id.to_owned(),
        object: "chat.completion.chunk".to_owned(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: ChunkDelta { content },
            finish_reason,
        }],
        usage,
    }
}

fn event(chunk: &impl Serialize) -> String {
    // A struct of strings and numbers always has a JSON form.
    let json = serde_json::to_string(chunk).unwrap_or_default();
    format!("data: {json}\n\n")
}
