//! Continuous batching as a state machine: no sockets, no threads, the time is passed in.
//!
//! Requests run together, each step yields one token of every request whose input is ready, and a
//! waiting request joins as soon as another one leaves. There are no priorities.

use std::collections::VecDeque;
use std::time::Duration;

use crate::prefix_cache::Prefix;
use crate::prefix_cache::PrefixCache;

/// Speed and size of a batch.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchConfig {
    /// Largest number of requests that run together.
    pub slots: usize,
    /// Time of one step.
    pub step: Duration,
    /// Time for each input token that is not cached.
    pub prefill_per_token: Duration,
    /// Size of the prefix cache.
    pub cache_tokens: u64,
}

/// A request as the batch sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Names the job.
    pub id: u64,
    /// Length of the input.
    pub input_tokens: u64,
    /// Prefixes of the input, shortest first.
    pub prefixes: Vec<Prefix>,
    /// Position of the first token to make; those before it are input here.
    pub first_token: u64,
    /// Position after the last token to make.
    pub end_token: u64,
}

/// What happened in the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchEvent {
    /// The job left the waiting line.
    Started {
        /// The job.
        id: u64,
        /// Input found in the prefix cache.
        cached_tokens: u64,
    },
    /// The job made a token.
    Token {
        /// The job.
        id: u64,
        /// Position of the token in the answer.
        position: u64,
    },
    /// The job made its last token.
    Finished {
        /// The job.
        id: u64,
    },
}

/// The running batch and its waiting line.
#[derive(Debug)]
pub struct Batch {
    config: BatchConfig,
    cache: PrefixCache,
    waiting: VecDeque<Job>,
    running: Vec<Run>,
    next_step: Option<Duration>,
}

#[derive(Debug)]
struct Run {
    job: Job,
    ready_at: Duration,
    position: u64,
}

impl Batch {
    /// Makes an empty batch.
    pub fn new(config: BatchConfig) -> Self {
        Self {
            cache: PrefixCache::new(config.cache_tokens),
            waiting: VecDeque::new(),
            running: Vec::with_capacity(config.slots),
            next_step: None,
            config,
        }
    }

    /// Adds a job at the end of the waiting line.
    pub fn submit(&mut self, now: Duration, job: Job, events: &mut Vec<BatchEvent>) {
        self.advance(now, events);
        self.waiting.push_back(job);
        self.admit(now, events);
    }

    /// Withdraws a job, waiting or running.
    pub fn cancel(&mut self, now: Duration, id: u64, events: &mut Vec<BatchEvent>) {
        self.advance(now, events);
        self.waiting.retain(|job| job.id != id);
        self.running.retain(|run| run.job.id != id);
        self.admit(now, events);
    }

    /// Makes all steps that are due.
    pub fn advance(&mut self, now: Duration, events: &mut Vec<BatchEvent>) {
        while let Some(at) = self.next_step.filter(|at| *at <= now) {
            self.step(at, events);
            self.next_step = Some(at + self.config.step);
            self.admit(at, events);
        }
    }

    /// When [`Batch::advance`] is due next.
    pub fn next_step(&self) -> Option<Duration> {
        self.next_step
    }

    /// Number of running jobs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn step(&mut self, at: Duration, events: &mut Vec<BatchEvent>) {
        for run in self.running.iter_mut().filter(|run| run.ready_at <= at) {
            let id = run.job.id;
            if run.position < run.job.end_token {
                let position = run.position;
                events.push(BatchEvent::Token { id, position });
                run.position += 1;
            }
            if run.position >= run.job.end_token {
                events.push(BatchEvent::Finished { id });
            }
        }
        self.running
            .retain(|run| run.ready_at > at || run.position < run.job.end_token);
    }

    fn admit(&mut self, now: Duration, events: &mut Vec<BatchEvent>) {
        while self.running.len() < self.config.slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.start(now, job, events);
        }
        if self.running.is_empty() {
            self.next_step = None;
        } else if self.next_step.is_none() {
            self.next_step = Some(now + self.config.step);
        }
    }

    fn start(&mut self, now: Duration, job: Job, events: &mut Vec<BatchEvent>) {
        let cached_tokens = self.cache.use_prompt(&job.prefixes);
        // Tokens that the caller already holds are read again like input.
        let prefill_tokens = job.input_tokens.saturating_sub(cached_tokens) + job.first_token;
        let prefill = self
            .config
            .prefill_per_token
            .saturating_mul(u32::try_from(prefill_tokens).unwrap_or(u32::MAX));
        events.push(BatchEvent::Started {
            id: job.id,
            cached_tokens,
        });
        self.running.push(Run {
            ready_at: now + prefill,
            position: job.first_token,
            job,
        });
    }
}
