//! Merges the layers of settings: base file, overlay of one site, overrides.

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

/// Where something was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) file: Arc<str>,
    pub(super) line: usize,
}

/// A value and where it was written; `value` is empty when it was refused or stays unset.
#[derive(Debug)]
pub(super) struct Entry {
    /// The section's own place for a default.
    pub(super) place: Place,
    pub(super) is_default: bool,
    pub(super) value: Option<Value>,
}

/// One section after the merge.
#[derive(Debug)]
pub(super) struct MergedSection {
    pub(super) schema: &'static SectionSchema,
    pub(super) title: Arc<str>,
    /// Name after the dot, empty when the section has none.
    pub(super) id: Arc<str>,
    pub(super) place: Place,
    pub(super) entries: BTreeMap<&'static str, Entry>,
}

/// The merge so far, with every finding.
#[derive(Debug, Default)]
pub(super) struct Merged {
    pub(super) sections: Vec<MergedSection>,
    pub(super) errors: Vec<SettingsError>,
    positions: HashMap<Arc<str>, usize>,
}

impl Merged {
    /// Adds a finding.
    pub(super) fn report(
        &mut self,
        place: &Place,
        section: &Arc<str>,
        key: &str,
        rejection: Rejection,
    ) {
        self.errors.push(SettingsError {
            file: place.file.clone(),
            line: place.line,
            section: section.clone(),
            key: key.into(),
            problem: rejection.problem,
            hint: rejection.hint,
        });
    }

    /// Merges one layer over those before it.
    pub(super) fn add_layer(&mut self, layer: RawLayer) {
        let RawLayer { role, file, .. } = layer;
        for bad in layer.bad_lines {
            let place = Place {
                file: file.clone(),
                line: bad.line,
            };
            self.report(
                &place,
                &bad.section,
                &bad.key,
                Rejection::new(bad.problem, None),
            );
        }
        let mut first_lines: HashMap<Arc<str>, usize> = HashMap::new();
        for raw in layer.sections {
            let place = Place {
                file: file.clone(),
                line: raw.line,
            };
            let first_line = *first_lines.entry(raw.name.clone()).or_insert(raw.line);
            if role != LayerRole::Overrides && first_line != raw.line {
                let hint = Some("put the keys of a section below one header".to_owned());
                let rejection = Rejection::new(Problem::Repeated { first_line }, hint);
                self.report(&place, &raw.name, "", rejection);
            }
            if let Some(position) = self.position_for(role, &raw.name, &place) {
                self.add_pairs(role, &file, position, raw);
            }
        }
    }

    /// Finds or makes the merged section that a header stands for.
    fn position_for(&mut self, role: LayerRole, title: &Arc<str>, place: &Place) -> Option<usize> {
        if let Some(position) = self.positions.get(title) {
            return Some(*position);
        }
        let (schema, id) = match resolve_title(title) {
            Ok(resolved) => resolved,
            Err(rejection) => {
                self.report(place, title, "", rejection);
                return None;
            }
        };
        if schema.is_named && role != LayerRole::Base {
            let rejection = self.unknown_title(schema, &id);
            self.report(place, title, "", rejection);
            return None;
        }
        self.positions.insert(title.clone(), self.sections.len());
        self.sections.push(MergedSection {
            schema,
            title: title.clone(),
            id,
            place: place.clone(),
            entries: BTreeMap::new(),
        });
        Some(self.sections.len() - 1)
    }

    /// Explains a named section that the base file does not have.
    fn unknown_title(&self, schema: &'static SectionSchema, id: &str) -> Rejection {
        let known = self
            .sections
            .iter()
            .filter(|s| s.schema.name == schema.name);
        let hint = nearest(id, known.map(|s| &*s.id)).map(did_you_mean);
        let problem = Problem::UnknownName {
            section: schema.name,
            found: id.to_owned(),
        };
        let only_base = || "only the base file adds sections with a name".to_owned();
        Rejection::new(problem, hint.unwrap_or_else(only_base))
    }

