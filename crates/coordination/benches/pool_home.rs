//! Time from one report to one grant at the home of a pool, at the design size.

mod saturated;

use std::cell::RefCell;
use std::time::Duration;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use saturated::Saturated;
use saturated::Size;
use sedgeridge_coordination::pool_home::HomeEvent;

const ROUTERS: usize = 400;
/// Accounts and endpoints.
const SIZES: [(usize, usize); 4] = [(690, 550), (6_900, 550), (6_900, 2_200), (69_000, 550)];
/// Reports between two ticks: one tick every 5 ms.
const REPORTS_PER_TICK: u64 = 30;

fn size(accounts: usize, endpoints: usize) -> Size {
    Size {
        accounts,
        backlogged: accounts / 10,
        routers: ROUTERS,
        endpoints,
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("report_to_grant");
    for (accounts, endpoints) in SIZES {
        let id = BenchmarkId::new(format!("{accounts}_accounts"), endpoints);
        group.bench_function(id, |bencher| {
            let saturated = RefCell::new(Saturated::new(size(accounts, endpoints)));
            let mut reports = 0;
            bencher.iter_batched(
                || {
                    reports += 1;
                    if reports % REPORTS_PER_TICK == 0 {
                        saturated.borrow_mut().event(HomeEvent::Tick);
                    }
                    saturated.borrow_mut().next_report()
                },
                |report| saturated.borrow_mut().event(HomeEvent::Report(report)),
                BatchSize::PerIteration,
            );
            let counters = saturated.borrow().home.counters().clone();
            assert!(counters.rejections.is_empty(), "{counters:?}");
            assert_eq!(counters.timed_out_grants, 0);
        });
    }
    group.finish();
}

fn ticks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    for (accounts, endpoints) in SIZES {
        let id = BenchmarkId::new(format!("{accounts}_accounts"), endpoints);
        group.bench_function(id, |bencher| {
            let saturated = RefCell::new(Saturated::new(size(accounts, endpoints)));
            bencher.iter_batched(
                || {
                    for _ in 0..REPORTS_PER_TICK {
                        let report = saturated.borrow_mut().next_report();
                        saturated.borrow_mut().event(HomeEvent::Report(report));
                    }
                },
                |()| saturated.borrow_mut().event(HomeEvent::Tick),
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(50).measurement_time(Duration::from_secs(3));
    targets = decisions, ticks
}
criterion_main!(benches);
