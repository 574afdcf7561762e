//! Reports of evidence about crashes to other hosts.

use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_fleet::crash_evidence::Crash;
use sedgeridge_fleet::crash_evidence::CrashEvidence;
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
