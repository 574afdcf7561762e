//! Parts of prompts that crash engines: found from few crashes, while requests without them are served as ever.

mod support;

use sedgeridge_fleet::crash_evidence::MAX_SUSPECTS;
use yare::parameterized;

use support::crash_play::CrashPlay;
use support::crash_play::PlayedRequest;

/// Part that crashes engines.
const CRASHING_PART: u64 = 666;
/// Another one.
const SECOND_CRASHING_PART: u64 = 777;
/// Crashes after which no further requests with the part may reach engines.
const MAX_CRASHES: usize = 5;
/// Time after the last of these crashes until the fleet has to act on them.
const STABLE_MS: u64 = 3_000;
/// Requests with the part that may reach engines later all the same.
const MAX_LATE_SENDS: usize = 3;
/// Smallest share of sound requests that are sent at once. In a small service each crash takes much of the capacity.
const MIN_SENT_AT_ONCE: f64 = 0.9;

/// Time with sound requests only, before others come.
const SOUND_LOAD_MS: u64 = 2_000;
/// Time between two requests with a crashing part, in the fleets of six hosts.
const CRASH_INTERVAL_MS: u64 = 700;
/// Accounts, each with a part of its own.
const ACCOUNTS: u64 = 4;
/// Duration of a first quarantine.
const QUARANTINE_MS: u64 = 300_000;
/// Longest time after it in which a host still refuses the part.
const MAX_TRIAL_DELAY_MS: u64 = 60_000;
/// Longest time after the end of a quarantine, or of the time for which evidence counts, until nothing of it is left.
const FORGOTTEN_WITHIN_MS: u64 = 120_000;
/// Longest time for which a part is refused that may be innocent.
const AMBIGUOUS_MS: u64 = 6_000;
/// Time between two steps of the load.
const LOAD_STEP_MS: u64 = 20;

/// Sound requests of all accounts, with parts that many, few or no others have, beside those that `crashing_parts` tells.
fn play_load(play: &mut CrashPlay, ms: u64, crashing_parts: &[u64], crash_interval_ms: u64) {
    for step in 0..ms / LOAD_STEP_MS {
        let account = step % ACCOUNTS;
        let document = 1_000 + step % 40;
        let mut sound = PlayedRequest::with_parts(account, &[document]);
        if step % 5 == 0 {
            sound.answer_ms = 40;
        }
        play.request(&sound);
        if (step * LOAD_STEP_MS).is_multiple_of(crash_interval_ms) {
            for crashing_part in crashing_parts {
                play.request(&PlayedRequest::with_parts(
                    account,
                    &[*crashing_part, document],
                ));
            }
        }
        play.run_for(LOAD_STEP_MS);
    }
}

#[track_caller]
fn assert_stopped(play: &CrashPlay) {
    let crashes = &play.crashes_ms;
    let Some(fifth) = crashes.get(MAX_CRASHES - 1) else {
        return;
    };
    let late = play.crashing_sends_ms.iter();
    let late = late.filter(|at_ms| **at_ms > fifth + STABLE_MS).count();
    assert!(
        late <= MAX_LATE_SENDS,
        "{late} late sends, crashes at {crashes:?}"
    );
}

#[track_caller]
fn assert_sound_requests_served(play: &CrashPlay, since_ms: u64) {
    assert_eq!(play.quarantined_sound_requests(), 0);
    let share = play.share_sent_at_once(since_ms);
    assert!(
        share >= MIN_SENT_AT_ONCE,
        "{share} of the sound requests were sent at once"
    );
}

