//! A complete configuration as data: the base and the overlay of each site. Documents are compared
//! and edited section by section.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::settings::Settings;
use crate::settings::SettingsError;
use crate::settings::lines::LayerRole;
use crate::settings::lines::RawLayer;
use crate::settings::lines::RawPair;
use crate::settings::lines::RawSection;
use crate::settings::lines::split_sections;
use crate::settings::load_raw;

/// File name reported for findings in an accepted base.
const BASE_FILE_NAME: &str = "(configuration)";

/// Keys and values of one section, sorted by key.
pub type Pairs = BTreeMap<Arc<str>, Arc<str>>;

/// One layer: sections by header.
pub type Layer = BTreeMap<Arc<str>, Pairs>;

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Settings that apply at every site.
    pub base: Layer,
    /// Settings that differ from the base, by site.
    pub overlays: BTreeMap<Arc<str>, Layer>,
}

/// Replacement or removal of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionEdit {
    /// Site of the overlay; `None` for the base.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub site: Option<Arc<str>>,
    /// Header of the section.
    pub section: Arc<str>,
    /// New keys and values; `None` removes the section.
    pub pairs: Option<Pairs>,
}

impl ConfigDocument {
    /// Creates a document from the texts of a base file and of overlays by site.
    ///
    /// The texts must have passed [`crate::settings::load`]; malformed lines are skipped here.
    ///
    /// ```
    /// use sedgeridge_state::config_document::ConfigDocument;
    /// let document = ConfigDocument::from_texts("[fleet]\nname = demo\n", &[]);
    /// assert_eq!(&*document.base["fleet"]["name"], "demo");
    /// ```
    pub fn from_texts(base: &str, overlays: &[(&str, &str)]) -> Self {
        let overlays = overlays
            .iter()
            .map(|(site, text)| (Arc::from(*site), parse_layer(text)))
            .filter(|(_, layer)| !layer.is_empty());
        Self {
            base: parse_layer(base),
            overlays: overlays.collect(),
        }
    }

    /// Loads the settings of a site, from the base alone if the site has no overlay.
    ///
    /// ```
    /// use sedgeridge_state::config_document::ConfigDocument;
    /// let document = ConfigDocument::from_texts("[fleet]\nname = demo\n", &[]);
    /// assert_eq!(document.settings("north").unwrap().fleet.name, "demo");
    /// ```
    pub fn settings(&self, site: &str) -> Result<Settings, Vec<SettingsError>> {
        let mut layers = vec![to_raw_layer(LayerRole::Base, BASE_FILE_NAME, &self.base)];
        if let Some(overlay) = self.overlays.get(site) {
            let name = format!("(configuration of {site})");
            layers.push(to_raw_layer(LayerRole::Overlay, &name, overlay));
        }
        load_raw(layers)
    }

    /// Lists the edits that turn this document into another, in a fixed order.
    ///
    /// ```
    /// use sedgeridge_state::config_document::ConfigDocument;
    /// let old = ConfigDocument::from_texts("[fleet]\nname = demo\n", &[]);
    /// let new = ConfigDocument::from_texts("[fleet]\nname = other\n", &[]);
    /// let mut edited = old.clone();
    /// edited.apply(&old.edits_to(&new));
    /// assert_eq!(edited, new);
    /// ```
    pub fn edits_to(&self, target: &Self) -> Vec<SectionEdit> {
        let empty = Layer::new();
        let mut edits = layer_edits(None, &self.base, &target.base);
        for (site, layer) in &target.overlays {
            let before = self.overlays.get(site).unwrap_or(&empty);
            edits.extend(layer_edits(Some(site), before, layer));
        }
        for (site, layer) in &self.overlays {
            if !target.overlays.contains_key(site) {
                edits.extend(layer_edits(Some(site), layer, &empty));
            }
        }
        edits
    }

    /// Applies edits in order.
    ///
    /// ```
    /// use sedgeridge_state::config_document::ConfigDocument;
    /// use sedgeridge_state::config_document::SectionEdit;
    /// let mut document = ConfigDocument::from_texts("[fleet]\nname = demo\n", &[]);
    /// document.apply(&[SectionEdit { site: None, section: "fleet".into(), pairs: None }]);
    /// assert!(document.base.is_empty());
    /// ```
    pub fn apply(&mut self, edits: &[SectionEdit]) {
        for edit in edits {
            let layer = match &edit.site {
                Some(site) => self.overlays.entry(site.clone()).or_default(),
                None => &mut self.base,
            };
            match &edit.pairs {
                Some(pairs) => layer.insert(edit.section.clone(), pairs.clone()),
                None => layer.remove(&edit.section),
            };
        }
        self.overlays.retain(|_, layer| !layer.is_empty());
    }
}

fn parse_layer(text: &str) -> Layer {
    let mut layer = Layer::new();
    let (sections, _) = split_sections(text);
    for section in sections {
        let pairs = section.pairs.into_iter();
        let pairs = pairs.map(|pair| (pair.key, pair.value));
        layer.entry(section.name).or_default().extend(pairs);
    }
    layer
}

/// Converts a layer directly, because every host would otherwise have to format and parse it at
/// every change. Lines are numbered as in the layer's text form.
fn to_raw_layer(role: LayerRole, file: &str, layer: &Layer) -> RawLayer {
    let mut lines = 1..;
    let mut next_line = || lines.next().expect("lines have no end");
    let sections = layer.iter().map(|(name, pairs)| {
        let line = next_line();
        let pairs = pairs.iter().map(|(key, value)| RawPair {
            key: key.clone(),
            value: value.clone(),
            line: next_line(),
        });
        RawSection {
            name: name.clone(),
            line,
            pairs: pairs.collect(),
        }
    });
    RawLayer {
        role,
        file: file.into(),
        sections: sections.collect(),
        malformed_lines: Vec::new(),
    }
}

fn layer_edits(site: Option<&Arc<str>>, before: &Layer, after: &Layer) -> Vec<SectionEdit> {
    let edit = |section: &Arc<str>, pairs: Option<&Pairs>| SectionEdit {
        site: site.cloned(),
        section: section.clone(),
        pairs: pairs.cloned(),
    };
    let replaced = after
        .iter()
        .filter(|(section, pairs)| before.get(*section) != Some(*pairs))
        .map(|(section, pairs)| edit(section, Some(pairs)));
    let removed = before
        .keys()
        .filter(|section| !after.contains_key(*section))
        .map(|section| edit(section, None));
    replaced.chain(removed).collect()
}
