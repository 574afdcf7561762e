//! Whole requests that crash the endpoints that run them and come again: found from few crashes, at any host, while all
//! others are served as ever.

mod support;

use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::crash_evidence::MAX_SUSPECTS;
use yare::parameterized;

use support::crash_play::CrashPlay;
use support::crash_play::PlainKind;
use support::crash_play::PlayedRequest;

/// Content of the request that crashes endpoints.
const CRASHING_CONTENT: u64 = 666;
/// Content of another one.
const SECOND_CRASHING_CONTENT: u64 = 777;
/// Content that many sound requests share.
const COMMON_CONTENT: u64 = 50;
/// Crashes after which few further requests with the content may reach endpoints.
const MAX_CRASHES: usize = 3;
/// Time after the last of these crashes until the fleet has to act on them.
const STABLE_MS: u64 = 3_000;
/// Requests with the content that may reach endpoints later all the same.
const MAX_LATE_SENDS: usize = 3;
/// Smallest share of sound requests that are sent at once, after the last crash.
const MIN_SENT_AT_ONCE: f64 = 0.9;
const HOSTS: usize = 6;
const SEEDS: u64 = 40;
const STEP_MS: u64 = 20;
/// Interval of sound requests: 26 a second.
const SOUND_INTERVAL_MS: u64 = 38;
/// Time with sound requests only, before others come.
const SOUND_LOAD_MS: u64 = 2_000;
/// Duration of a first quarantine.
const QUARANTINE_MS: u64 = 300_000;
/// Longest time after it in which a host still refuses the request.
const MAX_TRIAL_DELAY_MS: u64 = 60_000;
/// Account that sends the crashing request.
const CRASHING_ACCOUNT: u64 = 1;

const IDEMPOTENT: PlainKind = PlainKind {
    repeat: Repeat::Idempotent,
    max_attempts: 2,
};
const AT_MOST_ONCE: PlainKind = PlainKind {
    repeat: Repeat::AtMostOnce,
    max_attempts: 1,
};

/// Requests of a play.
#[derive(Clone, Copy)]
struct Load {
    sound_interval_ms: u64,
    /// Interval of the crashing request; `None` if it does not come.
    crash_interval_ms: Option<u64>,
    kind: PlainKind,
    /// Whether a third of the sound requests have the same content.
    has_common_content: bool,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            sound_interval_ms: SOUND_INTERVAL_MS,
            crash_interval_ms: None,
            kind: IDEMPOTENT,
            has_common_content: false,
        }
    }
}

impl Load {
    /// A load with the crashing request at an interval.
    fn crashing(kind: PlainKind, crash_interval_ms: u64) -> Self {
        Self {
            crash_interval_ms: Some(crash_interval_ms),
            kind,
            ..Self::default()
        }
    }

    /// The same without the crashing request.
    fn sound(self) -> Self {
        Self {
            crash_interval_ms: None,
            ..self
        }
    }

    fn play(self, play: &mut CrashPlay, ms: u64) {
        let is_due =
            |at_ms: u64, interval_ms: u64| at_ms / interval_ms != (at_ms + STEP_MS) / interval_ms;
        for at_ms in (0..ms).step_by(STEP_MS as usize) {
            if is_due(at_ms, self.sound_interval_ms) {
                play.request(&self.sound_request(at_ms / self.sound_interval_ms));
            }
            if self
                .crash_interval_ms
                .is_some_and(|interval_ms| is_due(at_ms, interval_ms))
            {
                play.request(&crashing_request(self.kind));
            }
            play.run_for(STEP_MS);
        }
    }

    fn sound_request(self, number: u64) -> PlayedRequest {
        let (kind, content) = match number.is_multiple_of(3) {
            true => (
                IDEMPOTENT,
                self.has_common_content.then_some(COMMON_CONTENT),
            ),
            false => (AT_MOST_ONCE, None),
        };
        PlayedRequest::plain(CRASHING_ACCOUNT, kind, content)
    }
}

fn start(endpoints: usize, seed: u64) -> CrashPlay {
    let mut play = CrashPlay::start_plain(HOSTS, endpoints, seed);
    play.break_engines_for_content(CRASHING_CONTENT);
    Load::default().play(&mut play, SOUND_LOAD_MS);
    play
}

fn crashing_request(kind: PlainKind) -> PlayedRequest {
    PlayedRequest::plain(CRASHING_ACCOUNT, kind, Some(CRASHING_CONTENT))
}

#[track_caller]
fn assert_stopped(play: &CrashPlay, seed: u64) {
    assert_stopped_by(play, CRASHING_CONTENT, seed);
}