/// Guards against requests that share one part of their prompts and crash engine after engine, at any host.
#[parameterized(
    one_host = { 1, 9, 700 },
    small_fleet = { 6, 9, 700 },
    small_fleet_seldom = { 6, 9, 4_000 },
    small_fleet_often = { 6, 9, 100 },
    relays = { 40, 30, 700 },
    relays_often = { 40, 30, 200 },
)]
fn a_part_that_crashes_engines_is_stopped(hosts: usize, engines: usize, interval_ms: u64) {
    for seed in 0..5 {
        let mut play = CrashPlay::start(hosts, engines, &[CRASHING_PART], seed);
        play_load(&mut play, 30_000, &[CRASHING_PART], interval_ms);
        assert_stopped(&play);
        let since_ms = play
            .crashes_ms
            .last()
            .map_or(0, |last| last + 2 * STABLE_MS);
        assert_sound_requests_served(&play, since_ms);
    }
}

/// Plays a small fleet with sound requests only, then with crashing parts.
fn play_small_fleet(crashing_parts: &[u64], seed: u64, ms: u64) -> CrashPlay {
    let mut play = CrashPlay::start(6, 9, crashing_parts, seed);
    play_load(&mut play, SOUND_LOAD_MS, &[], CRASH_INTERVAL_MS);
    play_load(&mut play, ms, crashing_parts, CRASH_INTERVAL_MS);
    play
}

/// Guards against a part that is not found among the parts that many prompts have, since all engines crash under it within a
/// second.
#[parameterized(seed_11 = { 11 }, seed_14 = { 14 }, seed_22 = { 22 })]
fn a_part_that_crashes_all_engines_at_once_is_stopped(seed: u64) {
    let mut play = CrashPlay::start(6, 9, &[CRASHING_PART], seed);
    play_load(&mut play, 30_000, &[CRASHING_PART], 100);
    assert_stopped(&play);
}

