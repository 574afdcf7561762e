//! A valid base file, and helpers that check the finding for malformed settings.

use sedgeridge_state::settings::Layers;
use sedgeridge_state::settings::Override;
use sedgeridge_state::settings::SettingsError;
use sedgeridge_state::settings::SettingsFile;
use sedgeridge_state::settings::load_layers;

pub const BASE_FILE_NAME: &str = "base.ini";
pub const OVERLAY_FILE_NAME: &str = "site-north.ini";

pub const BASE: &str = "\
[fleet]
name = demo

[front]
max_queue = 600
idle_timeout_ms = 5000

[fair]
scope = fleet

[membership]
probe_interval_ms = 500

[platform]
table_address = 127.0.0.2:7000

[site.north]
region = catania

[host.a]
site = north
caller_address = 127.0.0.1:7001
peer_address = 127.0.0.1:7002
operator_address = 127.0.0.1:7003

[pool.desk]
kind = model
floor = 1

[service.letters]
pool = desk
repeatable = no

[endpoint.desk-1]
pool = desk
site = north
address = 127.0.0.1:8001
slots = 8

[account.crew-07]
weight = 3
key_sha256 = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef

[account.crew-08]
key_sha256 = 1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
";

/// Expected content of the only finding of a case.
pub struct Expected {
    /// Text of the line that the finding refers to.
    pub line_text: &'static str,
    /// Key of the finding; empty for a whole section.
    pub key: &'static str,
    /// Complete message.
    pub message: &'static str,
    /// Complete hint; empty for none.
    pub hint: &'static str,
}

pub const fn expect(
    line_text: &'static str,
    key: &'static str,
    message: &'static str,
    hint: &'static str,
) -> Expected {
    Expected {
        line_text,
        key,
        message,
        hint,
    }
}

pub fn findings(base: &str, overlay: &str, overrides: &[Override]) -> Vec<SettingsError> {
    let layers = Layers {
        base: SettingsFile {
            text: base,
            name: BASE_FILE_NAME,
        },
        overlay: Some(SettingsFile {
            text: overlay,
            name: OVERLAY_FILE_NAME,
        }),
        overrides,
    };
    load_layers(&layers).expect_err("the case is malformed")
}

pub fn assert_only_finding(
    findings: &[SettingsError],
    file: &str,
    text: &str,
    expected: &Expected,
) {
    let [found] = findings else {
        panic!("expected one finding, got {findings:#?}");
    };
    assert_eq!(&*found.file, file);
    assert_eq!(text.lines().nth(found.line - 1), Some(expected.line_text));
    assert_eq!(&*found.key, expected.key);
    assert_eq!(found.problem.to_string(), expected.message);
    assert_eq!(found.hint.as_deref().unwrap_or_default(), expected.hint);
    let shown = format!("{file}:{}: error: ", found.line);
    assert!(found.to_string().starts_with(&shown));
}
