//! Parses the text of one value to a typed value, or returns a rejection that tells what was
//! expected.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use super::error::Problem;
use super::error::Rejection;
use super::nearest::nearest;
use super::schema;
use super::schema::Unit;
use super::schema::ValueKind;

/// Maximum length of the name of an account, host or other section.
const MAX_NAME_CHARS: usize = 64;
/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// A checked value.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Value {
    Integer(u64),
    Flag(bool),
    Text(Arc<str>),
    Address(SocketAddr),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Integer(number) => write!(f, "{number}"),
            Self::Flag(true) => f.write_str("yes"),
            Self::Flag(false) => f.write_str("no"),
            Self::Text(text) => f.write_str(text),
            Self::Address(address) => write!(f, "{address}"),
        }
    }
}

/// Parses a text as the kind of value that its key accepts.
pub(super) fn check_value(kind: &ValueKind, text: &str) -> Result<Value, Rejection> {
    match kind {
        ValueKind::Integer { unit, min, max } => check_integer(kind, *unit, *min..=*max, text),
        ValueKind::Choice(choices) => check_choice(kind, choices, text),
        ValueKind::Flag => check_flag(kind, text),
        ValueKind::Name => check_name(text).map(Value::Text),
        ValueKind::Reference(_) => check_name(text).map(Value::Text),
        ValueKind::Address => check_address(kind, text),
        ValueKind::Digest => check_digest(kind, text),
    }
}

fn wrong_type(kind: &ValueKind, found: &str) -> Problem {
    Problem::WrongType {
        expected: kind.expected(),
        found: found.to_owned(),
    }
}

fn check_integer(
    kind: &ValueKind,
    unit: Unit,
    range: RangeInclusive<u64>,
    text: &str,
) -> Result<Value, Rejection> {
    if text.is_empty() || !text.chars().all(|c| c.is_ascii_digit()) {
        return Err(reject_number(kind, unit, &range, text));
    }
    // A string of digits fails to parse only if the number is too large.
    let number = text.parse().unwrap_or(u64::MAX);
    if !range.contains(&number) {
        let nearest = number.clamp(*range.start(), *range.end());
        let problem = Problem::OutOfRange {
            expected: kind.expected(),
            found: text.to_owned(),
        };
        let hint = format!("the nearest accepted value is {nearest}");
        return Err(Rejection::new(problem, hint));
    }
    Ok(Value::Integer(number))
}

fn reject_number(
    kind: &ValueKind,
    unit: Unit,
    range: &RangeInclusive<u64>,
    text: &str,
) -> Rejection {
    if let Some(hint) = comment_hint(text) {
        return Rejection::new(wrong_type(kind, text), hint);
    }
    let ungrouped: String = text.chars().filter(|c| !"_,' ".contains(*c)).collect();
    let (number, suffix) = split_number(&ungrouped);
    let converted = convert(number, suffix, unit, range).map(|number| format!("write {number}"));
    let carries_unit = number.parse::<f64>().is_ok() && !suffix.is_empty();
    if !carries_unit {
        return Rejection::new(wrong_type(kind, text), converted);
    }
    let problem = Problem::WrongUnit {
        expected: kind.expected(),
        found: text.to_owned(),
    };
    let unit_hint = || "the key names the unit; write the number alone".to_owned();
    Rejection::new(problem, converted.unwrap_or_else(unit_hint))
}

fn split_number(text: &str) -> (&str, &str) {
    let is_number = |c: char| c.is_ascii_digit() || c == '.';
    let end = text.find(|c| !is_number(c)).unwrap_or(text.len());
    text.split_at(end)
}

/// Converts a number with a unit, if the result is whole and in range.
fn convert(number: &str, suffix: &str, unit: Unit, range: &RangeInclusive<u64>) -> Option<f64> {
    let converted = number.parse::<f64>().ok()? * unit.factor_from_suffix(suffix)?;
    let accepted = *range.start() as f64..=*range.end() as f64;
    (converted.fract() == 0.0 && accepted.contains(&converted)).then_some(converted)
}

/// Returns a hint if the value seems to end in a comment.
fn comment_hint(text: &str) -> Option<String> {
    let has_comment = text.contains(" #") || text.contains(" ;");
    has_comment.then(|| "a comment needs a line of its own".to_owned())
}

