//! Creates the files of one deployment: base file, site overlays, process list and load plan.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use sedgeridge_state::settings::Override;
use sha2::Digest;
use sha2::Sha256;

use crate::deployment::AccountSpec;
use crate::deployment::Deployment;
use crate::deployment::PoolSpec;
use crate::deployment::ServiceSpec;
use crate::fault_name::FaultName;
use crate::fault_name::FaultNames;
use crate::ini_text::IniText;
use crate::plan::AccountPlan;
use crate::plan::CoordinatorPlan;
use crate::plan::EndpointPlan;
use crate::plan::LOAD_PLAN_FILE;
use crate::plan::LinkPlan;
use crate::plan::LoadPlan;
use crate::plan::PoolKind;
use crate::plan::RouterPlan;
use crate::plan::ServicePlan;
use crate::process_plan;
use crate::process_plan::BASE_FILE;
use crate::process_plan::PROCESS_PLAN_FILE;
use crate::process_plan::ProcessPlan;

/// Seed of account keys, constant so that every run uses the same keys.
const KEY_SEED: &str = "sedgeridge-load keys 1";
/// Number of hosts that may run a coordinator.
const COORDINATOR_HOSTS: usize = 2;
/// Default of `fair.output_token_factor`, repeated here for the fairness figures.
const OUTPUT_TOKEN_FACTOR: u64 = 4;

/// Contents of all files of one deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Topology {
    /// Settings that apply to all sites.
    pub base: IniText,
    /// Overlay of each site.
    pub overlays: Vec<(String, IniText)>,
    /// Processes in starting order.
    pub processes: Vec<ProcessPlan>,
    /// Plan for the load.
    pub load: LoadPlan,
}

/// Assigns loopback addresses with consecutive ports.
#[derive(Debug)]
struct Addresses {
    next_port: u16,
}

impl Addresses {
    fn take(&mut self) -> SocketAddr {
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), self.next_port);
        self.next_port += 1;
        address
    }
}

impl Topology {
    /// Creates a deployment on loopback addresses with ports from `port_base` upwards.
    ///
    /// ```
    /// use std::path::Path;
    /// use sedgeridge_load::topology::Topology;
    ///
    /// let small = "small".parse().unwrap();
    /// let topology = Topology::new(&small, Path::new("run"), 21_000, &[]);
    /// assert_eq!(topology.load.routers.len(), 3);
    /// ```
    pub fn new(
        deployment: &Deployment,
        dir: &Path,
        port_base: u16,
        overrides: &[Override],
    ) -> Self {
        let mut addresses = Addresses {
            next_port: port_base,
        };
        let load = load_plan(deployment, &mut addresses);
        let mut topology = Self {
            base: IniText::default(),
            overlays: Vec::new(),
            processes: Vec::new(),
            load,
        };
        topology.write_settings(deployment, &mut addresses);
        topology.add_coordinators(deployment, &mut addresses);
        for set in overrides {
            topology.base.set(&set.section, &set.key, &*set.value);
        }
        topology.read_back_overrides();
        if deployment.link_delay_us > 0 {
            topology.add_links(&mut addresses);
        }
        topology.plan_processes(deployment, dir);
        topology
    }

    fn write_settings(&mut self, deployment: &Deployment, addresses: &mut Addresses) {
        let base = &mut self.base;
        base.set("fleet", "name", deployment.name);
        base.set("platform", "table_address", &self.load.table_address);
        base.set("platform", "configuration", "table");
        for site in &deployment.sites {
            base.set(&format!("site.{site}"), "region", "region-1");
            self.overlays.push(((*site).to_owned(), IniText::default()));
        }
        for (index, router) in self.load.routers.iter().enumerate() {
            let section = format!("host.{}", router.name);
            base.set(&section, "site", site_of(deployment, index));
            base.set(&section, "caller_address", &router.caller_address);
            base.set(&section, "peer_address", &addresses.take());
            base.set(&section, "operator_address", &router.operator_address);
        }
        for pool in &deployment.pools {
            let section = format!("pool.{}", pool.name);
            base.set(&section, "kind", kind_name(pool.kind));
            // Without a floor, orders to all engines of a pool at once would leave none serving.
            base.set(&section, "floor", &pool.endpoints.div_ceil(2));
        }
        for service in &deployment.services {
            let section = format!("service.{}", service.name);
            base.set(&section, "pool", service.pool);
            base.set(&section, "repeatable", &service.repeatable);
            base.set(&section, "class", service.class);
        }
        for (index, endpoint) in self.load.endpoints.iter().enumerate() {
            let section = format!("endpoint.{}", endpoint.name);
            base.set(&section, "pool", &endpoint.pool);
            base.set(&section, "site", site_of(deployment, index));
            base.set(&section, "address", &endpoint.address);
            base.set(&section, "slots", &endpoint.slots);
            if endpoint.checks_fencing {
                base.set(&section, "checks_fencing", "yes");
            }
        }
        for account in &self.load.accounts {
            let section = format!("account.{}", account.name);
            base.set(&section, "weight", &account.weight);
            base.set(&section, "key_sha256", &sha256_hex(&account.key));
        }
    }

