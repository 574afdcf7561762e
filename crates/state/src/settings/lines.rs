//! Splits an INI text into sections and pairs, each with its line.
//!
//! rust-ini keeps no line numbers and stops at the first syntax error, while an operator wants
//! every error of a file at its line. So rust-ini parses one line at a time here. A search for
//! the line of a key after a whole-file parse was the other way weighed: it needs a second parser
//! that may disagree with the first. The price is that no value may span lines; none needs to.

use std::sync::Arc;

use ini::Ini;
use ini::ParseOption;

use super::error::Problem;

/// What a layer may set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LayerRole {
    Base,
    Overlay,
    Overrides,
}

/// One layer, split into sections.
#[derive(Debug)]
pub(crate) struct RawLayer {
    pub(crate) role: LayerRole,
    pub(crate) file: Arc<str>,
    pub(crate) sections: Vec<RawSection>,
    pub(crate) bad_lines: Vec<BadLine>,
}

/// One section header and the pairs below it, up to the next header.
#[derive(Debug)]
pub(crate) struct RawSection {
    pub(crate) name: Arc<str>,
    pub(crate) line: usize,
    pub(crate) pairs: Vec<RawPair>,
}

/// One `key = value`.
#[derive(Debug)]
pub(crate) struct RawPair {
    pub(crate) key: Arc<str>,
    pub(crate) value: Arc<str>,
    pub(crate) line: usize,
}

/// A line that could not be placed.
#[derive(Debug)]
pub(crate) struct BadLine {
    pub(crate) line: usize,
    pub(crate) section: Arc<str>,
    pub(crate) key: Arc<str>,
    pub(crate) problem: Problem,
}

enum Line {
    Blank,
    Section(Arc<str>),
    Pair(RawPair),
    Bad,
}

/// Splits a text. Sections come in the order of the text, repeated ones included.
pub(crate) fn split(text: &str) -> (Vec<RawSection>, Vec<BadLine>) {
    let mut sections: Vec<RawSection> = Vec::new();
    let mut bad_lines = Vec::new();
    let text = text.trim_start_matches('\u{feff}');
    for (index, content) in text.lines().enumerate() {
        let line = index + 1;
        let current = sections.last().map_or("".into(), |s| s.name.clone());
        match (parse_line(content, line), sections.last_mut()) {
            (Line::Blank, _) => {}
            (Line::Section(name), _) => sections.push(RawSection {
                name,
                line,
                pairs: Vec::new(),
            }),
            (Line::Pair(pair), Some(section)) => section.pairs.push(pair),
            (Line::Pair(pair), None) => bad_lines.push(BadLine {
                line,
                section: current,
                key: pair.key,
                problem: Problem::OutsideSection,
            }),
            (Line::Bad, _) => bad_lines.push(BadLine {
                line,
                section: current,
                key: "".into(),
                problem: Problem::Syntax {
                    found: content.trim().to_owned(),
                },
            }),
        }
    }
    (sections, bad_lines)
}

fn parse_line(content: &str, line: usize) -> Line {
    let content = content.trim();
    if content.is_empty() || content.starts_with(['#', ';']) {
        return Line::Blank;
    }
    let options = ParseOption {
        enabled_escape: false,
        ..ParseOption::default()
    };
    let Ok(ini) = Ini::load_from_str_opt(content, options) else {
        return Line::Bad;
    };
    // A header comes after the empty section that rust-ini keeps for pairs without one.
    match ini.iter().next_back() {
        Some((Some(name), pairs)) if pairs.is_empty() => Line::Section(name.into()),
        Some((None, pairs)) => match pairs.iter().next() {
            Some((key, value)) => Line::Pair(RawPair {
                key: key.into(),
                value: value.into(),
                line,
            }),
            None => Line::Bad,
        },
        _ => Line::Bad,
    }
}
