//! Lengths and texts of answers, which are pure functions of the request.

use sedgeridge_protocol::chat::ChatMessage;
use sedgeridge_protocol::chat::ChatRequest;
use sedgeridge_standins::answer;

fn request(content: &str, max_tokens: Option<u32>) -> ChatRequest {
    ChatRequest {
        model: "desk".into(),
        messages: vec![ChatMessage {
            role: "user".into(),
            content: content.into(),
        }],
        stream: true,
        max_tokens,
    }
}

#[test]
fn the_length_lies_between_a_quarter_and_all_of_the_limit() {
    let mut lengths = Vec::new();
    for case in 0..200 {
        let length = answer::output_tokens(&request(&format!("case {case}"), Some(100)));
        assert!((25..=100).contains(&length), "{length}");
        lengths.push(length);
    }
    assert!(lengths.iter().any(|length| *length < 40));
    assert!(lengths.iter().any(|length| *length > 85));
}

#[yare::parameterized(
    none = { None, 128 },
    one = { Some(1), 1 },
    zero = { Some(0), 1 },
)]
fn odd_limits_still_give_an_answer(max_tokens: Option<u32>, max_length: u64) {
    let length = answer::output_tokens(&request("hello", max_tokens));
    assert!((1..=max_length).contains(&length), "{length}");
}

#[test]
fn each_token_ends_with_its_only_space() {
    for position in 0..100 {
        let token = answer::answer_token(42, position);
        assert_eq!(token.find(' '), Some(token.len() - 1), "{token:?}");
    }
}

#[test]
fn a_resumed_answer_is_the_tail_of_the_whole_one() {
    let request = request("which lens fits", Some(40));
    let head: String = (0..5)
        .map(|position| answer::answer_token(answer::request_key(&request), position))
        .collect();
    let tail = answer::answer_text_from(&request, 5);
    assert_eq!(head + &tail, answer::answer_text(&request));
}

#[test]
fn different_requests_get_different_answers() {
    let first = answer::answer_text(&request("first crew", Some(40)));
    let second = answer::answer_text(&request("second crew", Some(40)));
    assert_ne!(first, second);
}

#[test]
fn message_borders_count() {
    let mut joined = request("a b", None);
    let mut split = request("a", None);
    split.messages.push(ChatMessage {
        role: "user".into(),
        content: "b".into(),
    });
    joined.stream = false;
    assert_eq!(answer::input_tokens(&joined), answer::input_tokens(&split));
    assert_ne!(answer::request_key(&joined), answer::request_key(&split));
}
