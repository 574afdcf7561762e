//! Forwards an endpoint's answer to the caller, either as a whole or event by event.

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
use crate::answer_memory::EventMemory;
use crate::answer_memory::MAX_EVENT_BYTES;
use crate::answer_memory::WholeAnswerMemory;
use crate::call::AnswerForm;
use crate::core::CoreInput;
use crate::endpoint_call::AttemptSpec;
use crate::endpoint_call::body_failure;
use crate::recorded::Recorder;

/// Buffer size for reads of a whole answer.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Output tokens after which the first progress report is sent; further ones follow at each doubling.
const FIRST_PROGRESS_TOKENS: u64 = 32;

/// Reads a whole answer and forwards it; an incomplete answer never reaches the caller.
pub(crate) fn forward_whole(
    spec: &AttemptSpec,
    response: http::Response<Body>,
    first_byte: Duration,
    memory: &WholeAnswerMemory<'_>,
    recorder: &mut Recorder,
) -> AttemptEnd {
    let head = head_of(spec, &response);
    let reported_tokens = header_u64(&response, headers::CHARGED_TOKENS);
    let body = match read_whole(response, memory) {
        Ok(body) => body,
        Err(failure) => return failed_before_forwarding(spec, failure),
    };
    let charged_tokens = match spec.call.form {
        AnswerForm::Plain => reported_tokens.unwrap_or(spec.call.hint_tokens),
        AnswerForm::ChatStream | AnswerForm::ChatWhole => {
            let answer: Option<ChatAnswer> = serde_json::from_slice(&body).ok();
            answer.map_or(0, |a| {
                token_charge(spec, &a.usage, a.usage.completion_tokens)
            })
        }
    };
    for part in [head, AnswerPart::Chunk(body), AnswerPart::End] {
        if forward_part(spec, recorder, part).is_err() {
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
    memory: &WholeAnswerMemory<'_>,
) -> Result<Bytes, AttemptFailure> {
    let mut buffer = memory.buffer(response.body().content_length())?;
    let mut reader = response.into_body().into_reader();
    let mut part = [0; READ_BUFFER_BYTES];
    loop {
        match reader.read(&mut part) {
            Ok(0) => return Ok(buffer.finish()),
            Ok(read) => memory.push(&mut buffer, &part[..read])?,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(body_failure(error)),
        }
    }
}

/// Forwards a stream event by event and counts its output tokens, so that another attempt can resume it.
pub(crate) fn forward_stream(
    spec: &AttemptSpec,
    response: http::Response<Body>,
    first_byte: Duration,
    core: &SyncSender<CoreInput>,
    recorder: &mut Recorder,
) -> AttemptEnd {
    let first_token = header_u64(&response, headers::FIRST_TOKEN).unwrap_or(0);
    let mut stream = EventStream::new(spec, core, recorder);
    if first_token != spec.resume_after_tokens {
        // The endpoint did not resume after the tokens that the caller already has; forwarding its
        // answer would repeat or skip tokens.
        return stream.failed(AttemptFailure::AnswerCrossed);
    }
    // An attempt may fail between the head and the first token. The next attempt must not send a
    // second head, which would end the caller's stream as if it were complete.
    if !spec.head_sent && forward_part(spec, stream.recorder, head_of(spec, &response)).is_err() {
        return AttemptEnd::CallerGone { charged_tokens: 0 };
    }
    stream.head_sent = true;
    let mut reader = BufReader::new(response.into_body().into_reader());
    loop {
        match stream.forward_event(&mut reader) {
            EventResult::Forwarded => {}
            EventResult::Ended => {
                return AttemptEnd::Finished {
                    charged_tokens: stream.charged_tokens(),
                    first_byte,
                };
            }
            EventResult::Failed(failure) => return stream.failed(failure),
            EventResult::CallerGone => {
                return AttemptEnd::CallerGone {
                    charged_tokens: stream.charged_tokens(),
                };
            }
        }
    }
}

/// The caller disconnected.
struct CallerGone;

/// Forwards a part to the caller.
///
/// A non-repeatable request runs to its end even if its caller has disconnected: ending it early would leave
/// its effect unknown, whereas its recorded answer can be replayed when the caller repeats the request.
fn forward_part(
    spec: &AttemptSpec,
    recorder: &mut Recorder,
    part: AnswerPart,
) -> Result<(), CallerGone> {
    recorder.record(&part);
    let sent = spec.answer.blocking_send(part);
    if sent.is_err() && spec.call.repeatable {
        return Err(CallerGone);
    }
    Ok(())
}

fn failed_before_forwarding(spec: &AttemptSpec, failure: AttemptFailure) -> AttemptEnd {
    AttemptEnd::Failed {
        failure,
        sent_tokens: spec.resume_after_tokens,
        charged_tokens: 0,
        head_sent: spec.head_sent,
    }
}

fn head_of(spec: &AttemptSpec, response: &http::Response<Body>) -> AnswerPart {
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    AnswerPart::Head {
        status: response.status().as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned(),
        attempt: spec.attempt_id.clone(),
    }
}

fn header_u64(response: &http::Response<Body>, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn token_charge(spec: &AttemptSpec, usage: &Usage, output_tokens: u64) -> u64 {
    let uncached_tokens = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
    uncached_tokens + spec.output_token_factor * output_tokens
}

enum EventResult {
    Forwarded,
    Ended,
    Failed(AttemptFailure),
    CallerGone,
}

struct EventStream<'a> {
    spec: &'a AttemptSpec,
    core: &'a SyncSender<CoreInput>,
    recorder: &'a mut Recorder,
    memory: EventMemory,
    head_sent: bool,
    output_tokens: u64,
    next_progress_tokens: u64,
    usage: Option<Usage>,
}

impl<'a> EventStream<'a> {
    fn new(
        spec: &'a AttemptSpec,
        core: &'a SyncSender<CoreInput>,
        recorder: &'a mut Recorder,
    ) -> Self {
        Self {
            spec,
            core,
            recorder,
            memory: EventMemory::new(),
            head_sent: spec.head_sent,
            output_tokens: 0,
            next_progress_tokens: FIRST_PROGRESS_TOKENS,
            usage: None,
        }
    }

    fn failed(&self, failure: AttemptFailure) -> AttemptEnd {
        AttemptEnd::Failed {
            failure,
            sent_tokens: self.spec.resume_after_tokens + self.output_tokens,
            charged_tokens: self.charged_tokens(),
            head_sent: self.head_sent,
        }
    }

    fn charged_tokens(&self) -> u64 {
        let usage = self.usage.unwrap_or_default();
        token_charge(self.spec, &usage, self.output_tokens)
    }

    /// Reads an event up to the blank line that ends it, and forwards it.
    fn forward_event(&mut self, reader: &mut impl BufRead) -> EventResult {
        let event = match read_event(reader) {
            Ok(event) => event,
            Err(failure) => return EventResult::Failed(failure),
        };
        let ended = self.count_tokens(&event);
        let end = ended.then_some(AnswerPart::End);
        let event = self.memory.reserve(event, &self.spec.answer);
        let parts = std::iter::once(AnswerPart::Chunk(event)).chain(end);
        for part in parts {
            if forward_part(self.spec, self.recorder, part).is_err() {
                return EventResult::CallerGone;
            }
        }
        if ended {
            // Reads to the end of the body, so that the connection can be reused.
            let _ = reader.read(&mut [0; 1]);
            return EventResult::Ended;
        }
        self.report_progress();
        EventResult::Forwarded
    }

    /// Counts the tokens of an event; returns true if it ends the stream.
    fn count_tokens(&mut self, event: &[u8]) -> bool {
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

    fn report_progress(&mut self) {
        if self.output_tokens >= self.next_progress_tokens {
            self.next_progress_tokens *= 2;
            // A report that finds the channel full is dropped: the next doubling corrects the estimate.
            let _ = self.core.try_send(CoreInput::Progress {
                attempt: self.spec.attempt,
                charged_tokens: self.charged_tokens(),
            });
        }
    }
}

fn read_event(reader: &mut impl BufRead) -> Result<Vec<u8>, AttemptFailure> {
    let mut event = Vec::new();
    loop {
        let start = event.len();
        let remaining = MAX_EVENT_BYTES.saturating_sub(start as u64);
        let read = reader
            .by_ref()
            .take(remaining)
            .read_until(b'\n', &mut event);
        read.map_err(body_failure)?;
        if event.len() == start || event.last() != Some(&b'\n') {
            return Err(AttemptFailure::ConnectionLost);
        }
        if event[start..].trim_ascii().is_empty() {
            return Ok(event);
        }
    }
}
