//! Passes an endpoint's answer on to the caller: whole, or event by event.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use bytes::Bytes;
use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_coordination::entry_events::AttemptFailure;
use sedgeridge_protocol::chat::ChatAnswer;
use sedgeridge_protocol::chat::ChatChunk;
use sedgeridge_protocol::chat::STREAM_END;
use sedgeridge_protocol::chat::Usage;
use sedgeridge_protocol::headers;
use ureq::Body;

use crate::answer::AnswerPart;
use crate::answer_memory::EventRoom;
use crate::answer_memory::MAX_EVENT_BYTES;
use crate::answer_memory::WholeRoom;
use crate::call::AnswerForm;
use crate::core::CoreInput;
use crate::endpoint_call::AttemptSpec;
use crate::endpoint_call::body_failure;
use crate::recorded::Recorder;

/// Bytes of a whole answer that are read at a time.
const READ_BYTES: usize = 16 << 10;
/// Output tokens at which the first progress is told; then at each doubling.
const FIRST_PROGRESS_TOKENS: u64 = 32;

/// Reads a whole answer and passes it on; a broken one never reaches the caller.
pub(crate) fn pass_whole(
    order: &AttemptSpec,
    response: http::Response<Body>,
    first_byte: Duration,
    room: &WholeRoom<'_>,
    recorder: &mut Recorder,
) -> AttemptEnd {
    let head = head_of(order, &response);
    let plain_charge = header_u64(&response, headers::CHARGED_TOKENS);
    let body = match read_whole(response, room) {
        Ok(body) => body,
        Err(failure) => return whole_failed(order, failure),
    };
    let charged_tokens = match order.call.form {
        AnswerForm::Plain => plain_charge.unwrap_or(order.call.hint_tokens),
        AnswerForm::ChatStream | AnswerForm::ChatWhole => {
            let answer: Option<ChatAnswer> = serde_json::from_slice(&body).ok();
            answer.map_or(0, |a| charge(order, &a.usage, a.usage.completion_tokens))
        }
    };
    for part in [head, AnswerPart::Chunk(body), AnswerPart::End] {
        if pass(order, recorder, part).is_err() {
            return AttemptEnd::CallerGone { charged_tokens };
        }
    }
    AttemptEnd::Finished {
        charged_tokens,
        first_byte,
    }
}

fn read_whole(
    response: http::Response<Body>,
    room: &WholeRoom<'_>,
) -> Result<Bytes, AttemptFailure> {
    let mut held = room.buffer(response.body().content_length())?;
    let mut reader = response.into_body().into_reader();
    let mut part = [0; READ_BYTES];
    loop {
        match reader.read(&mut part) {
            Ok(0) => return Ok(held.finish()),
            Ok(read) => room.push(&mut held, &part[..read])?,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(body_failure(error)),
        }
    }
}

/// Passes a stream on event by event, counting output tokens so that it can be resumed.
pub(crate) fn pass_stream(
    order: &AttemptSpec,
    response: http::Response<Body>,
    first_byte: Duration,
    core: &SyncSender<CoreInput>,
    recorder: &mut Recorder,
) -> AttemptEnd {
    let first_token = header_u64(&response, headers::FIRST_TOKEN).unwrap_or(0);
    let mut stream = EventStream::new(order, core, recorder);
    if first_token != order.resume_after_tokens {
        // The endpoint cannot resume where the caller stands: passing its tokens on would repeat
        // or skip some of them.
        return stream.failed(AttemptFailure::AnswerCrossed);
    }
    // An attempt may break between the head and the first token; its successor must not send a
    // second head, which would end the caller's stream as if it were whole.
    if !order.head_sent && pass(order, stream.recorder, head_of(order, &response)).is_err() {
        return AttemptEnd::CallerGone { charged_tokens: 0 };
    }
    stream.head_sent = true;
    let mut reader = BufReader::new(response.into_body().into_reader());
    loop {
        match stream.pass_event(&mut reader) {
            EventResult::Passed => {}
            EventResult::Ended => {
                return AttemptEnd::Finished {
                    charged_tokens: stream.charged_tokens(),
                    first_byte,
                };
            }
            EventResult::BrokeOff(failure) => return stream.failed(failure),
            EventResult::CallerGone => {
                return AttemptEnd::CallerGone {
                    charged_tokens: stream.charged_tokens(),
                };
            }
        }
    }
}

/// The caller went away.
struct CallerGone;

/// Passes a part on to the caller.
///
/// A request that may not be repeated runs to its end although its caller is gone: cutting it off
/// would leave its effect unknown, while its recorded answer serves the caller who comes back.
fn pass(order: &AttemptSpec, recorder: &mut Recorder, part: AnswerPart) -> Result<(), CallerGone> {
    recorder.take(&part);
    let sent = order.answer.blocking_send(part);
    if sent.is_err() && order.call.repeatable {
        return Err(CallerGone);
    }
    Ok(())
}

