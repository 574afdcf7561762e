//! `explain ID FILE...`: collects the log lines of one request from several hosts and describes the
//! cause of its end.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use pico_args::Arguments;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::arguments::to_json;
use crate::error::CommandError;

/// Change of a host's computed start time, `at_ms - up_ms`, above which its clock counts as moved.
const CLOCK_MOVE_THRESHOLD_MS: i64 = 100;
/// Time before a request's end in which events about the host's dependencies are reported with it.
const CONTEXT_WINDOW_MS: i64 = 5_000;
/// Events that end a request.
const END_EVENTS: [&str; 5] = ["E3301", "E3302", "E3304", "E3305", "E3307"];
/// Events about services that a host depends on.
const DEPENDENCY_EVENTS: [&str; 10] = [
    "E3002", "E3006", "E3102", "E3105", "E3106", "E3107", "E3201", "E3202", "E3203", "E3204",
];

/// Event of a host's start.
const START_EVENT: &str = "E3001";

/// Wall-clock times of the starts of each host, in milliseconds by its own clock.
type StartTimes = BTreeMap<String, Vec<i64>>;

/// One line of a host's log.
#[derive(Debug, Clone)]
struct LogLine {
    host: String,
    event: String,
    at_ms: i64,
    up_ms: i64,
    request: Option<String>,
    fields: Map<String, Value>,
}

#[derive(Debug, Serialize)]
struct Explanation {
    request: String,
    cause: Option<String>,
    lines: Vec<ExplainedLine>,
}

#[derive(Debug, Serialize)]
struct ExplainedLine {
    /// Wall-clock time by the clock that the host had at its start.
    at_ms: i64,
    /// How far the host's clock has been moved since its start.
    clock_moved_ms: i64,
    host: String,
    event: String,
    fields: Map<String, Value>,
}

/// Runs the command.
pub fn run(arguments: &mut Arguments) -> Result<String, CommandError> {
    let json = arguments.contains("--json");
    let request: String = arguments.free_from_str()?;
    let mut lines = Vec::new();
    while let Some(file) = arguments.opt_free_from_str::<PathBuf>()? {
        let text = fs::read_to_string(&file).map_err(|error| {
            CommandError::BadInput(format!("error: {}: {error}", file.display()))
        })?;
        lines.extend(text.lines().filter_map(read_line));
    }
    if lines.is_empty() {
        return Err(CommandError::BadInput(
            "error: no log lines in the files given".to_owned(),
        ));
    }
    let explanation = explain(&request, &lines);
    if explanation.lines.is_empty() {
        return Err(CommandError::Failed(format!(
            "no line about request {request}; successes are not logged, and under load lines are \
             left out (left_out)"
        )));
    }
    Ok(match json {
        true => to_json(&explanation),
        false => to_text(&explanation),
    })
}

/// Parses a line of JSON; skips any prefix that a log collector added.
fn read_line(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let text = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
    let number = |name: &str| fields.get(name)?.as_i64();
    Some(LogLine {
        host: text("host")?,
        event: text("event")?,
        at_ms: number("at_ms")?,
        up_ms: number("up_ms")?,
        request: text("request"),
        fields,
    })
}

fn explain(request: &str, lines: &[LogLine]) -> Explanation {
    let started = start_times(lines);
    let mut explained: Vec<_> = lines
        .iter()
        .filter(|line| line.request.as_deref() == Some(request))
        .map(|line| explain_line(line, &started))
        .collect();
    explained.sort_by_key(|line| line.at_ms);
    let cause = describe_cause(&explained, lines, &started);
    Explanation {
        request: request.to_owned(),
        cause,
        lines: explained,
    }
}

/// Returns the wall-clock time of each start of each host, by its own clock.
fn start_times(lines: &[LogLine]) -> StartTimes {
    let mut started = StartTimes::new();
    for line in lines {
        let host_starts = started.entry(line.host.clone()).or_default();
        if host_starts.is_empty() || line.event == START_EVENT {
            host_starts.push(line.at_ms - line.up_ms);
        }
    }
    started
}

