//! Requests of one host: resends, refusals, failures, and charges to accounts.

mod support;

use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::RefusalReason;
use sedgeridge_fleet::verdict::Verdict;

use support::Host;
use support::PLAIN;
use support::endpoint;
use support::engine_request;
use support::plain_request;
use support::prompt;
use support::verdict_of;

fn sent_to(verdict: Option<Verdict>) -> String {
    match verdict {
        Some(Verdict::Send(endpoint)) => endpoint.id.to_string(),
        other => panic!("expected a send, got {other:?}"),
    }
}

fn refusal(verdict: Option<Verdict>) -> RefusalReason {
    match verdict {
        Some(Verdict::Refuse { reason, .. }) => reason,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against a request that runs twice, or is refused as not run, although it may have run at most once: the
/// connection was lost after it was sent.
#[test]
fn a_request_that_may_have_run_fails_and_is_not_repeated() {
    let mut host = Host::new(1);
    let (id, verdict) = host.arrive(0, plain_request(0, Repeat::AtMostOnce));
    sent_to(verdict);
    let failed = DispatchEvent::AttemptFailed(id, Failure::ConnectionLost);
    let verdict = verdict_of(id, host.send(10, failed));
    assert_eq!(verdict, Some(Verdict::Fail(Failure::ConnectionLost)));
}

/// Guards against a failed request that could have been sent again: the first endpoint is full and says that it did not
/// run the request, which may therefore be sent to a second one even if it may run at most once.
#[test]
fn a_request_that_was_turned_away_goes_to_another_endpoint() {
    let mut host = Host::new(1);
    let (id, verdict) = host.arrive(0, plain_request(0, Repeat::AtMostOnce));
    let first = sent_to(verdict);
    let failed = DispatchEvent::AttemptFailed(id, Failure::TurnedAway);
    let second = sent_to(verdict_of(id, host.send(10, failed)));
    assert_ne!(first, second);
}

/// Guards against a wrong answer when all attempts were rejected: both endpoints turned the request away, the route
/// allows two attempts, and the caller has to learn that the request has not run.
#[test]
fn a_request_that_all_allowed_endpoints_turned_away_is_refused() {
    let mut host = Host::new(1);
    let (id, _) = host.arrive(0, plain_request(0, Repeat::AtMostOnce));
    host.send(10, DispatchEvent::AttemptFailed(id, Failure::TurnedAway));
    let failed = DispatchEvent::AttemptFailed(id, Failure::TurnedAway);
    match verdict_of(id, host.send(20, failed)) {
        Some(Verdict::Refuse { reason, .. }) => assert_eq!(reason, RefusalReason::TurnedAway),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against a repeatable request that is sent to more endpoints than its route allows.
#[test]
fn a_repeatable_request_stops_at_the_allowed_attempts() {
    let mut host = Host::new(1);
    let (id, _) = host.arrive(0, plain_request(0, Repeat::Idempotent));
    let failed = DispatchEvent::AttemptFailed(id, Failure::ConnectionLost);
    sent_to(verdict_of(id, host.send(10, failed)));
    let failed = DispatchEvent::AttemptFailed(id, Failure::ServerError);
    let verdict = verdict_of(id, host.send(20, failed));
    assert_eq!(verdict, Some(Verdict::Fail(Failure::ServerError)));
}

/// Guards against requests to an endpoint that is about to stop, also after an entry that it wrote before its departure
/// arrives late.
#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let mut host = Host::new(1);
    let mut leaving = endpoint(PLAIN, "booking-1");
    leaving.is_leaving = true;
    host.send(0, DispatchEvent::EndpointListed(leaving));
    let late = endpoint(PLAIN, "booking-1");
    host.send(0, DispatchEvent::EndpointListed(late));
    for now in 0..8 {
        let (_, verdict) = host.arrive(now, plain_request(now, Repeat::Idempotent));
        assert_eq!(sent_to(verdict), "booking-2");
    }
}

/// Guards against an endpoint that takes requests and never answers, but keeps getting them: callers give up after a
/// second, and no attempt ends with an error.
#[test]
fn an_endpoint_that_never_answers_loses_its_callers() {
    let mut host = Host::new(1);
    let mut sent_to_silent = 0;
    for step in 0..40_u64 {
        let now = step * 1_000;
        let (id, verdict) = host.arrive(now, plain_request(now, Repeat::AtMostOnce));
        if sent_to(verdict) == "booking-1" {
            sent_to_silent += 1;
            host.send(now + 900, DispatchEvent::Abandoned(id));
        } else {
            host.send(now + 20, DispatchEvent::Completed(id));
        }
    }
    assert!(
        sent_to_silent <= 6,
        "{sent_to_silent} of 40 requests went to the silent endpoint"
    );
}

/// Guards against a caller that waits until its deadline although no endpoint can be reached.
#[test]
fn without_an_endpoint_a_request_is_refused_within_its_latency_target() {
    let mut host = Host::new(1);
    for name in ["booking-1", "booking-2"] {
        let gone = std::sync::Arc::new(endpoint(PLAIN, name));
        host.send(0, DispatchEvent::EndpointGone(gone));
    }
    let (id, verdict) = host.arrive(0, plain_request(0, Repeat::Idempotent));
    assert_eq!(verdict, None);
    let (when, verdict) = host.wait(0, id).expect("an end");
    assert!(when <= 120, "refused after {when} ms");
    assert_eq!(refusal(Some(verdict)), RefusalReason::NoEndpoint);
}

/// Guards against a shared prompt part that several engines read although the first one has free capacity.
#[test]
fn prompts_about_one_subject_meet_one_engine() {
    let mut host = Host::new(1);
    let (id, verdict) = host.arrive(0, engine_request(0, 1, prompt(7, 100)));
    let first = sent_to(verdict);
    host.send(30, DispatchEvent::FirstPiece(id));
    let (_, verdict) = host.arrive(40, engine_request(40, 1, prompt(7, 120)));
    assert_eq!(sent_to(verdict), first);
}

/// Guards against a caller that waits until its deadline although both engines have more to read than the latency target
/// allows.
#[test]
fn a_request_that_cannot_be_in_time_is_refused_early() {
    let mut host = Host::new(1);
    for own in 0..2 {
        host.arrive(0, engine_request(0, 1, prompt(own.into(), 60_000 + own)));
    }
    let (id, verdict) = host.arrive(0, engine_request(0, 2, prompt(9, 100)));
    assert_eq!(verdict, None);
    let (when, verdict) = host.wait(0, id).expect("an end");
    assert!(when <= 120, "refused after {when} ms");
    assert_eq!(refusal(Some(verdict)), RefusalReason::Overload);
}

/// Guards against requests of a small account that wait because another account floods the engines.
#[test]
fn an_account_over_its_share_does_not_keep_a_small_one_waiting() {
    let mut host = Host::new(1);
    let mut refused = 0;
    for step in 0..60_u64 {
        let now = step * 20;
        host.send(now, DispatchEvent::Tick);
        for own in 0..4 {
            let own = 500 + u32::try_from(step).expect("small") * 4 + own;
            let (id, verdict) = host.arrive(now, engine_request(now, 1, prompt(1, own)));
            match verdict {
                Some(Verdict::Send(_)) => {
                    host.send(now + 5, DispatchEvent::FirstPiece(id));
                    host.send(now + 10, DispatchEvent::Completed(id));
                }
                Some(_) => refused += 1,
                None => {
                    host.send(now, DispatchEvent::Abandoned(id));
                }
            }
        }
        if step % 10 == 9 {
            let (id, verdict) = host.arrive(now, engine_request(now, 2, prompt(2, 10)));
            sent_to(verdict);
            host.send(now + 10, DispatchEvent::Completed(id));
        }
    }
    assert_eq!(host.dispatcher.unfinished_requests(), 0);
    assert!(
        refused < 240,
        "all requests of the flood were refused: {refused}"
    );
}

/// Sends a long prompt to an engine and returns the engine.
fn keep_engine_busy(host: &mut Host) -> String {
    let (_, verdict) = host.arrive(0, engine_request(0, 1, prompt(7, 9_000)));
    sent_to(verdict)
}

/// Sends a short prompt about the same subject and returns its engine.
fn engine_for_short_prompt(host: &mut Host) -> String {
    let (_, verdict) = host.arrive(10, engine_request(10, 1, prompt(7, 10)));
    sent_to(verdict)
}

/// Guards against requests to an engine that is idle for this host, but kept busy by another one.
#[test]
fn the_work_of_other_hosts_counts() {
    let (mut one, mut other) = (Host::new(1), Host::new(2));
    let busy = keep_engine_busy(&mut other);
    let report = other.dispatcher.report(support::live());
    one.send(5, DispatchEvent::Reported(report));
    assert_ne!(engine_for_short_prompt(&mut one), busy);
}

/// Guards against a report that arrives late and replaces a newer one.
#[test]
fn an_older_report_changes_nothing() {
    let (mut one, mut other) = (Host::new(1), Host::new(2));
    let idle = other.dispatcher.report(support::live());
    let busy = keep_engine_busy(&mut other);
    let newer = other.dispatcher.report(support::live());
    one.send(5, DispatchEvent::Reported(newer));
    one.send(6, DispatchEvent::Reported(idle));
    assert_ne!(engine_for_short_prompt(&mut one), busy);
}

/// Guards against a request that crashes engine after engine, by way of several hosts. It has to be refused after two
/// crashes, also by a host that only got reports of them.
#[test]
fn a_request_that_crashes_engines_is_stopped_on_every_host() {
    let mut one = Host::new(1);
    let mut other = Host::new(2);
    let poison = |now: u64| {
        let mut arrival = engine_request(now, 1, prompt(7, 10));
        arrival.fingerprint = Some(sedgeridge_state::fingerprint::Fingerprint(666));
        arrival
    };
    for round in 0..2 {
        let now = round * 10_000;
        let (id, verdict) = one.arrive(now, poison(now));
        let Some(Verdict::Send(endpoint)) = &verdict else {
            panic!("{verdict:?}");
        };
        let gone = endpoint.clone();
        let crashed = sent_to(verdict);
        one.send(
            now + 10,
            DispatchEvent::AttemptFailed(id, Failure::ConnectionLost),
        );
        one.send(
            now + 20,
            DispatchEvent::AttemptFailed(id, Failure::NotConnected),
        );
        one.send(now + 30, DispatchEvent::Abandoned(id));
        let (probe, verdict) = one.arrive(now + 40, engine_request(now + 40, 1, prompt(7, 11)));
        if sent_to(verdict) == crashed {
            one.send(
                now + 50,
                DispatchEvent::AttemptFailed(probe, Failure::NotConnected),
            );
        }
        one.send(now + 60, DispatchEvent::Abandoned(probe));
        // A crashed engine is no longer listed; the next crash is that of another one.
        one.send(now + 70, DispatchEvent::EndpointGone(gone));
        for later in [1_100, 1_200] {
            one.send(now + later, DispatchEvent::Tick);
        }
        let report = one.dispatcher.report(support::live());
        other.send(now + 1_300, DispatchEvent::Reported(report));
    }
    for host in [&mut one, &mut other] {
        host.send(12_500, DispatchEvent::Tick);
        let (_, verdict) = host.arrive(12_600, poison(12_600));
        assert_eq!(refusal(verdict), RefusalReason::Quarantined);
    }
}

/// Tokens that the host reports as started for an account.
fn started_tokens(host: &mut Host, account: u64) -> u32 {
    let usage = host.dispatcher.report(support::live()).usage;
    let rows = usage.iter().filter(|(key, _)| *key == account);
    rows.map(|(_, usage)| usage.started_tokens).sum()
}

/// Guards against callers that are refused as over their share although hardly any of their requests ran. When engines
/// fail, each request is sent to one after another; if each send were charged, the account would pay several times for
/// one run, or for none.
#[test]
fn an_account_is_charged_once_for_what_ran_and_not_for_what_did_not() {
    let account = 7;
    for failure in [
        Failure::NotConnected,
        Failure::TurnedAway,
        Failure::Misdirected,
    ] {
        let mut host = Host::new(1);
        let (id, verdict) = host.arrive(0, engine_request(0, account, prompt(7, 10)));
        sent_to(verdict);
        let once = started_tokens(&mut host, account);
        assert!(once > 0);
        let verdict = verdict_of(id, host.send(10, DispatchEvent::AttemptFailed(id, failure)));
        sent_to(verdict);
        assert_eq!(started_tokens(&mut host, account), once, "{failure:?}");
        let verdict = verdict_of(id, host.send(20, DispatchEvent::AttemptFailed(id, failure)));
        assert!(!matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
        assert_eq!(started_tokens(&mut host, account), 0, "{failure:?}");
    }
}

/// Guards against a second charge for a request that may have run and is sent again.
#[test]
fn an_account_is_charged_once_for_a_request_that_ran_twice() {
    let account = 7;
    let mut host = Host::new(1);
    let (id, verdict) = host.arrive(0, engine_request(0, account, prompt(7, 10)));
    sent_to(verdict);
    let once = started_tokens(&mut host, account);
    let lost = DispatchEvent::AttemptFailed(id, Failure::ConnectionLost);
    sent_to(verdict_of(id, host.send(10, lost)));
    assert_eq!(started_tokens(&mut host, account), once);
    let turned_away = DispatchEvent::AttemptFailed(id, Failure::TurnedAway);
    host.send(20, turned_away);
    assert_eq!(started_tokens(&mut host, account), once);
}
