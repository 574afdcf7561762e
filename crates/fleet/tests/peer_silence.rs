//! Tells peers that answer nothing from peers that read slowly.

use std::time::Duration;

use sedgeridge_fleet::peer_silence::CHECK_INTERVAL;
use sedgeridge_fleet::peer_silence::PeerSilence;
use sedgeridge_fleet::peer_silence::PeerStatus;
use sedgeridge_fleet::peer_silence::SILENCE_LIMIT;
use sedgeridge_fleet::peer_silence::SentState;

fn unanswered_for(since_answer: Duration) -> SentState {
    SentState {
        is_outstanding: true,
        is_unanswered: true,
        since_answer,
    }
}

fn answered(is_outstanding: bool) -> SentState {
    SentState {
        is_outstanding,
        is_unanswered: false,
        since_answer: CHECK_INTERVAL,
    }
}

/// Guards against a silent peer that is found late, or never.
#[test]
fn a_peer_without_answers_is_silent_after_the_limit() {
    let mut silence = PeerSilence::default();
    let checks = (1..).map(|check| CHECK_INTERVAL * check);
    let silent_at = checks
        .take(20)
        .find(|at| silence.check(unanswered_for(*at)) == PeerStatus::Silent);
    assert_eq!(silent_at, Some(CHECK_INTERVAL + SILENCE_LIMIT));
}

/// Guards against the end of a connection whose peer answers each probe, some of them just after a check.
#[test]
fn a_peer_that_answers_rare_probes_is_not_silent() {
    let mut silence = PeerSilence::default();
    for round in 1..10 {
        let probe_interval = CHECK_INTERVAL * 2_u32.pow(round);
        assert_eq!(
            silence.check(unanswered_for(probe_interval)),
            PeerStatus::Pending
        );
        assert_eq!(silence.check(answered(true)), PeerStatus::Pending);
    }
}

/// Guards against the end of a connection whose peer has answered between two checks and not since.
#[test]
fn an_answer_between_two_checks_begins_a_new_series() {
    let mut silence = PeerSilence::default();
    assert_eq!(
        silence.check(unanswered_for(SILENCE_LIMIT * 4)),
        PeerStatus::Pending
    );
    let since = [1, 2, 3].map(|check| CHECK_INTERVAL * check);
    for since in since {
        assert_eq!(silence.check(unanswered_for(since)), PeerStatus::Pending);
    }
}

/// Guards against checks that end in the moment before the first probe of a closed window.
#[test]
fn checks_go_on_for_a_moment_without_outstanding_bytes() {
    let mut silence = PeerSilence::default();
    assert_eq!(silence.check(answered(false)), PeerStatus::Pending);
    assert_eq!(silence.check(answered(true)), PeerStatus::Pending);
    assert_eq!(silence.check(answered(false)), PeerStatus::Pending);
    assert_eq!(silence.check(answered(false)), PeerStatus::Acknowledged);
}
