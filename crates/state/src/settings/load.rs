//! Loads settings from texts: all of them, or every finding.

use std::sync::Arc;

use super::Settings;
use super::assemble::assemble;
use super::checks::check_relations;
use super::error::SettingsError;
use super::layers::LayerRole;
use super::layers::Merged;
use super::layers::Place;
use super::lines::RawPair;
use super::lines::RawSection;
use super::lines::split;
use super::overrides::OVERRIDE_FILE;
use super::overrides::Override;

/// A text and the file name to report findings under.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// Content.
    pub text: &'a str,
    /// File name.
    pub name: &'a str,
}

/// The layers of one site's settings, lowest first.
#[derive(Debug, Clone, Copy)]
pub struct Layers<'a> {
    /// What holds everywhere.
    pub base: Source<'a>,
    /// What differs at the site.
    pub overlay: Option<Source<'a>>,
    /// What the command line sets; it may set every key.
    pub overrides: &'a [Override],
}

/// Loads a base text and the overlay of one site, each with its file name.
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
        base: Source {
            text: base_text,
            name: base_name,
        },
        overlay: overlay.map(|(text, name)| Source { text, name }),
        overrides: &[],
    })
}

/// Loads settings from all layers.
///
/// ```
/// use sedgeridge_state::settings::Layers;
/// use sedgeridge_state::settings::Override;
/// use sedgeridge_state::settings::Source;
/// use sedgeridge_state::settings::load_layers;
/// let layers = Layers {
///     base: Source { text: "[fleet]\nname = demo\n", name: "base.ini" },
///     overlay: None,
///     overrides: &[Override::parse("front.max_queue=512").unwrap()],
/// };
/// assert_eq!(load_layers(&layers).unwrap().front.max_queue, 512);
/// ```
pub fn load_layers(layers: &Layers<'_>) -> Result<Settings, Vec<SettingsError>> {
    merge(layers).map(|merged| assemble(&merged))
}

/// Merges and checks all layers.
pub(super) fn merge(layers: &Layers<'_>) -> Result<Merged, Vec<SettingsError>> {
    let mut merged = Merged::default();
    let base_file: Arc<str> = layers.base.name.into();
    add_text(&mut merged, LayerRole::Base, layers.base);
    if let Some(overlay) = layers.overlay {
        add_text(&mut merged, LayerRole::Overlay, overlay);
    }
    merged.add_layer(
        LayerRole::Overrides,
        &OVERRIDE_FILE.into(),
        override_sections(layers.overrides),
    );
    merged.fill_in(&base_file);
    check_relations(&mut merged);
    if merged.errors.is_empty() {
        return Ok(merged);
    }
    let overlay_name = layers.overlay.map(|overlay| overlay.name);
    let mut errors = merged.errors;
    errors.sort_by_key(|error| {
        (
            layer_rank(&error.file, layers.base.name, overlay_name),
            error.line,
        )
    });
    Err(errors)
}

fn add_text(merged: &mut Merged, role: LayerRole, source: Source<'_>) {
    let file: Arc<str> = source.name.into();
    let (sections, bad_lines) = split(source.text);
    for bad in bad_lines {
        let place = Place {
            file: file.clone(),
            line: bad.line,
        };
        merged.report(&place, &bad.section, &bad.key, (bad.problem, None));
    }
    merged.add_layer(role, &file, sections);
}

/// Turns each override into a section of one pair; its line is its position.
fn override_sections(overrides: &[Override]) -> Vec<RawSection> {
    let numbered = overrides.iter().enumerate();
    let sections = numbered.map(|(index, item)| RawSection {
        name: item.section.clone(),
        line: index + 1,
        pairs: vec![RawPair {
            key: item.key.clone(),
            value: item.value.to_string(),
            line: index + 1,
        }],
    });
    sections.collect()
}

fn layer_rank(file: &str, base: &str, overlay: Option<&str>) -> usize {
    if file == base {
        0
    } else if Some(file) == overlay {
        1
    } else {
        2
    }
}
