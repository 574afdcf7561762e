//! Makes typed settings of merged sections that passed every check.

use std::net::SocketAddr;
use std::sync::Arc;

use super::AccountSettings;
use super::ConfigurationSource;
use super::EndpointChoice;
use super::EndpointSettings;
use super::FairScope;
use super::FairSettings;
use super::FleetSettings;
use super::FrontSettings;
use super::HealthSettings;
use super::HostSettings;
use super::MembershipSettings;
use super::PlatformSettings;
use super::PoolKind;
use super::PoolSettings;
use super::QueueOrder;
use super::RequestClass;
use super::RetrySettings;
use super::ServiceSettings;
use super::Settings;
use super::SiteSettings;
use super::layers::Merged;
use super::layers::MergedSection;
use super::value::Value;

/// Makes typed settings. Panics only when the code asks for a key that the schema has not.
pub(super) fn assemble(merged: &Merged) -> Settings {
    let only = |kind: &str| {
        let mut of_kind = merged.sections.iter().filter(|s| s.schema.name == kind);
        of_kind.next().expect("the merge adds absent sections")
    };
    Settings {
        fleet: FleetSettings {
            name: only("fleet").text("name").to_string(),
        },
        front: front(only("front")),
        fair: fair(only("fair")),
        retry: retry(only("retry")),
        health: health(only("health")),
        membership: membership(only("membership")),
        platform: platform(only("platform")),
        sites: all(merged, "site", site),
        hosts: all(merged, "host", host),
        pools: all(merged, "pool", pool),
        services: all(merged, "service", service),
        endpoints: all(merged, "endpoint", endpoint),
        accounts: all(merged, "account", account),
    }
}

fn all<T>(merged: &Merged, kind: &str, make: fn(&MergedSection) -> T) -> Vec<T> {
    let of_kind = merged.sections.iter().filter(|s| s.schema.name == kind);
    of_kind.map(make).collect()
}

impl MergedSection {
    fn value(&self, key: &str) -> Option<&Value> {
        let entry = self.entries.get(key);
        entry
            .expect("the merge fills in every key of the schema")
            .value
            .as_ref()
    }

    fn whole(&self, key: &str) -> u64 {
        match self.value(key) {
            Some(Value::Integer(number)) => *number,
            other => panic!("{key} is a whole number in the schema, not {other:?}"),
        }
    }

    fn count(&self, key: &str) -> u32 {
        u32::try_from(self.whole(key)).expect("the schema bounds counts")
    }

    fn flag(&self, key: &str) -> bool {
        match self.value(key) {
            Some(Value::Flag(flag)) => *flag,
            other => panic!("{key} is yes or no in the schema, not {other:?}"),
        }
    }

    fn text(&self, key: &str) -> &Arc<str> {
        match self.value(key) {
            Some(Value::Text(text)) => text,
            other => panic!("{key} is text in the schema, not {other:?}"),
        }
    }

    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> T {
        let word = self.text(key);
        let chosen = choices.iter().find(|(choice, _)| *choice == &**word);
        chosen.expect("every choice of the schema has a variant").1
    }

    fn optional_address(&self, key: &str) -> Option<SocketAddr> {
        match self.value(key) {
            Some(Value::Address(address)) => Some(*address),
            None => None,
            other => panic!("{key} is an address in the schema, not {other:?}"),
        }
    }

    fn address(&self, key: &str) -> SocketAddr {
        let address = self.optional_address(key);
        address.expect("a mandatory address is present after the checks")
    }
}

fn front(section: &MergedSection) -> FrontSettings {
    FrontSettings {
        max_body_bytes: section.whole("max_body_bytes"),
        max_held_body_bytes: section.whole("max_held_body_bytes"),
        max_held_body_bytes_per_account: section.whole("max_held_body_bytes_per_account"),
        header_timeout_ms: section.whole("header_timeout_ms"),
        idle_timeout_ms: section.whole("idle_timeout_ms"),
        max_connections: section.count("max_connections"),
        max_queue: section.count("max_queue"),
        max_queue_per_account: section.count("max_queue_per_account"),
        default_deadline_ms: section.whole("default_deadline_ms"),
        max_deadline_ms: section.whole("max_deadline_ms"),
    }
}

