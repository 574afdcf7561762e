//! The accepted configuration: its memory in one router, and the cost of a change.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::config_events::ConfigEvent;
use sedgeridge_coordination::config_events::ConfigItem;
use sedgeridge_coordination::config_events::Generation;
use sedgeridge_coordination::node::Node;
use sedgeridge_coordination::node::NodeAction;
use sedgeridge_coordination::node::NodeEvent;
use sedgeridge_coordination::node::PeerMessage;
use sedgeridge_coordination::node_config::ConfigMessage;
use sedgeridge_coordination::node_config::ConfigRead;
use sedgeridge_coordination::store_call::CallId;
use sedgeridge_protocol::peer;
use sedgeridge_protocol::peer_config::config_item;
use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::config_document::SectionEdit;
use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::ConfigurationSource;
use sedgeridge_state::settings::Settings;
use sedgeridge_transport::peers::STREAM_OVERHEAD_BYTES;

use crate::design;
use crate::design::FleetSize;
use crate::meter;
use crate::meter::Stopwatch;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::sample::Sample;
use crate::target;

/// Changes over which processor time is averaged.
const MEASURED_CHANGES: u64 = 20;
/// Polls within which a change must be in force.
const MAX_POLLS: u32 = 10;
/// Time between two polls of the table's head.
const POLL_INTERVAL: Duration = Duration::from_secs(60);

/// Accounts in the configuration, beside the hosts and endpoints of the size to design for.
pub const ACCOUNTS: Bench = Bench {
    name: "config-accounts",
    size_title: "accounts in the configuration, 400 hosts, 2,200 endpoints",
    sizes: &[862, 1_725, 3_450, 6_900, 13_800],
    quick_sizes: &[690, 1_725, 3_450, 6_900],
    target: target::ACCOUNTS,
    metrics: &[
        Metric {
            name: "adopt_cpu_ms",
            title: "configuration: processor time of one node for one change, ms",
        },
        Metric {
            name: "node_memory_kb",
            title: "configuration: memory of one node, settings and document, KB",
        },
        Metric {
            name: "whole_kb",
            title: "configuration: the whole as a peer message, KB",
        },
        Metric {
            name: "delta_wire",
            title: "configuration: one change from peer to peer on the wire, both ways, bytes",
        },
    ],
    is_timed: true,
    measure,
};

fn measure(point: Point) -> Sample {
    let size = FleetSize {
        accounts: point.size as usize,
        ..FleetSize::for_nodes(target::NODES as usize)
    };
    let document = ConfigDocument::from_texts(&base_text(size), &[]);
    let before = meter::resident_bytes();
    let mut follower = Follower::new(&document);
    follower.follow(1, snapshot(&document));
    let memory = meter::resident_bytes().saturating_sub(before);
    follower.watch = Stopwatch::start();
    for generation in 2..2 + MEASURED_CHANGES {
        follower.follow(generation, weight_change(generation));
    }
    let cpu_ms = follower.watch.cpu_micros() / 1e3;
    let mut sample = Sample::default();
    sample.set("adopt_cpu_ms", cpu_ms / MEASURED_CHANGES as f64);
    sample.set("node_memory_kb", memory as f64 / 1_024.0);
    let whole = message_bytes(ConfigMessage::Changes {
        call: CallId(1),
        items: vec![config_item(1, snapshot(&document))],
    });
    sample.set("whole_kb", whole as f64 / 1_024.0);
    let request_bytes = message_bytes(ConfigMessage::ChangesWanted {
        call: CallId(1),
        after: Some(Generation(11_000)),
    });
    let answer_bytes = message_bytes(ConfigMessage::Changes {
        call: CallId(1),
        items: vec![config_item(2, weight_change(2))],
    });
    sample.set(
        "delta_wire",
        (request_bytes + answer_bytes + 2 * STREAM_OVERHEAD_BYTES) as f64,
    );
    sample
}

/// A router that reads each change from the table as soon as it is available.
struct Follower {
    node: Node,
    now: Duration,
    watch: Stopwatch,
}

impl Follower {
    fn new(document: &ConfigDocument) -> Self {
        let mut settings = Settings::default();
        settings.platform.configuration = ConfigurationSource::Table;
        settings.hosts = document
            .settings("site-0")
            .map(|whole| whole.hosts)
            .expect("the generated configuration is valid");
        let member = Member {
            host: design::host_id(0),
            incarnation: Incarnation(1),
        };
        Self {
            node: Node::new(member, settings, 7),
            now: Duration::ZERO,
            watch: Stopwatch::start(),
        }
    }

