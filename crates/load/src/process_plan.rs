//! Command lines of the processes of a deployment.

use std::path::Path;

use crate::plan::CoordinatorPlan;
use crate::plan::EndpointPlan;
use crate::plan::LinkPlan;
use crate::plan::LoadPlan;
use crate::plan::PoolKind;
use crate::plan::RouterPlan;

/// File that lists the processes to start, one per line: name, program, arguments.
pub const PROCESS_PLAN_FILE: &str = "plan";
/// File of the settings that apply to all sites.
pub const BASE_FILE: &str = "base.ini";

const STAND_INS: &str = "sedgeridge-standins";
const ROUTER: &str = "sedgeridge-router";
const COORDINATOR: &str = "sedgeridge-coordinator";
/// Time between two output tokens of an engine stand-in.
const TOKEN_MS: u64 = 20;
/// Prefill time of an engine stand-in for each uncached input token.
const PREFILL_US_PER_TOKEN: u64 = 100;
/// Age of an endpoint's load report.
const REPORT_LAG_MS: u64 = 200;
/// Size of the prefix cache of an engine stand-in.
const PREFIX_CACHE_TOKENS: u64 = 2_000;
/// Mean service time of a plain stand-in.
const SERVICE_MS: u64 = 50;

/// One process to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessPlan {
    /// Name in the list of process ids.
    pub name: String,
    /// Binary of this workspace.
    pub program: &'static str,
    /// Its arguments, without spaces.
    pub args: Vec<String>,
}

impl ProcessPlan {
    fn new(name: &str, program: &'static str, args: &str) -> Self {
        Self {
            name: name.to_owned(),
            program,
            args: args.split_whitespace().map(str::to_owned).collect(),
        }
    }
}

/// Process of the table service.
pub fn table(load: &LoadPlan) -> ProcessPlan {
    let args = format!("table --listen {}", load.table_address);
    ProcessPlan::new("table", STAND_INS, &args)
}

/// Process of a link's relay.
pub fn link(link: &LinkPlan, delay_us: u64) -> ProcessPlan {
    let LinkPlan {
        name,
        address,
        control_address,
        target,
        ..
    } = link;
    let delay_ms = delay_us as f64 / 1_000.0;
    let args = format!(
        "relay --listen {address} --name {name} --to {target} --control {control_address} \
         --delay-ms {delay_ms}"
    );
    ProcessPlan::new(name, STAND_INS, &args)
}

/// Process of an endpoint.
pub fn endpoint(endpoint: &EndpointPlan, kind: PoolKind, dir: &Path) -> ProcessPlan {
    let EndpointPlan {
        name,
        address,
        slots,
        checks_fencing,
        ..
    } = endpoint;
    let fencing = match checks_fencing {
        true => "",
        false => "--ignore-fencing",
    };
    let own = match kind {
        PoolKind::Model => format!(
            "engine --token-ms {TOKEN_MS} --prefill-us-per-token {PREFILL_US_PER_TOKEN} \
             --prefix-cache-tokens {PREFIX_CACHE_TOKENS} {fencing}"
        ),
        PoolKind::Plain => format!("plain --service-ms {SERVICE_MS}"),
    };
    let dir = dir.display();
    let args = format!(
        "{own} --listen {address} --name {name} --slots {slots} \
         --report-lag-ms {REPORT_LAG_MS} --ledger-file {dir}/ledger-{name}.jsonl"
    );
    ProcessPlan::new(name, STAND_INS, &args)
}

/// Process of a router at a site.
pub fn router(router: &RouterPlan, site: &str, dir: &Path) -> ProcessPlan {
    let dir = dir.display();
    let args = format!(
        "--config {dir}/{BASE_FILE} --overlay {dir}/site-{site}.ini --host {}",
        router.name
    );
    ProcessPlan::new(&router.name, ROUTER, &args)
}

/// Process of a coordinator on the host of a router.
pub fn coordinator(coordinator: &CoordinatorPlan, dir: &Path) -> ProcessPlan {
    let CoordinatorPlan {
        name, host, site, ..
    } = coordinator;
    let dir = dir.display();
    let args = format!("--config {dir}/{BASE_FILE} --overlay {dir}/site-{site}.ini --host {host}");
    ProcessPlan::new(name, COORDINATOR, &args)
}
