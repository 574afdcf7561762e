//! JSON messages of the chat completions API, as callers and model engines use it.

use serde::Deserialize;
use serde::Serialize;

use crate::object_only::deserialize_objects;

/// Path of the chat completions API.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Data of the server-sent event that ends a stream.
pub const STREAM_END: &str = "[DONE]";

/// A chat request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model service.
    pub model: String,
    /// The conversation so far.
    #[serde(deserialize_with = "deserialize_objects")]
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of output tokens; also a rough estimate of the cost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author of the message: `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A complete answer, returned when `stream` is false.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// Id of the attempt that produced the answer.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// The generated answers; engines return exactly one.
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
    /// Why generation ended: `stop` or `length`.
    pub finish_reason: String,
}

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Id of the attempt that produces the answer.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// The added text; exactly one entry.
    pub choices: Vec<ChunkChoice>,
    /// Tokens used, on the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Text that one event adds to a streamed answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Position among the answers.
    pub index: u32,
    /// The added text.
    pub delta: ChunkDelta,
    /// Why generation ended; on the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// Text added to a streamed answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// Text of one or more output tokens; each token ends with one space.
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