    /// Polls until one generation is in force.
    fn follow(&mut self, generation: u64, content: ConfigContent) {
        let change = config_item(generation, content);
        for _ in 0..MAX_POLLS {
            self.now += POLL_INTERVAL;
            if self.poll(&change) {
                return;
            }
        }
        panic!("generation {generation} is not in force after {MAX_POLLS} polls");
    }

    /// Polls the head once; tells whether a change came into force.
    fn poll(&mut self, change: &ConfigItem<ConfigContent>) -> bool {
        let mut adopted = false;
        let mut events = vec![NodeEvent::Tick];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            let (node, now) = (&mut self.node, self.now);
            self.watch.measure(|| node.handle(now, event, &mut actions));
            for action in actions {
                match action {
                    NodeAction::ReadConfig(read) => {
                        events.push(NodeEvent::ConfigReadEnded(answer(&read, change)));
                    }
                    NodeAction::SettingsChanged { .. } => adopted = true,
                    _ => {}
                }
            }
        }
        adopted
    }
}

fn answer(read: &ConfigRead, change: &ConfigItem<ConfigContent>) -> ConfigEvent<ConfigContent> {
    match read {
        ConfigRead::Head { call, .. } => ConfigEvent::HeadRead {
            call: *call,
            generation: Some(change.generation),
        },
        ConfigRead::Changes { call, .. } => ConfigEvent::Fetched {
            call: *call,
            items: vec![change.clone()],
        },
    }
}

fn snapshot(document: &ConfigDocument) -> ConfigContent {
    ConfigContent::Snapshot(document.clone())
}

/// Returns a change of one account's weight.
pub fn weight_change(generation: u64) -> ConfigContent {
    let key = format!("f{generation:063x}");
    let weight = (1 + generation % 4).to_string();
    let pairs = [("key_sha256", key), ("weight", weight)];
    ConfigContent::Delta(vec![SectionEdit {
        site: None,
        section: Arc::from("account.account-00003"),
        pairs: Some(
            pairs
                .into_iter()
                .map(|(name, value)| (Arc::from(name), Arc::from(value)))
                .collect(),
        ),
    }])
}

fn message_bytes(message: ConfigMessage) -> u64 {
    peer::encode(&PeerMessage::Config(message)).len() as u64
}

/// Returns the text of a fleet's base configuration file.
pub fn base_text(size: FleetSize) -> String {
    let settings = design::settings(size);
    let mut text = String::from(
        "[fleet]\nname = slopes\n[platform]\nconfiguration = table\ntable_address = 127.0.0.1:9\n",
    );
    for site in &settings.sites {
        let _ = writeln!(text, "[site.{}]\nregion = {}", site.id, site.region);
    }
    for (index, host) in settings.hosts.iter().enumerate() {
        let [a, b] = (index as u16).to_be_bytes();
        let _ = writeln!(text, "[host.{}]\nsite = {}", host.id, host.site);
        for (key, port) in [("caller", 8_080), ("peer", 8_081), ("operator", 8_082)] {
            let _ = writeln!(text, "{key}_address = 10.1.{a}.{b}:{port}");
        }
    }
    for pool in &settings.pools {
        let _ = writeln!(text, "[pool.{}]\nkind = model", pool.id);
        let _ = writeln!(text, "[service.{0}]\npool = {0}\nrepeatable = yes", pool.id);
    }
    for (index, endpoint) in settings.endpoints.iter().enumerate() {
        let [a, b] = (index as u16).to_be_bytes();
        let _ = writeln!(
            text,
            "[endpoint.{}]\npool = {}\nsite = {}\naddress = 10.2.{a}.{b}:9000\nslots = {}\nchecks_fencing = yes",
            endpoint.id, endpoint.pool, endpoint.site, endpoint.slots
        );
    }
    for (index, account) in settings.accounts.iter().enumerate() {
        let _ = writeln!(
            text,
            "[account.{}]\nkey_sha256 = {:064x}\nweight = {}",
            account.id,
            index + 1,
            account.weight
        );
    }
    text
}