    fn add_pairs(&mut self, role: LayerRole, file: &Arc<str>, position: usize, raw: RawSection) {
        let mut first_lines: HashMap<Arc<str>, usize> = HashMap::new();
        for pair in raw.pairs {
            let place = Place {
                file: file.clone(),
                line: pair.line,
            };
            if let Some(first_line) = first_lines.get(&pair.key) {
                let first_line = *first_line;
                let rejection = Rejection::new(Problem::Repeated { first_line }, None);
                self.report(&place, &raw.name, &pair.key, rejection);
                continue;
            }
            first_lines.insert(pair.key.clone(), pair.line);
            self.add_pair(role, position, &raw.name, place, &pair);
        }
    }

    fn add_pair(
        &mut self,
        role: LayerRole,
        position: usize,
        title: &Arc<str>,
        place: Place,
        pair: &RawPair,
    ) {
        let schema = self.sections[position].schema;
        let key = match resolve_key(schema, &pair.key) {
            Ok(key) => key,
            Err(rejection) => return self.report(&place, title, &pair.key, rejection),
        };
        if role == LayerRole::Overlay && key.scope == Scope::Fleet {
            let hint = Some("it holds at every site; set it in the base file".to_owned());
            return self.report(
                &place,
                title,
                &pair.key,
                Rejection::new(Problem::BaseOnly, hint),
            );
        }
        let value = match check_value(&key.kind, &pair.value) {
            Ok(value) => Some(value),
            Err(rejection) => {
                self.report(&place, title, &pair.key, rejection);
                None
            }
        };
        let entry = Entry {
            place,
            is_default: false,
            value,
        };
        self.sections[position].entries.insert(key.name, entry);
    }

    /// Adds what is absent: sections without a name, and defaults of keys.
    pub(super) fn fill_in(&mut self, base_file: &Arc<str>) {
        let place = Place {
            file: base_file.clone(),
            line: 1,
        };
        for schema in SECTIONS.iter().filter(|schema| !schema.is_named) {
            self.position_for(LayerRole::Base, &schema.name.into(), &place);
        }
        let mut missing = Vec::new();
        for section in &mut self.sections {
            for key in section.schema.keys {
                if section.entries.contains_key(key.name) {
                    continue;
                }
                match default_entry(key, &section.place) {
                    Some(entry) => {
                        section.entries.insert(key.name, entry);
                    }
                    None => missing.push((section.place.clone(), section.title.clone(), key)),
                }
            }
        }
        for (place, title, key) in missing {
            let expected = key.kind.expected();
            let hint = Some(format!("add `{} = ...` below [{title}]", key.name));
            self.report(
                &place,
                &title,
                key.name,
                Rejection::new(Problem::Missing { expected }, hint),
            );
        }
    }
}

/// Makes the entry of an absent key; none when the key is mandatory.
fn default_entry(key: &'static KeySchema, place: &Place) -> Option<Entry> {
    let value = match key.fallback {
        Fallback::Mandatory => return None,
        Fallback::Unset => None,
        Fallback::Value(text) => Some(
            check_value(&key.kind, text).expect("the schema's defaults lie within its own ranges"),
        ),
    };
    Some(Entry {
        place: place.clone(),
        is_default: true,
        value,
    })
}

/// Splits a header into its schema and the name after the first dot.
fn resolve_title(title: &str) -> Result<(&'static SectionSchema, Arc<str>), Rejection> {
    let (kind, id) = match title.split_once('.') {
        Some((kind, id)) => (kind, Some(id)),
        None => (title, None),
    };
    let unknown = |hint| {
        let found = title.to_owned();
        Rejection::new(Problem::UnknownSection { found }, hint)
    };
    let Some(schema) = schema::section(kind) else {
        let near = nearest(kind, SECTIONS.iter().map(|s| s.name));
        return Err(unknown(near.map(did_you_mean)));
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
        Some(near) => did_you_mean(near),
        None => format!("known keys: {}", keys().collect::<Vec<_>>().join(", ")),
    };
    let found = name.to_owned();
    Err(Rejection::new(Problem::UnknownKey { found }, hint))
}