fn explain_line(line: &LogLine, started: &StartTimes) -> ExplainedLine {
    // If the host ran several times, the line belongs to the run with the nearest start.
    let start = line.at_ms - line.up_ms;
    let runs = started.get(&line.host).into_iter().flatten();
    let nearest = runs.min_by_key(|at| (**at - start).abs());
    let base = nearest.copied().unwrap_or(start);
    let moved = start - base;
    let clock_moved_ms = match moved.abs() > CLOCK_MOVE_THRESHOLD_MS {
        true => moved,
        false => 0,
    };
    ExplainedLine {
        at_ms: line.at_ms - clock_moved_ms,
        clock_moved_ms,
        host: line.host.clone(),
        event: line.event.clone(),
        fields: line.fields.clone(),
    }
}

/// Describes the end of the request, its failed attempts and recent events on its host.
fn describe_cause(
    request_lines: &[ExplainedLine],
    lines: &[LogLine],
    started: &StartTimes,
) -> Option<String> {
    let end = request_lines
        .iter()
        .rev()
        .find(|line| END_EVENTS.contains(&line.event.as_str()))?;
    let word = |line: &ExplainedLine, name: &str| match line.fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => "?".to_owned(),
    };
    let mut cause = match end.event.as_str() {
        "E3301" => format!(
            "refused by {} as {} after {} ms: its account had {} of its share, the best endpoint {} had a \
             backlog of {} ms",
            end.host,
            word(end, "reason"),
            word(end, "waited_ms"),
            word(end, "standing"),
            word(end, "endpoint"),
            word(end, "backlog_ms"),
        ),
        "E3302" => format!("failed on {} after it may have run", end.host),
        "E3304" => format!("out of time on {}", end.host),
        "E3305" => format!("its caller left {}", end.host),
        _ => format!("turned away by {}: {}", end.host, word(end, "reason")),
    };
    for attempt in request_lines.iter().filter(|line| line.event == "E3303") {
        let part = format!(
            "; attempt at {} ended as {}",
            word(attempt, "endpoint"),
            word(attempt, "failure")
        );
        cause.push_str(&part);
    }
    for line in recent_dependency_events(end, lines, started) {
        let about = line.fields.get("name").and_then(Value::as_str);
        let part = format!(
            "; {} ms before, {}",
            end.at_ms - line.at_ms,
            about.unwrap_or(&line.event)
        );
        cause.push_str(&part);
    }
    Some(cause)
}

/// Returns the events about the host's dependencies shortly before a request's end.
fn recent_dependency_events(
    end: &ExplainedLine,
    lines: &[LogLine],
    started: &StartTimes,
) -> Vec<ExplainedLine> {
    let host_events = lines
        .iter()
        .filter(|line| line.host == end.host && DEPENDENCY_EVENTS.contains(&line.event.as_str()));
    let mut found: Vec<_> = host_events
        .map(|line| explain_line(line, started))
        .filter(|line| (0..CONTEXT_WINDOW_MS).contains(&(end.at_ms - line.at_ms)))
        .collect();
    found.sort_by_key(|line| line.at_ms);
    found
}

fn to_text(explanation: &Explanation) -> String {
    let mut text = format!("request {}\n", explanation.request);
    for line in &explanation.lines {
        let moved = match line.clock_moved_ms {
            0 => String::new(),
            moved => format!(" (clock moved by {moved} ms)"),
        };
        let skipped = ["at_ms", "up_ms", "host", "event", "name", "request"];
        let fields = line
            .fields
            .iter()
            .filter(|(name, _)| !skipped.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        text.push_str(&format!(
            "{}{moved} {} {} {}\n",
            line.at_ms,
            line.host,
            line.event,
            fields.join(" ")
        ));
    }
    match &explanation.cause {
        Some(cause) => text.push_str(&format!("cause: {cause}\n")),
        None => text.push_str("cause: no line tells its end\n"),
    }
    text
}
