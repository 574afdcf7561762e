//! Formats findings in settings as JSON.

use sedgeridge_state::settings::SettingsError;
use serde::Serialize;

use crate::arguments::to_json;

#[derive(Debug, Serialize)]
struct Report<'a> {
    ok: bool,
    errors: Vec<Finding<'a>>,
}

#[derive(Debug, Serialize)]
struct Finding<'a> {
    file: &'a str,
    line: usize,
    section: &'a str,
    key: &'a str,
    message: String,
    hint: Option<&'a str>,
}

/// Returns the report for valid settings.
pub(crate) fn acceptance_json() -> String {
    to_json(&Report {
        ok: true,
        errors: Vec::new(),
    })
}

/// Returns the report with all findings in refused settings.
pub(crate) fn refusal_json(findings: &[SettingsError]) -> String {
    let errors = findings.iter().map(|finding| Finding {
        file: &finding.file,
        line: finding.line,
        section: &finding.section,
        key: &finding.key,
        message: finding.problem.to_string(),
        hint: finding.hint.as_deref(),
    });
    to_json(&Report {
        ok: false,
        errors: errors.collect(),
    })
}
