//! Predicts the time to the first event of a request: a part that is the same for all prompts, and reading.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::RangeInclusive;
use std::time::Duration;

use nohash_hasher::IntMap;
use sedgeridge_state::ids::ServiceId;

/// Bounds of the part that does not depend on the prompt: connection, first step, way back. The lower one is used until
/// enough is known.
const FIXED_MS_BOUNDS: RangeInclusive<f64> = 12.0..=150.0;
/// Factor applied to earlier answers at each new one. About 50 answers count.
const DECAY_FACTOR: f64 = 0.98;
/// The same for all engines of a service with a long fixed part, whose answers tell less of reading. About 200 count.
const LONG_FIXED_DECAY_FACTOR: f64 = 0.995;
/// Fixed part from which on it is told apart from reading.
const LONG_FIXED_MS: f64 = 20.0;
/// Weight of the expected time against observations.
const PRIOR_MS: f64 = 400.0;
/// Bounds of an engine's pace.
const PACE_BOUNDS: RangeInclusive<f64> = 0.25..=10.0;
/// Multiple of the expected time at which longer answers are counted.
const MAX_SURPRISE: f64 = 4.0;
/// Prompts up to this fraction of the mean length teach the fixed part.
const SHORT_PROMPT_RATIO: f64 = 0.5;
/// Number of answers to short prompts that are kept, and from which on the fixed part is learnt from them.
const SHORT_PROMPT_COUNTS: RangeInclusive<usize> = 16..=64;
/// Answers after which the fixed part counts as short if too few of them were to short prompts.
const MAX_UNKNOWN_ANSWERS: u64 = 512;
/// Quantile of the answers to short prompts that gives the fixed part. The others waited for something.
const FIXED_QUANTILE: f64 = 0.25;
/// Least time that counts as reading of one prompt.
const MIN_READING_MS: f64 = 1.0;
/// Least fraction of the time to first events that counts as reading.
const MIN_READING_RATIO: f64 = 0.05;

/// An answer's first event.
#[derive(Debug, Clone, Copy)]
pub struct FirstEvent {
    /// Tokens that the endpoint had to read for other requests when the request was sent.
    pub tokens_ahead: f64,
    /// Tokens that it had to read for this request.
    pub own_tokens: f64,
    /// Time from the send to the first event.
    pub after: Duration,
    /// How many times as long as usual work took at the endpoint, as it stated with the answer.
    pub slowdown: f64,
}

/// Models of all services with engines.
#[derive(Debug, Default)]
pub struct FirstEventModels {
    models: BTreeMap<ServiceId, FirstEventModel>,
    unknown: FirstEventModel,
}

impl FirstEventModels {
    /// Sets the services and the reading speed that the stated throughput implies.
    pub fn expect<'a>(
        &mut self,
        services: impl Iterator<Item = &'a ServiceId>,
        tokens_per_ms: f64,
    ) {
        let mut earlier = std::mem::take(&mut self.models);
        for service in services {
            let mut model = earlier.remove(service).unwrap_or_default();
            model.expect(tokens_per_ms);
            self.models.insert(service.clone(), model);
        }
    }

    /// Returns the model of a service.
    pub fn of(&self, service: &ServiceId) -> &FirstEventModel {
        self.models.get(service).unwrap_or(&self.unknown)
    }

    /// Records a first event of an engine of `service`.
    pub fn observe(&mut self, service: &ServiceId, endpoint: u64, event: FirstEvent) {
        if let Some(model) = self.models.get_mut(service) {
            model.observe(endpoint, event);
        }
    }

    /// Returns the longest fixed part of all services.
    pub fn longest_fixed_ms(&self) -> f64 {
        let fixed = self.models.values().map(FirstEventModel::fixed_ms);
        fixed.fold(*FIXED_MS_BOUNDS.start(), f64::max)
    }

    /// Removes the observations of an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u64) {
        for model in self.models.values_mut() {
            model.engines.remove(&endpoint);
        }
    }
}

/// Times to the first events of one service's engines.
///
/// An engine without observations is expected to be as fast as the others, and at least as fast as the stated throughput
/// implies. Engines may read far faster than that, and in a large fleet a host hardly ever meets an engine twice.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::first_event::FirstEvent;
/// use sedgeridge_fleet::first_event::FirstEventModel;
///
/// let mut model = FirstEventModel::default();
/// model.expect(1.0);
/// for number in 0..200 {
///     let own_tokens = [500.0, 8_000.0][number % 2];
///     let after = Duration::from_secs_f64((50.0 + own_tokens / 100.0) / 1_000.0);
///     model.observe(7, FirstEvent { tokens_ahead: 0.0, own_tokens, after, slowdown: 1.0 });
/// }
/// assert!((45.0..=55.0).contains(&model.fixed_ms()));
/// assert!((80.0..=120.0).contains(&model.tokens_per_ms(7)));
/// ```
#[derive(Debug)]
pub struct FirstEventModel {
    stated_tokens_per_ms: f64,
    fixed_ms: f64,
    tokens_per_ms: f64,
    /// Answers of all engines together.
    all: Answers,
    engines: IntMap<u64, Answers>,
    /// Newest answers to short prompts that found no backlog.
    short: VecDeque<ShortAnswer>,
    answers: u64,
}