fn fair(section: &MergedSection) -> FairSettings {
    FairSettings {
        scope: section.choice(
            "scope",
            &[("fleet", FairScope::Fleet), ("router", FairScope::Router)],
        ),
        order: section.choice(
            "order",
            &[("fair", QueueOrder::Fair), ("fifo", QueueOrder::Fifo)],
        ),
        endpoint_choice: section.choice(
            "endpoint_choice",
            &[
                ("affinity", EndpointChoice::Affinity),
                ("random", EndpointChoice::Random),
            ],
        ),
        output_token_factor: section.count("output_token_factor"),
        batch_interval_ms: section.whole("batch_interval_ms"),
        report_interval_ms: section.whole("report_interval_ms"),
        grant_span_ms: section.whole("grant_span_ms"),
        grant_timeout_ms: section.whole("grant_timeout_ms"),
        gather_timeout_ms: section.whole("gather_timeout_ms"),
    }
}

fn retry(section: &MergedSection) -> RetrySettings {
    RetrySettings {
        max_attempts: section.count("max_attempts"),
        budget_percent: section.count("budget_percent"),
        base_backoff_ms: section.whole("base_backoff_ms"),
    }
}

fn health(section: &MergedSection) -> HealthSettings {
    HealthSettings {
        connect_timeout_ms: section.whole("connect_timeout_ms"),
        stream_idle_timeout_ms: section.whole("stream_idle_timeout_ms"),
        report_interval_ms: section.whole("report_interval_ms"),
        eject_after_failures: section.count("eject_after_failures"),
        eject_ms: section.whole("eject_ms"),
        max_ejected_percent: section.count("max_ejected_percent"),
        poison_after_crashes: section.count("poison_after_crashes"),
        poison_quarantine_ms: section.whole("poison_quarantine_ms"),
    }
}

fn membership(section: &MergedSection) -> MembershipSettings {
    MembershipSettings {
        probe_interval_ms: section.whole("probe_interval_ms"),
        probe_timeout_ms: section.whole("probe_timeout_ms"),
        indirect_probes: section.count("indirect_probes"),
        suspicion_ms: section.whole("suspicion_ms"),
        gossip_interval_ms: section.whole("gossip_interval_ms"),
        gossip_fanout: section.count("gossip_fanout"),
        sync_interval_ms: section.whole("sync_interval_ms"),
        rejoin_interval_ms: section.whole("rejoin_interval_ms"),
        pause_ms: section.whole("pause_ms"),
    }
}

fn platform(section: &MergedSection) -> PlatformSettings {
    PlatformSettings {
        configuration: section.choice(
            "configuration",
            &[
                ("files", ConfigurationSource::Files),
                ("table", ConfigurationSource::Table),
            ],
        ),
        table_address: section.optional_address("table_address"),
        object_address: section.optional_address("object_address"),
        host_list_address: section.optional_address("host_list_address"),
        weight_store_address: section.optional_address("weight_store_address"),
        call_timeout_ms: section.whole("call_timeout_ms"),
    }
}

fn site(section: &MergedSection) -> SiteSettings {
    SiteSettings {
        id: (*section.id).into(),
        region: section.text("region").to_string(),
    }
}

fn host(section: &MergedSection) -> HostSettings {
    HostSettings {
        id: (*section.id).into(),
        site: (**section.text("site")).into(),
        caller_address: section.address("caller_address"),
        peer_address: section.address("peer_address"),
        operator_address: section.address("operator_address"),
        coordinator_address: section.optional_address("coordinator_address"),
    }
}

fn pool(section: &MergedSection) -> PoolSettings {
    PoolSettings {
        id: (*section.id).into(),
        kind: section.choice(
            "kind",
            &[("model", PoolKind::Model), ("plain", PoolKind::Plain)],
        ),
        floor: section.count("floor"),
    }
}

fn service(section: &MergedSection) -> ServiceSettings {
    ServiceSettings {
        id: (*section.id).into(),
        pool: (**section.text("pool")).into(),
        repeatable: section.flag("repeatable"),
        class: section.choice(
            "class",
            &[
                ("interactive", RequestClass::Interactive),
                ("deferred", RequestClass::Deferred),
            ],
        ),
    }
}

fn endpoint(section: &MergedSection) -> EndpointSettings {
    EndpointSettings {
        id: (*section.id).into(),
        pool: (**section.text("pool")).into(),
        site: (**section.text("site")).into(),
        address: section.address("address"),
        slots: section.count("slots"),
        checks_fencing: section.flag("checks_fencing"),
    }
}

fn account(section: &MergedSection) -> AccountSettings {
    AccountSettings {
        id: (*section.id).into(),
        weight: section.count("weight"),
        key_sha256: section.text("key_sha256").to_string(),
        max_in_progress: section.count("max_in_progress"),
        max_requests_per_s: section.count("max_requests_per_s"),
    }
}
