//! Writes the generated parts of the capacity page, between markers; the prose around them stays.

use std::fmt::Write;

use thiserror::Error;

use crate::figures::Figures;
use crate::page_failures::failure_table;
use crate::page_overs::over_table;
use crate::role_rows::RoleRow;
use crate::role_rows::data_path_of;
use crate::role_rows::node_totals;
use crate::role_rows::role_rows;
use crate::roles;
use crate::roles::claims;
use crate::roles::config_spread;
use crate::roles::coordinator;
use crate::roles::data_path;
use crate::svg::short;
use crate::target;

/// Why a page cannot be written.
#[derive(Debug, Error)]
pub enum PageError {
    /// The page lacks a marker.
    #[error("the page has no line `{0}`")]
    MissingMarker(String),
}

/// Replaces every generated part of a page.
///
/// # Errors
///
/// Fails when the page lacks a marker.
pub fn rewrite(page: &str, figures: &Figures, seed: u64) -> Result<String, PageError> {
    let parts = [
        ("run", run_line(seed)),
        ("roles", role_table(figures)),
        ("over", over_table(figures)),
        ("table-service", table_service(figures)),
        ("data-path", data_path_table(figures)),
        ("failures", failure_table(figures)),
        ("slopes", slope_table(figures)),
    ];
    let mut page = page.to_owned();
    for (name, text) in parts {
        page = replace(&page, name, &text)?;
    }
    Ok(page)
}

/// Replaces the lines between the two markers of one part.
///
/// ```
/// use sedgeridge_slopes::page::replace;
///
/// let page = "a\n<!-- slopes:begin x -->\nold\n<!-- slopes:end x -->\nb\n";
/// let page = replace(page, "x", "new\n").unwrap();
/// assert_eq!(page, "a\n<!-- slopes:begin x -->\nnew\n<!-- slopes:end x -->\nb\n");
/// ```
///
/// # Errors
///
/// Fails when the page lacks a marker.
pub fn replace(page: &str, name: &str, text: &str) -> Result<String, PageError> {
    let begin = format!("<!-- slopes:begin {name} -->\n");
    let end = format!("<!-- slopes:end {name} -->");
    let missing = |marker: &str| PageError::MissingMarker(marker.trim_end().to_owned());
    let (head, rest) = page.split_once(&begin).ok_or_else(|| missing(&begin))?;
    let (_, tail) = rest.split_once(&end).ok_or_else(|| missing(&end))?;
    Ok(format!("{head}{begin}{text}{end}{tail}"))
}

fn run_line(seed: u64) -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!("One run with seed {seed} on a machine of {cores} cores, release build.\n")
}

fn role_table(figures: &Figures) -> String {
    let rows = role_rows(figures);
    let mut text = String::from(
        "| role | on | state | messages/s | payload B/s | wire B/s | core % | memory KB | today's module |\n\
         | --- | --- | --- | ---: | ---: | ---: | ---: | ---: | --- |\n",
    );
    for row in &rows {
        role_line(&mut text, row);
    }
    text.push_str("\nAgainst the budget, what is not measured left out:\n\n");
    text.push_str(
        "| | wire B/s | of 4,096 | core % | of 1.5 | memory MB | of 64 |\n\
         | --- | ---: | ---: | ---: | ---: | ---: | ---: |\n",
    );
    for (name, total) in node_totals(&rows) {
        let memory_bytes = total.memory_kb * 1_024.0;
        let _ = writeln!(
            text,
            "| {name} | {} | {} | {} | {} | {} | {} |",
            short(total.wire_bytes_per_s),
            times(total.wire_bytes_per_s, target::BUDGET_BYTES_PER_S),
            short(total.core_percent),
            times(total.core_percent, target::BUDGET_CORE_PERCENT),
            short(memory_bytes / 1_048_576.0),
            times(memory_bytes, target::BUDGET_MEMORY_BYTES),
        );
    }
    text
}