impl Default for FirstEventModel {
    fn default() -> Self {
        Self {
            stated_tokens_per_ms: 1.0,
            fixed_ms: *FIXED_MS_BOUNDS.start(),
            tokens_per_ms: 1.0,
            all: Answers::default(),
            engines: IntMap::default(),
            short: VecDeque::new(),
            answers: 0,
        }
    }
}

/// Decayed sums over answers.
#[derive(Debug, Clone, Copy, Default)]
struct Answers {
    count: f64,
    tokens: f64,
    millis: f64,
}

impl Answers {
    fn add(&mut self, tokens: f64, millis: f64, decay_factor: f64) {
        self.count = self.count * decay_factor + 1.0;
        self.tokens = self.tokens * decay_factor + tokens;
        self.millis = self.millis * decay_factor + millis;
    }
}

#[derive(Debug, Clone, Copy)]
struct ShortAnswer {
    tokens: f64,
    millis: f64,
}

impl FirstEventModel {
    /// Sets the speed that the stated throughput implies.
    pub fn expect(&mut self, tokens_per_ms: f64) {
        self.stated_tokens_per_ms = tokens_per_ms.max(1.0);
        self.update_speed();
    }

    /// Records a first event of an engine.
    pub fn observe(&mut self, endpoint: u64, event: FirstEvent) {
        let tokens = event.tokens_ahead + event.own_tokens;
        let usual_ms = event.after.as_secs_f64() * 1_000.0 / event.slowdown.max(1.0);
        let most_ms = self.first_event_ms(endpoint, tokens) * MAX_SURPRISE;
        let least_ms = FIXED_MS_BOUNDS.start() + MIN_READING_MS;
        let millis = match self.has_long_fixed_part() {
            true => usual_ms.min(most_ms).max(least_ms),
            false => usual_ms.max(least_ms),
        };
        let is_short = tokens * self.all.count <= self.all.tokens * SHORT_PROMPT_RATIO;
        let decay_factor = match self.has_long_fixed_part() {
            true => LONG_FIXED_DECAY_FACTOR,
            false => DECAY_FACTOR,
        };
        self.all.add(tokens, millis, decay_factor);
        self.engines
            .entry(endpoint)
            .or_default()
            .add(tokens, millis, DECAY_FACTOR);
        if is_short && event.tokens_ahead == 0.0 {
            self.short.push_back(ShortAnswer { tokens, millis });
            if self.short.len() > *SHORT_PROMPT_COUNTS.end() {
                self.short.pop_front();
            }
            self.update_fixed_part();
        }
        self.answers += 1;
        self.update_speed();
    }

    /// Returns the part of a first event's time that is the same for all prompts, in milliseconds.
    pub fn fixed_ms(&self) -> f64 {
        self.fixed_ms
    }

    /// Tells whether prompts count as read before their first events: the fixed part is long, or not known yet.
    pub fn expects_reading_end(&self) -> bool {
        let is_unknown =
            self.short.len() < *SHORT_PROMPT_COUNTS.start() && self.answers < MAX_UNKNOWN_ANSWERS;
        self.has_long_fixed_part() || is_unknown
    }

    /// Tells whether the fixed part is long enough to be told apart from reading.
    pub fn has_long_fixed_part(&self) -> bool {
        self.fixed_ms >= LONG_FIXED_MS
    }

    /// Returns the reading speed of an endpoint in tokens per millisecond.
    pub fn tokens_per_ms(&self, endpoint: u64) -> f64 {
        self.tokens_per_ms / self.pace(endpoint)
    }

    /// Returns the time in milliseconds until the first event of a request, if the endpoint has `tokens` to read, its own
    /// included.
    pub fn first_event_ms(&self, endpoint: u64, tokens: f64) -> f64 {
        (self.fixed_ms + tokens / self.tokens_per_ms) * self.pace(endpoint)
    }

    /// Returns the speed that is expected of an engine without observations.
    pub fn expected_tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Returns how many times as long as others an engine takes.
    pub fn pace(&self, endpoint: u64) -> f64 {
        let Some(answers) = self.engines.get(&endpoint) else {
            return 1.0;
        };
        let expected_ms = answers.count * self.fixed_ms + answers.tokens / self.tokens_per_ms;
        let pace = (answers.millis + PRIOR_MS) / (expected_ms + PRIOR_MS);
        pace.clamp(*PACE_BOUNDS.start(), *PACE_BOUNDS.end())
    }

    fn update_speed(&mut self) {
        let all = &self.all;
        let reading_ms = all.millis - all.count * self.fixed_ms;
        let reading_ms = reading_ms.max(all.millis * MIN_READING_RATIO);
        let stated = self.stated_tokens_per_ms;
        let observed = (all.tokens + stated * PRIOR_MS) / (reading_ms + PRIOR_MS);
        self.tokens_per_ms = observed.max(stated);
    }

    fn update_fixed_part(&mut self) {
        if self.short.len() < *SHORT_PROMPT_COUNTS.start() {
            return;
        }
        let without_reading = |it: &ShortAnswer| it.millis - it.tokens / self.tokens_per_ms;
        let mut fixed_ms: Vec<f64> = self.short.iter().map(without_reading).collect();
        let at = (fixed_ms.len() as f64 * FIXED_QUANTILE) as usize;
        let (_, fixed, _) = fixed_ms.select_nth_unstable_by(at, f64::total_cmp);
        self.fixed_ms = match *fixed >= LONG_FIXED_MS {
            true => fixed.min(*FIXED_MS_BOUNDS.end()),
            false => *FIXED_MS_BOUNDS.start(),
        };
    }
}
