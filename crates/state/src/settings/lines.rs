//! Splits an INI text into sections and pairs with line numbers.
//!
//! rust-ini keeps no line numbers and stops at the first syntax error, but operators need all
//! errors of a file with their lines. Here rust-ini therefore parses one line at a time. The
//! alternative, searching for the line of a key after parsing the whole file, needs a second parser
//! that may disagree with the first. As a consequence, a value cannot span lines; none needs to.

use std::sync::Arc;

use ini::Ini;
use ini::ParseOption;

use super::error::Problem;

/// Role of a layer, which determines the keys that it may set.
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
    pub(crate) malformed_lines: Vec<MalformedLine>,
}

/// One section header and the pairs below it, up to the next header.
#[derive(Debug)]
pub(crate) struct RawSection {
    pub(crate) name: Arc<str>,
    pub(crate) line: usize,
    pub(crate) pairs: Vec<RawPair>,
}

/// One `key = value` pair.
#[derive(Debug)]
pub(crate) struct RawPair {
    pub(crate) key: Arc<str>,
    pub(crate) value: Arc<str>,
    pub(crate) line: usize,
}

/// A line with a syntax error, or a pair outside any section.
#[derive(Debug)]
pub(crate) struct MalformedLine {
    pub(crate) line: usize,
    pub(crate) section: Arc<str>,
    pub(crate) key: Arc<str>,
    pub(crate) problem: Problem,
}

enum Line {
    Blank,
    Section(Arc<str>),
    Pair(RawPair),
    Malformed,
}

/// Splits a text into sections, in the order of the text and including repeated ones.
pub(crate) fn split_sections(text: &str) -> (Vec<RawSection>, Vec<MalformedLine>) {
    let mut sections: Vec<RawSection> = Vec::new();
    let mut malformed_lines = Vec::new();
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
            (Line::Pair(pair), None) => malformed_lines.push(MalformedLine {
                line,
                section: current,
                key: pair.key,
                problem: Problem::OutsideSection,
            }),
            (Line::Malformed, _) => malformed_lines.push(MalformedLine {
                line,
                section: current,
                key: "".into(),
                problem: Problem::Syntax {
                    found: content.trim().to_owned(),
                },
            }),
        }
    }
    (sections, malformed_lines)
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
        return Line::Malformed;
    };
    // rust-ini returns a section for pairs without a header first, so a header is the last section.
    match ini.iter().next_back() {
        Some((Some(name), pairs)) if pairs.is_empty() => Line::Section(name.into()),
        Some((None, pairs)) => match pairs.iter().next() {
            Some((key, value)) => Line::Pair(RawPair {
                key: key.into(),
                value: value.into(),
                line,
            }),
            None => Line::Malformed,
        },
        _ => Line::Malformed,
    }
}
