//! The table of roles that exceed their budget: by how much, and which mechanism is to reduce it.

use std::fmt::Write;

use crate::figures::Figures;
use crate::page::budget_ratio;
use crate::role_rows::RoleRow;
use crate::role_rows::role_rows;
use crate::roles::claims;
use crate::roles::fleet;
use crate::svg::format_short;
use crate::target;

/// Role that sends an endpoint home's messages, as named in its row.
const ENDPOINT_HOME_ROLE: &str = "endpoint home";
const LOAD_REPORTS_ROLE: &str = "endpoint home: load reports";
const ENTRY_ROUTER_ROLE: &str = "entry router";

/// Formats the table of roles over budget.
pub fn overrun_table(figures: &Figures) -> String {
    let rows = role_rows(figures);
    let mut text = String::from(
        "| over | by | mechanism that is to carry it | by arithmetic |\n| --- | --- | --- | --- |\n",
    );
    let lines = [
        entry_router_line(figures, &rows),
        endpoint_home_line(&rows),
        load_report_line(&rows),
        claims_line(figures),
    ];
    for (is_over, line) in lines {
        if is_over {
            text.push_str(&line);
        }
    }
    let _ = write!(text, "\n{}\n", bytes_left_per_request(&rows));
    text
}

fn find_row<'a>(rows: &'a [RoleRow], role: &str) -> &'a RoleRow {
    let row = rows.iter().find(|row| row.role == role);
    row.expect("every role has a row")
}

fn entry_router_line(figures: &Figures, rows: &[RoleRow]) -> (bool, String) {
    let row = find_row(rows, ENTRY_ROUTER_ROLE);
    let requests_per_s = target::REQUESTS_PER_S / target::NODES;
    let messages = row.messages_per_s.or_zero() / requests_per_s;
    let payload = figures.at_target(&fleet::NODES, "entry_payload") / row.messages_per_s.or_zero();
    let line = format!(
        "| entry router, bytes sent | {} ({} with payload only) | slot retention: the slot of a request that ended is used for the account's next request without asking (not built: today a grant covers further requests only within `fair.grant_span_ms`, and these run 11 s); numbers of the configuration generation in place of names | today {} reports of {} B payload for each request |\n",
        budget_ratio(
            row.wire_bytes_per_s.or_zero(),
            target::BUDGET_SENT_BYTES_PER_S
        ),
        budget_ratio(
            row.payload_bytes_per_s.or_zero(),
            target::BUDGET_SENT_BYTES_PER_S
        ),
        format_short(messages),
        format_short(payload)
    );
    (
        row.wire_bytes_per_s.or_zero() > target::BUDGET_SENT_BYTES_PER_S,
        line,
    )
}

fn endpoint_home_line(rows: &[RoleRow]) -> (bool, String) {
    let row = find_row(rows, ENDPOINT_HOME_ROLE);
    let spread = row.wire_bytes_per_s.or_zero() * target::POOLS / target::NODES;
    let core = row.core_percent.or_zero() * target::POOLS / target::NODES;
    let line = format!(
        "| endpoint and account home, bytes sent and core | {} the bytes, {} the core | slot retention first; then a pool's home in shards, by rendezvous hash over (pool, shard), the least tags told between shards | spread evenly over all nodes: {} B/s and {} % of a core a node |\n",
        budget_ratio(
            row.wire_bytes_per_s.or_zero(),
            target::BUDGET_SENT_BYTES_PER_S
        ),
        budget_ratio(row.core_percent.or_zero(), target::BUDGET_CORE_PERCENT),
        format_short(spread),
        format_short(core)
    );
    let is_over = row.wire_bytes_per_s.or_zero() > target::BUDGET_SENT_BYTES_PER_S;
    (is_over, line)
}

fn load_report_line(rows: &[RoleRow]) -> (bool, String) {
    let row = find_row(rows, LOAD_REPORTS_ROLE);
    let share = target::POOLS / target::NODES;
    let line = format!(
        "| load reports, bytes sent and core of the home | {} the bytes, {} the core | a longer interval for endpoints whose reports agree with what was granted, or reports that endpoints push; and the shards | spread evenly over all nodes: {} B/s and {} % of a core a node; every 4 s in place of 250 ms beside it: {} B/s and {} % |\n",
        budget_ratio(
            row.wire_bytes_per_s.or_zero(),
            target::BUDGET_SENT_BYTES_PER_S
        ),
        budget_ratio(row.core_percent.or_zero(), target::BUDGET_CORE_PERCENT),
        format_short(row.wire_bytes_per_s.or_zero() * share),
        format_short(row.core_percent.or_zero() * share),
        format_short(row.wire_bytes_per_s.or_zero() * share / 16.0),
        format_short(row.core_percent.or_zero() * share / 16.0),
    );
    let is_over = row.wire_bytes_per_s.or_zero() > target::BUDGET_SENT_BYTES_PER_S;
    (is_over, line)
}

fn claims_line(figures: &Figures) -> (bool, String) {
    let fleet_transactions = figures.at_target(&claims::RATE, "transactions") * target::NODES;
    let rate = target::CLAIMED_REQUESTS_PERCENT / 100.0 * target::REQUESTS_PER_S;
    let line = format!(
        "| claims, transactions | {} at {} claims a second (assumed) | claims gathered at a few routers, picked by rendezvous hash over the account, so that those of many entry routers share a transaction | today {} transactions for each claim: at 400 routers claims seldom meet |\n",
        budget_ratio(fleet_transactions, target::BUDGET_TABLE_WRITES_PER_S),
        format_short(rate),
        format_short(fleet_transactions / rate)
    );
    (fleet_transactions > target::BUDGET_TABLE_WRITES_PER_S, line)
}

/// Describes the bytes that the budget leaves for each request.
fn bytes_left_per_request(rows: &[RoleRow]) -> String {
    let others = ["membership", "configuration adoption"];
    let spent: f64 = others
        .iter()
        .map(|role| find_row(rows, role).wire_bytes_per_s.or_zero())
        .sum();
    let requests_per_s = target::REQUESTS_PER_S / target::NODES;
    let left = (target::BUDGET_SENT_BYTES_PER_S - spent) / requests_per_s;
    let entry = find_row(rows, ENTRY_ROUTER_ROLE).wire_bytes_per_s.or_zero();
    let homes = find_row(rows, ENDPOINT_HOME_ROLE)
        .wire_bytes_per_s
        .or_zero()
        + find_row(rows, LOAD_REPORTS_ROLE).wire_bytes_per_s.or_zero();
    let today = (entry + homes * target::POOLS / target::NODES) / requests_per_s;
    format!(
        "Membership and configuration leave {} B on the wire for each request, entry and home \
         together. Today it takes {} B, load reports included, if the homes' part is spread evenly \
         over all nodes; so shards alone are not enough, and messages must become fewer.",
        format_short(left),
        format_short(today)
    )
}
