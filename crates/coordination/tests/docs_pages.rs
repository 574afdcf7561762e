//! Checks that the tests, files and notes that the pages refer to exist.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

const ROOT: &str = "../..";
const TEST_NAME_SEPARATOR: &str = "::";

/// Guards against a test that is renamed or removed while the page of proofs still refers to it.
#[test]
fn every_test_named_as_a_proof_exists() {
    let page = read(&root().join("docs/PROOFS.md"));
    let sources: Vec<String> = files(&root().join("crates"), "rs")
        .iter()
        .filter(|path| path.components().any(|part| part.as_os_str() == "tests"))
        .map(|path| read(path))
        .collect();
    let names: Vec<&str> = quoted(&page).filter_map(test_name).collect();
    assert!(names.len() > 20, "the page names tests as `file.rs::name`");
    for name in names {
        let definition = format!("fn {name}(");
        let exists = sources.iter().any(|source| source.contains(&definition));
        assert!(
            exists,
            "docs/PROOFS.md names {name}, and no test has that name"
        );
    }
}

/// Guards against a design note that is missing from the index, so that readers don't find it.
#[test]
fn every_design_note_is_in_the_index() {
    let notes = root().join("docs/design");
    let index = read(&notes.join("README.md"));
    for note in files(&notes, "md") {
        let name = note.file_name().unwrap().to_str().unwrap();
        let listed = name == "README.md" || index.contains(&format!("]({name})"));
        assert!(listed, "docs/design/README.md does not list {name}");
    }
}

/// Guards against dead links, which stop an operator who follows them during an incident.
#[test]
fn every_link_between_pages_has_a_target() {
    let mut pages = files(&root().join("docs"), "md");
    pages.push(root().join("README.md"));
    pages.push(root().join("config/README.md"));
    for page in pages {
        let text = read(&page);
        let folder = page.parent().unwrap();
        for target in links(&text) {
            assert!(folder.join(target).exists(), "{}: {target}", page.display());
        }
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(ROOT)
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn files(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(files(&path, extension));
        } else if path.extension().is_some_and(|ending| ending == extension) {
            found.push(path);
        }
    }
    found
}

/// Returns the texts in backticks.
fn quoted(page: &str) -> impl Iterator<Item = &str> {
    page.lines()
        .flat_map(|line| line.split('`').skip(1).step_by(2))
}

/// Returns the test name in `file.rs::name` and `::name`; other paths with `::` are paths of types.
fn test_name(quote: &str) -> Option<&str> {
    let (file, name) = quote.split_once(TEST_NAME_SEPARATOR)?;
    (file.is_empty() || file.ends_with(".rs")).then_some(name)
}

/// Returns the targets of links to other files, without the fragment after `#`.
fn links(page: &str) -> impl Iterator<Item = &str> {
    let targets = page.split("](").skip(1);
    let targets = targets.filter_map(|rest| rest.split(')').next());
    let files = targets.map(|target| target.split('#').next().unwrap_or_default());
    files.filter(|target| !target.is_empty() && !target.contains("://"))
}
