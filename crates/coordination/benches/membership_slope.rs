//! Measures the cost and speed of membership by number of hosts.
//!
//! Run with `cargo bench -p sedgeridge-coordination --bench membership_slope`; host counts given
//! after `--` replace the default ones, `loss=PERCENT` adds loss, and `KEY=VALUE` changes one of
//! the settings listed in [`change_setting`]. All hosts run in memory in one thread on simulated
//! time: processor time and memory are measured, times and messages are simulated, and bytes are
//! estimated as described in `tests/membership_network/encoding.rs`.

#[path = "../tests/membership_network/mod.rs"]
mod membership_network;

use std::collections::BTreeSet;
use std::time::Duration;

use membership_network::Links;
use membership_network::Network;
use membership_network::reports::Costs;
use sedgeridge_coordination::membership::MembershipEvent;
use sedgeridge_coordination::membership::Notice;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::settings::MembershipSettings;

const DEFAULT_HOST_COUNTS: [usize; 5] = [25, 50, 100, 200, 400];

/// IP and UDP headers of one message.
const DATAGRAM_OVERHEAD_BYTES: u64 = 28;

const QUIET_TIME: Duration = Duration::from_secs(60);
const KILL_COUNT: usize = 8;
const GENERATION_COUNT: u64 = 40;
const NOTICE_COUNT: u64 = 100;
const SEED: u64 = 20_261_202;

/// Options of one run.
#[derive(Debug, Clone, Default)]
struct Options {
    host_counts: Vec<usize>,
    links: Links,
    settings: MembershipSettings,
}

fn main() {
    let options = parse_options();
    println!("settings: {:?}", options.settings);
    println!("links: {:?}", options.links);
    // Kept until the end: memory freed by one network would distort the measurement of the next.
    let mut networks = Vec::new();
    for count in &options.host_counts {
        networks.push(measure_fleet(*count, &options));
    }
    drop(networks);
}

fn parse_options() -> Options {
    let mut options = Options::default();
    for argument in std::env::args().skip(1) {
        if let Ok(count) = argument.parse() {
            options.host_counts.push(count);
        } else if let Some((key, value)) = argument.split_once('=') {
            change_setting(&mut options, key, value);
        }
    }
    if options.host_counts.is_empty() {
        options.host_counts = DEFAULT_HOST_COUNTS.to_vec();
    }
    options
}

fn change_setting(options: &mut Options, key: &str, value: &str) {
    let value: u64 = value.parse().expect("a setting is a whole number");
    let settings = &mut options.settings;
    match key {
        "loss" => options.links.loss_percent = value,
        "probe_interval_ms" => settings.probe_interval_ms = value,
        "probe_timeout_ms" => settings.probe_timeout_ms = value,
        "suspicion_ms" => settings.suspicion_ms = value,
        "gossip_interval_ms" => settings.gossip_interval_ms = value,
        "gossip_fanout" => settings.gossip_fanout = value as u32,
        "sync_interval_ms" => settings.sync_interval_ms = value,
        "rejoin_interval_ms" => settings.rejoin_interval_ms = value,
        _ => panic!("unknown setting {key}"),
    }
}

fn measure_fleet(count: usize, options: &Options) -> Network {
    let memory_before = resident_bytes();
    let mut network = Network::new(count, options.settings.clone(), options.links.clone(), SEED);
    network.start_all();
    let started = network.run_until(Duration::from_secs(60), Network::agrees);
    println!("\n{count} hosts, all started at once: agree after {started:?}");
    network.run(Duration::from_secs(10));
    let memory = resident_bytes().saturating_sub(memory_before);
    println!(
        "  memory: {} KB a host, this simulator included",
        memory / 1024 / count as u64
    );
    measure_quiet_time(&mut network);
    measure_kills(&mut network);
    measure_generations(&mut network);
    measure_notices(&mut network);
    measure_rack_failure(&mut network);
    measure_partition(&mut network);
    network
}

fn measure_quiet_time(network: &mut Network) {
    network.costs = Costs::default();
    network.run(QUIET_TIME);
    print_costs("quiet minute", network, QUIET_TIME);
    let false_losses: u64 = network.nodes.iter().map(|n| n.reports.false_losses).sum();
    println!(
        "  running hosts held for dead since the start, summed over observers: {false_losses}"
    );
}

fn measure_kills(network: &mut Network) {
    let mut times = Vec::new();
    network.costs = Costs::default();
    let begin = network.now;
    for kill in 0..KILL_COUNT {
        let victim = (kill * 7 + 3) % network.nodes.len();
        let killed_at = network.now;
        network.kill(victim);
        network.run_until(Duration::from_secs(60), Network::agrees);
        let host = network.nodes[victim].host.clone();
        let running = network.nodes.iter().filter(|n| n.membership.is_some());
        times.extend(
            running
                .filter_map(|n| n.reports.lost_at.get(&host))
                .map(|at| *at - killed_at),
        );
        network.start(victim);
        network.run_until(Duration::from_secs(60), Network::agrees);
        network.run(Duration::from_secs(2));
    }
    print_times("detection of a killed host, by observer", times);
    let time = network.now - begin;
    print_costs("during kills and restarts", network, time);
}

