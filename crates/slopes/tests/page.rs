//! The capacity page, its plots, and the text form of samples.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use sedgeridge_slopes::figures::Figures;
use sedgeridge_slopes::fit::Fit;
use sedgeridge_slopes::page;
use sedgeridge_slopes::roles;
use sedgeridge_slopes::sample::Sample;
use sedgeridge_slopes::series::Series;
use sedgeridge_slopes::svg;

const SEED: u64 = 7;

/// Series of every metric of every bench, with each value equal to its size.
fn made_up_figures() -> Figures {
    let mut figures = Figures::default();
    for bench in roles::BENCHES {
        let points: Vec<(f64, f64)> = bench.sizes.iter().map(|n| (*n as f64, *n as f64)).collect();
        let series = bench.metrics.iter().map(|metric| Series {
            bench: bench.name,
            metric: metric.name,
            title: metric.title,
            size_title: bench.size_title,
            fit: Fit::best(&points),
            points: points.clone(),
            target: bench.target,
        });
        figures.extend(series.collect());
    }
    figures
}

fn committed_page() -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    fs::read_to_string(file).expect("the page is part of the repository")
}

#[test]
fn the_committed_page_has_every_marker() {
    let page = page::rewrite(&committed_page(), &made_up_figures(), SEED);
    let page = page.expect("every marker is there");
    assert!(page.contains("seed 7"));
}

#[test]
fn rewriting_twice_changes_nothing_more() {
    let figures = made_up_figures();
    let once = page::rewrite(&committed_page(), &figures, SEED).expect("markers");
    let twice = page::rewrite(&once, &figures, SEED).expect("markers");
    assert_eq!(once, twice);
}

#[test]
fn every_plot_of_the_committed_page_is_committed() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let page = committed_page();
    let links = page
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split_once(')'));
    let plots: BTreeSet<&str> = links
        .map(|(link, _)| link)
        .filter(|link| link.ends_with(".svg"))
        .collect();
    assert!(!plots.is_empty());
    for plot in plots {
        assert!(docs.join(plot).exists(), "{plot}");
    }
}

#[test]
fn a_page_without_a_marker_is_refused() {
    let error = page::replace_part("no marker", "run", "").unwrap_err();
    assert!(error.to_string().contains("slopes:begin run"), "{error}");
}

#[test]
fn figures_are_complete_only_with_every_bench() {
    assert!(made_up_figures().is_complete());
    assert!(!Figures::default().is_complete());
}

#[test]
fn every_bench_has_four_sizes_and_a_name_of_its_own() {
    let names: BTreeSet<&str> = roles::BENCHES.iter().map(|bench| bench.name).collect();
    assert_eq!(names.len(), roles::BENCHES.len());
    for bench in roles::BENCHES {
        assert!(bench.sizes.len() >= 4 && bench.quick_sizes.len() >= 4);
        assert!(roles::find(bench.name).is_some());
    }
}

#[test]
fn a_plot_shows_each_point() {
    let figures = made_up_figures();
    let series = &figures.series()[0];
    let plot = svg::draw(series);
    assert_eq!(plot.matches("<circle").count(), series.points.len());
    assert!(plot.starts_with("<svg") && plot.ends_with("</svg>\n"));
}

#[test]
fn lines_that_are_no_values_are_left_out() {
    let sample = Sample::from_lines("bytes 12\nwarning: slow\n\n");
    assert_eq!(sample.get("bytes"), Some(12.0));
    assert_eq!(sample.get("warning:"), None);
}
