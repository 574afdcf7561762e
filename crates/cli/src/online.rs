//! Commands that query one router: `status`, `endpoints list`, `endpoints drain`,
//! `accounts list --router`.

use std::net::SocketAddr;

use pico_args::Arguments;
use sedgeridge_protocol::coordinator::DRAIN_PATH;
use sedgeridge_protocol::coordinator::DrainRequest;
use sedgeridge_protocol::operator::ACCOUNTS_PATH;
use sedgeridge_protocol::operator::AccountRow;
use sedgeridge_protocol::operator::AccountsPage;
use sedgeridge_protocol::operator::ENDPOINTS_PATH;
use sedgeridge_protocol::operator::EndpointRow;
use sedgeridge_protocol::operator::EndpointState;
use sedgeridge_protocol::operator::EndpointsPage;
use sedgeridge_protocol::operator::MemberState;
use sedgeridge_protocol::operator::RouterStatus;
use sedgeridge_protocol::operator::STATUS_PATH;
use serde::de::DeserializeOwned;

use crate::arguments::reject_unused;
use crate::arguments::to_json;
use crate::columns::align;
use crate::context::OperatorPages;
use crate::context::PageError;
use crate::error::CommandError;

/// Runs `status`.
pub fn run_status(
    arguments: &mut Arguments,
    pages: &impl OperatorPages,
) -> Result<String, CommandError> {
    let (router, json) = take_router_and_json(arguments)?;
    let status: RouterStatus = fetch_page(pages, router, STATUS_PATH)?;
    Ok(if json {
        to_json(&status)
    } else {
        status_text(&status)
    })
}

/// Runs `endpoints list`.
pub fn run_endpoints(
    arguments: &mut Arguments,
    pages: &impl OperatorPages,
) -> Result<String, CommandError> {
    let (router, json) = take_router_and_json(arguments)?;
    let page: EndpointsPage = fetch_page(pages, router, ENDPOINTS_PATH)?;
    if json {
        return Ok(to_json(&page.endpoints));
    }
    let header = [
        "endpoint", "pool", "site", "address", "state", "slots", "running", "waiting", "age_ms",
        "usable", "held", "home",
    ];
    let rows: Vec<Vec<String>> = page.endpoints.iter().map(endpoint_cells).collect();
    Ok(align(&header, &rows))
}

/// Runs `endpoints drain`.
pub fn run_drain(
    arguments: &mut Arguments,
    pages: &impl OperatorPages,
) -> Result<String, CommandError> {
    let router: SocketAddr = arguments.value_from_str("--router")?;
    let endpoint: String = arguments.free_from_str().map_err(|error| match error {
        pico_args::Error::MissingArgument => CommandError::Usage("expected an endpoint".into()),
        other => other.into(),
    })?;
    reject_unused(arguments)?;
    let request = DrainRequest { endpoint };
    let body = serde_json::to_string(&request).expect("a request is plain data");
    pages.post(router, DRAIN_PATH, &body)?;
    Ok(format!(
        "{} takes no new work; the other routers are told\n",
        request.endpoint
    ))
}

/// Runs `accounts list --router`.
pub fn run_accounts(
    arguments: &mut Arguments,
    pages: &impl OperatorPages,
) -> Result<String, CommandError> {
    let (router, json) = take_router_and_json(arguments)?;
    let page: AccountsPage = fetch_page(pages, router, ACCOUNTS_PATH)?;
    if json {
        return Ok(to_json(&page.accounts));
    }
    let header = [
        "account",
        "pool",
        "weight",
        "waiting",
        "running",
        "service_tokens",
    ];
    let rows: Vec<Vec<String>> = page.accounts.iter().map(account_cells).collect();
    Ok(align(&header, &rows))
}

/// Fetches a page and parses it.
pub fn fetch_page<T: DeserializeOwned>(
    pages: &impl OperatorPages,
    router: SocketAddr,
    path: &str,
) -> Result<T, PageError> {
    let text = pages.fetch(router, path)?;
    let parsed = serde_json::from_str(&text);
    parsed.map_err(|error| PageError(format!("http://{router}{path}: unexpected page: {error}")))
}

fn take_router_and_json(arguments: &mut Arguments) -> Result<(SocketAddr, bool), CommandError> {
    let json = arguments.contains("--json");
    let router = arguments.value_from_str("--router")?;
    reject_unused(arguments)?;
    Ok((router, json))
}

fn status_text(status: &RouterStatus) -> String {
    let yes_or_no = |flag| if flag { "yes" } else { "no" }.to_owned();
    let rows = [
        ("host", status.host.clone()),
        ("site", status.site.clone()),
        ("incarnation", status.incarnation.to_string()),
        ("ready", yes_or_no(status.ready)),
        ("stopping", yes_or_no(status.stopping)),
        ("waiting", status.waiting.to_string()),
        ("running", status.running.to_string()),
        ("homes", status.homes.to_string()),
        ("members", status.members.to_string()),
        ("generation", status.config_generation.to_string()),
    ];
    let rows: Vec<Vec<String>> = rows
        .into_iter()
        .map(|(name, value)| vec![name.to_owned(), value])
        .collect();
    let mut text = align(&["field", "value"], &rows);
    if !status.member_list.is_empty() {
        let members = status.member_list.iter().map(|member| {
            vec![
                member.host.clone(),
                member.incarnation.to_string(),
                member_state(member.state).to_owned(),
            ]
        });
        text.push('\n');
        text.push_str(&align(
            &["member", "incarnation", "state"],
            &members.collect::<Vec<_>>(),
        ));
    }
    text
}

fn endpoint_cells(row: &EndpointRow) -> Vec<String> {
    let age = row.report_age_ms.map(|age| age.to_string());
    vec![
        row.endpoint.clone(),
        row.pool.clone(),
        row.site.clone(),
        row.address.to_string(),
        endpoint_state(row.state).to_owned(),
        row.slots.to_string(),
        row.running.to_string(),
        row.waiting.to_string(),
        age.unwrap_or_else(|| "-".to_owned()),
        row.usable_slots.to_string(),
        row.occupied_slots.to_string(),
        row.home.clone(),
    ]
}

fn account_cells(row: &AccountRow) -> Vec<String> {
    vec![
        row.account.clone(),
        row.pool.clone(),
        row.weight.to_string(),
        row.waiting.to_string(),
        row.running.to_string(),
        row.service_tokens.to_string(),
    ]
}

fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Live => "live",
        MemberState::Suspected => "suspected",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

fn endpoint_state(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "serving",
        EndpointState::Ejected => "ejected",
        EndpointState::Leaving => "leaving",
        EndpointState::HomedElsewhere => "homed_elsewhere",
    }
}
