//! Continuous batching as a state machine without sockets or threads; callers pass in the time.
//!
//! Running requests share each step, which yields one token for every request whose prefill is
//! done. A waiting request starts as soon as a slot is free, in order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use crate::prefix_cache::Prefix;
use crate::prefix_cache::PrefixCache;

/// Speed and size of a batch.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchConfig {
    /// Maximum number of running requests.
    pub slots: usize,
    /// Duration of one step.
    pub step: Duration,
    /// Prefill time of each input token that is not cached.
    pub prefill_per_token: Duration,
    /// Capacity of the prefix cache.
    pub cache_tokens: u64,
}

/// Input and output lengths of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Identifies the job in events and in [`Batch::cancel`].
    pub id: u64,
    /// Length of the input.
    pub input_tokens: u64,
    /// Prefixes of the input, shortest first.
    pub prefixes: Vec<Prefix>,
    /// Position of the first token to generate; earlier tokens of the answer are read as input.
    pub first_token: u64,
    /// Position after the last token to generate.
    pub end_token: u64,
}

/// Progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchEvent {
    /// The job left the queue and started.
    Started {
        /// The job.
        id: u64,
        /// Input tokens found in the prefix cache.
        cached_tokens: u64,
    },
    /// The job generated a token.
    Token {
        /// The job.
        id: u64,
        /// Position of the token in the answer.
        position: u64,
    },
    /// The job generated its last token.
    Finished {
        /// The job.
        id: u64,
    },
}

/// The running jobs and the queue of waiting ones.
#[derive(Debug)]
pub struct Batch {
    config: BatchConfig,
    cache: PrefixCache,
    waiting: VecDeque<Job>,
    running: Vec<RunningJob>,
    next_step_at: Option<Duration>,
}

#[derive(Debug)]
struct RunningJob {
    job: Job,
    prefilled_at: Duration,
    next_position: u64,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new(config: BatchConfig) -> Self {
        Self {
            cache: PrefixCache::new(config.cache_tokens),
            waiting: VecDeque::new(),
            running: Vec::with_capacity(config.slots),
            next_step_at: None,
            config,
        }
    }

    /// Queues a job.
    pub fn submit(&mut self, now: Duration, job: Job, events: &mut Vec<BatchEvent>) {
        self.advance(now, events);
        self.waiting.push_back(job);
        self.start_waiting_jobs(now, events);
    }

    /// Removes a job, waiting or running.
    pub fn cancel(&mut self, now: Duration, id: u64, events: &mut Vec<BatchEvent>) {
        self.advance(now, events);
        self.waiting.retain(|job| job.id != id);
        self.running.retain(|run| run.job.id != id);
        self.start_waiting_jobs(now, events);
    }

    /// Runs all steps that are due.
    pub fn advance(&mut self, now: Duration, events: &mut Vec<BatchEvent>) {
        while let Some(at) = self.next_step_at.filter(|at| *at <= now) {
            self.run_step(at, events);
            self.next_step_at = Some(at + self.config.step);
            self.start_waiting_jobs(at, events);
        }
    }

    /// Time of the next step, at which [`Batch::advance`] must be called; `None` when nothing runs.
    pub fn next_step(&self) -> Option<Duration> {
        self.next_step_at
    }

    /// Number of running jobs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn run_step(&mut self, at: Duration, events: &mut Vec<BatchEvent>) {
        for run in self.running.iter_mut().filter(|run| run.prefilled_at <= at) {
            let id = run.job.id;
            if run.next_position < run.job.end_token {
                let position = run.next_position;
                events.push(BatchEvent::Token { id, position });
                run.next_position += 1;
            }
            if run.next_position >= run.job.end_token {
                events.push(BatchEvent::Finished { id });
            }
        }
        self.running
            .retain(|run| run.prefilled_at > at || run.next_position < run.job.end_token);
    }

    fn start_waiting_jobs(&mut self, now: Duration, events: &mut Vec<BatchEvent>) {
        while self.running.len() < self.config.slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.start(now, job, events);
        }
        if self.running.is_empty() {
            self.next_step_at = None;
        } else if self.next_step_at.is_none() {
            self.next_step_at = Some(now + self.config.step);
        }
    }

    fn start(&mut self, now: Duration, job: Job, events: &mut Vec<BatchEvent>) {
        let cached_tokens = self.cache.use_prompt(&job.prefixes);
        // Tokens that the caller already has are prefilled like input.
        let prefill_tokens = job.input_tokens.saturating_sub(cached_tokens) + job.first_token;
        let prefill = self
            .config
            .prefill_per_token
            .saturating_mul(u32::try_from(prefill_tokens).unwrap_or(u32::MAX));
        events.push(BatchEvent::Started {
            id: job.id,
            cached_tokens,
        });
        self.running.push(RunningJob {
            prefilled_at: now + prefill,
            next_position: job.first_token,
            job,
        });
    }
}
