//! Reports of evidence about crashes to other hosts.

use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_fleet::crash_evidence::Crash;
use sedgeridge_fleet::crash_evidence::CrashEvidence;
use sedgeridge_fleet::crash_evidence::QuarantineCheck;
use sedgeridge_fleet::crash_evidence::Waiver;
use sedgeridge_fleet::suspect::Suspect;

/// Number of suspects in one report.
const SUSPECTS_PER_REPORT: usize = 4;
const SUSPECTS: usize = 20;

/// Guards against suspects that reach no other host while the first few are reported again and again.
#[test]
fn every_suspect_is_reported_before_any_is_repeated() {
    let mut evidence = CrashEvidence::new(1);
    let now = Duration::from_secs(1);
    for part in 0..SUSPECTS {
        let crash = Crash {
            endpoint: 1,
            sent_at: Duration::ZERO,
            lost_at: now,
        };
        evidence.add_crash(now, Suspect::Part(part as u64), crash);
    }
    let mut reported = BTreeSet::new();
    for _ in 0..SUSPECTS / SUSPECTS_PER_REPORT {
        let reports = evidence.next_reports(SUSPECTS_PER_REPORT);
        reported.extend(reports.into_iter().map(|it| it.suspect));
    }
    assert_eq!(reported.len(), SUSPECTS);
}

/// Guards against hosts that start again and learn of a refused request only after hundreds of other suspects.
#[test]
fn refused_suspects_are_reported_among_many_others() {
    let mut evidence = CrashEvidence::new(1);
    let refused = Suspect::Request(7);
    let crash = |endpoint: u64, second: u64| Crash {
        endpoint,
        sent_at: Duration::from_secs(second),
        lost_at: Duration::from_secs(second) + Duration::from_millis(60),
    };
    for endpoint in 0..3 {
        let now = Duration::from_secs(endpoint + 1);
        evidence.add_crash(now, refused, crash(endpoint, endpoint));
    }
    let now = Duration::from_secs(10);
    for number in 0..300 {
        evidence.add_crash(now, Suspect::Request(100 + number), crash(3, 9));
    }
    let quarantined = evidence.tick(now, Duration::from_secs(1), |_| None);
    assert_eq!(quarantined.len(), 1);
    // Every change has been told by then.
    for _ in 0..1_000 {
        evidence.next_reports(SUSPECTS_PER_REPORT);
    }
    let reports = evidence.next_reports(SUSPECTS_PER_REPORT);
    assert!(reports.iter().any(|it| it.suspect == refused));
}

/// Guards against a request that all callers at a host send again while the result of its trial is not known, because it
/// crashes endpoints only after seconds.
#[test]
fn a_host_tries_a_request_once_until_the_result_may_be_known() {
    const RUN_TIME: Duration = Duration::from_secs(4);
    let mut evidence = CrashEvidence::new(1);
    let request = Suspect::Request(7);
    for endpoint in 0..3 {
        let sent_at = Duration::from_secs(5 * endpoint);
        let crash = Crash {
            endpoint,
            sent_at,
            lost_at: sent_at + RUN_TIME,
        };
        evidence.add_crash(crash.lost_at, request, crash);
        evidence.add_history(request);
    }
    let now = Duration::from_secs(16);
    let quarantined = evidence.tick(now, Duration::from_secs(1), |_| None);
    assert!(quarantined[0].is_ambiguous);

    let check = |evidence: &CrashEvidence, now| evidence.check(now, &[request], |_| None);
    let trial = QuarantineCheck::Waived(request, Waiver::Trial);
    let mut steps = (0..100).map(|step| now + Duration::from_millis(250) * step);
    let trial_at = steps
        .find(|now| check(&evidence, *now) == trial)
        .expect("a trial");
    evidence.begin_trial(trial_at, request);
    assert!(matches!(
        check(&evidence, trial_at + RUN_TIME),
        QuarantineCheck::Refused(_)
    ));
    assert_eq!(check(&evidence, trial_at + RUN_TIME * 2), trial);
}
