//! Checks that need more than one setting: references, unique values, limits that bound others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::error::Problem;
use super::error::Rejection;
use super::layers::Entry;
use super::layers::Merged;
use super::layers::MergedSection;
use super::layers::Place;
use super::nearest::nearest;
use super::schema::ValueKind;
use super::value::Value;
use super::value::did_you_mean;

/// Pairs of keys whose first value may not exceed the second.
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
    place: Place,
    title: Arc<str>,
    key: &'static str,
    rejection: Rejection,
}

/// Runs every check over the merged settings.
pub(super) fn check_relations(merged: &mut Merged) {
    let mut findings = Vec::new();
    check_references(&merged.sections, &mut findings);
    check_unique_addresses(&merged.sections, &mut findings);
    check_unique_keys(&merged.sections, &mut findings);
    check_pools(&merged.sections, &mut findings);
    check_upper_limits(&merged.sections, &mut findings);
    for finding in findings {
        merged.report(
            &finding.place,
            &finding.title,
            finding.key,
            finding.rejection,
        );
    }
}

fn of_kind<'a>(
    sections: &'a [MergedSection],
    kind: &'a str,
) -> impl Iterator<Item = &'a MergedSection> {
    sections.iter().filter(move |s| s.schema.name == kind)
}

fn finding(section: &MergedSection, entry: &Entry, key: &'static str, of: Rejection) -> Finding {
    Finding {
        place: entry.place.clone(),
        title: section.title.clone(),
        key,
        rejection: of,
    }
}

/// Names of sections by kind. A search of all sections for each reference took most of a load.
type NamesByKind<'a> = BTreeMap<&'static str, BTreeSet<&'a str>>;

fn check_references(sections: &[MergedSection], findings: &mut Vec<Finding>) {
    let mut names = NamesByKind::new();
    for section in sections {
        let of_kind = names.entry(section.schema.name).or_default();
        of_kind.insert(&section.id);
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
        Some(near) => did_you_mean(near),
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
            if let Some((owner, owner_key)) = owners.insert(*address, (&section.title, key.name)) {
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
    for section in of_kind(sections, "account") {
        let Some(entry) = section.entries.get("key_sha256") else {
            continue;
        };
        let Some(Value::Text(digest)) = &entry.value else {
            continue;
        };
        if let Some(owner) = owners.insert(digest, &section.title) {
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
    let mut endpoints: BTreeMap<&str, u64> = BTreeMap::new();
    for endpoint in of_kind(sections, "endpoint") {
        if let Some(Value::Text(pool)) = value(endpoint, "pool") {
            *endpoints.entry(pool).or_default() += 1;
        }
    }
    for pool in of_kind(sections, "pool") {
        let count = endpoints.get(&*pool.id).copied().unwrap_or(0);
        if count == 0 {
            findings.push(Finding {
                place: pool.place.clone(),
                title: pool.title.clone(),
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
    for (kind, lower, upper) in UPPER_LIMITS {
        for section in of_kind(sections, kind) {
            let Some(Value::Integer(most)) = value(section, upper) else {
                continue;
            };
            let entry = &section.entries[lower];
            if matches!(entry.value, Some(Value::Integer(number)) if number > *most) {
                let rejection = above_limit(entry, format!("at most {most}, the value of {upper}"));
                findings.push(finding(section, entry, lower, rejection));
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
