//! `explain ID FILE...`: a request's way through the logs of several hosts, and what explains its end.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use pico_args::Arguments;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::arguments::to_json;
use crate::error::CommandError;

/// Difference between two readings of one host's time of day beyond which the clock was moved.
const MOVED_MS: i64 = 100;
/// Time before a request's last line in which what its host lost or regained may matter.
const CONTEXT_MS: i64 = 5_000;
/// Events that end a request.
const ENDS: [&str; 5] = ["E3301", "E3302", "E3304", "E3305", "E3307"];
/// Events about what a host depends on.
const SURROUNDINGS: [&str; 10] = [
    "E3002", "E3006", "E3102", "E3105", "E3106", "E3107", "E3201", "E3202", "E3203", "E3204",
];

/// The event of a host's start.
const STARTED: &str = "E3001";

/// Times of day at the starts of each host, by its own clock.
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
    /// Time of day by the clock that the host had at its start.
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
        false => as_text(&explanation),
    })
}

/// Reads a line of JSON, whatever a collector put before it.
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
        .map(|line| explained(line, &started))
        .collect();
    explained.sort_by_key(|line| line.at_ms);
    let cause = cause_of(&explained, lines, &started);
    Explanation {
        request: request.to_owned(),
        cause,
        lines: explained,
    }
}

/// Returns the time of day at each start of each host, by its own clock.
fn start_times(lines: &[LogLine]) -> StartTimes {
    let mut started = StartTimes::new();
    for line in lines {
        let of_host = started.entry(line.host.clone()).or_default();
        if of_host.is_empty() || line.event == STARTED {
            of_host.push(line.at_ms - line.up_ms);
        }
    }
    started
}

fn explained(line: &LogLine, started: &StartTimes) -> ExplainedLine {
    // Of several runs of a host, the line belongs to the one whose start fits best.
    let start = line.at_ms - line.up_ms;
    let runs = started.get(&line.host).into_iter().flatten();
    let nearest = runs.min_by_key(|at| (**at - start).abs());
    let base = nearest.copied().unwrap_or(start);
    let moved = start - base;
    let clock_moved_ms = match moved.abs() > MOVED_MS {
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

/// Words the first line that explains the end.
fn cause_of(way: &[ExplainedLine], lines: &[LogLine], started: &StartTimes) -> Option<String> {
    let end = way
        .iter()
        .rev()
        .find(|line| ENDS.contains(&line.event.as_str()))?;
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
    for attempt in way.iter().filter(|line| line.event == "E3303") {
        let part = format!(
            "; attempt at {} ended as {}",
            word(attempt, "endpoint"),
            word(attempt, "failure")
        );
        cause.push_str(&part);
    }
    for line in surroundings(end, lines, started) {
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

/// Returns what the host lost or regained shortly before a request's end.
fn surroundings(
    end: &ExplainedLine,
    lines: &[LogLine],
    started: &StartTimes,
) -> Vec<ExplainedLine> {
    let of_host = lines
        .iter()
        .filter(|line| line.host == end.host && SURROUNDINGS.contains(&line.event.as_str()));
    let mut found: Vec<_> = of_host
        .map(|line| explained(line, started))
        .filter(|line| (0..CONTEXT_MS).contains(&(end.at_ms - line.at_ms)))
        .collect();
    found.sort_by_key(|line| line.at_ms);
    found
}

fn as_text(explanation: &Explanation) -> String {
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
