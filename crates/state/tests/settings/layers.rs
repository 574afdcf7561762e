//! Tests of the loader with valid input (defaults, layers, overrides) and of the schema.

use std::collections::BTreeSet;

use sedgeridge_state::settings::FairSettings;
use sedgeridge_state::settings::FrontSettings;
use sedgeridge_state::settings::HealthSettings;
use sedgeridge_state::settings::Layers;
use sedgeridge_state::settings::MembershipSettings;
use sedgeridge_state::settings::Override;
use sedgeridge_state::settings::PlatformSettings;
use sedgeridge_state::settings::PoolKind;
use sedgeridge_state::settings::RequestClass;
use sedgeridge_state::settings::RetrySettings;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::SettingsFile;
use sedgeridge_state::settings::load;
use sedgeridge_state::settings::load_layers;
use sedgeridge_state::settings::schema::SECTIONS;
use sedgeridge_state::settings::schema::Unit;
use sedgeridge_state::settings::schema::ValueKind;

const BASE: &str = "\
# everywhere
[fleet]
name = demo
[front]
max_queue = 600
[fair]
scope = router
order = fifo
endpoint_choice = random
[site.north]
[host.a]
site = north
caller_address = 127.0.0.1:7001
peer_address = 127.0.0.1:7002
operator_address = 127.0.0.1:7003
[pool.desk]
floor = 1
[service.letters]
pool = desk
repeatable = no
class = deferred
[endpoint.desk-1]
pool = desk
site = north
address = 127.0.0.1:8001
slots = 8
checks_fencing = true
[account.crew-07]
weight = 3
key_sha256 = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
";

fn load_with(overlay: Option<&str>, overrides: &[&str]) -> Settings {
    let overrides: Vec<Override> = overrides
        .iter()
        .map(|argument| Override::parse(argument).unwrap())
        .collect();
    let layers = Layers {
        base: SettingsFile {
            text: BASE,
            name: "base.ini",
        },
        overlay: overlay.map(|text| SettingsFile {
            text,
            name: "site-north.ini",
        }),
        overrides: &overrides,
    };
    load_layers(&layers).unwrap()
}

#[test]
fn absent_keys_take_the_typed_defaults() {
    let settings = load("[fleet]\nname = demo\n", "base.ini", None).unwrap();

    assert_eq!(settings.front, FrontSettings::default());
    assert_eq!(settings.fair, FairSettings::default());
    assert_eq!(settings.retry, RetrySettings::default());
    assert_eq!(settings.health, HealthSettings::default());
    assert_eq!(settings.membership, MembershipSettings::default());
    assert_eq!(settings.platform, PlatformSettings::default());
}

#[test]
fn every_section_is_converted_to_typed_settings() {
    let settings = load_with(None, &[]);

    assert_eq!(settings.fleet.name, "demo");
    assert_eq!(settings.front.max_queue, 600);
    assert_eq!(settings.sites[0].region, "main");
    assert_eq!(settings.host("a").unwrap().peer_address.port(), 7002);
    assert_eq!(settings.pools[0].kind, PoolKind::Model);
    let service = settings.service("letters").unwrap();
    assert!(!service.repeatable);
    assert_eq!(service.class, RequestClass::Deferred);
    assert_eq!(settings.endpoints[0].slots, 8);
    assert!(settings.endpoints[0].checks_fencing);
    assert_eq!(settings.accounts[0].id.as_str(), "crew-07");
    assert_eq!(settings.accounts[0].weight, 3);
}

#[test]
fn later_layers_override_earlier_ones() {
    let overlay = "[front]\nmax_queue = 700\n[host.a]\npeer_address = 127.0.0.1:9002\n";

    let merged = load_with(Some(overlay), &[]);
    assert_eq!(merged.front.max_queue, 700);
    assert_eq!(merged.hosts[0].peer_address.port(), 9002);

    let overridden = load_with(
        Some(overlay),
        &["front.max_queue=800", "account.crew-07.weight=9"],
    );
    assert_eq!(overridden.front.max_queue, 800);
    assert_eq!(overridden.accounts[0].weight, 9);
}

#[test]
fn counts_of_the_schema_fit_the_typed_fields() {
    for section in SECTIONS {
        for key in section.keys {
            if let ValueKind::Integer { unit, min, max } = key.kind {
                let is_u64 = matches!(unit, Unit::Milliseconds | Unit::Bytes);
                assert!(is_u64 || u32::try_from(max).is_ok(), "{}", key.name);
                assert!(min <= max, "{}", key.name);
            }
        }
    }
}

#[test]
fn schema_names_are_unique() {
    let mut sections = BTreeSet::new();
    for section in SECTIONS {
        assert!(sections.insert(section.name), "[{}]", section.name);
        let mut keys = BTreeSet::new();
        for key in section.keys {
            assert!(keys.insert(key.name), "[{}] {}", section.name, key.name);
        }
    }
}
