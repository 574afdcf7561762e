//! Merges the layers of settings: base file, overlay of one site, command-line overrides.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use super::error::Problem;
use super::error::Rejection;
use super::error::SettingsError;
use super::lines::LayerRole;
use super::lines::RawLayer;
use super::lines::RawPair;
use super::lines::RawSection;
use super::nearest::nearest;
use super::schema;
use super::schema::Fallback;
use super::schema::KeySchema;
use super::schema::SECTIONS;
use super::schema::Scope;
use super::schema::SectionSchema;
use super::value::Value;
use super::value::check_name;
use super::value::check_value;
use super::value::did_you_mean;

/// File and line of a section or pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Location {
    pub(super) file: Arc<str>,
    pub(super) line: usize,
}

/// A value and its location; `value` is `None` if it was refused or is unset.
#[derive(Debug)]
pub(super) struct Entry {
    /// For a default, the location of the section.
    pub(super) location: Location,
    pub(super) is_default: bool,
    pub(super) value: Option<Value>,
}

/// One merged section.
#[derive(Debug)]
pub(super) struct MergedSection {
    pub(super) schema: &'static SectionSchema,
    pub(super) header: Arc<str>,
    /// Name after the dot; empty if the section has none.
    pub(super) id: Arc<str>,
    pub(super) location: Location,
    pub(super) entries: BTreeMap<&'static str, Entry>,
}

/// The sections merged so far, with all findings.
#[derive(Debug, Default)]
pub(super) struct MergedSettings {
    pub(super) sections: Vec<MergedSection>,
    pub(super) errors: Vec<SettingsError>,
    positions: HashMap<Arc<str>, usize>,
}

impl MergedSettings {
    /// Adds a finding.
    pub(super) fn add_finding(
        &mut self,
        location: &Location,
        section: &Arc<str>,
        key: &str,
        rejection: Rejection,
    ) {
        self.errors.push(SettingsError {
            file: location.file.clone(),
            line: location.line,
            section: section.clone(),
            key: key.into(),
            problem: rejection.problem,
            hint: rejection.hint,
        });
    }

    /// Merges one layer over the previous ones.
    pub(super) fn add_layer(&mut self, layer: RawLayer) {
        let RawLayer { role, file, .. } = layer;
        for malformed in layer.malformed_lines {
            let location = Location {
                file: file.clone(),
                line: malformed.line,
            };
            self.add_finding(
                &location,
                &malformed.section,
                &malformed.key,
                Rejection::new(malformed.problem, None),
            );
        }
        let mut first_lines: HashMap<Arc<str>, usize> = HashMap::new();
        for raw in layer.sections {
            let location = Location {
                file: file.clone(),
                line: raw.line,
            };
            let first_line = *first_lines.entry(raw.name.clone()).or_insert(raw.line);
            if role != LayerRole::Overrides && first_line != raw.line {
                let hint = Some("put the keys of a section below one header".to_owned());
                let rejection = Rejection::new(Problem::Repeated { first_line }, hint);
                self.add_finding(&location, &raw.name, "", rejection);
            }
            if let Some(position) = self.section_position(role, &raw.name, &location) {
                self.add_pairs(role, &file, position, raw);
            }
        }
    }

    /// Returns the position of the merged section for a header, and adds the section if necessary.
    fn section_position(
        &mut self,
        role: LayerRole,
        header: &Arc<str>,
        location: &Location,
    ) -> Option<usize> {
        if let Some(position) = self.positions.get(header) {
            return Some(*position);
        }
        let (schema, id) = match resolve_header(header) {
            Ok(resolved) => resolved,
            Err(rejection) => {
                self.add_finding(location, header, "", rejection);
                return None;
            }
        };
        if schema.is_named && role != LayerRole::Base {
            let rejection = self.unknown_named_section(schema, &id);
            self.add_finding(location, header, "", rejection);
            return None;
        }
        self.positions.insert(header.clone(), self.sections.len());
        self.sections.push(MergedSection {
            schema,
            header: header.clone(),
            id,
            location: location.clone(),
            entries: BTreeMap::new(),
        });
        Some(self.sections.len() - 1)
    }

    /// Rejects a named section that the base file does not have.
    fn unknown_named_section(&self, schema: &'static SectionSchema, id: &str) -> Rejection {
        let known = self
            .sections
            .iter()
            .filter(|s| s.schema.name == schema.name);
        let hint = nearest(id, known.map(|s| &*s.id)).map(did_you_mean);
        let problem = Problem::UnknownName {
            section: schema.name,
            found: id.to_owned(),
        };
        let base_only_hint = || "only the base file adds sections with a name".to_owned();
        Rejection::new(problem, hint.unwrap_or_else(base_only_hint))
    }

