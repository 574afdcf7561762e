//! Which requests that come back after a refusal are taken.

mod support;

use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::dispatcher::AdmissionSettings;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::DispatcherSettings;
use sedgeridge_fleet::verdict::Verdict;

use support::ENGINES;
use support::Host;
use support::at;
use support::endpoint;
use support::engine_request;
use support::prompt;
use support::settings;

/// An account that asks for little, and one that asks for more than its share.
const MODEST: u64 = 1;
const GREEDY: u64 = 2;

/// Both engines have some 2,000 tokens to read, 100 ms of work; second tries of accounts
/// behind their share are taken up to 125 ms. The greedy account has had more
/// than the engines process in a window, and asked for thirty times as much.
fn loaded_host() -> Host {
    let mut host = Host::with(DispatcherSettings {
        share_window: at(400),
        admission: AdmissionSettings {
            second_try_backlog_part: 0.5,
            ..AdmissionSettings::default()
        },
        ..settings(1)
    });
    for subject in 0..120 {
        host.arrive(
            0,
            engine_request(0, GREEDY, prompt(subject, 1_000 + subject as u32)),
        );
    }
    for name in ["desk-1", "desk-2"] {
        let load = host.dispatcher.endpoint_load(endpoint(ENGINES, name).key);
        assert!((2_000..2_500).contains(&load.unread_tokens), "{load:?}");
    }
    host.send(100, DispatchEvent::Tick);
    host
}

fn second_try(account: u64) -> Arrival {
    Arrival {
        is_second_try: true,
        ..engine_request(100, account, prompt(5, 100))
    }
}

/// All callers of an account come to one host, which refuses many of their first tries. Their second
/// tries are refused too while accounts over their share take engines that fall idle elsewhere: the
/// account gets less than half of what others get, for seconds.
#[test]
fn a_second_try_of_an_account_behind_its_share_is_taken() {
    let mut host = loaded_host();
    let (_, verdict) = host.arrive(100, second_try(MODEST));
    assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
}

/// Other second tries come late and take the reading time of requests that would still be in time.
#[test]
fn a_second_try_of_an_account_that_had_its_share_waits_for_an_idle_engine() {
    let mut host = loaded_host();
    let (id, verdict) = host.arrive(100, second_try(GREEDY));
    let verdict = verdict.or_else(|| host.wait(100, id).map(|(_, verdict)| verdict));
    let Some(Verdict::Refuse { retry_after, .. }) = verdict else {
        panic!("{verdict:?}");
    };
    assert!(retry_after > at(0));
}
