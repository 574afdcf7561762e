//! docs/METRICS.md and the metric catalogue agree with the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use sedgeridge_transport::metric_catalogue::METRICS;
use sedgeridge_transport::metric_catalogue::metrics_page;

fn crates_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn read_page(name: &str) -> String {
    let path = crates_directory().join("../docs").join(name);
    fs::read_to_string(path).unwrap()
}

#[test]
fn the_metrics_page_is_generated_from_the_code() {
    let command = "cargo run -p sedgeridge-transport --example catalogue";
    assert!(
        read_page("METRICS.md") == metrics_page(),
        "docs/METRICS.md differs from `{command}`"
    );
}

#[test]
fn the_catalogue_lists_exactly_the_metrics_in_the_sources() {
    let mut found = BTreeSet::new();
    for entry in fs::read_dir(crates_directory()).unwrap() {
        collect_metrics(&entry.unwrap().path().join("src"), &mut found);
    }
    let listed: BTreeSet<String> = METRICS.iter().map(|m| m.name.to_owned()).collect();
    assert_eq!(found, listed);
}

fn collect_metrics(path: &Path, found: &mut BTreeSet<String>) {
    let Ok(entries) = fs::read_dir(path) else {
        return;
    };
    for entry in entries {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_metrics(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).unwrap();
            for kind in ["counter!(", "gauge!(", "histogram!("] {
                let uses = text.split(kind).skip(1);
                let names = uses.filter_map(|use_| use_.trim_start().strip_prefix('"'));
                found.extend(names.filter_map(|name| Some(name.split_once('"')?.0.to_owned())));
            }
        }
    }
}