/// Guards against a part that is taken for a common one, and sent, since most of few prompts have it.
#[parameterized(
    seldom = { 1_000, 700 },
    seldom_often = { 1_000, 200 },
    some = { 300, 700 },
    none = { 1_000_000, 700 },
)]
fn a_part_is_stopped_whatever_else_comes(sound_interval_ms: u64, crash_interval_ms: u64) {
    for seed in 0..40 {
        let mut play = CrashPlay::start(6, 9, &[CRASHING_PART], seed);
        for step in 0..1_500 {
            let at_ms = step * LOAD_STEP_MS;
            let (account, document) = (step % ACCOUNTS, 1_000 + step % 40);
            if at_ms.is_multiple_of(sound_interval_ms) {
                play.request(&PlayedRequest::with_parts(account, &[document]));
            }
            if at_ms > SOUND_LOAD_MS && at_ms.is_multiple_of(crash_interval_ms) {
                let parts = [CRASHING_PART, document];
                play.request(&PlayedRequest::with_parts(account, &parts));
            }
            play.run_for(LOAD_STEP_MS);
        }
        assert_stopped(&play);
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against a part that worked before it began to crash engines, and is not found or takes sound parts with it, alone or
/// among crashes of other causes.
#[parameterized(alone = { false }, among_others = { true })]
fn a_part_that_worked_before_is_stopped(has_others: bool) {
    for seed in 0..5 {
        let mut play = CrashPlay::start(6, 9, &[], seed);
        play_load(&mut play, 10_000, &[CRASHING_PART], CRASH_INTERVAL_MS);
        play.break_engines_for(CRASHING_PART);
        for crash in 0..10 {
            play_load(&mut play, 1_500, &[CRASHING_PART], CRASH_INTERVAL_MS);
            if has_others {
                play.crash_engine(crash * 4 % 9);
            }
        }
        assert_stopped(&play);
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against a second crashing part that is taken for a bystander of the first one.
#[test]
fn two_parts_that_crash_engines_are_both_stopped() {
    for seed in 0..5 {
        let play = play_small_fleet(&[CRASHING_PART, SECOND_CRASHING_PART], seed, 30_000);
        for crashing_part in [CRASHING_PART, SECOND_CRASHING_PART] {
            let late = play.outcomes.values().filter(|it| {
                it.parts.contains(&crashing_part) && it.sent_ms.is_some_and(|at_ms| at_ms > 20_000)
            });
            assert_eq!(late.count(), 0, "seed {seed}, part {crashing_part}");
        }
        assert_sound_requests_served(&play, 20_000);
    }
}

/// Guards against a second crashing part that comes when the first one is known, and hides behind it.
#[test]
fn a_second_part_that_comes_later_is_stopped() {
    for seed in 0..5 {
        let mut play = CrashPlay::start(6, 9, &[CRASHING_PART, SECOND_CRASHING_PART], seed);
        play_load(&mut play, 10_000, &[CRASHING_PART], CRASH_INTERVAL_MS);
        let before = play.crashes_ms.len();
        play_load(
            &mut play,
            15_000,
            &[CRASHING_PART, SECOND_CRASHING_PART],
            CRASH_INTERVAL_MS,
        );
        let second = play.crashes_ms.len() - before;
        assert!(
            second <= MAX_CRASHES + MAX_LATE_SENDS,
            "{second} more crashes"
        );
        assert_eq!(play.quarantined_sound_requests(), 0);
    }
}

/// Guards against sound parts that are refused since engines crash for another cause while they are in progress.
#[test]
fn crashes_of_another_cause_quarantine_nothing() {
    for seed in [0, 1, 2, 3, 4, 6, 11, 20, 26] {
        let mut play = CrashPlay::start(6, 9, &[], seed);
        for crash in 0..40 {
            play_load(&mut play, 700, &[], CRASH_INTERVAL_MS);
            play.crash_engine(crash * 4 % 9);
            if crash % 4 == 0 {
                play.crash_engine((crash * 4 + 1) % 9);
                play.crash_engine((crash * 4 + 2) % 9);
            }
        }
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
        for host in 0..play.host_count() {
            assert_eq!(play.dispatcher(host).suspect_counts().1, 0, "seed {seed}");
        }
    }
}

/// Guards against requests that are refused for a crashing part that is their last one, where it crashes nothing.
#[test]
fn a_crashing_part_in_the_last_place_is_served() {
    let mut play = play_small_fleet(&[CRASHING_PART], 1, 10_000);
    let crashes = play.crashes_ms.len();
    for account in 0..ACCOUNTS {
        for _ in 0..10 {
            play.request(&PlayedRequest {
                last_part: Some(CRASHING_PART),
                ..PlayedRequest::with_parts(account, &[])
            });
            play.run_for(100);
        }
    }
    play.run_for(3_000);
    assert_eq!(play.crashes_ms.len(), crashes);
    assert_sound_requests_served(&play, 10_000);
}

/// Guards against a fleet that forgets a crashing part while no request with it comes.
#[test]
fn a_crashing_part_is_still_known_after_a_pause() {
    let mut play = play_small_fleet(&[CRASHING_PART], 2, 8_000);
    let crashes = play.crashes_ms.len();
    play_load(&mut play, 120_000, &[], CRASH_INTERVAL_MS);
    play_load(&mut play, 10_000, &[CRASHING_PART], CRASH_INTERVAL_MS);
    assert_eq!(play.crashes_ms.len(), crashes);
    assert_sound_requests_served(&play, 20_000);
}

/// Guards against a host that starts again without what it knew, and lets requests with a crashing part through.
#[parameterized(small_fleet = { 6, 9 }, relays = { 40, 30 })]
fn a_restarted_host_learns_of_a_crashing_part(hosts: usize, engines: usize) {
    let mut play = CrashPlay::start(hosts, engines, &[CRASHING_PART], 3);
    play_load(&mut play, 8_000, &[CRASHING_PART], CRASH_INTERVAL_MS);
    let crashes = play.crashes_ms.len();
    for host in 0..4 {
        play.restart_host(host);
        play.run_for(STABLE_MS);
        for account in 0..ACCOUNTS {
            play.request_at(host, &PlayedRequest::with_parts(account, &[CRASHING_PART]));
        }
    }
    play.run_for(1_000);
    assert_eq!(play.crashes_ms.len(), crashes);
}

/// Guards against a crashing part that is cleared by answers that never went on: their callers left before the crash.
#[test]
fn callers_that_leave_clear_no_part() {
    let mut play = CrashPlay::start(6, 9, &[CRASHING_PART], 4);
    play_load(&mut play, SOUND_LOAD_MS, &[], CRASH_INTERVAL_MS);
    for _ in 0..20 {
        let left = play.request(&PlayedRequest::with_parts(1, &[CRASHING_PART]));
        play.request(&PlayedRequest::with_parts(2, &[CRASHING_PART]));
        play.leave_at_first_piece(left);
        play_load(&mut play, CRASH_INTERVAL_MS, &[], CRASH_INTERVAL_MS);
    }
    assert_stopped(&play);
    assert_eq!(play.quarantined_sound_requests(), 0);
}

/// Guards against answers that are complete before their engine crashes, and clear the part that crashes it.
#[test]
fn an_answer_that_ends_just_before_the_crash_clears_no_part() {
    let mut play = CrashPlay::start(6, 9, &[CRASHING_PART], 5);
    play_load(&mut play, SOUND_LOAD_MS, &[], CRASH_INTERVAL_MS);
    for account in 0..30 {
        play.request(&PlayedRequest {
            answer_ms: 40,
            ..PlayedRequest::with_parts(account % ACCOUNTS, &[CRASHING_PART])
        });
        play_load(&mut play, CRASH_INTERVAL_MS, &[], CRASH_INTERVAL_MS);
    }
    assert_stopped(&play);
    assert_eq!(play.quarantined_sound_requests(), 0);
}

/// Guards against a part that is refused for good after the engines have been mended.
#[test]
fn a_mended_part_is_served_after_its_quarantine() {
    let mut play = play_small_fleet(&[CRASHING_PART], 6, 8_000);
    let crashes = play.crashes_ms.len();
    play.mend(CRASHING_PART);
    play.skip(QUARANTINE_MS + MAX_TRIAL_DELAY_MS);
    for account in 0..ACCOUNTS {
        play.request(&PlayedRequest::with_parts(account, &[CRASHING_PART]));
    }
    play.run_for(3_000);
    assert_eq!(play.crashes_ms.len(), crashes);
    let last = play.outcomes.values().rev().take(ACCOUNTS as usize);
    assert!(last.filter(|it| it.refused.is_some()).count() < ACCOUNTS as usize);
    let id = play.request(&PlayedRequest::with_parts(1, &[CRASHING_PART]));
    play.run_for(2_000);
    assert!(play.outcomes[&id].is_complete);
}

/// Guards against callers that fill the memory of hosts with parts that they invent.
#[test]
fn records_of_invented_parts_are_bounded() {
    let mut play = CrashPlay::start(2, 9, &[CRASHING_PART], 7);
    for round in 0..200_u64 {
        for n in 0..20 {
            let invented = 1_000_000_000 + round * 1_000 + n * 8;
            let parts: Vec<u64> = (invented..invented + 8).collect();
            play.request(&PlayedRequest::with_parts(n % ACCOUNTS, &parts));
        }
        play.run_for(60);
        play.crash_engine(round as usize % 9);
    }
    for host in 0..play.host_count() {
        let (suspects, _) = play.dispatcher(host).suspect_counts();
        assert!(suspects <= MAX_SUSPECTS, "{suspects}");
    }
}

/// Guards against parts that are refused, and so never cleared, after all engines have crashed at once again and again
/// with nothing answered in between: those that all prompts have not at all, others not for long.
#[test]
fn crashes_of_all_engines_refuse_no_sound_part_for_long() {
    for seed in 0..5 {
        let mut play = CrashPlay::start(6, 3, &[], seed);
        play_load(&mut play, SOUND_LOAD_MS, &[], CRASH_INTERVAL_MS);
        for _ in 0..3 {
            play_load(&mut play, 300, &[], CRASH_INTERVAL_MS);
            for engine in 0..3 {
                play.crash_engine(engine);
                play_load(&mut play, 100, &[], CRASH_INTERVAL_MS);
            }
            play.run_for(2_800);
        }
        let from_ms = play.now_ms;
        play_load(&mut play, 30_000, &[], CRASH_INTERVAL_MS);
        let refused = play.outcomes.values().filter(|it| it.is_quarantined());
        let refused: Vec<_> = refused.map(|it| it.arrived_ms).collect();
        assert!(
            refused.len() * 10 < play.outcomes.len(),
            "seed {seed}: {}",
            refused.len()
        );
        let late = refused
            .iter()
            .filter(|at_ms| **at_ms > from_ms + AMBIGUOUS_MS);
        assert_eq!(late.count(), 0, "seed {seed}");
    }
}

/// Guards against evidence that hosts tell each other again and again after its time, so that it never goes.
#[parameterized(small_fleet = { 6, 9 }, relays = { 14, 9 })]
fn evidence_that_is_out_of_date_is_forgotten_by_all_hosts(hosts: usize, engines: usize) {
    let mut play = CrashPlay::start(hosts, engines, &[], 8);
    play_load(&mut play, SOUND_LOAD_MS, &[], CRASH_INTERVAL_MS);
    for crash in 0..24 {
        play_load(&mut play, 300, &[], CRASH_INTERVAL_MS);
        play.crash_engine(crash % engines);
    }
    play.run_for(2_000);
    play.skip(QUARANTINE_MS + MAX_TRIAL_DELAY_MS + FORGOTTEN_WITHIN_MS);
    for host in 0..play.host_count() {
        let (suspects, _) = play.dispatcher(host).suspect_counts();
        assert_eq!(suspects, 0, "host {host}");
    }
}

/// Guards against a crashing part that is found only behind a part that all prompts have, or among several.
#[parameterized(
    first = { &[CRASHING_PART, 100, 1_000] },
    only_shared_one = { &[CRASHING_PART] },
    last_shared_one = { &[1, 100, 1_000, CRASHING_PART] },
)]
fn a_crashing_part_is_found_at_any_place(parts: &[u64]) {
    let mut play = CrashPlay::start(6, 9, &[CRASHING_PART], 9);
    play_load(&mut play, SOUND_LOAD_MS, &[], CRASH_INTERVAL_MS);
    for _ in 0..30 {
        play.request(&PlayedRequest {
            parts: parts.to_vec(),
            ..PlayedRequest::with_parts(0, &[])
        });
        play_load(&mut play, CRASH_INTERVAL_MS, &[], CRASH_INTERVAL_MS);
    }
    assert_stopped(&play);
    assert_sound_requests_served(&play, play.now_ms - 2 * STABLE_MS);
}

/// Guards against a crashing part that hides among crashes of other causes, and against sound parts that are refused with it.
#[test]
fn a_crashing_part_is_found_among_crashes_of_other_causes() {
    for seed in 0..5 {
        let mut play = CrashPlay::start(6, 9, &[CRASHING_PART], seed);
        play_load(&mut play, SOUND_LOAD_MS, &[], CRASH_INTERVAL_MS);
        for crash in 0..10 {
            play_load(&mut play, 1_500, &[CRASHING_PART], CRASH_INTERVAL_MS);
            play.crash_engine(crash * 4 % 9);
        }
        play_load(&mut play, 5_000, &[CRASHING_PART], CRASH_INTERVAL_MS);
        assert_stopped(&play);
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against a content that all requests have, with long answers, and that is refused in place of the crashing part.
#[test]
fn a_common_content_with_long_answers_is_served_beside_a_crashing_part() {
    for seed in 0..5 {
        let mut play = CrashPlay::start(6, 9, &[CRASHING_PART], seed);
        for step in 0..600 {
            let alike = |parts: &[u64]| PlayedRequest {
                answer_ms: 3_000,
                content: Some(50),
                ..PlayedRequest::with_parts(step % ACCOUNTS, parts)
            };
            play.request(&alike(&[1_000 + step % 7]));
            if step > 40 && step % 6 == 0 {
                play.request(&alike(&[CRASHING_PART, 1_000 + step % 7]));
            }
            play.run_for(50);
        }
        assert_stopped(&play);
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against streams that take long and are refused or not resumed beside a crashing part.
#[test]
fn long_streams_beside_a_crashing_part_are_no_suspects() {
    let mut play = CrashPlay::start(6, 9, &[CRASHING_PART], 10);
    for step in 0..300 {
        play.request(&PlayedRequest {
            answer_ms: 8_000,
            ..PlayedRequest::with_parts(step % ACCOUNTS, &[2_000 + step % 7])
        });
        if step % 10 == 9 {
            play.request(&PlayedRequest::with_parts(
                step % ACCOUNTS,
                &[CRASHING_PART],
            ));
        }
        play.run_for(100);
    }
    assert_stopped(&play);
    assert_eq!(play.quarantined_sound_requests(), 0);
}

/// Guards against hosts that were cut off from the others and let requests with a known crashing part through when they are
/// back.
#[test]
fn hosts_that_were_cut_off_learn_of_a_crashing_part() {
    let mut play = CrashPlay::start(6, 9, &[CRASHING_PART], 11);
    play_load(&mut play, SOUND_LOAD_MS, &[], CRASH_INTERVAL_MS);
    play.cut_off(&[4, 5]);
    for step in 0..30 {
        let request = PlayedRequest::with_parts(step % ACCOUNTS, &[CRASHING_PART]);
        play.request_at(step as usize % 4, &request);
        play_load(&mut play, 400, &[], CRASH_INTERVAL_MS);
    }
    play.cut_off(&[]);
    play.run_for(STABLE_MS);
    let crashes = play.crashes_ms.len();
    for step in 0..8 {
        let request = PlayedRequest::with_parts(step % ACCOUNTS, &[CRASHING_PART]);
        play.request_at(4 + step as usize % 2, &request);
        play_load(&mut play, 400, &[], CRASH_INTERVAL_MS);
    }
    assert_eq!(play.crashes_ms.len(), crashes);
    assert_eq!(play.quarantined_sound_requests(), 0);
}

/// Guards against requests that are sent to an engine after it has crashed and count as the cause of the crash.
#[test]
fn requests_sent_after_a_crash_are_no_suspects() {
    let mut play = CrashPlay::start(1, 1, &[], 12);
    play.close_connections_when_down();
    play.request(&PlayedRequest::with_parts(0, &[1_000]));
    play.run_for(1_000);
    play.crash_engine(0);
    for account in 0..ACCOUNTS {
        play.run_for(500);
        play.request(&PlayedRequest::with_parts(account, &[2_000]));
    }
    play.run_for(100);
    // Only the whole request that was in progress.
    assert_eq!(play.dispatcher(0).suspect_counts().0, 1);
}

/// Guards against requests that count as the cause of a crash since an earlier connection of theirs was lost.
#[test]
fn a_lost_connection_to_an_engine_that_is_up_is_no_crash() {
    let mut play = CrashPlay::start(1, 1, &[], 13);
    let id = play.request(&PlayedRequest::with_parts(0, &[1_000]));
    play.run_for(10);
    play.lose_connection(id);
    play.run_for(1_000);
    play.crash_engine(0);
    play.request(&PlayedRequest::with_parts(0, &[2_000]));
    play.run_for(100);
    assert_eq!(play.dispatcher(0).suspect_counts().0, 0);
}
