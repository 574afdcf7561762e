//! Tests of the loader and of documents with random input from a fixed seed.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::config_document::Layer;
use sedgeridge_state::settings::load;

use crate::refusal::BASE;
use crate::refusal::BASE_FILE_NAME;
use crate::refusal::OVERLAY_FILE_NAME;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// A base file with a few lines removed, duplicated, replaced by others or followed by noise.
fn damaged_base() -> impl Strategy<Value = String> {
    let damage = (0_usize..60, 0_usize..60, 0_u8..4, "[ -~]{0,12}");
    proptest::collection::vec(damage, 1..6).prop_map(|damages| {
        let mut lines: Vec<String> = BASE.lines().map(str::to_owned).collect();
        for (at, from, kind, noise) in damages {
            let (at, from) = (at % lines.len(), from % lines.len());
            match kind {
                0 => drop(lines.remove(at)),
                1 => lines.insert(at, lines[from].clone()),
                2 => lines[at] = lines[from].clone(),
                _ => lines[at].push_str(&noise),
            }
        }
        lines.join("\n")
    })
}

fn layer() -> impl Strategy<Value = Layer> {
    let word = || "[abc]".prop_map(Arc::<str>::from);
    let pairs = proptest::collection::btree_map(word(), word(), 0..3);
    proptest::collection::btree_map(word(), pairs, 0..4)
}

fn document() -> impl Strategy<Value = ConfigDocument> {
    let site = "[abc]".prop_map(Arc::<str>::from);
    let overlays = proptest::collection::btree_map(site, layer(), 0..3);
    (layer(), overlays).prop_map(|(base, overlays)| ConfigDocument {
        base,
        overlays: without_empty_overlays(overlays),
    })
}

/// Removes empty overlays, which a document never has.
fn without_empty_overlays(mut overlays: BTreeMap<Arc<str>, Layer>) -> BTreeMap<Arc<str>, Layer> {
    overlays.retain(|_, layer| !layer.is_empty());
    overlays
}

#[test]
fn damaged_files_load_or_report_existing_lines() {
    let both = (damaged_base(), damaged_base());
    let result = runner(2_000).run(&both, |(base, overlay)| {
        let errors = load(&base, BASE_FILE_NAME, Some((&overlay, OVERLAY_FILE_NAME)));
        for error in errors.err().into_iter().flatten() {
            let text = if &*error.file == BASE_FILE_NAME {
                &base
            } else {
                &overlay
            };
            let lines = text.lines().count().max(1);
            prop_assert!((1..=lines).contains(&error.line), "{error}");
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn arbitrary_text_is_refused() {
    let result = runner(2_000).run(&"(?s).{0,200}", |text| {
        prop_assert!(load(&text, BASE_FILE_NAME, None).is_err());
        Ok(())
    });
    result.unwrap();
}

#[test]
fn edits_turn_any_document_into_any_other() {
    let result = runner(2_000).run(&(document(), document()), |(mut from, to)| {
        let edits = from.edits_to(&to);
        prop_assert_eq!(edits.is_empty(), from == to);
        from.apply(&edits);
        prop_assert_eq!(from, to);
        Ok(())
    });
    result.unwrap();
}
