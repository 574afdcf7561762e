//! Answers are compared with the expected answer byte for byte.

use std::io;
use std::io::BufReader;
use std::io::Read;

use sedgeridge_load::answer_reader::classify_chat;
use sedgeridge_load::answer_reader::classify_plain;
use sedgeridge_load::answer_reader::classify_stream;
use sedgeridge_load::answer_reader::read_stream;
use sedgeridge_load::history::Ending;
use yare::parameterized;

const EXPECTED: &str = "lens light ";

/// A body whose connection breaks after the given bytes.
struct Breaks<'a>(&'a [u8]);

impl Read for Breaks<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self.0.read(buffer)? {
            0 => Err(io::ErrorKind::ConnectionReset.into()),
            count => Ok(count),
        }
    }
}

fn events(texts: &[&str], end: &str) -> String {
    let chunk = |text: &&str| {
        let delta = serde_json::json!({"content": text});
        let choice = serde_json::json!({"index": 0, "delta": delta});
        let chunk = serde_json::json!({"id": "x", "object": "chunk", "choices": [choice]});
        format!("data: {chunk}\n\n")
    };
    texts.iter().map(chunk).collect::<String>() + end
}

#[parameterized(
    whole = { &["lens ", "light "], "data: [DONE]\n\n", Ending::Whole },
    short_with_marker = { &["lens "], "data: [DONE]\n\n", Ending::Short },
    short_without_marker = { &["lens "], "", Ending::Short },
    whole_without_marker = { &["lens ", "light "], "", Ending::Short },
    partial = { &["lens "], "event: error\ndata: {\"error\":{}}\n\n", Ending::Partial },
    foreign = { &["lens ", "ferry "], "data: [DONE]\n\n", Ending::Foreign },
    foreign_then_error = { &["ferry "], "data: {\"error\":{}}\n\n", Ending::Foreign },
    repeated_token = { &["lens ", "lens ", "light "], "data: [DONE]\n\n", Ending::Foreign },
)]
fn judges_a_stream(texts: &[&str], end: &str, ending: Ending) {
    let body = events(texts, end);
    let read = read_stream(body.as_bytes(), || ());
    assert_eq!(classify_stream(&read, EXPECTED), ending);
}

#[test]
fn a_stream_that_breaks_is_broken_and_not_short() {
    let body = events(&["lens "], "");
    let read = read_stream(BufReader::new(Breaks(body.as_bytes())), || ());
    assert_eq!(classify_stream(&read, EXPECTED), Ending::Broken);
}

#[test]
fn the_first_text_is_noted_and_empty_texts_are_not() {
    let mut texts = 0;
    read_stream(events(&["", "lens "], "").as_bytes(), || texts += 1);
    assert_eq!(texts, 1);
}

#[parameterized(
    whole = { "lens light ", Ending::Whole },
    short = { "lens ", Ending::Short },
    foreign = { "ferry ", Ending::Foreign },
)]
fn judges_an_answer_that_comes_at_once(text: &str, ending: Ending) {
    let message = serde_json::json!({"role": "assistant", "content": text});
    let choice = serde_json::json!({"index": 0, "message": message, "finish_reason": "stop"});
    let usage = serde_json::json!({"prompt_tokens": 1, "completion_tokens": 1});
    let answer = serde_json::json!({
        "id": "x", "object": "chat.completion", "choices": [choice], "usage": usage
    });
    assert_eq!(
        classify_chat(answer.to_string().as_bytes(), EXPECTED),
        ending
    );
    assert_eq!(classify_plain(text.as_bytes(), EXPECTED), ending);
}

#[test]
fn half_a_json_answer_is_short() {
    assert_eq!(
        classify_chat("{\"id\":\"x\"".as_bytes(), EXPECTED),
        Ending::Short
    );
}