    fn add_pairs(&mut self, role: LayerRole, file: &Arc<str>, position: usize, raw: RawSection) {
        let mut first_lines: HashMap<Arc<str>, usize> = HashMap::new();
        for pair in raw.pairs {
            let location = Location {
                file: file.clone(),
                line: pair.line,
            };
            if let Some(first_line) = first_lines.get(&pair.key) {
                let first_line = *first_line;
                let rejection = Rejection::new(Problem::Repeated { first_line }, None);
                self.add_finding(&location, &raw.name, &pair.key, rejection);
                continue;
            }
            first_lines.insert(pair.key.clone(), pair.line);
            self.add_pair(role, position, &raw.name, location, &pair);
        }
    }

    fn add_pair(
        &mut self,
        role: LayerRole,
        position: usize,
        header: &Arc<str>,
        location: Location,
        pair: &RawPair,
    ) {
        let schema = self.sections[position].schema;
        let key = match resolve_key(schema, &pair.key) {
            Ok(key) => key,
            Err(rejection) => return self.add_finding(&location, header, &pair.key, rejection),
        };
        if role == LayerRole::Overlay && key.scope == Scope::Fleet {
            let hint = Some("it holds at every site; set it in the base file".to_owned());
            return self.add_finding(
                &location,
                header,
                &pair.key,
                Rejection::new(Problem::BaseOnly, hint),
            );
        }
        let value = match check_value(&key.kind, &pair.value) {
            Ok(value) => Some(value),
            Err(rejection) => {
                self.add_finding(&location, header, &pair.key, rejection);
                None
            }
        };
        let entry = Entry {
            location,
            is_default: false,
            value,
        };
        self.sections[position].entries.insert(key.name, entry);
    }

    /// Adds missing sections that take no name, and defaults of missing keys.
    pub(super) fn add_defaults(&mut self, base_file: &Arc<str>) {
        let location = Location {
            file: base_file.clone(),
            line: 1,
        };
        for schema in SECTIONS.iter().filter(|schema| !schema.is_named) {
            self.section_position(LayerRole::Base, &schema.name.into(), &location);
        }
        let mut missing = Vec::new();
        for section in &mut self.sections {
            for key in section.schema.keys {
                if section.entries.contains_key(key.name) {
                    continue;
                }
                match default_entry(key, &section.location) {
                    Some(entry) => {
                        section.entries.insert(key.name, entry);
                    }
                    None => missing.push((section.location.clone(), section.header.clone(), key)),
                }
            }
        }
        for (location, header, key) in missing {
            let expected = key.kind.expected();
            let hint = Some(format!("add `{} = ...` below [{header}]", key.name));
            self.add_finding(
                &location,
                &header,
                key.name,
                Rejection::new(Problem::Missing { expected }, hint),
            );
        }
    }
}

/// Returns the entry of a missing key; `None` if the key is mandatory.
fn default_entry(key: &'static KeySchema, location: &Location) -> Option<Entry> {
    let value = match key.fallback {
        Fallback::Mandatory => return None,
        Fallback::Unset => None,
        Fallback::Value(text) => Some(
            check_value(&key.kind, text).expect("the schema's defaults lie within its own ranges"),
        ),
    };
    Some(Entry {
        location: location.clone(),
        is_default: true,
        value,
    })
}

/// Resolves a header to its schema and the name after the first dot.
fn resolve_header(header: &str) -> Result<(&'static SectionSchema, Arc<str>), Rejection> {
    let (kind, id) = match header.split_once('.') {
        Some((kind, id)) => (kind, Some(id)),
        None => (header, None),
    };
    let unknown = |hint| {
        let found = header.to_owned();
        Rejection::new(Problem::UnknownSection { found }, hint)
    };
    let Some(schema) = schema::section(kind) else {
        let suggestion = nearest(kind, SECTIONS.iter().map(|s| s.name));
        return Err(unknown(suggestion.map(did_you_mean)));
    };
    match (schema.is_named, id) {
        (true, Some(id)) => Ok((schema, check_name(id)?)),
        (false, None) => Ok((schema, "".into())),
        (true, None) => Err(unknown(Some(format!("write [{kind}.NAME]")))),
        (false, Some(_)) => Err(unknown(Some(format!("write [{kind}], it takes no name")))),
    }
}

fn resolve_key(
    schema: &'static SectionSchema,
    name: &str,
) -> Result<&'static KeySchema, Rejection> {
    if let Some(key) = schema.key(name) {
        return Ok(key);
    }
    let keys = || schema.keys.iter().map(|key| key.name);
    let hint = match nearest(name, keys()).or_else(|| keys().find(|k| k.starts_with(name))) {
        Some(suggestion) => did_you_mean(suggestion),
        None => format!("known keys: {}", keys().collect::<Vec<_>>().join(", ")),
    };
    let found = name.to_owned();
    Err(Rejection::new(Problem::UnknownKey { found }, hint))
}
