//! Measures the time that a router adds to a call at half load, the time that it adds to the first
//! token, and its memory.
//!
//! Callers send requests to an engine directly and through a router at the same time, in one run on
//! one machine, so that both have the same conditions. Run with
//! `cargo bench -p sedgeridge-router --bench added_time`; settings to override come after `--`, as
//! in `-- fair.grant_span_ms=1`.

mod client;
mod engine;
mod fleet;

use std::net::SocketAddr;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use client::Answer;
use client::Client;
use hdrhistogram::Histogram;

/// Slots of the engine; half as many callers give half load.
const SLOTS: u32 = 16;
const CALLERS: usize = 8;
/// Mean time for which the engine holds a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
const CALLS_EACH: usize = 1_000;
const WARM_UP_CALLS: usize = 50;
/// Requests of the memory measurement; the memory is read after each of `MEMORY_PARTS` equal parts.
const MEMORY_CALLS: usize = 100_000;
const MEMORY_PARTS: usize = 4;

type Measurements = Histogram<u64>;

fn main() {
    let overrides = overrides();
    let epoch = Instant::now();
    let engine = engine::start(SLOTS, SERVICE_TIME, epoch);
    for routers in [1, 3] {
        let fleet = fleet::start(routers, engine, SLOTS, &overrides);
        let entry = fleet.iter().find(|r| routers == 1 || !r.is_home());
        let entry = entry.expect("a router that is not the home").callers;
        println!(
            "routers {routers}, entry router is the home: {}",
            routers == 1
        );
        measure(
            "whole answer, time outside the engine",
            engine,
            entry,
            false,
            |answer| {
                let held_us = answer.number_after("held:");
                (answer.duration.as_micros() as u64).saturating_sub(held_us)
            },
        );
        measure(
            "first token, from the engine to the caller",
            engine,
            entry,
            true,
            |answer| {
                let at = answer
                    .first_token_at
                    .expect("a token")
                    .duration_since(epoch);
                (at.as_micros() as u64).saturating_sub(answer.number_after("sent:"))
            },
        );
    }
    measure_memory(epoch, &overrides);
}

/// Returns the `section.key=value` arguments without the options that `cargo bench` adds.
fn overrides() -> Vec<String> {
    let arguments = std::env::args().skip(1);
    arguments.filter(|text| !text.starts_with('-')).collect()
}

/// Measures direct and routed calls at the same time, and prints both and their differences.
fn measure(
    what: &str,
    engine: SocketAddr,
    router: SocketAddr,
    stream: bool,
    figure_us: impl Fn(&Answer) -> u64 + Sync,
) {
    let start = &Barrier::new(2 * CALLERS);
    let figure_us = &figure_us;
    let (direct, routed) = thread::scope(|scope| {
        let spawn = |address| {
            let callers = (0..CALLERS)
                .map(|_| scope.spawn(move || call_many(address, stream, start, figure_us)));
            callers.collect::<Vec<_>>()
        };
        let (direct, routed) = (spawn(engine), spawn(router));
        let merge = |callers: Vec<thread::ScopedJoinHandle<'_, Measurements>>| {
            let mut all = new_measurements();
            for caller in callers {
                all += caller.join().expect("a caller ended by a panic");
            }
            all
        };
        (merge(direct), merge(routed))
    });
    println!("  {what}, microseconds ({} calls each way)", routed.len());
    for quantile in [0.5, 0.9, 0.99] {
        let (direct, routed) = (
            direct.value_at_quantile(quantile),
            routed.value_at_quantile(quantile),
        );
        println!(
            "    p{:<3} direct {direct:>6}  routed {routed:>6}  added {:>6}  ratio {:.2}",
            quantile * 100.0,
            routed as i64 - direct as i64,
            routed as f64 / direct.max(1) as f64
        );
    }
}

fn call_many(
    address: SocketAddr,
    stream: bool,
    start: &Barrier,
    figure_us: &(impl Fn(&Answer) -> u64 + Sync),
) -> Measurements {
    let mut client = Client::connect(address, stream);
    for _ in 0..WARM_UP_CALLS {
        client.ask();
    }
    start.wait();
    let mut measurements = new_measurements();
    for _ in 0..CALLS_EACH {
        measurements.saturating_record(figure_us(&client.ask()));
    }
    measurements
}

fn new_measurements() -> Measurements {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("sound bounds")
}

/// Prints a router's memory over many requests.
fn measure_memory(epoch: Instant, overrides: &[String]) {
    let engine = engine::start(SLOTS, Duration::ZERO, epoch);
    let fleet = fleet::start(1, engine, SLOTS, overrides);
    let router = &fleet[0];
    ask_all(router.callers, MEMORY_CALLS / 20);
    println!("memory of a router, resident kilobytes");
    println!("  after {:>6} requests {:>8}", 0, router.resident_kb());
    let began = Instant::now();
    for part in 1..=MEMORY_PARTS {
        ask_all(router.callers, MEMORY_CALLS / MEMORY_PARTS);
        let done = part * MEMORY_CALLS / MEMORY_PARTS;
        println!("  after {done:>6} requests {:>8}", router.resident_kb());
    }
    let rate = MEMORY_CALLS as f64 / began.elapsed().as_secs_f64();
    println!("  {rate:.0} requests a second by {CALLERS} callers");
}

fn ask_all(router: SocketAddr, calls: usize) {
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                let mut client = Client::connect(router, false);
                for _ in 0..calls / CALLERS {
                    client.ask();
                }
            });
        }
    });
}