#[track_caller]
fn assert_stopped_by(play: &CrashPlay, content: u64, seed: u64) {
    let crashes = play.crashes_of(content);
    let Some(third) = crashes.get(MAX_CRASHES - 1) else {
        return;
    };
    let sends = play.sends_of(content);
    let late = sends.iter().filter(|at_ms| **at_ms > third + STABLE_MS);
    let late = late.count();
    assert!(
        late <= MAX_LATE_SENDS,
        "seed {seed}: {late} late sends, crashes at {crashes:?}"
    );
}

#[track_caller]
fn assert_sound_requests_served(play: &CrashPlay, seed: u64) {
    assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    let last_ms = play.crashes_ms.last().copied().unwrap_or_default();
    let share = play.share_sent_at_once(last_ms + 2 * STABLE_MS);
    assert!(
        share >= MIN_SENT_AT_ONCE,
        "seed {seed}: {share} of the sound requests were sent at once"
    );
}

/// Guards against a request that comes again and crashes endpoint after endpoint of a service with little traffic.
#[parameterized(
    seldom_few = { 3, IDEMPOTENT, 667 },
    seldom_more = { 10, IDEMPOTENT, 667 },
    often_few = { 3, IDEMPOTENT, 167 },
    often_more = { 10, IDEMPOTENT, 167 },
    at_most_once_few = { 3, AT_MOST_ONCE, 500 },
    at_most_once_more = { 10, AT_MOST_ONCE, 500 },
    at_most_once_often = { 10, AT_MOST_ONCE, 167 },
    very_seldom = { 3, AT_MOST_ONCE, 4_000 },
)]
fn a_request_that_comes_again_is_stopped(endpoints: usize, kind: PlainKind, interval_ms: u64) {
    for seed in 0..SEEDS {
        let mut play = start(endpoints, seed);
        Load::crashing(kind, interval_ms).play(&mut play, 30_000);
        assert_stopped(&play, seed);
        assert_sound_requests_served(&play, seed);
    }
}

/// Guards against a crash that comes long after its request was sent, when the host has given the attempt up.
#[parameterized(
    soon = { 20, 3, IDEMPOTENT },
    half_a_second = { 500, 3, IDEMPOTENT },
    after_the_attempt = { 900, 3, IDEMPOTENT },
    after_the_attempt_more = { 900, 10, IDEMPOTENT },
    after_the_caller_left = { 1_400, 3, AT_MOST_ONCE },
    half_a_second_at_most_once = { 500, 10, AT_MOST_ONCE },
)]
fn a_request_that_crashes_late_is_stopped(delay_ms: u64, endpoints: usize, kind: PlainKind) {
    for seed in 0..SEEDS {
        let mut play = start(endpoints, seed);
        play.crash_delay_ms = delay_ms;
        Load::crashing(kind, 667).play(&mut play, 30_000);
        assert_stopped(&play, seed);
        assert_sound_requests_served(&play, seed);
    }
}

