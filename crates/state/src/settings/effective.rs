//! The effective settings in the form shown to operators: every key with its value and origin.

use std::fmt;

use serde::Serialize;

use super::error::SettingsError;
use super::layers::Entry;
use super::layers::MergedSection;
use super::load::Layers;
use super::load::merge;
use super::load::raw_layers;
use super::schema::SECTIONS;

/// All sections of one site's settings. The `Display` output is a valid base file.
#[derive(Debug, Serialize)]
pub struct EffectiveSettings {
    /// Sections in the order of the reference page.
    pub sections: Vec<EffectiveSection>,
}

/// One section with its values.
#[derive(Debug, Serialize)]
pub struct EffectiveSection {
    /// Header, such as `account.crew-07`.
    pub section: String,
    /// Keys that have a value.
    pub entries: Vec<EffectiveEntry>,
}

/// One key with its value and origin.
#[derive(Debug, Serialize)]
pub struct EffectiveEntry {
    pub key: &'static str,
    pub value: String,
    /// `FILE:LINE`, or `default`.
    pub origin: String,
}

/// Merges and checks all layers, and returns every value with its origin.
///
/// ```
/// use sedgeridge_state::settings::Layers;
/// use sedgeridge_state::settings::SettingsFile;
/// use sedgeridge_state::settings::effective::effective_settings;
/// let layers = Layers {
///     base: SettingsFile { text: "[fleet]\nname = demo\n", name: "base.ini" },
///     overlay: None,
///     overrides: &[],
/// };
/// let text = effective_settings(&layers).unwrap().to_string();
/// assert!(text.starts_with("[fleet]\n# base.ini:2\nname = demo\n"));
/// ```
pub fn effective_settings(layers: &Layers<'_>) -> Result<EffectiveSettings, Vec<SettingsError>> {
    let merged = merge(raw_layers(layers))?;
    let mut sections = Vec::new();
    for schema in SECTIONS {
        let of_this_kind = merged
            .sections
            .iter()
            .filter(|s| s.schema.name == schema.name);
        sections.extend(of_this_kind.map(effective_section));
    }
    Ok(EffectiveSettings { sections })
}

fn effective_section(section: &MergedSection) -> EffectiveSection {
    let keys = section.schema.keys.iter();
    let entries = keys.filter_map(|key| effective_entry(key.name, section.entries.get(key.name)?));
    EffectiveSection {
        section: section.header.to_string(),
        entries: entries.collect(),
    }
}

fn effective_entry(key: &'static str, entry: &Entry) -> Option<EffectiveEntry> {
    let origin = if entry.is_default {
        "default".to_owned()
    } else {
        format!("{}:{}", entry.location.file, entry.location.line)
    };
    Some(EffectiveEntry {
        key,
        value: entry.value.as_ref()?.to_string(),
        origin,
    })
}

impl fmt::Display for EffectiveSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, section) in self.sections.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            writeln!(f, "[{}]", section.section)?;
            for entry in &section.entries {
                writeln!(f, "# {}\n{} = {}", entry.origin, entry.key, entry.value)?;
            }
        }
        Ok(())
    }
}