    fn add_coordinators(&mut self, deployment: &Deployment, addresses: &mut Addresses) {
        let hosts = self.load.routers.iter().take(COORDINATOR_HOSTS).enumerate();
        for (index, router) in hosts {
            let address = addresses.take();
            let section = format!("host.{}", router.name);
            self.base.set(&section, "coordinator_address", &address);
            self.load.coordinators.push(CoordinatorPlan {
                name: format!("coordinator-{}", index + 1),
                host: router.name.clone(),
                site: site_of(deployment, index).to_owned(),
                address,
            });
        }
    }

    /// Sets the faults of the run, and adds the processes that only they need.
    pub fn set_faults(&mut self, faults: FaultNames, dir: &Path) {
        if faults.contains(FaultName::LeaseFreeze) {
            let coordinators = self.load.coordinators.iter();
            let coordinators = coordinators.map(|c| process_plan::coordinator(c, dir));
            self.processes.extend(coordinators);
        }
        self.load.faults = faults;
    }

    /// Copies values into the load plan that overrides may have changed.
    fn read_back_overrides(&mut self) {
        let factor = self.base.get("fair", "output_token_factor");
        if let Some(factor) = factor.and_then(|value| value.parse().ok()) {
            self.load.output_token_factor = factor;
        }
        for service in &mut self.load.services {
            let section = format!("service.{}", service.name);
            service.repeatable = self.base.get(&section, "repeatable") == Some("true");
        }
        for account in &mut self.load.accounts {
            let weight = self
                .base
                .get(&format!("account.{}", account.name), "weight");
            if let Some(weight) = weight.and_then(|value| value.parse().ok()) {
                account.weight = weight;
            }
        }
    }

    /// Every site reaches the processes of other sites through relays: its overlay names the
    /// relay in place of the process. The table service is at the first site.
    fn add_links(&mut self, addresses: &mut Addresses) {
        let hosts = self.load.routers.iter().map(|r| format!("host.{}", r.name));
        let hosts = hosts.map(|section| (section, "peer_address"));
        let endpoints = self
            .load
            .endpoints
            .iter()
            .map(|e| format!("endpoint.{}", e.name));
        let endpoints = endpoints.map(|section| (section, "address"));
        let table = ("platform".to_owned(), "table_address");
        let targets: Vec<(String, &str)> = hosts.chain(endpoints).chain([table]).collect();
        let platform_site = self.overlays[0].0.clone();
        for (site, overlay) in &mut self.overlays {
            for (section, key) in &targets {
                let to_site = self.base.get(section, "site").unwrap_or(&platform_site);
                let target = self.base.get(section, key).and_then(|a| a.parse().ok());
                let Some(target) = target.filter(|_| to_site != site) else {
                    continue;
                };
                let link = LinkPlan {
                    name: format!("link-{site}-{section}"),
                    from_site: site.clone(),
                    to_site: to_site.to_owned(),
                    address: addresses.take(),
                    control_address: addresses.take(),
                    target,
                };
                overlay.set(section, key, &link.address);
                self.load.links.push(link);
            }
        }
    }

