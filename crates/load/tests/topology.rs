//! The files written for each deployment.

use std::collections::BTreeSet;
use std::path::Path;

use sedgeridge_load::deployment::Deployment;
use sedgeridge_load::process_plan::ProcessPlan;
use sedgeridge_load::topology::Topology;
use sedgeridge_load::topology::sha256_hex;
use sedgeridge_state::settings::Override;
use yare::parameterized;

fn topology(name: &str, overrides: &[&str]) -> Topology {
    let deployment: Deployment = name.parse().expect("known deployment");
    let overrides: Vec<Override> = overrides
        .iter()
        .map(|o| Override::parse(o).unwrap())
        .collect();
    Topology::new(&deployment, Path::new("run/test"), 21_000, &overrides)
}

#[parameterized(
    small = { "small", 3, 1, 6, 6 },
    luce = { "luce", 6, 3, 12, 16 },
    malardalen = { "malardalen", 6, 4, 22, 16 },
)]
fn has_the_sizes_of_the_deployment(
    name: &str,
    routers: usize,
    sites: usize,
    endpoints: usize,
    accounts: usize,
) {
    let topology = topology(name, &[]);
    assert_eq!(topology.load.routers.len(), routers);
    assert_eq!(topology.overlays.len(), sites);
    assert_eq!(topology.load.endpoints.len(), endpoints);
    assert_eq!(topology.load.accounts.len(), accounts);
}

#[parameterized(small = { "small" }, luce = { "luce" }, malardalen = { "malardalen" })]
fn gives_every_listener_its_own_address(name: &str) {
    let text = topology(name, &[]).base.to_string();
    let addresses = text.lines().filter(|line| line.contains("127.0.0.1:"));
    let addresses: Vec<&str> = addresses.map(|l| l.split_once(" = ").unwrap().1).collect();
    let distinct: BTreeSet<&str> = addresses.iter().copied().collect();
    assert_eq!(distinct.len(), addresses.len());
}

#[parameterized(small = { "small" }, luce = { "luce" }, malardalen = { "malardalen" })]
fn every_demand_names_a_service(name: &str) {
    let load = topology(name, &[]).load;
    let demands = load.accounts.iter().flat_map(|a| &a.demands);
    for demand in demands {
        assert!(load.service(&demand.service).is_some(), "{demand:?}");
    }
}

#[test]
fn configuration_holds_the_hash_of_each_key_and_not_the_key() {
    let topology = topology("luce", &[]);
    let text = topology.base.to_string();
    for account in &topology.load.accounts {
        assert!(text.contains(&sha256_hex(&account.key)));
        assert!(!text.contains(&account.key));
    }
}

#[test]
fn an_override_replaces_a_value_and_reaches_the_load_plan() {
    let topology = topology(
        "small",
        &[
            "fair.output_token_factor=7",
            "service.orders.repeatable=true",
        ],
    );
    assert_eq!(
        topology.base.get("service.orders", "repeatable"),
        Some("true")
    );
    assert_eq!(topology.load.output_token_factor, 7);
}

#[parameterized(
    accepted = { &[], "table" },
    of_files = { &["platform.configuration=files"], "files" },
)]
fn routers_follow_the_accepted_configuration_unless_told_otherwise(
    overrides: &[&str],
    source: &str,
) {
    let topology = topology("small", overrides);
    let found = topology.base.get("platform", "configuration");
    assert_eq!(found, Some(source));
}

/// An order drains its engine. Without a floor, orders to all engines of a pool at once leave no
/// engine serving until the drains have expired.
#[test]
fn every_pool_has_a_floor_and_both_kinds_of_engines() {
    let topology = topology("small", &[]);
    assert_eq!(topology.base.get("pool.engines", "floor"), Some("2"));
    assert_eq!(topology.base.get("pool.orders", "floor"), Some("1"));
    let checking = topology.load.endpoints.iter().filter(|e| e.checks_fencing);
    assert_eq!(checking.count(), 3);
    let ignores = |p: &&ProcessPlan| p.args.iter().any(|a| a == "--ignore-fencing");
    let ignoring = topology.processes.iter().filter(ignores);
    assert_eq!(ignoring.count(), 2);
}

/// A site's own processes are reached directly, those of other sites through one relay each. The
/// table service is at the first site.
#[parameterized(
    small = { "small", 0 },
    luce = { "luce", 38 },
    malardalen = { "malardalen", 87 },
)]
fn other_sites_are_reached_through_relays(name: &str, links: usize) {
    let topology = topology(name, &[]);
    assert_eq!(topology.load.links.len(), links);
    for link in &topology.load.links {
        assert_ne!(link.from_site, link.to_site);
        let (_, overlay) = topology
            .overlays
            .iter()
            .find(|(site, _)| *site == link.from_site)
            .expect("the site has an overlay");
        assert!(overlay.to_string().contains(&link.address.to_string()));
        assert!(topology.base.to_string().contains(&link.target.to_string()));
    }
}