fn check_choice(
    kind: &ValueKind,
    choices: &'static [&'static str],
    text: &str,
) -> Result<Value, Rejection> {
    if choices.contains(&text) {
        return Ok(Value::Text(text.into()));
    }
    let lower = text.to_ascii_lowercase();
    let hint = nearest(&lower, choices.iter().copied()).map(did_you_mean);
    let hint = hint.or_else(|| comment_hint(text));
    Err(Rejection::new(wrong_type(kind, text), hint))
}

fn check_flag(kind: &ValueKind, text: &str) -> Result<Value, Rejection> {
    match text {
        "yes" | "true" => Ok(Value::Flag(true)),
        "no" | "false" => Ok(Value::Flag(false)),
        _ => {
            let hint = match text.to_ascii_lowercase().as_str() {
                "1" | "on" | "y" | "yes" | "true" => Some("write yes".to_owned()),
                "0" | "off" | "n" | "no" | "false" => Some("write no".to_owned()),
                _ => comment_hint(text),
            };
            Err(Rejection::new(wrong_type(kind, text), hint))
        }
    }
}

/// Checks one value against the schema, as if it were in a base file.
///
/// ```
/// use sedgeridge_state::settings::check_setting;
/// assert!(check_setting("account", "weight", "3").is_ok());
/// assert!(check_setting("account", "weight", "0").is_err());
/// ```
pub fn check_setting(section: &str, key: &str, text: &str) -> Result<(), Rejection> {
    let unknown = |problem| Rejection::new(problem, None);
    let schema = schema::section(section).ok_or_else(|| {
        let found = section.to_owned();
        unknown(Problem::UnknownSection { found })
    })?;
    let key = schema.key(key).ok_or_else(|| {
        let found = key.to_owned();
        unknown(Problem::UnknownKey { found })
    })?;
    check_value(&key.kind, text).map(|_| ())
}

/// Checks the name of a section, or the name that a value refers to.
///
/// ```
/// use sedgeridge_state::settings::check_name;
/// assert!(check_name("crew-07").is_ok());
/// assert!(check_name("crew 07").is_err());
/// ```
pub fn check_name(text: &str) -> Result<Arc<str>, Rejection> {
    let has_valid_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let accepted = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if has_valid_start && text.len() <= MAX_NAME_CHARS && text.chars().all(accepted) {
        return Ok(text.into());
    }
    let invalid_char = text.chars().find(|c| !accepted(*c));
    let hint = match invalid_char {
        Some(invalid_char) => format!("`{invalid_char}` is not accepted in a name"),
        None if text.is_empty() => "the name is empty".to_owned(),
        None if has_valid_start => format!("a name has at most {MAX_NAME_CHARS} characters"),
        None => "a name begins with a letter or digit".to_owned(),
    };
    let problem = Problem::BadName {
        expected: ValueKind::Name.expected(),
        found: text.to_owned(),
    };
    Err(Rejection::new(problem, hint))
}

fn check_address(kind: &ValueKind, text: &str) -> Result<Value, Rejection> {
    let is_ip = |text: &str| text.parse::<IpAddr>().is_ok();
    let hint = match text.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 => {
            "port 0 names no port; others must know where to connect"
        }
        Ok(address) if address.ip().is_unspecified() => "write the address that others connect to",
        Ok(address) => return Ok(Value::Address(address)),
        Err(_) if is_ip(text) => "add the port, as in 127.0.0.1:8080",
        Err(_) if text.rsplit_once(':').is_some_and(|(host, _)| is_ip(host)) => {
            "a port is a number from 1 to 65535"
        }
        Err(_) => "host names are not looked up; write an IP number and a port",
    };
    Err(Rejection::new(wrong_type(kind, text), hint.to_owned()))
}

fn check_digest(kind: &ValueKind, text: &str) -> Result<Value, Rejection> {
    let is_lower_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if text.len() == DIGEST_DIGITS && text.chars().all(is_lower_hex) {
        return Ok(Value::Text(text.into()));
    }
    let is_hex = text.chars().all(|c| c.is_ascii_hexdigit());
    let hint = if !is_hex {
        "give the SHA-256 of the key, never the key itself".to_owned()
    } else if text.len() == DIGEST_DIGITS {
        "write the digits in lower case".to_owned()
    } else {
        format!("{} digits were found", text.len())
    };
    // The text may be the secret key itself, which must not appear on a terminal or in a log.
    Err(Rejection::new(wrong_type(kind, "(not shown)"), hint))
}

/// Returns the hint that suggests a known name.
pub(super) fn did_you_mean(name: &str) -> String {
    format!("did you mean `{name}`?")
}
