//! Probes one member after the other, directly and then through others.
//!
//! Timing follows Lifeguard: a host whose own health is in doubt (missing nacks, suspicions of
//! itself that it refuted, pauses) waits longer before it suspects others.

use std::time::Duration;

use sedgeridge_state::ids::HostId;
use sedgeridge_state::settings::MembershipSettings;
use sedgeridge_state::settings::millis;

use super::member_table::MemberTable;
use super::messages::Body;
use super::probe_schedule::ProbeSchedule;
use crate::random::SeededRandom;

/// Highest (worst) health score. Times are multiplied by the score plus one.
const MAX_HEALTH_SCORE: u32 = 7;

/// Maximum number of concurrent probes on behalf of other members.
const MAX_RELAYS: usize = 64;

/// A message body to be sent.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) to: HostId,
    pub(crate) body: Body,
}

#[derive(Debug)]
struct PendingProbe {
    target: HostId,
    sequence: u64,
    indirect_at: Option<Duration>,
    helper_count: usize,
    nack_count: usize,
}

/// A probe made on behalf of another member.
#[derive(Debug)]
struct Relay {
    origin: HostId,
    origin_sequence: u64,
    sequence: u64,
    nack_at: Duration,
}

/// Runs one probe in each probe interval.
#[derive(Debug)]
pub(crate) struct Prober {
    interval: Duration,
    timeout: Duration,
    indirect_probe_count: usize,
    pub(crate) schedule: ProbeSchedule,
    pending: Option<PendingProbe>,
    relays: Vec<Relay>,
    next_probe_at: Duration,
    last_sequence: u64,
    health_score: u32,
}

impl Prober {
    /// Creates a prober whose first probe falls at a random point of the first interval, so that
    /// hosts that start together do not probe in step.
    pub(crate) fn new(settings: &MembershipSettings, random: &mut SeededRandom) -> Self {
        let phase_ms = random.index(settings.probe_interval_ms as usize) as u64;
        Self {
            interval: millis(settings.probe_interval_ms),
            timeout: millis(settings.probe_timeout_ms),
            indirect_probe_count: settings.indirect_probes as usize,
            schedule: ProbeSchedule::default(),
            pending: None,
            relays: Vec::new(),
            next_probe_at: millis(phase_ms),
            last_sequence: 0,
            health_score: 0,
        }
    }

    /// Returns when [`Prober::tick`] is next due.
    pub(crate) fn next_wake(&self) -> Duration {
        let indirect = self.pending.as_ref().and_then(|p| p.indirect_at);
        let nack = self.relays.iter().map(|r| r.nack_at).min();
        let wakes = [indirect, nack];
        wakes
            .into_iter()
            .flatten()
            .fold(self.next_probe_at, Duration::min)
    }

    /// Runs the due timers. Returns the member whose probe stayed unanswered, if any.
    pub(crate) fn tick(
        &mut self,
        now: Duration,
        table: &MemberTable,
        random: &mut SeededRandom,
        out: &mut Vec<Outgoing>,
    ) -> Option<HostId> {
        self.send_nacks(now, out);
        self.start_indirect_probe(now, table, random, out);
        if now < self.next_probe_at {
            return None;
        }
        let failed = self.take_failed_probe();
        self.start_probe(now, table, random, out);
        failed
    }

    /// Handles an answer to a probe of this host, or forwards the answer to a relayed probe.
    pub(crate) fn handle_ack(&mut self, sequence: u64, out: &mut Vec<Outgoing>) {
        if self
            .pending
            .as_ref()
            .is_some_and(|p| p.sequence == sequence)
        {
            self.pending = None;
            self.health_score = self.health_score.saturating_sub(1);
            return;
        }
        if let Some(i) = self.relays.iter().position(|r| r.sequence == sequence) {
            let relay = self.relays.swap_remove(i);
            out.push(Outgoing {
                to: relay.origin,
                body: Body::ProbeAck {
                    sequence: relay.origin_sequence,
                },
            });
        }
    }

    /// Counts a helper that is reachable although the target has not answered it.
    pub(crate) fn handle_nack(&mut self, sequence: u64) {
        if let Some(pending) = self.pending.as_mut().filter(|p| p.sequence == sequence) {
            pending.nack_count += 1;
        }
    }

    /// Probes `target` on behalf of `origin`.
    pub(crate) fn relay_probe(
        &mut self,
        now: Duration,
        origin: HostId,
        origin_sequence: u64,
        target: HostId,
        out: &mut Vec<Outgoing>,
    ) {
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let sequence = self.next_sequence();
        self.relays.push(Relay {
            origin,
            origin_sequence,
            sequence,
            nack_at: now + self.timeout,
        });
        out.push(Outgoing {
            to: target,
            body: Body::Probe { sequence },
        });
    }

    /// Raises the health score, which lengthens the probe times of this host.
    pub(crate) fn raise_health_score(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// Drops the probes in progress: their answers may have been missed during a pause.
    pub(crate) fn abandon_probes(&mut self, now: Duration) {
        self.pending = None;
        self.relays.clear();
        self.next_probe_at = now + self.interval;
    }

    fn send_nacks(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        for relay in self.relays.extract_if(.., |r| r.nack_at <= now) {
            out.push(Outgoing {
                to: relay.origin,
                body: Body::ProbeNack {
                    sequence: relay.origin_sequence,
                },
            });
        }
    }

    fn start_indirect_probe(
        &mut self,
        now: Duration,
        table: &MemberTable,
        random: &mut SeededRandom,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(pending) = self.pending.as_mut() else {
            return;
        };
        if pending.indirect_at.is_none_or(|at| now < at) {
            return;
        }
        pending.indirect_at = None;
        let mut helpers: Vec<HostId> = table
            .live_records()
            .map(|r| r.member.host.clone())
            .filter(|h| *h != pending.target)
            .collect();
        random.choose(&mut helpers, self.indirect_probe_count);
        pending.helper_count = helpers.len();
        out.extend(helpers.into_iter().map(|to| Outgoing {
            to,
            body: Body::IndirectProbe {
                sequence: pending.sequence,
                target: pending.target.clone(),
            },
        }));
    }

    fn take_failed_probe(&mut self) -> Option<HostId> {
        let pending = self.pending.take()?;
        if pending.nack_count < pending.helper_count {
            self.raise_health_score();
        }
        Some(pending.target)
    }

    fn start_probe(
        &mut self,
        now: Duration,
        table: &MemberTable,
        random: &mut SeededRandom,
        out: &mut Vec<Outgoing>,
    ) {
        let multiplier = self.health_score + 1;
        self.next_probe_at = now + self.interval * multiplier;
        let Some(target) = self.schedule.next(random, |host| table.is_live(host)) else {
            return;
        };
        let sequence = self.next_sequence();
        self.pending = Some(PendingProbe {
            target: target.clone(),
            sequence,
            indirect_at: Some(now + self.timeout * multiplier),
            helper_count: 0,
            nack_count: 0,
        });
        out.push(Outgoing {
            to: target,
            body: Body::Probe { sequence },
        });
    }

    fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }
}
