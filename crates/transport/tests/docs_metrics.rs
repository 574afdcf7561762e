//! The operators' pages name every metric that is published.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const SOURCES: &str = "src";
const PAGES: [&str; 2] = ["../../docs/OPERATIONS.md", "../../docs/coordinator.md"];
const PREFIX: &str = "sedgeridge_";

/// An operator finds a counter that rises and no page that says what it means.
#[test]
fn every_metric_is_on_a_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let pages = PAGES.map(|page| read(&root.join(page))).concat();
    let named = names_between(&pages, '`');
    let published = published(&root.join(SOURCES));
    assert!(published.len() > 10, "metrics are named by literals");
    let missing: Vec<&String> = published.difference(&named).collect();
    assert!(missing.is_empty(), "on no page: {missing:?}");
}

fn published(folder: &Path) -> BTreeSet<String> {
    let sources = fs::read_dir(folder).unwrap();
    let sources = sources.map(|entry| read(&entry.unwrap().path()));
    sources
        .flat_map(|source| names_between(&source, '"'))
        .collect()
}

/// Returns the metric names that begin right after a delimiter, up to their labels.
fn names_between(text: &str, delimiter: char) -> BTreeSet<String> {
    let parts = text.split(delimiter);
    let names = parts.filter(|part| part.starts_with(PREFIX));
    let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
    names
        .map(|name| name.chars().take_while(|c| is_name(*c)).collect())
        .collect()
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}
