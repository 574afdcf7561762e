//! Loads settings from texts, and returns either all settings or all findings.

use std::sync::Arc;

use super::Settings;
use super::assemble::assemble;
use super::checks::check_relations;
use super::error::SettingsError;
use super::layers::MergedSettings;
use super::lines::LayerRole;
use super::lines::RawLayer;
use super::lines::RawPair;
use super::lines::RawSection;
use super::lines::split_sections;
use super::overrides::OVERRIDE_FILE_NAME;
use super::overrides::Override;

/// Text of a settings file and the file name for findings.
#[derive(Debug, Clone, Copy)]
pub struct SettingsFile<'a> {
    pub text: &'a str,
    pub name: &'a str,
}

/// The layers of one site's settings, lowest first.
#[derive(Debug, Clone, Copy)]
pub struct Layers<'a> {
    /// Settings that apply at every site.
    pub base: SettingsFile<'a>,
    /// Settings that differ at this site.
    pub overlay: Option<SettingsFile<'a>>,
    /// Settings from the command line, which may set every key.
    pub overrides: &'a [Override],
}

/// Loads settings from a base text and the overlay of one site, each with its file name.
///
/// ```
/// use sedgeridge_state::settings::load;
/// let settings = load("[fleet]\nname = demo\n", "base.ini", None).unwrap();
/// assert_eq!(settings.front.max_queue, 4096);
///
/// let errors = load("[fleet]\nnam = demo\n", "base.ini", None).unwrap_err();
/// assert_eq!(errors.len(), 2);
/// ```
pub fn load(
    base_text: &str,
    base_name: &str,
    overlay: Option<(&str, &str)>,
) -> Result<Settings, Vec<SettingsError>> {
    load_layers(&Layers {
        base: SettingsFile {
            text: base_text,
            name: base_name,
        },
        overlay: overlay.map(|(text, name)| SettingsFile { text, name }),
        overrides: &[],
    })
}

/// Loads settings from all layers.
///
/// ```
/// use sedgeridge_state::settings::Layers;
/// use sedgeridge_state::settings::Override;
/// use sedgeridge_state::settings::SettingsFile;
/// use sedgeridge_state::settings::load_layers;
/// let layers = Layers {
///     base: SettingsFile { text: "[fleet]\nname = demo\n", name: "base.ini" },
///     overlay: None,
///     overrides: &[Override::parse("front.max_queue=512").unwrap()],
/// };
/// assert_eq!(load_layers(&layers).unwrap().front.max_queue, 512);
/// ```
pub fn load_layers(layers: &Layers<'_>) -> Result<Settings, Vec<SettingsError>> {
    load_raw(raw_layers(layers))
}

/// Loads settings from layers that are already split, lowest first.
pub(crate) fn load_raw(layers: Vec<RawLayer>) -> Result<Settings, Vec<SettingsError>> {
    merge(layers).map(|merged| assemble(&merged))
}

/// Merges and checks all layers.
pub(super) fn merge(layers: Vec<RawLayer>) -> Result<MergedSettings, Vec<SettingsError>> {
    let mut merged = MergedSettings::default();
    let files: Vec<Arc<str>> = layers.iter().map(|layer| layer.file.clone()).collect();
    for layer in layers {
        merged.add_layer(layer);
    }
    merged.add_defaults(&files[0]);
    check_relations(&mut merged);
    if merged.errors.is_empty() {
        return Ok(merged);
    }
    let rank = |file: &Arc<str>| files.iter().position(|known| known == file);
    let mut errors = merged.errors;
    errors.sort_by_key(|error| (rank(&error.file), error.line));
    Err(errors)
}

/// Splits the texts of all layers into sections.
pub(super) fn raw_layers(layers: &Layers<'_>) -> Vec<RawLayer> {
    let mut raw = vec![text_layer(LayerRole::Base, layers.base)];
    raw.extend(
        layers
            .overlay
            .map(|overlay| text_layer(LayerRole::Overlay, overlay)),
    );
    raw.push(RawLayer {
        role: LayerRole::Overrides,
        file: OVERRIDE_FILE_NAME.into(),
        sections: override_sections(layers.overrides),
        malformed_lines: Vec::new(),
    });
    raw
}

fn text_layer(role: LayerRole, source: SettingsFile<'_>) -> RawLayer {
    let (sections, malformed_lines) = split_sections(source.text);
    RawLayer {
        role,
        file: source.name.into(),
        sections,
        malformed_lines,
    }
}

/// Converts each override to a section with one pair; the line number is its position.
fn override_sections(overrides: &[Override]) -> Vec<RawSection> {
    let numbered = overrides.iter().enumerate();
    let sections = numbered.map(|(index, item)| RawSection {
        name: item.section.clone(),
        line: index + 1,
        pairs: vec![RawPair {
            key: item.key.clone(),
            value: item.value.clone(),
            line: index + 1,
        }],
    });
    sections.collect()
}
