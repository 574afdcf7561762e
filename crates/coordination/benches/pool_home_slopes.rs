//! Memory of the home of a pool by accounts, routers and endpoints: growth of the resident set.
//!
//! Every point keeps several equal homes alive, so that the growth is large against the pages that
//! the allocator keeps. Names are counted once per home; a router shares them between parts.

mod saturated;

use std::fs;

use saturated::Saturated;
use saturated::Size;
use sedgeridge_coordination::pool_home::HomeEvent;
use sedgeridge_coordination::pool_home::PoolHome;

const PAGE_BYTES: u64 = 4_096;
const HOMES_PER_POINT: usize = 16;
/// Reports of two seconds at the design rate, so that every timer has expired.
const REPORTS: usize = 12_000;
const POINTS: [usize; 5] = [1, 2, 4, 8, 16];

/// Small base size, so that the growth of a single part is visible.
const BASE: Size = Size {
    accounts: 500,
    backlogged: 50,
    routers: 25,
    endpoints: 50,
};

#[derive(Debug, Clone, Copy)]
struct Point {
    size: f64,
    bytes: f64,
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
    let pages = statm.split_whitespace().nth(1).expect("the second field");
    pages.parse::<u64>().expect("a number of pages") * PAGE_BYTES
}

fn home_bytes(size: Size, live_homes: &mut Vec<PoolHome>) -> f64 {
    // Memory that was freed before would hide growth; the first home uses it up.
    live_homes.push(busy_home(size));
    let before = resident_bytes();
    for _ in 0..HOMES_PER_POINT {
        live_homes.push(busy_home(size));
    }
    (resident_bytes() - before) as f64 / HOMES_PER_POINT as f64
}

/// Returns a home that has issued grants for a while.
fn busy_home(size: Size) -> PoolHome {
    let mut saturated = Saturated::new(size);
    for _ in 0..REPORTS {
        let report = saturated.next_report();
        saturated.event(HomeEvent::Report(report));
        saturated.event(HomeEvent::Tick);
    }
    saturated.home
}

/// Fits a line by least squares; returns (bytes at size 0, bytes per unit of size).
fn fit(points: &[Point]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_bytes = points.iter().map(|point| point.bytes).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.bytes - mean_bytes))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let slope = covariance / variance;
    (mean_bytes - slope * mean_size, slope)
}

fn print_slope(name: &str, live_homes: &mut Vec<PoolHome>, sized: impl Fn(usize) -> (usize, Size)) {
    let points: Vec<Point> = POINTS
        .iter()
        .map(|&factor| {
            let (count, size) = sized(factor);
            Point {
                size: count as f64,
                bytes: home_bytes(size, live_homes),
            }
        })
        .collect();
    let (offset, slope) = fit(&points);
    println!("{name}: {slope:.0} bytes each, {offset:.0} bytes besides");
    for point in &points {
        let residual = point.bytes - (offset + slope * point.size);
        println!(
            "  {:>6} {:>10.0} bytes, residual {residual:>8.0}",
            point.size, point.bytes
        );
    }
}

fn main() {
    let live_homes = &mut Vec::new();
    print_slope("idle account", live_homes, |factor| {
        let accounts = BASE.accounts * factor;
        (accounts, Size { accounts, ..BASE })
    });
    print_slope("backlogged account (at 4 routers)", live_homes, |factor| {
        let backlogged = BASE.backlogged * factor;
        let accounts = 1_000;
        (
            backlogged,
            Size {
                accounts,
                backlogged,
                ..BASE
            },
        )
    });
    print_slope("router", live_homes, |factor| {
        let routers = BASE.routers * factor;
        (routers, Size { routers, ..BASE })
    });
    print_slope("endpoint (of 4 slots in use)", live_homes, |factor| {
        let endpoints = BASE.endpoints * factor;
        (endpoints, Size { endpoints, ..BASE })
    });
    let designed_for = Size {
        accounts: 6_900,
        backlogged: 690,
        routers: 400,
        endpoints: 2_200,
    };
    let bytes = home_bytes(designed_for, live_homes);
    println!("size designed for, one pool of all endpoints: {bytes:.0} bytes");
}
