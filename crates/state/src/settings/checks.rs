//! Checks across settings: references, unique values, and settings that limit other settings.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::error::Problem;
use super::error::Rejection;
use super::layers::Entry;
use super::layers::Location;
use super::layers::MergedSection;
use super::layers::MergedSettings;
use super::nearest::nearest;
use super::schema::ValueKind;
use super::value::Value;
use super::value::did_you_mean;

/// Section, key and limit key: the value of the key must not exceed the value of the limit key.
const UPPER_LIMITS: &[(&str, &str, &str)] = &[
    ("front", "default_deadline_ms", "max_deadline_ms"),
    ("front", "max_queue_per_account", "max_queue"),
    ("front", "max_body_bytes", "max_held_body_bytes_per_account"),
    (
        "front",
        "max_held_body_bytes_per_account",
        "max_held_body_bytes",
    ),
    ("membership", "probe_timeout_ms", "probe_interval_ms"),
];

struct Finding {
    location: Location,
    header: Arc<str>,
    key: &'static str,
    rejection: Rejection,
}

/// Runs every check over the merged settings.
pub(super) fn check_relations(merged: &mut MergedSettings) {
    let mut findings = Vec::new();
    check_references(&merged.sections, &mut findings);
    check_unique_addresses(&merged.sections, &mut findings);
    check_unique_keys(&merged.sections, &mut findings);
    check_pools(&merged.sections, &mut findings);
    check_upper_limits(&merged.sections, &mut findings);
    for finding in findings {
        merged.add_finding(
            &finding.location,
            &finding.header,
            finding.key,
            finding.rejection,
        );
    }
}

fn sections_of_kind<'a>(
    sections: &'a [MergedSection],
    kind: &'a str,
) -> impl Iterator<Item = &'a MergedSection> {
    sections.iter().filter(move |s| s.schema.name == kind)
}

fn finding(
    section: &MergedSection,
    entry: &Entry,
    key: &'static str,
    rejection: Rejection,
) -> Finding {
    Finding {
        location: entry.location.clone(),
        header: section.header.clone(),
        key,
        rejection,
    }
}

/// Names of sections by kind. Searching all sections for each reference took most of the load time.
type NamesByKind<'a> = BTreeMap<&'static str, BTreeSet<&'a str>>;

fn check_references(sections: &[MergedSection], findings: &mut Vec<Finding>) {
    let mut names = NamesByKind::new();
    for section in sections {
        let ids = names.entry(section.schema.name).or_default();
        ids.insert(&section.id);
    }
    for section in sections {
        for key in section.schema.keys {
            let ValueKind::Reference(target) = key.kind else {
                continue;
            };
            let Some(entry) = section.entries.get(key.name) else {
                continue;
            };
            let Some(Value::Text(name)) = &entry.value else {
                continue;
            };
            let known = names.get(target);
            if known.is_none_or(|known| !known.contains(&**name)) {
                let rejection = unknown_name(target, name, known);
                findings.push(finding(section, entry, key.name, rejection));
            }
        }
    }
}

fn unknown_name(target: &'static str, name: &str, known: Option<&BTreeSet<&str>>) -> Rejection {
    let known: Vec<&str> = known.into_iter().flatten().copied().collect();
    let hint = match nearest(name, known.iter().copied()) {
        Some(suggestion) => did_you_mean(suggestion),
        None if known.is_empty() => format!("add a section [{target}.{name}]"),
        None => format!("known: {}", known.join(", ")),
    };
    let problem = Problem::UnknownName {
        section: target,
        found: name.to_owned(),
    };
    Rejection::new(problem, hint)
}

fn check_unique_addresses(sections: &[MergedSection], findings: &mut Vec<Finding>) {
    let mut owners = BTreeMap::new();
    for section in sections.iter().filter(|s| s.schema.is_named) {
        for key in section.schema.keys {
            let Some(entry) = section.entries.get(key.name) else {
                continue;
            };
            let Some(Value::Address(address)) = &entry.value else {
                continue;
            };
            if let Some((owner, owner_key)) = owners.insert(*address, (&section.header, key.name)) {
                let problem = Problem::Duplicate {
                    what: "address",
                    owner: owner.to_string(),
                };
                let hint = Some(format!("{address} is `{owner_key}` there"));
                findings.push(finding(
                    section,
                    entry,
                    key.name,
                    Rejection::new(problem, hint),
                ));
            }
        }
    }
}

fn check_unique_keys(sections: &[MergedSection], findings: &mut Vec<Finding>) {
    let mut owners = BTreeMap::new();
    for section in sections_of_kind(sections, "account") {
        let Some(entry) = section.entries.get("key_sha256") else {
            continue;
        };
        let Some(Value::Text(digest)) = &entry.value else {
            continue;
        };
        if let Some(owner) = owners.insert(digest, &section.header) {
            let problem = Problem::Duplicate {
                what: "key hash",
                owner: owner.to_string(),
            };
            let hint = Some("two accounts with one key can't be told apart".to_owned());
            findings.push(finding(
                section,
                entry,
                "key_sha256",
                Rejection::new(problem, hint),
            ));
        }
    }
}

fn check_pools(sections: &[MergedSection], findings: &mut Vec<Finding>) {
    let mut endpoint_counts: BTreeMap<&str, u64> = BTreeMap::new();
    for endpoint in sections_of_kind(sections, "endpoint") {
        if let Some(Value::Text(pool)) = value(endpoint, "pool") {
            *endpoint_counts.entry(pool).or_default() += 1;
        }
    }
    for pool in sections_of_kind(sections, "pool") {
        let count = endpoint_counts.get(&*pool.id).copied().unwrap_or(0);
        if count == 0 {
            findings.push(Finding {
                location: pool.location.clone(),
                header: pool.header.clone(),
                key: "",
                rejection: Rejection::new(
                    Problem::EmptyPool,
                    format!("add `pool = {}` to an [endpoint.NAME] section", pool.id),
                ),
            });
            continue;
        }
        let Some(entry) = pool.entries.get("floor") else {
            continue;
        };
        if matches!(entry.value, Some(Value::Integer(floor)) if floor > count) {
            let rejection =
                above_limit(entry, format!("at most {count}, the endpoints of the pool"));
            findings.push(finding(pool, entry, "floor", rejection));
        }
    }
}

fn check_upper_limits(sections: &[MergedSection], findings: &mut Vec<Finding>) {
    for (kind, key, limit_key) in UPPER_LIMITS {
        for section in sections_of_kind(sections, kind) {
            let Some(Value::Integer(limit)) = value(section, limit_key) else {
                continue;
            };
            let entry = &section.entries[key];
            if matches!(entry.value, Some(Value::Integer(number)) if number > *limit) {
                let rejection =
                    above_limit(entry, format!("at most {limit}, the value of {limit_key}"));
                findings.push(finding(section, entry, key, rejection));
            }
        }
    }
}

fn above_limit(entry: &Entry, expected: String) -> Rejection {
    let found = match entry.value {
        Some(Value::Integer(number)) => number.to_string(),
        _ => String::new(),
    };
    Rejection::new(Problem::OutOfRange { expected, found }, None)
}

fn value<'a>(section: &'a MergedSection, key: &str) -> Option<&'a Value> {
    section.entries.get(key)?.value.as_ref()
}
