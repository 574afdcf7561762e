//! Tests of malformed overlays and overrides, and of findings that concern more than one line.

use sedgeridge_state::settings::Override;
use sedgeridge_state::settings::OverrideError;
use yare::parameterized;

use crate::refusal::BASE;
use crate::refusal::BASE_FILE_NAME;
use crate::refusal::Expected;
use crate::refusal::OVERLAY_FILE_NAME;
use crate::refusal::assert_only_finding;
use crate::refusal::expect;
use crate::refusal::findings;

#[parameterized(
    weight_of_an_account = { "[account.crew-07]\nweight = 5\n",
        expect("weight = 5", "weight",
            "expected in the base file only, found in an overlay",
            "it holds at every site; set it in the base file") },
    fair_order = { "[fair]\norder = fifo\n",
        expect("order = fifo", "order",
            "expected in the base file only, found in an overlay",
            "it holds at every site; set it in the base file") },
    service_class = { "[service.letters]\nclass = deferred\n",
        expect("class = deferred", "class",
            "expected in the base file only, found in an overlay",
            "it holds at every site; set it in the base file") },
    new_account = { "[account.crew-99]\nweight = 5\n",
        expect("[account.crew-99]", "",
            "expected the name of a [account.NAME] section, found `crew-99`",
            "did you mean `crew-07`?") },
    new_site = { "[site.lighthouse]\n",
        expect("[site.lighthouse]", "",
            "expected the name of a [site.NAME] section, found `lighthouse`",
            "only the base file adds sections with a name") },
    unit_in_an_overlay = { "[health]\nconnect_timeout_ms = 2s\n",
        expect("connect_timeout_ms = 2s", "connect_timeout_ms",
            "expected a whole number of milliseconds from 1 to 60000 without a unit, found `2s`",
            "write 2000") },
    limit_above_that_of_the_base = { "[front]\nmax_queue_per_account = 601\n",
        expect("max_queue_per_account = 601", "max_queue_per_account",
            "expected at most 600, the value of max_queue, found `601`",
            "") },
)]
fn overlay_is_refused(overlay: &str, expected: Expected) {
    let found = findings(BASE, overlay, &[]);

    assert_only_finding(&found, OVERLAY_FILE_NAME, overlay, &expected);
}

#[parameterized(
    unknown_key = { "front.max_qeue=5",
        expect("front.max_qeue=5", "max_qeue",
            "expected a key of this section, found `max_qeue`",
            "did you mean `max_queue`?") },
    unknown_section = { "frunt.max_queue=5",
        expect("frunt.max_queue=5", "",
            "expected a known section, found `frunt`",
            "did you mean `front`?") },
    absent_account = { "account.crew-77.weight=5",
        expect("account.crew-77.weight=5", "",
            "expected the name of a [account.NAME] section, found `crew-77`",
            "did you mean `crew-07`?") },
    out_of_range = { "account.crew-07.weight=0",
        expect("account.crew-07.weight=0", "weight",
            "expected a whole number from 1 to 10000, found `0`",
            "the nearest accepted value is 1") },
)]
fn override_is_refused(argument: &str, expected: Expected) {
    let parsed = Override::parse(argument).unwrap();

    let found = findings(BASE, "", &[parsed]);
    assert_only_finding(&found, "--set", argument, &expected);
}

#[parameterized(
    no_value = { "front.max_queue" },
    no_section = { "max_queue=5" },
    empty_section = { ".max_queue=5" },
    empty_key = { "front.=5" },
)]
fn malformed_override_is_refused(argument: &str) {
    let refused = OverrideError {
        found: argument.to_owned(),
    };

    assert_eq!(Override::parse(argument), Err(refused));
}

#[test]
fn two_accounts_with_one_key_hash_are_refused() {
    let base = BASE.replace("key_sha256 = 1", "key_sha256 = 0");
    let found = findings(&base, "", &[]);

    let [finding] = &found[..] else {
        panic!("expected one finding, got {found:#?}");
    };
    assert_eq!(&*finding.section, "account.crew-08");
    assert_eq!(finding.line, base.lines().count());
    let message = "expected a unique key hash, found that of [account.crew-07]";
    assert_eq!(finding.problem.to_string(), message);
}

#[test]
fn an_account_given_twice_is_refused() {
    let base = format!("{BASE}\n[account.crew-07]\nmax_in_progress = 4\n");
    let found = findings(&base, "", &[]);

    let expected = expect(
        "[account.crew-07]",
        "",
        "expected once, found again after line 40",
        "put the keys of a section below one header",
    );
    assert_only_finding(&found, BASE_FILE_NAME, &base, &expected);
    assert!(found[0].line > 40);
}

#[test]
fn an_overlay_may_not_give_a_host_the_address_of_an_endpoint() {
    let overlay = "[host.a]\npeer_address = 127.0.0.1:8001\n";
    let found = findings(BASE, overlay, &[]);

    // The endpoint comes after the host, so the finding is at its line and names the host.
    let expected = expect(
        "address = 127.0.0.1:8001",
        "address",
        "expected a unique address, found that of [host.a]",
        "127.0.0.1:8001 is `peer_address` there",
    );
    assert_only_finding(&found, BASE_FILE_NAME, BASE, &expected);
}

#[test]
fn all_findings_are_returned_in_order() {
    let base = BASE
        .replace("max_queue = 600", "max_queue = many")
        .replace("[fair]", "[fair")
        .replace("slots = 8", "slots = 0")
        .replace("weight = 3", "wieght = 3");
    let overlay = "[fair]\norder = fifo\n[front]\nmax_queue = 0\n";
    let found = findings(&base, overlay, &[Override::parse("a.b=c").unwrap()]);

    let places: Vec<(&str, usize)> = found.iter().map(|f| (&*f.file, f.line)).collect();
    let expected = [
        (BASE_FILE_NAME, 5),
        (BASE_FILE_NAME, 8),
        (BASE_FILE_NAME, 9),
        (BASE_FILE_NAME, 38),
        (BASE_FILE_NAME, 41),
        (OVERLAY_FILE_NAME, 2),
        (OVERLAY_FILE_NAME, 4),
        ("--set", 1),
    ];
    assert_eq!(places, expected);
}
