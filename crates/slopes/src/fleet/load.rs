//! Simulated callers and engines.

use std::time::Duration;

use sedgeridge_coordination::entry_events::Arrival;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::pool_messages::PrefixHash;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::settings::RequestClass;

use crate::design;
use crate::design::FleetSize;
use crate::random::Random;
use crate::target;

/// Assumption: time to the first token at an engine.
pub const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(300);
/// Assumption: uncached input tokens of a request.
const INPUT_TOKENS: u64 = 200;
/// Weight of an output token, the default of `fair.output_token_factor`.
const OUTPUT_TOKEN_FACTOR: u64 = 4;
/// Assumption: an account's callers reach this many routers.
const ROUTERS_PER_ACCOUNT: u64 = 4;
/// Assumption: share of the requests that come from the backlogged accounts, in percent.
const BACKLOGGED_REQUESTS_PERCENT: u64 = 60;
/// Output tokens at which progress is first reported; then at each doubling.
const FIRST_PROGRESS_TOKENS: u64 = 32;
/// Deadline of a request: long, so that queued requests are not refused.
const REQUEST_DEADLINE: Duration = Duration::from_secs(600);
/// Prompt prefixes of one account.
const PREFIXES_PER_ACCOUNT: u64 = 4;

/// Request counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that ended.
    pub ended: u64,
    /// Requests that were refused.
    pub refused: u64,
}

/// Service of one request by an engine.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// Duration of the service.
    pub duration: Duration,
    /// Tokens charged for the service.
    pub charged_tokens: u64,
    output_tokens: u64,
}

impl Service {
    /// Returns the times of progress reports, each with the tokens charged by then.
    pub fn progress(self) -> impl Iterator<Item = (Duration, u64)> {
        let doublings = std::iter::successors(Some(FIRST_PROGRESS_TOKENS), |n| Some(n * 2));
        doublings
            .take_while(move |tokens| *tokens < self.output_tokens)
            .map(|tokens| (stream_time(tokens), charged_tokens(tokens)))
    }
}

/// Callers of the whole fleet.
#[derive(Debug)]
pub struct Callers {
    /// Requests counted.
    pub counts: RequestCounts,
    size: FleetSize,
    random: Random,
    last_key: u64,
}

impl Callers {
    /// Creates the callers of a fleet.
    pub fn new(size: FleetSize, seed: u64) -> Self {
        Self {
            counts: RequestCounts::default(),
            size,
            random: Random::new(seed),
            last_key: 0,
        }
    }

    /// Returns the time to the next request.
    pub fn next_interarrival(&mut self) -> Duration {
        let rate = self.size.requests_per_s as f64;
        Duration::from_secs_f64(self.random.exponential_interval_s(rate))
    }

    /// Returns the index of the router that receives the next request, and the request.
    pub fn next_arrival(&mut self, now: Duration) -> (usize, Arrival) {
        self.counts.arrived += 1;
        self.last_key += 1;
        let account = self.pick_account();
        let nth = self.random.below(ROUTERS_PER_ACCOUNT);
        let router = (account * 13 + nth * 101) % self.size.nodes as u64;
        let pool = self.random.below(target::POOLS as u64) as usize;
        let prefix = account * PREFIXES_PER_ACCOUNT + self.random.below(PREFIXES_PER_ACCOUNT);
        let arrival = Arrival {
            key: RequestKey(self.last_key),
            account: design::account_id(account as usize),
            pool: design::pool_id(pool),
            class: RequestClass::Interactive,
            repeatable: true,
            hint_tokens: charged_tokens(target::tokens_per_request() as u64),
            prefix: Some(PrefixHash(prefix)),
            fingerprint: Fingerprint(u128::from(self.random.next_u64()) << 64),
            deadline: now + REQUEST_DEADLINE,
        };
        (router as usize, arrival)
    }

    /// Returns the service of the next request: its output length is distributed evenly between
    /// half and one and a half times the mean.
    pub fn next_service(&mut self) -> Service {
        let mean = target::tokens_per_request() as u64;
        let output_tokens = mean / 2 + self.random.below(mean);
        Service {
            duration: FIRST_TOKEN_DELAY + stream_time(output_tokens),
            charged_tokens: charged_tokens(output_tokens),
            output_tokens,
        }
    }

    fn pick_account(&mut self) -> u64 {
        let accounts = self.size.accounts as u64;
        let backlogged = (accounts / 10).max(1);
        if self.random.below(100) < BACKLOGGED_REQUESTS_PERCENT {
            self.random.below(backlogged)
        } else {
            backlogged + self.random.below(accounts - backlogged)
        }
    }
}

fn charged_tokens(output_tokens: u64) -> u64 {
    INPUT_TOKENS + OUTPUT_TOKEN_FACTOR * output_tokens
}

fn stream_time(tokens: u64) -> Duration {
    Duration::from_secs_f64(tokens as f64 * target::TOKEN_INTERVAL_MS / 1_000.0)
}
