//! Table reads that configuration costs the fleet, and time until a change is in force.
//!
//! The clock is simulated and each call takes up to 100 ms. Routers tell three random peers of a
//! generation when they adopt it, and exchange generations with a random peer every 500 ms, as
//! membership probes do. Run with `--nocapture` to see the figures.

mod common;

use common::config_fleet::ConfigFleet;
use common::store::CallOutcome;
use sedgeridge_coordination::config_events::ConfigEvent;

const STEP_MS: u64 = 100;
const STEPS_PER_PROBE: u64 = 5;
const RUN_MS: u64 = 120_000;
const DAY_MS: u64 = 86_400_000;
const TABLE_READS_PER_S: f64 = 2_000.0;
const IN_FORCE_TARGET_MS: u64 = 3_000;

#[derive(Debug)]
struct Cost {
    head_reads_per_s: f64,
    change_reads_per_s: f64,
    in_force_p99_ms: u64,
}

fn simulate(routers: usize, changes_per_day: u64) -> Cost {
    let mut fleet = ConfigFleet::new(routers);
    fleet.fanout = Some(3);
    fleet.accept_change();
    fleet.run(10_000);
    fleet.check_all_in_force();
    (fleet.head_reads, fleet.change_reads) = (0, 0);
    let change_interval_ms = DAY_MS.checked_div(changes_per_day).unwrap_or(u64::MAX);
    let mut accepted_at_ms = 0;
    let mut next_change_ms = 1_000;
    let mut delays_ms = Vec::new();
    let mut random = 1;
    for step in 0..RUN_MS / STEP_MS {
        let now_ms = step * STEP_MS;
        if now_ms >= next_change_ms {
            fleet.accept_change();
            accepted_at_ms = now_ms;
            next_change_ms = now_ms.saturating_add(change_interval_ms);
        }
        let behind = routers_behind(&fleet);
        fleet.advance(STEP_MS);
        if step.is_multiple_of(STEPS_PER_PROBE) {
            exchange_generations(&mut fleet, &mut random);
        }
        for index in 0..routers {
            for _ in 0..fleet.routers[index].calls.len() {
                fleet.deliver(index, CallOutcome::Answered);
            }
        }
        let adopted_count = behind.iter().filter(|i| !is_behind(&fleet, **i)).count();
        delays_ms.extend(std::iter::repeat_n(
            now_ms + STEP_MS - accepted_at_ms,
            adopted_count,
        ));
    }
    delays_ms.sort_unstable();
    let in_force_p99_ms = delays_ms.get(delays_ms.len() * 99 / 100).copied();
    let per_s = |reads: u64| reads as f64 * 1_000.0 / RUN_MS as f64;
    Cost {
        head_reads_per_s: per_s(fleet.head_reads),
        change_reads_per_s: per_s(fleet.change_reads),
        in_force_p99_ms: in_force_p99_ms.unwrap_or(0),
    }
}

fn is_behind(fleet: &ConfigFleet, index: usize) -> bool {
    fleet.routers[index].document.len() < fleet.accepted_changes.len()
}

fn routers_behind(fleet: &ConfigFleet) -> Vec<usize> {
    let all = 0..fleet.routers.len();
    all.filter(|index| is_behind(fleet, *index)).collect()
}

/// Exchanges generations between each router and a random one.
fn exchange_generations(fleet: &mut ConfigFleet, random: &mut u64) {
    let count = fleet.routers.len();
    for index in 0..count {
        *random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let other = (*random >> 33) as usize % count;
        for (from, to) in [(index, other), (other, index)] {
            let peer = fleet.routers[from].member.clone();
            let generation = fleet.routers[from].adoption.current_generation();
            fleet.event(to, ConfigEvent::PeerGeneration { peer, generation });
        }
    }
}

// Guards against configuration overloading the table or being in force late: 11,000 changes a day
// at 400 routers must cost less than a hundredth of the table's reads, and each change must be in
// force within three seconds.
#[test]
fn configuration_keeps_to_its_share_of_the_table() {
    println!("routers | changes a day | head reads/s | change reads/s | share % | in force p99 ms");
    for routers in [6, 50, 100, 200, 400] {
        for changes_per_day in [0, 11_000, 44_000] {
            let cost = simulate(routers, changes_per_day);
            let Cost {
                head_reads_per_s,
                change_reads_per_s,
                in_force_p99_ms,
            } = cost;
            let share = (head_reads_per_s + change_reads_per_s) / TABLE_READS_PER_S * 100.0;
            println!(
                "{routers} | {changes_per_day} | {head_reads_per_s:.2} | {change_reads_per_s:.2} \
                 | {share:.2} | {in_force_p99_ms}"
            );
            assert!(share < 1.0, "{share} % of the table's reads");
            assert!(
                in_force_p99_ms <= IN_FORCE_TARGET_MS,
                "{in_force_p99_ms} ms"
            );
        }
    }
}