    fn plan_processes(&mut self, deployment: &Deployment, dir: &Path) {
        let load = &self.load;
        let links = load.links.iter();
        let links = links.map(|link| process_plan::link(link, deployment.link_delay_us));
        let endpoints = load.endpoints.iter().map(|endpoint| {
            let kind = load.pool_kind(&endpoint.pool);
            process_plan::endpoint(endpoint, kind, dir)
        });
        let routers = load.routers.iter().enumerate().map(|(index, router)| {
            let site = site_of(deployment, index);
            process_plan::router(router, site, dir)
        });
        self.processes.push(process_plan::table(load));
        self.processes.extend(links.chain(endpoints).chain(routers));
    }

    /// Writes every file into `dir`, which is created when absent.
    pub fn write(&self, dir: &Path) -> io::Result<()> {
        fs::create_dir_all(dir)?;
        fs::write(dir.join(BASE_FILE), self.base.to_string())?;
        for (site, overlay) in &self.overlays {
            fs::write(overlay_path(dir, site), overlay.to_string())?;
        }
        fs::write(dir.join(PROCESS_PLAN_FILE), self.process_lines())?;
        let load = serde_json::to_string_pretty(&self.load)?;
        fs::write(dir.join(LOAD_PLAN_FILE), load)
    }

    fn process_lines(&self) -> String {
        let line = |p: &ProcessPlan| format!("{} {} {}\n", p.name, p.program, p.args.join(" "));
        self.processes.iter().map(line).collect()
    }
}

fn overlay_path(dir: &Path, site: &str) -> PathBuf {
    dir.join(format!("site-{site}.ini"))
}

fn load_plan(deployment: &Deployment, addresses: &mut Addresses) -> LoadPlan {
    let table_address = addresses.take();
    let routers = (1..=deployment.routers).map(|number| RouterPlan {
        name: format!("router-{number}"),
        caller_address: addresses.take(),
        operator_address: addresses.take(),
    });
    let routers = routers.collect();
    let endpoints = deployment.pools.iter().flat_map(pool_endpoints);
    let endpoints = endpoints
        .enumerate()
        .map(|(index, (name, pool))| EndpointPlan {
            name,
            pool: pool.name.to_owned(),
            slots: pool.slots,
            address: addresses.take(),
            checks_fencing: index % 2 == 0,
        });
    let endpoints = endpoints.collect();
    LoadPlan {
        deployment: deployment.name.to_owned(),
        output_token_factor: OUTPUT_TOKEN_FACTOR,
        routers,
        endpoints,
        services: service_plans(deployment),
        accounts: account_plans(deployment),
        table_address,
        links: Vec::new(),
        coordinators: Vec::new(),
        faults: FaultNames::default(),
    }
}

fn pool_endpoints(pool: &PoolSpec) -> impl Iterator<Item = (String, &PoolSpec)> {
    (1..=pool.endpoints).map(move |number| (format!("{}-{number}", pool.endpoint_prefix), pool))
}

fn service_plans(deployment: &Deployment) -> Vec<ServicePlan> {
    let kind_of = |pool: &str| {
        let pool = deployment.pools.iter().find(|p| p.name == pool);
        pool.expect("a service names a pool of its deployment").kind
    };
    let plan = |service: &ServiceSpec| ServicePlan {
        name: service.name.to_owned(),
        pool: service.pool.to_owned(),
        kind: kind_of(service.pool),
        repeatable: service.repeatable,
    };
    deployment.services.iter().map(plan).collect()
}

fn account_plans(deployment: &Deployment) -> Vec<AccountPlan> {
    let plan = |account: &AccountSpec| AccountPlan {
        name: account.name.clone(),
        key: account_key(&account.name),
        weight: account.weight,
        spread: account.spread,
        demands: account.demands.clone(),
    };
    deployment.accounts.iter().map(plan).collect()
}

fn site_of(deployment: &Deployment, index: usize) -> &'static str {
    deployment.sites[index % deployment.sites.len()]
}

fn kind_name(kind: PoolKind) -> &'static str {
    match kind {
        PoolKind::Model => "model",
        PoolKind::Plain => "plain",
    }
}

/// Key of an account, the same in every run.
fn account_key(account: &str) -> String {
    let digest = sha256_hex(&format!("{KEY_SEED} {account}"));
    format!("sk-{}", &digest[..32])
}

/// SHA-256 in lower-case hexadecimal.
///
/// ```
/// let digest = sedgeridge_load::topology::sha256_hex("");
/// assert!(digest.starts_with("e3b0c442"));
/// ```
pub fn sha256_hex(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