fn measure_generations(network: &mut Network) {
    let mut each = Vec::new();
    let mut all = Vec::new();
    network.costs = Costs::default();
    let begin = network.now;
    for generation in 1..=GENERATION_COUNT {
        let origin = generation as usize % network.nodes.len();
        let told_at = network.now;
        network.handle(origin, MembershipEvent::ConfigGeneration(generation));
        network.run(Duration::from_secs(5));
        let times = network
            .nodes
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != origin);
        let times: Vec<Duration> = times
            .filter_map(|(_, n)| n.reports.generation_times.get(&generation))
            .map(|at| *at - told_at)
            .collect();
        if times.len() + 1 < network.nodes.len() {
            println!("  generation {generation} has not reached all in 5 s");
        }
        all.extend(times.iter().max());
        each.extend(times);
    }
    print_times("generation, by host", each);
    print_times("generation, until the last host", all);
    let time = network.now - begin;
    print_costs("with a generation every 5 s", network, time);
}

fn measure_notices(network: &mut Network) {
    let mut all = Vec::new();
    for fingerprint in 0..NOTICE_COUNT {
        let origin = fingerprint as usize % network.nodes.len();
        let told_at = network.now;
        let notice = Notice::Quarantine {
            fingerprint: Fingerprint(fingerprint.into()),
            expires_in_ms: 60_000,
        };
        network.handle(origin, MembershipEvent::Announce(notice.clone()));
        network.run(Duration::from_secs(5));
        let reports = network.nodes.iter().map(|n| &n.reports.notices);
        let times = reports
            .flatten()
            .filter(|(_, n)| same_fingerprint(n, &notice));
        all.extend(times.map(|(at, _)| *at - told_at).max());
    }
    print_times("notice, until the last host", all);
}

fn same_fingerprint(a: &Notice, b: &Notice) -> bool {
    match (a, b) {
        (Notice::Quarantine { fingerprint: a, .. }, Notice::Quarantine { fingerprint: b, .. }) => {
            a == b
        }
        _ => false,
    }
}

/// Kills a tenth of the hosts at once, as when a rack fails, and restarts them.
fn measure_rack_failure(network: &mut Network) {
    let gone = network.nodes.len().div_ceil(10);
    network.costs = Costs::default();
    let begin = network.now;
    for node in 0..gone {
        network.kill(node);
    }
    let removed = network.run_until(Duration::from_secs(60), Network::agrees);
    for node in 0..gone {
        network.start(node);
    }
    let back = network.run_until(Duration::from_secs(60), Network::agrees);
    println!("  a tenth killed at once: removed after {removed:?}, back after {back:?}");
    let time = network.now - begin;
    print_costs("during that", network, time);
}

fn measure_partition(network: &mut Network) {
    let half: BTreeSet<usize> = (0..network.nodes.len() / 2).collect();
    network.costs = Costs::default();
    let begin = network.now;
    network.partition(&half);
    network.run(Duration::from_secs(60));
    print_costs("cut in halves for a minute", network, network.now - begin);
    network.costs = Costs::default();
    let begin = network.now;
    network.heal();
    let agreed = network.run_until(Duration::from_secs(120), Network::agrees);
    println!("  healed: agree after {agreed:?}");
    print_costs("until then", network, network.now - begin);
}

fn print_costs(label: &str, network: &Network, time: Duration) {
    let hosts = network.nodes.len() as f64;
    let seconds = time.as_secs_f64();
    let costs = &network.costs;
    let per_host = |total: f64| total / hosts / seconds;
    let wire_bytes = costs.total_bytes + costs.message_count * DATAGRAM_OVERHEAD_BYTES;
    let peak_bytes = costs.bytes_by_second.values().max().copied().unwrap_or(0);
    println!(
        "  {label}: {:.1} messages, {:.0} bytes payload, {:.0} with UDP/IP, {:.1} us processor \
         a host and second; busiest second of a host {peak_bytes} bytes; largest message {} bytes",
        per_host(costs.message_count as f64),
        per_host(costs.total_bytes as f64),
        per_host(wire_bytes as f64),
        per_host(costs.handle_time.as_secs_f64() * 1e6),
        costs.largest_bytes,
    );
}

fn print_times(label: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |percent: usize| {
        let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
        times.get(index).map_or(0, Duration::as_millis)
    };
    println!(
        "  {label}: p50 {} ms, p99 {} ms, max {} ms, {} samples",
        at(50),
        at(99),
        at(100),
        times.len()
    );
}

/// Returns the resident memory of this process, or 0 where it cannot be read.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|p| p.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
