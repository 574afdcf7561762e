//! The chat-completions form that callers and model engines speak.

use serde::Deserialize;
use serde::Serialize;

use crate::object_only::objects;

/// Path of the chat-completions call.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Data of the event that ends a stream.
pub const STREAM_END: &str = "[DONE]";

/// A chat request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model service asked for.
    pub model: String,
    /// The conversation so far.
    #[serde(deserialize_with = "objects")]
    pub messages: Vec<ChatMessage>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Most output tokens wanted; a rough hint of the cost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks: `system`, `user` or `assistant`.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// A whole answer, given when `stream` is false.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// Attempt that made the answer.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// The answers; engines here give exactly one.
    pub choices: Vec<ChatChoice>,
    /// Tokens used.
    pub usage: Usage,
}

/// One answer of a [`ChatAnswer`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Position among the answers.
    pub index: u32,
    /// The message.
    pub message: ChatMessage,
    /// Why it ended: `stop` or `length`.
    pub finish_reason: String,
}

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Attempt that makes the answer.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// What is new; exactly one entry.
    pub choices: Vec<ChunkChoice>,
    /// Tokens used, on the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// What one event of a stream adds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Position among the answers.
    pub index: u32,
    /// The text that is new.
    pub delta: ChunkDelta,
    /// Why it ended, on the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// New text of a stream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// Text of one or more output tokens; a token here ends with one space.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Tokens that a request used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Input tokens.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub completion_tokens: u64,
    /// Input tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}
