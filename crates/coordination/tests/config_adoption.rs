//! Failures on the way of an accepted configuration into force.

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
        fleet.accept();
    }
    fleet.run(5_000);
    fleet.check_all_in_force();
    fleet
}

/// Carries out all calls of a router; those to the store meet `store`.
fn serve(fleet: &mut ConfigFleet, router: usize, store: CallOutcome) {
    while let Some(call) = fleet.routers[router].calls.front() {
        let to_store = matches!(
            call,
            ConfigAction::ReadHead { .. } | ConfigAction::FetchFromStore { .. }
        );
        fleet.deliver(
            router,
            if to_store {
                store
            } else {
                CallOutcome::Answered
            },
        );
    }
}

// The store is down when a router starts again without memory. It asks its peers for their
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

// The store is down and no peer can be reached. The router has no configuration to judge callers
// by, so it is not ready, however long this lasts.
#[test]
fn a_router_without_any_configuration_is_not_ready() {
    let mut fleet = fleet_at(3);
    fleet.cut = vec![(0, 1), (0, 2)];
    fleet.restart(0);
    for _ in 0..600 {
        fleet.advance(100);
        serve(&mut fleet, 0, CallOutcome::Refused);
    }
    assert!(!fleet.routers[0].ready);
    fleet.cut.clear();
    fleet.run(10_000);
    fleet.check_all_in_force();
}

// A router reads the head from a replica that lags, and is handed an older whole configuration by
// a peer. Its own newer one stays in force.
#[test]
fn a_lower_generation_is_never_adopted() {
    let mut fleet = fleet_at(3);
    fleet.routers[0].calls.clear();
    fleet.advance(1_000);
    serve(&mut fleet, 0, CallOutcome::Stale(2));
    let old = ConfigItem {
        generation: Generation(1),
        content: ConfigItemContent::Whole(Arc::new(fleet.accepted[..1].to_vec())),
    };
    let items = vec![old];
    let call = CallId(u64::MAX);
    fleet.event(0, ConfigEvent::Fetched { call, items });
    fleet.check_all_in_force();
}

// A host had generation 3 in force and starts again while its peers are cut off and the store's
// reads lag by two. A plain read would put generation 1 in force: the configuration turned back.
// The first read is exact, so the router knows of 3 and waits for it.
#[test]
fn a_stale_read_after_a_restart_does_not_turn_the_configuration_back() {
    let mut fleet = fleet_at(3);
    fleet.cut = vec![(0, 1), (0, 2)];
    fleet.restart(0);
    for _ in 0..50 {
        fleet.advance(100);
        serve(&mut fleet, 0, CallOutcome::Stale(2));
    }
    assert!(!fleet.routers[0].ready);
    fleet.run(10_000);
    fleet.check_all_in_force();
}

// A fetch comes without one change in the middle. What follows the gap is left out, as it would
// make a configuration that nobody accepted, and is fetched again.
#[test]
fn a_gap_is_noticed_and_fetched_again() {
    let mut fleet = fleet_at(1);
    for _ in 0..3 {
        fleet.accept();
    }
    fleet.cut = vec![(0, 1), (0, 2)];
    fleet.advance(1_000);
    fleet.deliver(0, CallOutcome::Answered);
    fleet.deliver(0, CallOutcome::AnswerLost);
    assert_eq!(fleet.routers[0].document, fleet.accepted[..2]);
    fleet.run(10_000);
    assert_eq!(fleet.routers[0].document, fleet.accepted);
}

// The peer that told of a new generation goes silent. After the timeout the store is asked.
#[test]
fn a_silent_peer_does_not_hold_a_change_up() {
    let mut fleet = fleet_at(1);
    fleet.accept();
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
    assert_eq!(fleet.routers[0].document, fleet.accepted);
}

// The store is down or silent when a host that had generation 3 starts again. The first peer that
// answers lags behind at 1; the second has 3. Started from the first answer alone, the host would
// turn the configuration back, so it hears both.
#[test]
fn a_lagging_peer_does_not_turn_a_restarted_router_back() {
    for store in [CallOutcome::Refused, CallOutcome::CallLost] {
        let mut fleet = fleet_at(1);
        fleet.accept();
        fleet.accept();
        fleet.cut = vec![(0, 1), (1, 2)];
        for _ in 0..20 {
            fleet.advance(100);
            serve(&mut fleet, 0, CallOutcome::Answered);
            serve(&mut fleet, 2, CallOutcome::Answered);
        }
        assert_eq!(fleet.routers[0].document, fleet.accepted);

        fleet.cut.clear();
        fleet.restart(0);
        let newer = fleet.routers[2].member.clone();
        let ask_newer = ConfigAction::AskPeer(newer);
        fleet.routers[0].calls.retain(|call| *call != ask_newer);
        serve(&mut fleet, 0, store);
        fleet.advance(100);
        serve(&mut fleet, 0, store);
        assert!(!fleet.routers[0].ready, "started from the lagging peer");
        fleet.routers[0].calls.push_back(ask_newer);
        for _ in 0..20 {
            fleet.advance(100);
            serve(&mut fleet, 0, store);
        }
        assert_eq!(fleet.routers[0].document, fleet.accepted);
    }
}