fn role_line(text: &mut String, row: &RoleRow) {
    let _ = writeln!(
        text,
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        row.role,
        row.place,
        row.state,
        row.messages_per_s,
        row.payload_bytes_per_s,
        row.wire_bytes_per_s,
        row.core_percent,
        row.memory_kb,
        row.module
    );
}

fn table_service(figures: &Figures) -> String {
    let spread_reads = figures.at(&config_spread::SPREAD, "table_reads");
    let changes = target::CHANGES_PER_DAY / target::DAY_SECONDS;
    let claimed = figures.at(&claims::RATE, "transactions") * target::NODES;
    let claimed_rows = figures.at(&claims::RATE, "rows") * target::NODES;
    let lease = |metric| figures.at(&coordinator::LEASE, metric);
    let writes = claimed + changes + lease("writes");
    let reads = spread_reads + lease("reads") + 2.0 * changes;
    let mut text = String::from("| use | transactions/s | reads/s |\n| --- | ---: | ---: |\n");
    let mut line = |use_: &str, writes: f64, reads: f64| {
        let _ = writeln!(text, "| {use_} | {} | {} |", short(writes), short(reads));
    };
    let claims_use = format!(
        "claims and their outcomes ({:.0}% of the requests assumed, {} rows/s)",
        target::CLAIMED_PERCENT,
        short(claimed_rows)
    );
    line(&claims_use, claimed, 0.0);
    line("routers that follow the configuration", 0.0, spread_reads);
    line("operators' changes (2 reads each)", changes, 2.0 * changes);
    line("coordinator's lease", lease("writes"), lease("reads"));
    line("sum", writes, reads);
    let _ = writeln!(
        text,
        "| budget, {:.0} taken for \"several hundred\" | {} | {} |",
        target::BUDGET_WRITES_PER_S,
        times(writes, target::BUDGET_WRITES_PER_S),
        times(reads, target::BUDGET_READS_PER_S)
    );
    text
}

fn data_path_table(figures: &Figures) -> String {
    let (core_percent, memory_kb, threads) = data_path_of(figures);
    let slope = |metric| figures.slope(&data_path::STREAMS, metric);
    let streams = target::streams() / target::NODES;
    let tokens_per_s = 1_000.0 / target::TOKEN_INTERVAL_MS;
    format!(
        "| | one more | a node at the peak ({streams:.0} streams, {:.1} requests/s) |\n\
         | --- | ---: | ---: |\n\
         | processor, a token passed on | {} us | |\n\
         | processor, a request of one token | {} ms | {} % of a core with the tokens |\n\
         | memory, a stream | {} KB | {} MB |\n\
         | threads, a stream | {} | {} |\n",
        target::REQUESTS_PER_S / target::NODES,
        short(slope("cpu_ms") * 1e3 / tokens_per_s),
        short(figures.slope(&data_path::REQUESTS, "cpu_ms")),
        short(core_percent),
        short(slope("memory_kb")),
        short(memory_kb / 1_024.0),
        short(slope("threads")),
        short(threads),
    )
}

fn slope_table(figures: &Figures) -> String {
    let mut text = String::new();
    for bench in roles::BENCHES {
        let _ = writeln!(
            text,
            "\n### {}\n\nSize: {}.\n",
            bench.name, bench.size_title
        );
        text.push_str(
            "| quantity | points (size: value) | fit | largest residual | at the target | plot |\n\
             | --- | --- | --- | ---: | ---: | --- |\n",
        );
        for series in figures.all().iter().filter(|s| s.bench == bench.name) {
            let points = series.points.iter();
            let points: Vec<String> = points
                .map(|(size, value)| format!("{size}: {}", short(*value)))
                .collect();
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.1}% | {} | [plot](capacity/{}) |",
                series.title,
                points.join(", "),
                series.fit.formula(short),
                series.fit.largest_residual * 100.0,
                short(series.at_target()),
                series.file_name()
            );
        }
    }
    text
}

/// Says how many times a budget is spent.
pub fn times(value: f64, budget: f64) -> String {
    format!("{:.2} x", value / budget)
}
