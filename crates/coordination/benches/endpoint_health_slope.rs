//! Cost of one load report of an endpoint, including the slot changes, by the size of its pool.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use sedgeridge_coordination::endpoint_health::PoolHealth;
use sedgeridge_coordination::slot_budget::EndpointLoad;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::settings::HealthSettings;

/// Time between two reports of one endpoint.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

fn load_report(c: &mut Criterion) {
    let mut group = c.benchmark_group("load_report");
    for endpoints in [22_u32, 220, 2_200] {
        let id = |n| EndpointId::from(format!("engine-{n}").as_str());
        let pool: Vec<_> = (0..endpoints).map(|n| (id(n), 8)).collect();
        let mut health = PoolHealth::new(HealthSettings::default());
        health.configure(&pool);
        let load = EndpointLoad {
            running: 0,
            waiting: 0,
            slots: 8,
            age: Duration::ZERO,
            leaving: false,
        };
        let mut now = Duration::ZERO;
        let mut turn = pool.iter().cycle();
        group.bench_function(BenchmarkId::from_parameter(endpoints), |b| {
            b.iter(|| {
                now += REPORT_INTERVAL / endpoints;
                let (id, _) = turn.next().expect("the pool is not empty");
                health.record_report(now, id, load);
                black_box(health.take_changes(now))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, load_report);
criterion_main!(benches);
