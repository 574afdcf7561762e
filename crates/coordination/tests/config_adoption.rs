//! Adoption of accepted configurations under failures.

mod common;

use std::sync::Arc;

use common::config_fleet::ConfigFleet;
use common::store::CallOutcome;
use sedgeridge_coordination::config_events::ConfigAction;
use sedgeridge_coordination::config_events::ConfigEvent;
use sedgeridge_coordination::config_events::ConfigItem;
use sedgeridge_coordination::config_events::ConfigItemContent;
use sedgeridge_coordination::config_events::Generation;
use sedgeridge_coordination::store_call::CallId;

fn fleet_at(generation: usize) -> ConfigFleet {
    let mut fleet = ConfigFleet::new(3);
    for _ in 0..generation {
        fleet.accept_change();
    }
    fleet.run(5_000);
    fleet.check_all_in_force();
    fleet
}

/// Carries out all calls of a router. Calls to the store end with `store_outcome`.
fn serve(fleet: &mut ConfigFleet, router: usize, store_outcome: CallOutcome) {
    while let Some(call) = fleet.routers[router].calls.front() {
        let to_store = matches!(
            call,
            ConfigAction::ReadHead { .. } | ConfigAction::FetchFromStore { .. }
        );
        fleet.deliver(
            router,
            if to_store {
                store_outcome
            } else {
                CallOutcome::Answered
            },
        );
    }
}

// Guards against a router that cannot restart while the store is down. It asks its peers for their
// generation and takes the configuration from one of them.
#[test]
fn a_restarted_router_takes_its_configuration_from_peers() {
    let mut fleet = fleet_at(3);
    fleet.restart(0);
    for _ in 0..20 {
        fleet.advance(100);
        serve(&mut fleet, 0, CallOutcome::Refused);
    }
    fleet.check_all_in_force();
}

// Guards against a router that becomes ready without a configuration, by which it would have to
// check callers, while the store is down and no peer is reachable.
#[test]
fn a_router_without_any_configuration_is_not_ready() {
    let mut fleet = fleet_at(3);
    fleet.cut_pairs = vec![(0, 1), (0, 2)];
    fleet.restart(0);
    for _ in 0..600 {
        fleet.advance(100);
        serve(&mut fleet, 0, CallOutcome::Refused);
    }
    assert!(!fleet.routers[0].is_ready);
    fleet.cut_pairs.clear();
    fleet.run(10_000);
    fleet.check_all_in_force();
}

// Guards against a return to an older configuration: a router reads the head from a lagging replica
// and receives an older snapshot from a peer. Its newer configuration stays in force.
#[test]
fn a_lower_generation_is_never_adopted() {
    let mut fleet = fleet_at(3);
    fleet.routers[0].calls.clear();
    fleet.advance(1_000);
    serve(&mut fleet, 0, CallOutcome::Stale(2));
    let old = ConfigItem {
        generation: Generation(1),
        content: ConfigItemContent::Snapshot(Arc::new(fleet.accepted_changes[..1].to_vec())),
    };
    let items = vec![old];
    let call = CallId(u64::MAX);
    fleet.event(0, ConfigEvent::Fetched { call, items });
    fleet.check_all_in_force();
}

// Guards against a configuration that reverts over a restart. A host had generation 3 in force and
// restarts while its peers are cut off and reads of the store lag by two, so a plain read would put
// generation 1 in force. The first read is exact, so the router knows of 3 and waits for it.
#[test]
fn a_stale_read_after_a_restart_does_not_turn_the_configuration_back() {
    let mut fleet = fleet_at(3);
    fleet.cut_pairs = vec![(0, 1), (0, 2)];
    fleet.restart(0);
    for _ in 0..50 {
        fleet.advance(100);
        serve(&mut fleet, 0, CallOutcome::Stale(2));
    }
    assert!(!fleet.routers[0].is_ready);
    fleet.run(10_000);
    fleet.check_all_in_force();
}

// Guards against a configuration that was never accepted: a fetch lacks one change in the middle.
// The changes after the gap are dropped and fetched again.
#[test]
fn a_gap_is_noticed_and_fetched_again() {
    let mut fleet = fleet_at(1);
    for _ in 0..3 {
        fleet.accept_change();
    }
    fleet.cut_pairs = vec![(0, 1), (0, 2)];
    fleet.advance(1_000);
    fleet.deliver(0, CallOutcome::Answered);
    fleet.deliver(0, CallOutcome::AnswerLost);
    assert_eq!(fleet.routers[0].document, fleet.accepted_changes[..2]);
    fleet.run(10_000);
    assert_eq!(fleet.routers[0].document, fleet.accepted_changes);
}

// Guards against a change delayed by a peer that announced a new generation and then does not
// answer. After the timeout the store is asked.
#[test]
fn a_silent_peer_does_not_hold_a_change_up() {
    let mut fleet = fleet_at(1);
    fleet.accept_change();
    let peer = fleet.routers[1].member.clone();
    let generation = Some(Generation(2));
    fleet.routers[0].calls.clear();
    fleet.event(0, ConfigEvent::PeerGeneration { peer, generation });
    let asks_peer = |call: &ConfigAction<_>| matches!(call, ConfigAction::FetchFromPeer { .. });
    assert!(fleet.routers[0].calls.iter().any(asks_peer));
    fleet.routers[0].calls.clear();
    fleet.advance(1_000);
    fleet.advance(200);
    fleet.routers[0]
        .calls
        .retain(|c| matches!(c, ConfigAction::FetchFromStore { .. }));
    serve(&mut fleet, 0, CallOutcome::Answered);
    assert_eq!(fleet.routers[0].document, fleet.accepted_changes);
}

// Guards against a configuration that reverts over a restart while the store is down or silent. The
// host had generation 3; the first peer that answers lags at 1, the second has 3. The router must
// not start before both have answered.
#[test]
fn a_lagging_peer_does_not_turn_a_restarted_router_back() {
    for store_outcome in [CallOutcome::Refused, CallOutcome::CallLost] {
        let mut fleet = fleet_at(1);
        fleet.accept_change();
        fleet.accept_change();
        fleet.cut_pairs = vec![(0, 1), (1, 2)];
        for _ in 0..20 {
            fleet.advance(100);
            serve(&mut fleet, 0, CallOutcome::Answered);
            serve(&mut fleet, 2, CallOutcome::Answered);
        }
        assert_eq!(fleet.routers[0].document, fleet.accepted_changes);

        fleet.cut_pairs.clear();
        fleet.restart(0);
        let newer = fleet.routers[2].member.clone();
        let ask_newer = ConfigAction::AskPeer(newer);
        fleet.routers[0].calls.retain(|call| *call != ask_newer);
        serve(&mut fleet, 0, store_outcome);
        fleet.advance(100);
        serve(&mut fleet, 0, store_outcome);
        assert!(!fleet.routers[0].is_ready, "started from the lagging peer");
        fleet.routers[0].calls.push_back(ask_newer);
        for _ in 0..20 {
            fleet.advance(100);
            serve(&mut fleet, 0, store_outcome);
        }
        assert_eq!(fleet.routers[0].document, fleet.accepted_changes);
    }
}
