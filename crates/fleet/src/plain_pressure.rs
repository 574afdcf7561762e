//! Derives which part of a plain service's requests can be answered in time, and shares it among client accounts.
//!
//! A host of a large fleet sends an endpoint a few requests a second and sees the other hosts' requests some tenths of a
//! second late. No host can keep a queue for an endpoint then. Each host admits a part of its own requests instead, and
//! all hosts change it alike, since they see the same sums.

use std::collections::HashMap;
use std::time::Duration;

use nohash_hasher::IntMap;
use sedgeridge_state::ids::ServiceId;

use crate::account_shares::max_min_share;

/// Time in which the admitted part changes by a factor of e while the endpoints have twice the requests that they answer
/// in time, or none: about the age of other hosts' reports. With a much shorter time the part swings to and fro.
const RESPONSE_TIME: Duration = Duration::from_millis(300);
/// Shortest time between two observations.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time between two observations that counts.
const MAX_OBSERVED_TIME: Duration = Duration::from_millis(200);
/// Smallest admitted part. The remaining requests show whether the endpoints have room again.
const MIN_ADMITTED: f64 = 0.05;
/// Time in which the counted requests of accounts decay by a factor of e.
const COUNT_TIME: Duration = Duration::from_secs(2);
/// Time without requests after which a service is forgotten.
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// Decayed count below which an account is forgotten.
const MIN_COUNT: f64 = 0.05;
/// Fraction of the time that a request can wait at an endpoint for which requests are admitted. The rest covers requests
/// that other hosts send meanwhile.
const WAIT_RATIO: f64 = 0.5;
/// Smallest wait for which requests are admitted, as a fraction of the time that a request takes.
const MIN_WAIT_RATIO: f64 = 0.5;
/// Multiple of the usual time that a request may take: a few take longer.
const WORK_SPREAD: f64 = 2.0;

/// Returns the requests that an endpoint can have at the same time and answer in time.
///
/// ```
/// use sedgeridge_fleet::plain_pressure::endpoint_limit;
///
/// assert_eq!(endpoint_limit(6, 30.0, 150.0), 15.0);
/// assert_eq!(endpoint_limit(6, 300.0, 150.0), 9.0);
/// ```
pub fn endpoint_limit(slots: u32, work_ms: f64, target_ms: f64) -> f64 {
    let work_ms = work_ms.max(1.0);
    let wait_ms = (target_ms - WORK_SPREAD * work_ms) * WAIT_RATIO;
    let wait_ms = wait_ms.max(work_ms * MIN_WAIT_RATIO);
    f64::from(slots.max(1)) * (1.0 + wait_ms / work_ms)
}

/// Admitted parts by service.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::plain_pressure::PlainPressure;
/// use sedgeridge_state::ids::ServiceId;
///
/// let service = ServiceId::from("booking");
/// let mut pressure = PlainPressure::default();
/// for number in 0..100 {
///     let now = Duration::from_millis(10 * number);
///     // Account 2 sends nine of ten requests.
///     pressure.on_arrived(&service, 2 - u64::from(number % 10 == 0));
///     pressure.observe(now, &service, 1.5);
/// }
/// assert!(pressure.admitted(&service) < 0.5);
/// assert!(pressure.admits(&service, 1, 0.9));
/// assert!(!pressure.admits(&service, 2, 0.9));
/// ```
#[derive(Debug, Default)]
pub struct PlainPressure {
    services: HashMap<ServiceId, ServicePressure>,
}

#[derive(Debug)]
struct ServicePressure {
    admitted: f64,
    observed_at: Duration,
    /// Recent requests by account.
    accounts: IntMap<u64, f64>,
    /// Recent requests up to which an account's requests are all admitted.
    max_count: f64,
}

impl Default for ServicePressure {
    fn default() -> Self {
        Self {
            admitted: 1.0,
            observed_at: Duration::ZERO,
            accounts: IntMap::default(),
            max_count: f64::INFINITY,
        }
    }
}

impl PlainPressure {
    /// Counts a request of an account that arrived.
    pub fn on_arrived(&mut self, service: &ServiceId, account: u64) {
        if let Some(pressure) = self.services.get_mut(service) {
            pressure.count(account);
            return;
        }
        let pressure = self.services.entry(service.clone()).or_default();
        pressure.count(account);
    }

    /// Tells whether it is time for the next observation of a service.
    pub fn is_observation_due(&self, now: Duration, service: &ServiceId) -> bool {
        let pressure = self.services.get(service);
        pressure.is_some_and(|it| now >= it.observed_at + OBSERVATION_INTERVAL)
    }

    /// Records the requests at the service's endpoints, as a fraction of those that are answered in time.
    pub fn observe(&mut self, now: Duration, service: &ServiceId, fill_ratio: f64) {
        if let Some(pressure) = self.services.get_mut(service) {
            pressure.observe(now, fill_ratio);
        }
    }

    /// Returns the part of the service's requests that is admitted.
    pub fn admitted(&self, service: &ServiceId) -> f64 {
        self.services.get(service).map_or(1.0, |it| it.admitted)
    }

    /// Returns the smallest admitted part of any service.
    pub fn least_admitted(&self) -> f64 {
        let admitted = self.services.values().map(|it| it.admitted);
        admitted.fold(1.0, f64::min)
    }

    /// Tells whether a request of an account is admitted, given a number from 0 to 1 that was drawn for it.
    pub fn admits(&self, service: &ServiceId, account: u64, draw: f64) -> bool {
        let Some(pressure) = self.services.get(service) else {
            return true;
        };
        let count = pressure.accounts.get(&account).copied().unwrap_or_default();
        draw * count <= pressure.max_count
    }

    /// Forgets services without recent requests. Their admitted part is from a shortage that may be over.
    pub fn tick(&mut self, now: Duration) {
        self.services
            .retain(|_, it| now < it.observed_at + MAX_SILENCE);
    }

    /// Forgets services that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&ServiceId) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }
}

impl ServicePressure {
    fn count(&mut self, account: u64) {
        *self.accounts.entry(account).or_default() += 1.0;
    }

    fn decay(&mut self, elapsed: Duration) {
        let decay = (-elapsed.as_secs_f64() / COUNT_TIME.as_secs_f64()).exp();
        self.accounts.retain(|_, count| {
            *count *= decay;
            *count >= MIN_COUNT
        });
    }

    fn observe(&mut self, now: Duration, fill_ratio: f64) {
        self.decay(now.saturating_sub(self.observed_at));
        let elapsed = now.saturating_sub(self.observed_at).min(MAX_OBSERVED_TIME);
        self.observed_at = now;
        let excess = (fill_ratio - 1.0).clamp(-1.0, 1.0);
        let change = -excess * elapsed.as_secs_f64() / RESPONSE_TIME.as_secs_f64();
        self.admitted = (self.admitted * change.exp()).clamp(MIN_ADMITTED, 1.0);
        self.share();
    }

    fn share(&mut self) {
        self.max_count = match self.admitted >= 1.0 {
            true => f64::INFINITY,
            false => {
                let counts: Vec<_> = self.accounts.values().copied().collect();
                let admitted = counts.iter().sum::<f64>() * self.admitted;
                max_min_share(counts, admitted)
            }
        };
    }
}
