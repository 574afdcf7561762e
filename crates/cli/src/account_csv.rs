//! Reads new client accounts from CSV: `name,weight,key_sha256`, one per line.
//!
//! None of the three may hold a comma or a quote, so a line is split at its commas. A first line
//! that names the columns is skipped, as are blank lines.

use std::collections::HashMap;
use std::sync::Arc;

use sedgeridge_state::config_document::Layer;
use sedgeridge_state::config_document::Pairs;
use sedgeridge_state::settings::Problem;
use sedgeridge_state::settings::Rejection;
use sedgeridge_state::settings::SettingsError;
use sedgeridge_state::settings::check_name;
use sedgeridge_state::settings::check_setting;

/// Column names, in order.
const HEADER: &str = "name,weight,key_sha256";
/// Setting that holds the key digest, which must be unique.
const DIGEST_KEY: &str = "key_sha256";

/// State of an import: sections read so far, owners of key digests, and findings.
#[derive(Debug)]
struct Import<'a> {
    file: Arc<str>,
    digest_owners: HashMap<Arc<str>, Arc<str>>,
    accepted: &'a Layer,
    sections: Layer,
    errors: Vec<SettingsError>,
}

/// Returns the sections of the new accounts, or all findings. `accepted` is the accepted base
/// layer.
///
/// ```
/// use sedgeridge_cli::account_csv::read_accounts;
/// let errors = read_accounts("crew-07,0,xyz\n", "new.csv", &Default::default()).unwrap_err();
/// assert_eq!(errors.len(), 2);
/// assert_eq!(errors[0].line, 1);
/// ```
pub fn read_accounts(
    text: &str,
    file: &str,
    accepted: &Layer,
) -> Result<Layer, Vec<SettingsError>> {
    let digests = accepted.iter().filter_map(|(section, pairs)| {
        let digest = pairs.get(DIGEST_KEY)?;
        Some((digest.clone(), section.clone()))
    });
    let mut import = Import {
        file: file.into(),
        digest_owners: digests.collect(),
        accepted,
        sections: Layer::new(),
        errors: Vec::new(),
    };
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        let is_header = index == 0 && line == HEADER;
        if !line.is_empty() && !is_header {
            import.add_line(index + 1, line);
        }
    }
    match import.errors.is_empty() {
        true => Ok(import.sections),
        false => Err(import.errors),
    }
}

impl Import<'_> {
    fn add_line(&mut self, line: usize, text: &str) {
        let fields: Vec<&str> = text.split(',').map(str::trim).collect();
        let [name, weight, digest] = fields[..] else {
            let problem = Problem::WrongType {
                expected: format!("three columns, {HEADER}"),
                found: format!("{} columns", fields.len()),
            };
            return self.report(
                line,
                "",
                "",
                Rejection {
                    problem,
                    hint: None,
                },
            );
        };
        let section: Arc<str> = format!("account.{name}").into();
        let before = self.errors.len();
        if let Err(rejection) = check_name(name) {
            self.report(line, &section, "name", rejection);
        }
        for (key, value) in [("weight", weight), (DIGEST_KEY, digest)] {
            if let Err(rejection) = check_setting("account", key, value) {
                self.report(line, &section, key, rejection);
            }
        }
        if self.errors.len() == before {
            self.add_account(line, &section, weight, digest);
        }
    }

    fn add_account(&mut self, line: usize, section: &Arc<str>, weight: &str, digest: &str) {
        if self.accepted.contains_key(section) || self.sections.contains_key(section) {
            return self.report(line, section, "name", duplicate("account", section));
        }
        let owner = self.digest_owners.insert(digest.into(), section.clone());
        if let Some(owner) = owner {
            self.report(line, section, DIGEST_KEY, duplicate("key hash", &owner));
        }
        let pairs = [("weight", weight), (DIGEST_KEY, digest)];
        let pairs: Pairs = pairs.map(|(k, v)| (k.into(), v.into())).into();
        self.sections.insert(section.clone(), pairs);
    }

    fn report(&mut self, line: usize, section: &str, key: &str, rejection: Rejection) {
        self.errors.push(SettingsError {
            file: self.file.clone(),
            line,
            section: section.into(),
            key: key.into(),
            problem: rejection.problem,
            hint: rejection.hint,
        });
    }
}

fn duplicate(what: &'static str, owner: &str) -> Rejection {
    let problem = Problem::Duplicate {
        what,
        owner: owner.to_owned(),
    };
    Rejection {
        problem,
        hint: None,
    }
}
