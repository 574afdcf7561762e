//! Reads an answer and compares it with the expected answer.

use std::io;
use std::io::BufRead;
use std::io::Read;

use sedgeridge_protocol::chat::ChatAnswer;
use sedgeridge_protocol::chat::ChatChunk;
use sedgeridge_protocol::chat::STREAM_END;
use serde_json::Value;

use crate::history::Ending;

const EVENT_DATA: &str = "data:";

/// Text of a stream and how the stream ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamText {
    /// Texts of all chunks, concatenated in order.
    pub text: String,
    /// How it ended.
    pub end: StreamEnd,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StreamEnd {
    /// With the end marker.
    Marked,
    /// With an error event.
    Error,
    /// The connection closed normally, but without the end marker.
    #[default]
    Unmarked,
    /// The connection broke or timed out.
    Broken,
}

/// Reads server-sent events until the stream ends; `on_text` is called for each non-empty text.
///
/// ```
/// use sedgeridge_load::answer_reader::StreamEnd;
/// use sedgeridge_load::answer_reader::read_stream;
///
/// let read = read_stream("data: [DONE]\n\n".as_bytes(), || ());
/// assert_eq!(read.end, StreamEnd::Marked);
/// ```
pub fn read_stream(mut body: impl BufRead, mut on_text: impl FnMut()) -> StreamText {
    let mut read = StreamText::default();
    let mut line = String::new();
    loop {
        line.clear();
        match body.read_line(&mut line) {
            Ok(0) => return read,
            Ok(_) => {}
            Err(_) => {
                read.end = StreamEnd::Broken;
                return read;
            }
        }
        let Some(data) = line.strip_prefix(EVENT_DATA) else {
            continue;
        };
        match parse_event(data.trim()) {
            Event::Text(text) if text.is_empty() => {}
            Event::Text(text) => {
                on_text();
                read.text.push_str(&text);
            }
            Event::End => {
                read.end = StreamEnd::Marked;
                drain(body);
                return read;
            }
            Event::Error => {
                read.end = StreamEnd::Error;
                return read;
            }
        }
    }
}

/// Reads the rest of the body after the end marker, so that the connection can be reused.
fn drain(mut body: impl BufRead) {
    let _ = io::copy(&mut body, &mut io::sink());
}

enum Event {
    Text(String),
    End,
    Error,
}

fn parse_event(data: &str) -> Event {
    if data == STREAM_END {
        return Event::End;
    }
    match serde_json::from_str::<ChatChunk>(data) {
        Ok(chunk) => {
            let deltas = chunk.choices.into_iter().filter_map(|c| c.delta.content);
            Event::Text(deltas.collect())
        }
        Err(_) => Event::Error,
    }
}

/// Compares a stream with the expected answer.
pub fn classify_stream(read: &StreamText, expected: &str) -> Ending {
    if !expected.starts_with(&read.text) {
        return Ending::Foreign;
    }
    let whole = read.text.len() == expected.len();
    match (read.end, whole) {
        (StreamEnd::Marked, true) => Ending::Whole,
        (StreamEnd::Marked | StreamEnd::Unmarked, _) => Ending::Short,
        (StreamEnd::Error, _) => Ending::Partial,
        (StreamEnd::Broken, _) => Ending::Broken,
    }
}

/// Reads a non-streamed chat answer and compares it with the expected answer.
pub fn classify_chat(body: impl Read, expected: &str) -> Ending {
    let Ok(text) = io::read_to_string(body) else {
        return Ending::Broken;
    };
    if let Ok(answer) = serde_json::from_str::<ChatAnswer>(&text) {
        let message: String = answer
            .choices
            .into_iter()
            .map(|c| c.message.content)
            .collect();
        return classify_text(&message, expected);
    }
    match serde_json::from_str::<Value>(&text) {
        Ok(value) if value.get("error").is_some() => Ending::Partial,
        _ => Ending::Short,
    }
}

/// Reads the answer of a plain service and compares it with the expected answer.
pub fn classify_plain(body: impl Read, expected: &str) -> Ending {
    match io::read_to_string(body) {
        Ok(text) => classify_text(&text, expected),
        Err(_) => Ending::Broken,
    }
}

fn classify_text(text: &str, expected: &str) -> Ending {
    if text == expected {
        Ending::Whole
    } else if expected.starts_with(text) {
        Ending::Short
    } else {
        Ending::Foreign
    }
}