fn whole_failed(order: &AttemptSpec, failure: AttemptFailure) -> AttemptEnd {
    AttemptEnd::Failed {
        failure,
        sent_tokens: order.resume_after_tokens,
        charged_tokens: 0,
        head_sent: order.head_sent,
    }
}

fn head_of(order: &AttemptSpec, response: &http::Response<Body>) -> AnswerPart {
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    AnswerPart::Head {
        status: response.status().as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned(),
        attempt: order.attempt_id.clone(),
    }
}

fn header_u64(response: &http::Response<Body>, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn charge(order: &AttemptSpec, usage: &Usage, output_tokens: u64) -> u64 {
    let uncached_tokens = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
    uncached_tokens + order.output_token_factor * output_tokens
}

enum EventResult {
    Passed,
    Ended,
    BrokeOff(AttemptFailure),
    CallerGone,
}

struct EventStream<'a> {
    order: &'a AttemptSpec,
    core: &'a SyncSender<CoreInput>,
    recorder: &'a mut Recorder,
    room: EventRoom,
    head_sent: bool,
    output_tokens: u64,
    next_progress_tokens: u64,
    usage: Option<Usage>,
}

impl<'a> EventStream<'a> {
    fn new(
        order: &'a AttemptSpec,
        core: &'a SyncSender<CoreInput>,
        recorder: &'a mut Recorder,
    ) -> Self {
        Self {
            order,
            core,
            recorder,
            room: EventRoom::new(),
            head_sent: order.head_sent,
            output_tokens: 0,
            next_progress_tokens: FIRST_PROGRESS_TOKENS,
            usage: None,
        }
    }

    fn failed(&self, failure: AttemptFailure) -> AttemptEnd {
        AttemptEnd::Failed {
            failure,
            sent_tokens: self.order.resume_after_tokens + self.output_tokens,
            charged_tokens: self.charged_tokens(),
            head_sent: self.head_sent,
        }
    }

    fn charged_tokens(&self) -> u64 {
        let usage = self.usage.unwrap_or_default();
        charge(self.order, &usage, self.output_tokens)
    }

    /// Reads lines up to the blank one that ends an event, and passes them on together.
    fn pass_event(&mut self, reader: &mut impl BufRead) -> EventResult {
        let event = match read_event(reader) {
            Ok(event) => event,
            Err(failure) => return EventResult::BrokeOff(failure),
        };
        let ended = self.count(&event);
        let last = ended.then_some(AnswerPart::End);
        let event = self.room.hold(event, &self.order.answer);
        let parts = std::iter::once(AnswerPart::Chunk(event)).chain(last);
        for part in parts {
            if pass(self.order, self.recorder, part).is_err() {
                return EventResult::CallerGone;
            }
        }
        if ended {
            // Reads the end of the body, so that the connection can be used again.
            let _ = reader.read(&mut [0; 1]);
            return EventResult::Ended;
        }
        self.tell_progress();
        EventResult::Passed
    }

    /// Counts the tokens of an event; true when it is the last.
    fn count(&mut self, event: &[u8]) -> bool {
        let Some(data) = event.strip_prefix(b"data:") else {
            return false;
        };
        let data = data.trim_ascii();
        if data == STREAM_END.as_bytes() {
            return true;
        }
        if let Ok(chunk) = serde_json::from_slice::<ChatChunk>(data) {
            let contents = chunk
                .choices
                .iter()
                .filter_map(|c| c.delta.content.as_ref());
            let tokens: usize = contents.map(|content| content.matches(' ').count()).sum();
            self.output_tokens += tokens as u64;
            self.usage = chunk.usage.or(self.usage);
        }
        false
    }

    fn tell_progress(&mut self) {
        if self.output_tokens >= self.next_progress_tokens {
            self.next_progress_tokens *= 2;
            // The estimate is corrected again at the next doubling, so a full ring loses little.
            let _ = self.core.try_send(CoreInput::Progress {
                attempt: self.order.attempt,
                charged_tokens: self.charged_tokens(),
            });
        }
    }
}

fn read_event(reader: &mut impl BufRead) -> Result<Vec<u8>, AttemptFailure> {
    let mut event = Vec::new();
    loop {
        let start = event.len();
        let left = MAX_EVENT_BYTES.saturating_sub(start as u64);
        let read = reader.by_ref().take(left).read_until(b'\n', &mut event);
        read.map_err(body_failure)?;
        if event.len() == start || event.last() != Some(&b'\n') {
            return Err(AttemptFailure::ConnectionLost);
        }
        if event[start..].trim_ascii().is_empty() {
            return Ok(event);
        }
    }
}
