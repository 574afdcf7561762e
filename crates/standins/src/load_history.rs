//! Keeps past load figures for load reports that lag or freeze.

use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_protocol::engine::LoadReport;

/// Retention of past figures; no lag can be longer.
const RETENTION: Duration = Duration::from_secs(60);

/// Past load figures of an endpoint.
#[derive(Debug, Default)]
pub struct LoadHistory {
    changes: VecDeque<LoadChange>,
    frozen: Option<LoadChange>,
}

#[derive(Debug, Clone, Copy, Default)]
struct LoadChange {
    at: Duration,
    running: u32,
    waiting: u32,
}

impl LoadHistory {
    /// Records the current figures.
    pub fn record(&mut self, at: Duration, running: usize, waiting: usize) {
        self.changes.push_back(LoadChange {
            at,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
        });
        // One change older than the retention stays: it holds the figures at the limit.
        while self.changes.len() > 1 && self.changes[1].at + RETENTION < at {
            self.changes.pop_front();
        }
    }

    /// Returns the figures of `lag` ago; while frozen, those of the first frozen report.
    pub fn report(&mut self, now: Duration, lag: Duration, frozen: bool, slots: u32) -> LoadReport {
        let as_of = now.saturating_sub(lag);
        let current = self.as_of(as_of);
        let change = if frozen {
            *self.frozen.get_or_insert(LoadChange {
                at: as_of,
                ..current
            })
        } else {
            self.frozen = None;
            LoadChange {
                at: as_of,
                ..current
            }
        };
        LoadReport {
            running: change.running,
            waiting: change.waiting,
            slots,
            age_ms: u64::try_from((now - change.at).as_millis()).unwrap_or(u64::MAX),
            leaving: false,
        }
    }

    fn as_of(&self, at: Duration) -> LoadChange {
        self.changes
            .iter()
            .rfind(|change| change.at <= at)
            .copied()
            .unwrap_or_default()
    }
}
