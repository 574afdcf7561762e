//! Polls which generation of the configuration each router has in force.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use sedgeridge_protocol::operator::RouterStatus;
use sedgeridge_protocol::operator::STATUS_PATH;
use ureq::Agent;

use crate::client::now_us;
use crate::fault_figures::FaultFigures;
use crate::operators::ChangeOutcome;
use crate::plan::RouterPlan;

/// Time between two status requests to a router; in-force times are late by at most this interval
/// plus the time of the answer.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Generation that a router reported at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationSample {
    /// Time of the report.
    pub at_us: u64,
    /// Host of the router.
    pub host: String,
    /// Generation that it has in force.
    pub generation: u64,
}

/// Samples of every router so far.
#[derive(Debug, Default)]
pub struct ConfigWatch {
    samples: Mutex<Vec<GenerationSample>>,
}

impl ConfigWatch {
    /// Polls one router until `done` is set. A router that is not ready may have no configuration
    /// yet, so its reports are skipped.
    pub fn watch(&self, agent: &Agent, router: &RouterPlan, done: &AtomicBool) {
        while !done.load(Ordering::Relaxed) {
            if let Some(status) = status(agent, router).filter(|status| status.ready) {
                self.lock().push(GenerationSample {
                    at_us: now_us(),
                    host: router.name.clone(),
                    generation: status.config_generation,
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether every router was seen with this generation or a later one.
    pub fn in_force_everywhere(&self, routers: &[RouterPlan], generation: u64) -> bool {
        let samples = self.lock();
        let hosts: HashSet<&str> = samples
            .iter()
            .filter(|s| s.generation >= generation)
            .map(|s| s.host.as_str())
            .collect();
        routers.iter().all(|r| hosts.contains(r.name.as_str()))
    }

    /// Samples in order of time.
    pub fn into_samples(self) -> Vec<GenerationSample> {
        let samples = self.samples.into_inner();
        let mut samples = samples.unwrap_or_else(PoisonError::into_inner);
        samples.sort_by_key(|s| s.at_us);
        samples
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<GenerationSample>> {
        // Only complete samples are pushed, so a poisoned lock still holds valid data.
        self.samples.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn status(agent: &Agent, router: &RouterPlan) -> Option<RouterStatus> {
    let url = format!("http://{}{STATUS_PATH}", router.operator_address);
    let request = agent.get(url).config();
    let request = request.timeout_global(Some(STATUS_TIMEOUT)).build();
    let text = request.call().ok()?.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}

/// Configuration changes of one run and the generations that routers reported.
#[derive(Debug, Clone, Copy)]
pub struct ConfigRecord<'a> {
    /// How the changes ended for their operators.
    pub outcomes: &'a [ChangeOutcome],
    /// Samples in order of time.
    pub samples: &'a [GenerationSample],
    /// Every router.
    pub routers: &'a [RouterPlan],
    /// End of the network partition, if there was one.
    pub healed_at_us: Option<u64>,
}

impl ConfigRecord<'_> {
    /// Computes the figures about configuration changes.
    pub fn figures(&self) -> FaultFigures {
        let mut figures = FaultFigures {
            config_reversions: Some(reversions(self.samples)),
            ..FaultFigures::default()
        };
        if self.outcomes.is_empty() {
            return figures;
        }
        let accepted = self.accepted();
        let generations: HashSet<u64> = accepted.iter().map(|(g, _)| *g).collect();
        let count = |wanted: fn(&ChangeOutcome) -> bool| {
            Some(self.outcomes.iter().filter(|o| wanted(o)).count() as u64)
        };
        figures.config_changes = Some(accepted.len() as u64);
        figures.config_conflicts = count(|o| *o == ChangeOutcome::Conflict);
        figures.config_failures = count(|o| matches!(o, ChangeOutcome::Failed(_)));
        figures.config_won_twice = Some((accepted.len() - generations.len()) as u64);
        let from_acceptance = self.in_force_delays_us(&accepted, 0);
        let missing = from_acceptance.iter().filter(|t| t.is_none()).count();
        figures.config_not_in_force = Some(missing as u64);
        figures.config_in_force_p99_ms = p99_ms(from_acceptance);
        if let Some(healed_at_us) = self.healed_at_us {
            let times = self.in_force_delays_us(&accepted, healed_at_us);
            figures.config_in_force_after_heal_p99_ms = p99_ms(times);
        }
        figures
    }

    fn accepted(&self) -> Vec<(u64, u64)> {
        let accepted = self.outcomes.iter().filter_map(|outcome| match outcome {
            ChangeOutcome::Accepted {
                generation,
                told_at_us,
            } => Some((*generation, *told_at_us)),
            ChangeOutcome::Conflict | ChangeOutcome::Failed(_) => None,
        });
        accepted.collect()
    }

    /// Time until each change is in force at each router, counted from its acceptance or from
    /// `not_before_us`, whichever is later; absent if the router never had it in force.
    fn in_force_delays_us(&self, accepted: &[(u64, u64)], not_before_us: u64) -> Vec<Option<u64>> {
        let mut times = Vec::new();
        for (generation, told_at_us) in accepted {
            for router in self.routers {
                let seen = self.samples.iter().find(|s| {
                    s.host == router.name && s.generation >= *generation && s.at_us >= *told_at_us
                });
                let from_us = (*told_at_us).max(not_before_us);
                times.push(seen.map(|s| s.at_us.saturating_sub(from_us)));
            }
        }
        times
    }
}

/// Counts how often a host reported a lower generation than before, restarts included.
///
/// ```
/// use sedgeridge_load::config_watch::GenerationSample;
/// use sedgeridge_load::config_watch::reversions;
/// let seen = |generation| GenerationSample { at_us: 0, host: "router-1".into(), generation };
/// assert_eq!(reversions(&[seen(1), seen(2), seen(1), seen(1)]), 1);
/// ```
pub fn reversions(samples: &[GenerationSample]) -> u64 {
    let mut last: HashMap<&str, u64> = HashMap::new();
    let mut decreases = 0;
    for sample in samples {
        let before = last.insert(&sample.host, sample.generation);
        decreases += u64::from(before.is_some_and(|before| before > sample.generation));
    }
    decreases
}

fn p99_ms(times: Vec<Option<u64>>) -> Option<f64> {
    let mut times_us: Vec<u64> = times.into_iter().flatten().collect();
    times_us.sort_unstable();
    let rank = (times_us.len() as f64 * 0.99).ceil() as usize;
    let time_us = times_us.get(rank.checked_sub(1)?)?;
    Some(*time_us as f64 / 1_000.0)
}
