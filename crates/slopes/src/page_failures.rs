//! The table of failures: what moves when something fails, from the measured series.

use std::fmt::Write;

use crate::figures::Figures;
use crate::roles::Bench;
use crate::roles::config;
use crate::roles::failures;
use crate::roles::home;
use crate::svg::format_short;
use crate::target;

/// Hosts that fail on an ordinary day.
const FAILURES_PER_DAY: f64 = 18.0;
/// Hosts that are restarted or replaced on an ordinary day.
const RESTARTS_PER_DAY: f64 = 130.0;
const SITE_COUNT: f64 = 7.0;
/// Time after a heal over which its traffic is measured.
const HEAL_WINDOW_S: f64 = 15.0;

/// Formats the table of failures.
pub fn failure_table(figures: &Figures) -> String {
    let mut text = String::from(
        "| failure | how often | what moves | traffic | time |\n| --- | --- | --- | --- | --- |\n",
    );
    let streams = target::streams() / target::NODES;
    let detection_s = |bench| measured_range(figures, bench, "agree_s");
    let grant_gap_s = |bench| measured_range(figures, bench, "grant_gap_s");
    let home_share = target::POOLS / target::NODES;
    let _ = writeln!(
        text,
        "| a host fails, home of no pool | {:.1} a day | its {streams:.0} streams break; nothing else moves | membership only | held for dead everywhere as in the next row |",
        FAILURES_PER_DAY * (1.0 - home_share)
    );
    let _ = writeln!(
        text,
        "| a host fails, home of a pool | {:.2} a day | its {streams:.0} streams break; the order of one pool: {} | {} x the payload before, in 15 s | held for dead everywhere after {} s; no grant in the pool for {} s |",
        FAILURES_PER_DAY * home_share,
        takeover_cost(figures),
        measured_range(figures, &failures::HOST, "payload_ratio"),
        detection_s(&failures::HOST),
        grant_gap_s(&failures::HOST)
    );
    let joins = figures.at_target(&config::ACCOUNTS, "whole_kb");
    let _ = writeln!(
        text,
        "| a host is restarted or replaced | {RESTARTS_PER_DAY:.0} a day, {:.1} of them homes | the whole configuration from a peer: {} KB, {} MB a day in the fleet | membership; a home as above | told to stop, as planned: no grant in the home's pool for {} s; started again: known everywhere after {} s |",
        RESTARTS_PER_DAY * home_share,
        format_short(joins),
        format_short(joins * RESTARTS_PER_DAY / 1_024.0),
        measured_range(figures, &failures::HOST, "planned_gap_s"),
        measured_range(figures, &failures::HOST, "back_s"),
    );
    let hosts = target::NODES / SITE_COUNT;
    let _ = writeln!(
        text,
        "| a data centre fails | a few times a year | {hosts:.0} hosts, {:.0} endpoints, {} streams; each pool whose home stood there | {} x the payload before, in 15 s | held for dead everywhere after {} s; no grant in a pool for {} s; back: known after {} s |",
        target::ENDPOINTS / SITE_COUNT,
        format_short(streams * hosts),
        measured_range(figures, &failures::SITE, "payload_ratio"),
        detection_s(&failures::SITE),
        grant_gap_s(&failures::SITE),
        measured_range(figures, &failures::SITE, "back_s"),
    );
    let region = |metric| measured_range(figures, &failures::REGION, metric);
    let _ = writeln!(
        text,
        "| regions lose each other | now and then, for an hour | each side homes all four pools and grants its own engines | {} x the payload before; {} KB more in the 15 s after the heal | each side settled after {} s; engines run {} x the requests before; all agree {} s after the heal; engines then run at most {} x the requests before |",
        region("cut_kb"),
        region("heal_extra_kb"),
        region("cut_agree_s"),
        region("cut_running"),
        region("heal_agree_s"),
        region("heal_running"),
    );
    text.push_str(
        "\nRanges are over the measured sizes, one run each: 50 to 400 nodes, for regions 20 to 160.\n",
    );
    let heal_bytes = figures.at_target(&failures::REGION, "heal_extra_kb") * 1_024.0;
    let _ = writeln!(
        text,
        "Drawn out to 400 nodes, the heal costs a node {} B of payload a second for 15 s on top of the rest; \
         membership is {} to {} of all payload in that time.",
        format_short(heal_bytes / target::NODES / HEAL_WINDOW_S),
        format_short(
            figures
                .measured_range(&failures::REGION, "heal_member_part")
                .0
        ),
        format_short(
            figures
                .measured_range(&failures::REGION, "heal_member_part")
                .1
        ),
    );
    text
}

fn takeover_cost(figures: &Figures) -> String {
    format!(
        "400 questions and 400 full reports, {} KB on the wire, {} ms of processor time",
        format_short(figures.at_target(&home::TAKEOVER, "wire_kb")),
        format_short(figures.at_target(&home::TAKEOVER, "cpu_ms"))
    )
}

fn measured_range(figures: &Figures, bench: &Bench, metric: &str) -> String {
    let (low, high) = figures.measured_range(bench, metric);
    format!("{} to {}", format_short(low), format_short(high))
}
