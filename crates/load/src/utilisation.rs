//! Computes how much of a pool's slot-time was used.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::fairness::waiting_spans;
use crate::history::History;
use crate::history::RunRecord;
use crate::history::Span;
use crate::plan::LoadPlan;

/// Slot-time of one pool within a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SlotTime {
    /// Length of the window times the number of slots.
    pub capacity_us: u64,
    /// Time in which slots ran a request, added up over the slots.
    pub busy_us: u64,
    /// Time of free slots that a waiting request could have used, at most one slot per request.
    pub idle_while_waiting_us: u64,
}

impl SlotTime {
    /// Busy share of the capacity.
    pub fn utilisation(&self) -> f64 {
        share(self.busy_us, self.capacity_us)
    }

    /// Share of the capacity that was free while work waited.
    pub fn idle_share_while_waiting(&self) -> f64 {
        share(self.idle_while_waiting_us, self.capacity_us)
    }

    /// Adds the slot-time of another pool.
    pub fn add(&mut self, other: Self) {
        self.capacity_us += other.capacity_us;
        self.busy_us += other.busy_us;
        self.idle_while_waiting_us += other.idle_while_waiting_us;
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// A change of the running or waiting requests; a run has the index of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SlotEvent {
    RunStarted(usize),
    RunEnded(usize),
    WaitStarted,
    WaitEnded,
}

/// Computes the slot-time of one pool within a window.
pub fn pool_slot_time(plan: &LoadPlan, history: &History, pool: &str, window: Span) -> SlotTime {
    let endpoints: Vec<_> = plan.endpoints.iter().filter(|e| e.pool == pool).collect();
    let slots: Vec<u32> = endpoints.iter().map(|e| e.slots).collect();
    let mut events: BTreeMap<u64, Vec<SlotEvent>> = BTreeMap::new();
    for run in &history.runs {
        let index = endpoints.iter().position(|e| e.name == run.endpoint);
        if let Some(index) = index {
            add_run(&mut events, run, index, window);
        }
    }
    for (call, span) in waiting_spans(history) {
        let in_pool = plan.service(&call.service).is_some_and(|s| s.pool == pool);
        if let Some(span) = span.intersect(window).filter(|_| in_pool) {
            events
                .entry(span.start_us)
                .or_default()
                .push(SlotEvent::WaitStarted);
            events
                .entry(span.end_us)
                .or_default()
                .push(SlotEvent::WaitEnded);
        }
    }
    sweep(&slots, &events, window)
}

fn add_run(
    events: &mut BTreeMap<u64, Vec<SlotEvent>>,
    run: &RunRecord,
    index: usize,
    window: Span,
) {
    if let Some(span) = run.span(window.end_us).intersect(window) {
        events
            .entry(span.start_us)
            .or_default()
            .push(SlotEvent::RunStarted(index));
        events
            .entry(span.end_us)
            .or_default()
            .push(SlotEvent::RunEnded(index));
    }
}

fn sweep(slots: &[u32], events: &BTreeMap<u64, Vec<SlotEvent>>, window: Span) -> SlotTime {
    let total_slots: u64 = slots.iter().map(|s| u64::from(*s)).sum();
    let mut time = SlotTime {
        capacity_us: total_slots * window.length_us(),
        ..SlotTime::default()
    };
    let mut running = vec![0i64; slots.len()];
    let mut waiting = 0u64;
    let mut last_us = window.start_us;
    for (&at_us, events) in events {
        let busy = busy_slots(slots, &running);
        let elapsed_us = at_us - last_us;
        time.busy_us += busy * elapsed_us;
        let usable_idle_slots = (total_slots - busy).min(waiting);
        time.idle_while_waiting_us += usable_idle_slots * elapsed_us;
        last_us = at_us;
        for event in events {
            match event {
                SlotEvent::RunStarted(index) => running[*index] += 1,
                SlotEvent::RunEnded(index) => running[*index] -= 1,
                SlotEvent::WaitStarted => waiting += 1,
                SlotEvent::WaitEnded => waiting -= 1,
            }
        }
    }
    time
}

/// Number of busy slots. An endpoint that runs more requests than it has slots counts as full.
fn busy_slots(slots: &[u32], running: &[i64]) -> u64 {
    let each = slots.iter().zip(running);
    each.map(|(slots, running)| (*running).clamp(0, i64::from(*slots)) as u64)
        .sum()
}
