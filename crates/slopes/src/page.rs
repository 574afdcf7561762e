//! Replaces the generated parts of the capacity page, between markers; the text around them stays.

use std::fmt::Write;

use thiserror::Error;

use crate::figures::Figures;
use crate::page_failures::failure_table;
use crate::page_overruns::overrun_table;
use crate::role_rows::RoleRow;
use crate::role_rows::data_path_cost;
use crate::role_rows::node_totals;
use crate::role_rows::role_rows;
use crate::roles;
use crate::roles::claims;
use crate::roles::config_spread;
use crate::roles::coordinator;
use crate::roles::data_path;
use crate::svg::format_short;
use crate::target;

/// Error of rewriting a page.
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
        ("run", run_description(seed)),
        ("roles", role_table(figures)),
        ("over", overrun_table(figures)),
        ("table-service", table_service(figures)),
        ("data-path", data_path_table(figures)),
        ("failures", failure_table(figures)),
        ("slopes", slope_table(figures)),
    ];
    let mut page = page.to_owned();
    for (name, text) in parts {
        page = replace_part(&page, name, &text)?;
    }
    Ok(page)
}

/// Replaces the lines between the two markers of one part.
///
/// ```
/// use sedgeridge_slopes::page::replace_part;
///
/// let page = "a\n<!-- slopes:begin x -->\nold\n<!-- slopes:end x -->\nb\n";
/// let page = replace_part(page, "x", "new\n").unwrap();
/// assert_eq!(page, "a\n<!-- slopes:begin x -->\nnew\n<!-- slopes:end x -->\nb\n");
/// ```
///
/// # Errors
///
/// Fails when the page lacks a marker.
pub fn replace_part(page: &str, name: &str, text: &str) -> Result<String, PageError> {
    let begin = format!("<!-- slopes:begin {name} -->\n");
    let end = format!("<!-- slopes:end {name} -->");
    let missing = |marker: &str| PageError::MissingMarker(marker.trim_end().to_owned());
    let (head, rest) = page.split_once(&begin).ok_or_else(|| missing(&begin))?;
    let (_, tail) = rest.split_once(&end).ok_or_else(|| missing(&end))?;
    Ok(format!("{head}{begin}{text}{end}{tail}"))
}

fn run_description(seed: u64) -> String {
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
        write_role_row(&mut text, row);
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
            format_short(total.wire_bytes_per_s),
            budget_ratio(total.wire_bytes_per_s, target::BUDGET_SENT_BYTES_PER_S),
            format_short(total.core_percent),
            budget_ratio(total.core_percent, target::BUDGET_CORE_PERCENT),
            format_short(memory_bytes / 1_048_576.0),
            budget_ratio(memory_bytes, target::BUDGET_MEMORY_BYTES),
        );
    }
    text
}

fn write_role_row(text: &mut String, row: &RoleRow) {
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
    let spread_reads = figures.at_target(&config_spread::SPREAD, "table_reads");
    let changes = target::CONFIG_CHANGES_PER_DAY / target::SECONDS_PER_DAY;
    let claimed = figures.at_target(&claims::RATE, "transactions") * target::NODES;
    let claimed_rows = figures.at_target(&claims::RATE, "rows") * target::NODES;
    let lease = |metric| figures.at_target(&coordinator::LEASE, metric);
    let writes = claimed + changes + lease("writes");
    let reads = spread_reads + lease("reads") + 2.0 * changes;
    let mut text = String::from("| use | transactions/s | reads/s |\n| --- | ---: | ---: |\n");
    let mut line = |use_: &str, writes: f64, reads: f64| {
        let _ = writeln!(
            text,
            "| {use_} | {} | {} |",
            format_short(writes),
            format_short(reads)
        );
    };
    let claims_use = format!(
        "claims and their outcomes ({:.0}% of the requests assumed, {} rows/s)",
        target::CLAIMED_REQUESTS_PERCENT,
        format_short(claimed_rows)
    );
    line(&claims_use, claimed, 0.0);
    line("routers that follow the configuration", 0.0, spread_reads);
    line("operators' changes (2 reads each)", changes, 2.0 * changes);
    line("coordinator's lease", lease("writes"), lease("reads"));
    line("sum", writes, reads);
    let _ = writeln!(
        text,
        "| budget, {:.0} taken for \"several hundred\" | {} | {} |",
        target::BUDGET_TABLE_WRITES_PER_S,
        budget_ratio(writes, target::BUDGET_TABLE_WRITES_PER_S),
        budget_ratio(reads, target::BUDGET_TABLE_READS_PER_S)
    );
    text
}

fn data_path_table(figures: &Figures) -> String {
    let (core_percent, memory_kb, threads) = data_path_cost(figures);
    let slope = |metric| figures.slope_at_target(&data_path::STREAMS, metric);
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
        format_short(slope("cpu_ms") * 1e3 / tokens_per_s),
        format_short(figures.slope_at_target(&data_path::REQUESTS, "cpu_ms")),
        format_short(core_percent),
        format_short(slope("memory_kb")),
        format_short(memory_kb / 1_024.0),
        format_short(slope("threads")),
        format_short(threads),
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
        for series in figures.series().iter().filter(|s| s.bench == bench.name) {
            let points = series.points.iter();
            let points: Vec<String> = points
                .map(|(size, value)| format!("{size}: {}", format_short(*value)))
                .collect();
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.1}% | {} | [plot](capacity/{}) |",
                series.title,
                points.join(", "),
                series.fit.formula(format_short),
                series.fit.largest_residual * 100.0,
                format_short(series.value_at_target()),
                series.file_name()
            );
        }
    }
    text
}

/// Formats a value as a multiple of its budget.
pub fn budget_ratio(value: f64, budget: f64) -> String {
    format!("{:.2} x", value / budget)
}
