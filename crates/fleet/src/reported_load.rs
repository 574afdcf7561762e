//! Keeps the load that endpoints state in their answers, for as long as it can be believed.

use std::time::Duration;

use nohash_hasher::IntMap;

/// Time for which a stated load is believed. Requests come and go within a few steps of an engine, and slow spells of a
/// machine begin and end many times a second.
const MAX_AGE: Duration = Duration::from_millis(60);
/// Bounds of a slowdown that is believed, so that a false figure cannot exclude an endpoint.
const SLOWDOWN_BOUNDS: std::ops::RangeInclusive<f64> = 1.0..=10.0;
/// Work time in percent on a machine that works as usual.
const USUAL_WORK_PERCENT: f64 = 100.0;

/// Load that an endpoint stated in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that the endpoint runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Time that work takes there, in percent of the usual time; `None` if it was not stated.
    pub work_percent: Option<u32>,
}

/// Newest stated load of each endpoint, by [`Endpoint::key`](crate::endpoint_table::Endpoint::key).
#[derive(Debug, Default)]
pub struct ReportedLoads {
    loads: IntMap<u64, (Duration, ReportedLoad)>,
}

impl ReportedLoads {
    /// Records the load of an endpoint as stated in an answer that arrived now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::reported_load::ReportedLoad;
    /// use sedgeridge_fleet::reported_load::ReportedLoads;
    ///
    /// let mut loads = ReportedLoads::default();
    /// let load = ReportedLoad { running: 3, waiting: 1, slots: 8, work_percent: Some(250) };
    /// loads.note(Duration::ZERO, 7, load);
    /// assert_eq!(loads.requests(Duration::ZERO, 7), Some(4));
    /// assert_eq!(loads.slowdown(Duration::ZERO, 7), 2.5);
    /// assert_eq!(loads.slowdown(Duration::from_secs(1), 7), 1.0);
    /// ```
    pub fn note(&mut self, now: Duration, endpoint: u64, load: ReportedLoad) {
        self.loads.insert(endpoint, (now, load));
    }

    /// Returns how many times as long as usual work takes at an endpoint; 1 if it stated nothing lately.
    pub fn slowdown(&self, now: Duration, endpoint: u64) -> f64 {
        let percent = self
            .get(now, endpoint)
            .and_then(|load| load.work_percent)
            .map_or(USUAL_WORK_PERCENT, f64::from);
        let (least, most) = (*SLOWDOWN_BOUNDS.start(), *SLOWDOWN_BOUNDS.end());
        (percent / USUAL_WORK_PERCENT).clamp(least, most)
    }

    /// Returns how many requests run and wait at an endpoint, if it stated that lately.
    pub fn requests(&self, now: Duration, endpoint: u64) -> Option<u32> {
        let load = self.get(now, endpoint)?;
        Some(load.running.saturating_add(load.waiting))
    }

    /// Removes the load of an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u64) {
        self.loads.remove(&endpoint);
    }

    /// Removes loads that are too old to be believed.
    pub fn tick(&mut self, now: Duration) {
        self.loads.retain(|_, (at, _)| is_believed(now, *at));
    }

    fn get(&self, now: Duration, endpoint: u64) -> Option<&ReportedLoad> {
        let (at, load) = self.loads.get(&endpoint)?;
        is_believed(now, *at).then_some(load)
    }
}

fn is_believed(now: Duration, at: Duration) -> bool {
    now.saturating_sub(at) <= MAX_AGE
}