/// Guards against a request whose crashes go under among those of other causes.
#[parameterized(
    few = { 3, 4_500, 667 },
    few_often = { 3, 4_500, 167 },
    more = { 10, 1_500, 667 },
    more_seldom = { 10, 1_500, 4_000 },
)]
fn a_request_is_stopped_among_crashes_of_other_causes(
    endpoints: usize,
    other_interval_ms: u64,
    interval_ms: u64,
) {
    for seed in 0..SEEDS {
        let mut play = start(endpoints, seed);
        for crash in 0..30_000 / other_interval_ms {
            play.crash_engine(crash as usize * 7 % endpoints);
            Load::crashing(IDEMPOTENT, interval_ms).play(&mut play, other_interval_ms);
        }
        assert_stopped(&play, seed);
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against a request that makes up most of a little traffic, or hides in much.
#[parameterized(hardly_any = { 1_000 }, none = { 1_000_000 }, much = { 20 })]
fn a_request_is_stopped_whatever_else_comes(sound_interval_ms: u64) {
    for seed in 0..SEEDS {
        let mut play = start(3, seed);
        let load = Load {
            sound_interval_ms,
            ..Load::crashing(IDEMPOTENT, 500)
        };
        load.play(&mut play, 30_000);
        assert_stopped(&play, seed);
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against a request that is known, stops coming and is let through when it comes again.
#[test]
fn a_request_that_pauses_is_still_known() {
    for seed in 0..SEEDS {
        let mut play = start(3, seed);
        let load = Load::crashing(IDEMPOTENT, 667);
        for _ in 0..4 {
            load.play(&mut play, 5_000);
            load.sound().play(&mut play, 14_000);
        }
        assert_stopped(&play, seed);
        assert_sound_requests_served(&play, seed);
    }
}

/// Guards against hosts that start again without what they knew.
#[parameterized(few = { 3 }, more = { 10 })]
fn restarted_hosts_learn_of_a_request(endpoints: usize) {
    for seed in 0..SEEDS {
        let mut play = start(endpoints, seed);
        let load = Load::crashing(IDEMPOTENT, 667);
        for host in 0..15 {
            load.play(&mut play, 2_000);
            play.restart_host(host % HOSTS);
        }
        assert_stopped(&play, seed);
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against hosts that were paused while the others learned of a request.
#[test]
fn paused_hosts_learn_of_a_request() {
    for seed in 0..SEEDS {
        let mut play = start(3, seed);
        let load = Load::crashing(IDEMPOTENT, 667);
        for host in 0..10 {
            play.pause_host(host % HOSTS);
            play.pause_host((host + 1) % HOSTS);
            load.play(&mut play, 2_000);
            play.resume_hosts();
            load.play(&mut play, 1_000);
        }
        assert_stopped(&play, seed);
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against hosts that were cut off from the others and send a request that the others know.
#[test]
fn hosts_that_were_cut_off_learn_of_a_request() {
    for seed in 0..SEEDS {
        let mut play = start(3, seed);
        play.cut_off(&[4, 5]);
        for _ in 0..20 {
            for host in 0..4 {
                play.request_at(host, &crashing_request(IDEMPOTENT));
                Load::default().play(&mut play, 300);
            }
        }
        play.cut_off(&[]);
        play.run_for(STABLE_MS);
        let crashes = play.crashes_ms.len();
        for host in [4, 5, 4, 5] {
            play.request_at(host, &crashing_request(IDEMPOTENT));
            Load::default().play(&mut play, 300);
        }
        assert_eq!(play.crashes_ms.len(), crashes, "seed {seed}");
        assert_stopped(&play, seed);
    }
}

/// Guards against two requests that each hide behind the crashes of the other.
#[parameterized(few = { 3 }, more = { 10 })]
fn two_requests_that_crash_endpoints_are_both_stopped(endpoints: usize) {
    for seed in 0..SEEDS {
        let mut play = start(endpoints, seed);
        play.break_engines_for_content(SECOND_CRASHING_CONTENT);
        for _ in 0..40 {
            play.request(&crashing_request(IDEMPOTENT));
            Load::default().play(&mut play, 400);
            let second = Some(SECOND_CRASHING_CONTENT);
            play.request(&PlayedRequest::plain(
                CRASHING_ACCOUNT,
                AT_MOST_ONCE,
                second,
            ));
            Load::default().play(&mut play, 300);
        }
        for content in [CRASHING_CONTENT, SECOND_CRASHING_CONTENT] {
            assert_stopped_by(&play, content, seed);
        }
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against copies of a request that reach all endpoints at the same moment and count as one crash.
#[parameterized(few = { 3 }, more = { 10 })]
fn copies_of_a_request_at_the_same_moment_are_stopped(endpoints: usize) {
    for seed in 0..SEEDS {
        let mut play = start(endpoints, seed);
        for _ in 0..6 {
            for _ in 0..12 {
                play.request(&crashing_request(AT_MOST_ONCE));
            }
            Load::default().play(&mut play, 5_000);
        }
        assert_stopped(&play, seed);
        assert_sound_requests_served(&play, seed);
    }
}

/// Guards against a content that many requests have and that is refused for the crashes of another request.
#[parameterized(
    few = { 3, 667 },
    few_often = { 3, 167 },
    more = { 10, 667 },
    more_often = { 10, 167 },
)]
fn a_common_content_is_served_beside_a_crashing_request(endpoints: usize, interval_ms: u64) {
    for seed in 0..SEEDS {
        let mut play = CrashPlay::start_plain(HOSTS, endpoints, seed);
        play.break_engines_for_content(CRASHING_CONTENT);
        let load = Load {
            has_common_content: true,
            ..Load::crashing(IDEMPOTENT, interval_ms)
        };
        load.sound().play(&mut play, SOUND_LOAD_MS);
        load.play(&mut play, 30_000);
        assert_stopped(&play, seed);
        assert_sound_requests_served(&play, seed);
    }
}

/// Guards against sound contents that are refused since endpoints crash for other causes.
#[parameterized(few = { 3 }, more = { 10 })]
fn crashes_of_other_causes_quarantine_no_content(endpoints: usize) {
    for seed in 0..SEEDS {
        let mut play = CrashPlay::start_plain(HOSTS, endpoints, seed);
        let load = Load {
            has_common_content: true,
            ..Load::default()
        };
        load.play(&mut play, SOUND_LOAD_MS);
        for round in 0..6 {
            for crash in 0..endpoints {
                play.crash_engine((round + crash) % endpoints);
                load.play(&mut play, 120);
            }
            load.play(&mut play, 4_000);
        }
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against a request that worked until a moment ago and is excused for that.
#[parameterized(few = { 3, 667 }, few_often = { 3, 167 }, more = { 10, 667 }, more_often = { 10, 167 })]
fn a_request_that_worked_before_is_stopped(endpoints: usize, interval_ms: u64) {
    for seed in 0..SEEDS {
        let mut play = CrashPlay::start_plain(HOSTS, endpoints, seed);
        let load = Load::crashing(IDEMPOTENT, interval_ms);
        load.play(&mut play, 10_000);
        play.break_engines_for_content(CRASHING_CONTENT);
        load.play(&mut play, 30_000);
        assert_stopped(&play, seed);
        assert_sound_requests_served(&play, seed);
    }
}

/// Guards against a request that is refused for good after the endpoints have been mended.
#[test]
fn a_mended_request_is_served_after_its_quarantine() {
    for seed in 0..SEEDS {
        let mut play = start(3, seed);
        Load::crashing(IDEMPOTENT, 667).play(&mut play, 8_000);
        let crashes = play.crashes_ms.len();
        play.mend_content(CRASHING_CONTENT);
        play.skip(QUARANTINE_MS + MAX_TRIAL_DELAY_MS);
        play.request(&crashing_request(IDEMPOTENT));
        play.run_for(2_000);
        let id = play.request(&crashing_request(IDEMPOTENT));
        play.run_for(2_000);
        assert!(play.outcomes[&id].is_complete, "seed {seed}");
        assert_eq!(play.crashes_ms.len(), crashes, "seed {seed}");
    }
}

/// Guards against a whole request with a prompt that crashes engines, while sound requests have all of its parts.
#[parameterized(
    soon = { 80, 700 },
    often = { 80, 200 },
    after_half_a_second = { 600, 700 },
    after_a_second = { 1_100, 700 },
    after_three_seconds = { 3_000, 400 },
    after_four_seconds = { 4_000, 667 },
)]
fn a_request_with_a_prompt_is_stopped(delay_ms: u64, interval_ms: u64) {
    for seed in 0..SEEDS {
        let mut play = CrashPlay::start(HOSTS, 9, &[], seed);
        play.break_engines_for_content(CRASHING_CONTENT);
        play.crash_delay_ms = delay_ms;
        for step in 0..1_500_u64 {
            let document = 1_000 + step % 40;
            play.request(&PlayedRequest::with_parts(step % 4, &[document]));
            if (step * STEP_MS).is_multiple_of(interval_ms) {
                play.request(&PlayedRequest {
                    content: Some(CRASHING_CONTENT),
                    answer_ms: delay_ms + 2_000,
                    ..PlayedRequest::with_parts(CRASHING_ACCOUNT, &[1_000])
                });
            }
            play.run_for(STEP_MS);
        }
        assert_stopped(&play, seed);
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against a request that is found too late in a fleet in which relays pass reports on.
#[parameterized(few = { 3, 667 }, few_often = { 3, 167 }, more = { 10, 667 }, more_often = { 10, 167 })]
fn a_request_is_stopped_in_a_fleet_with_relays(endpoints: usize, interval_ms: u64) {
    for seed in 0..8 {
        let mut play = CrashPlay::start_plain(40, endpoints, seed);
        play.break_engines_for_content(CRASHING_CONTENT);
        Load::crashing(IDEMPOTENT, interval_ms).play(&mut play, 30_000);
        assert_stopped(&play, seed);
        assert_eq!(play.quarantined_sound_requests(), 0, "seed {seed}");
    }
}

/// Guards against callers that fill the memory of hosts with contents that they invent.
#[test]
fn records_of_invented_contents_are_bounded() {
    let mut play = CrashPlay::start_plain(2, 9, 0);
    for round in 0..200 {
        for _ in 0..40 {
            play.request(&PlayedRequest::plain(CRASHING_ACCOUNT, AT_MOST_ONCE, None));
        }
        play.run_for(10);
        play.crash_engine(round % 9);
        play.run_for(60);
    }
    for host in 0..play.host_count() {
        let (suspects, _) = play.dispatcher(host).suspect_counts();
        assert!(suspects <= MAX_SUSPECTS, "{suspects}");
    }
}
