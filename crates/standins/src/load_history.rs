//! Load reports with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_protocol::engine::LoadReport;

/// How long past figures are kept; no lag can be longer.
const KEPT: Duration = Duration::from_secs(60);

/// Past load figures of an endpoint.
#[derive(Debug, Default)]
pub struct LoadHistory {
    changes: VecDeque<Change>,
    frozen: Option<Change>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Change {
    at: Duration,
    running: u32,
    waiting: u32,
}

impl LoadHistory {
    /// Notes the current figures.
    pub fn note(&mut self, at: Duration, running: usize, waiting: usize) {
        self.changes.push_back(Change {
            at,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
        });
        // One change older than the limit stays: it tells the figures at the limit.
        while self.changes.len() > 1 && self.changes[1].at + KEPT < at {
            self.changes.pop_front();
        }
    }

    /// The report as of `lag` ago, or the same one as before while frozen.
    pub fn report(&mut self, now: Duration, lag: Duration, frozen: bool, slots: u32) -> LoadReport {
        let seen = now.saturating_sub(lag);
        let current = self.as_of(seen);
        let change = if frozen {
            *self.frozen.get_or_insert(Change {
                at: seen,
                ..current
            })
        } else {
            self.frozen = None;
            Change {
                at: seen,
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

    fn as_of(&self, at: Duration) -> Change {
        self.changes
            .iter()
            .rfind(|change| change.at <= at)
            .copied()
            .unwrap_or_default()
    }
}
