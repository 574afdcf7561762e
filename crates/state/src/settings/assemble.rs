//! Converts merged and checked sections to typed settings.

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
use super::layers::MergedSection;
use super::layers::MergedSettings;
use super::value::Value;

/// Builds the typed settings. Panics only if the code asks for a key that is not in the schema.
pub(super) fn assemble(merged: &MergedSettings) -> Settings {
    let single_section = |kind: &str| {
        let mut sections = merged.sections.iter().filter(|s| s.schema.name == kind);
        sections.next().expect("the merge adds absent sections")
    };
    Settings {
        fleet: FleetSettings {
            name: single_section("fleet").text("name").to_string(),
        },
        front: front_settings(single_section("front")),
        fair: fair_settings(single_section("fair")),
        retry: retry_settings(single_section("retry")),
        health: health_settings(single_section("health")),
        membership: membership_settings(single_section("membership")),
        platform: platform_settings(single_section("platform")),
        sites: named_sections(merged, "site", site_settings),
        hosts: named_sections(merged, "host", host_settings),
        pools: named_sections(merged, "pool", pool_settings),
        services: named_sections(merged, "service", service_settings),
        endpoints: named_sections(merged, "endpoint", endpoint_settings),
        accounts: named_sections(merged, "account", account_settings),
    }
}

fn named_sections<T>(
    merged: &MergedSettings,
    kind: &str,
    convert: fn(&MergedSection) -> T,
) -> Vec<T> {
    let sections = merged.sections.iter().filter(|s| s.schema.name == kind);
    sections.map(convert).collect()
}

impl MergedSection {
    fn value(&self, key: &str) -> Option<&Value> {
        let entry = self.entries.get(key);
        entry
            .expect("the merge fills in every key of the schema")
            .value
            .as_ref()
    }

    fn integer(&self, key: &str) -> u64 {
        match self.value(key) {
            Some(Value::Integer(number)) => *number,
            other => panic!("{key} is a whole number in the schema, not {other:?}"),
        }
    }

    fn count(&self, key: &str) -> u32 {
        u32::try_from(self.integer(key)).expect("the schema bounds counts")
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
        let text = self.text(key);
        let chosen = choices.iter().find(|(choice, _)| *choice == &**text);
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

fn front_settings(section: &MergedSection) -> FrontSettings {
    FrontSettings {
        max_body_bytes: section.integer("max_body_bytes"),
        max_held_body_bytes: section.integer("max_held_body_bytes"),
        max_held_body_bytes_per_account: section.integer("max_held_body_bytes_per_account"),
        header_timeout_ms: section.integer("header_timeout_ms"),
        idle_timeout_ms: section.integer("idle_timeout_ms"),
        max_connections: section.count("max_connections"),
        max_queue: section.count("max_queue"),
        max_queue_per_account: section.count("max_queue_per_account"),
        default_deadline_ms: section.integer("default_deadline_ms"),
        max_deadline_ms: section.integer("max_deadline_ms"),
    }
}

fn fair_settings(section: &MergedSection) -> FairSettings {
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
        batch_interval_ms: section.integer("batch_interval_ms"),
        report_interval_ms: section.integer("report_interval_ms"),
        grant_span_ms: section.integer("grant_span_ms"),
        grant_timeout_ms: section.integer("grant_timeout_ms"),
        gather_timeout_ms: section.integer("gather_timeout_ms"),
    }
}

fn retry_settings(section: &MergedSection) -> RetrySettings {
    RetrySettings {
        max_attempts: section.count("max_attempts"),
        budget_percent: section.count("budget_percent"),
        base_backoff_ms: section.integer("base_backoff_ms"),
    }
}

fn health_settings(section: &MergedSection) -> HealthSettings {
    HealthSettings {
        connect_timeout_ms: section.integer("connect_timeout_ms"),
        stream_idle_timeout_ms: section.integer("stream_idle_timeout_ms"),
        report_interval_ms: section.integer("report_interval_ms"),
        eject_after_failures: section.count("eject_after_failures"),
        eject_ms: section.integer("eject_ms"),
        max_ejected_percent: section.count("max_ejected_percent"),
        poison_after_crashes: section.count("poison_after_crashes"),
        poison_quarantine_ms: section.integer("poison_quarantine_ms"),
    }
}

fn membership_settings(section: &MergedSection) -> MembershipSettings {
    MembershipSettings {
        probe_interval_ms: section.integer("probe_interval_ms"),
        probe_timeout_ms: section.integer("probe_timeout_ms"),
        indirect_probes: section.count("indirect_probes"),
        suspicion_ms: section.integer("suspicion_ms"),
        gossip_interval_ms: section.integer("gossip_interval_ms"),
        gossip_fanout: section.count("gossip_fanout"),
        sync_interval_ms: section.integer("sync_interval_ms"),
        rejoin_interval_ms: section.integer("rejoin_interval_ms"),
        pause_ms: section.integer("pause_ms"),
    }
}

fn platform_settings(section: &MergedSection) -> PlatformSettings {
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
        call_timeout_ms: section.integer("call_timeout_ms"),
    }
}

fn site_settings(section: &MergedSection) -> SiteSettings {
    SiteSettings {
        id: (*section.id).into(),
        region: section.text("region").to_string(),
    }
}

fn host_settings(section: &MergedSection) -> HostSettings {
    HostSettings {
        id: (*section.id).into(),
        site: (**section.text("site")).into(),
        caller_address: section.address("caller_address"),
        peer_address: section.address("peer_address"),
        operator_address: section.address("operator_address"),
        coordinator_address: section.optional_address("coordinator_address"),
    }
}

fn pool_settings(section: &MergedSection) -> PoolSettings {
    PoolSettings {
        id: (*section.id).into(),
        kind: section.choice(
            "kind",
            &[("model", PoolKind::Model), ("plain", PoolKind::Plain)],
        ),
        floor: section.count("floor"),
    }
}

fn service_settings(section: &MergedSection) -> ServiceSettings {
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

fn endpoint_settings(section: &MergedSection) -> EndpointSettings {
    EndpointSettings {
        id: (*section.id).into(),
        pool: (**section.text("pool")).into(),
        site: (**section.text("site")).into(),
        address: section.address("address"),
        slots: section.count("slots"),
        checks_fencing: section.flag("checks_fencing"),
    }
}

fn account_settings(section: &MergedSection) -> AccountSettings {
    AccountSettings {
        id: (*section.id).into(),
        weight: section.count("weight"),
        key_sha256: section.text("key_sha256").to_string(),
        max_in_progress: section.count("max_in_progress"),
        max_requests_per_s: section.count("max_requests_per_s"),
    }
}
