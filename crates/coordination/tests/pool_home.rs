//! Tests of the home of a pool, event by event.

mod support;

use std::time::Duration;

use sedgeridge_coordination::home_counters::RejectionReason;
use sedgeridge_coordination::pool_home::HomeAction;
use sedgeridge_coordination::pool_home::HomeEvent;
use sedgeridge_coordination::pool_messages::Demand;
use sedgeridge_coordination::pool_messages::PrefixHash;
use sedgeridge_coordination::rendezvous::home_of;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::EndpointChoice;
use sedgeridge_state::settings::FairSettings;
use sedgeridge_state::settings::QueueOrder;
use sedgeridge_state::settings::RequestClass;
use support::Fleet;
use support::demand;
use support::member;
use support::report;
use yare::parameterized;

fn ms(value_ms: u64) -> Duration {
    Duration::from_millis(value_ms)
}

#[test]
fn a_free_slot_goes_to_the_account_with_the_least_weighted_service() {
    let mut fleet = Fleet::new(2, &[("desk-1", 1)], &[("a", 1), ("b", 1)]);
    fleet.usable("desk-1", 0);
    fleet.wait(0, "a", 3);
    fleet.wait(1, "b", 3);
    fleet.usable("desk-1", 1);
    assert_eq!(fleet.run_one_by_one(4, 100), ["a", "b", "a", "b"]);
}

#[test]
fn weights_divide_service() {
    let mut fleet = Fleet::new(1, &[("desk-1", 1)], &[("a", 1), ("b", 2)]);
    fleet.usable("desk-1", 0);
    fleet.wait(0, "a", 20);
    fleet.wait(0, "b", 20);
    fleet.usable("desk-1", 1);
    let order = fleet.run_one_by_one(12, 100);
    assert_eq!(order.iter().filter(|account| *account == "b").count(), 8);
}

#[test]
fn idle_time_gives_no_credit() {
    let mut fleet = Fleet::new(1, &[("desk-1", 1)], &[("a", 1), ("b", 1)]);
    fleet.wait(0, "a", 20);
    fleet.run_one_by_one(10, 100);
    fleet.wait(0, "b", 20);
    // The first "a" was granted before "b" came.
    assert_eq!(fleet.run_one_by_one(5, 100), ["a", "a", "b", "a", "b"]);
}

#[test]
fn interactive_work_of_an_account_goes_first() {
    let mut fleet = Fleet::new(1, &[("desk-1", 1)], &[("a", 1)]);
    fleet.wait_as(0, "a", RequestClass::Deferred, 2);
    fleet.wait_as(0, "a", RequestClass::Interactive, 1);
    let classes: Vec<RequestClass> = fleet.run(3, 100).iter().map(|run| run.class).collect();
    let expected = [
        RequestClass::Deferred,
        RequestClass::Interactive,
        RequestClass::Deferred,
    ];
    assert_eq!(classes, expected);
}

#[test]
fn routers_of_one_account_take_turns() {
    let mut fleet = Fleet::new(3, &[("desk-1", 1)], &[("a", 1)]);
    fleet.usable("desk-1", 0);
    fleet.wait(0, "a", 50);
    fleet.wait(1, "a", 2);
    fleet.wait(2, "a", 2);
    fleet.usable("desk-1", 1);
    let routers: Vec<usize> = fleet.run(6, 100).iter().map(|run| run.router).collect();
    assert_eq!(routers, [0, 1, 2, 0, 1, 2]);
}

#[test]
fn fifo_order_serves_the_oldest_request() {
    let settings = FairSettings {
        order: QueueOrder::Fifo,
        ..FairSettings::default()
    };
    let accounts = [("a", 1), ("b", 1)];
    let mut fleet = Fleet::with_settings(2, &[("desk-1", 1)], &accounts, settings);
    fleet.wait(0, "a", 4);
    fleet.wait(1, "b", 1);
    assert_eq!(fleet.run_one_by_one(5, 100), ["a", "a", "a", "a", "b"]);
}

#[test]
fn random_choice_repeats_with_its_seed() {
    let settings = FairSettings {
        endpoint_choice: EndpointChoice::Random,
        ..FairSettings::default()
    };
    let endpoints = [("desk-1", 4), ("desk-2", 4), ("desk-3", 4)];
    let run = || {
        let mut fleet = Fleet::with_settings(1, &endpoints, &[("a", 1)], settings.clone());
        fleet.wait(0, "a", 8);
        fleet.granted_endpoints()
    };
    assert_eq!(run(), run());
}

// A caller waits although the only slot is idle: its grant was lost on the way to router 0, which
// sends nothing more. The slot returns after the grant timeout and router 1 gets it. Router 0 gets
// no second grant before it reports, otherwise the slot would idle again.
#[test]
fn a_lost_grant_returns_its_slot() {
    let mut fleet = Fleet::new(2, &[("desk-1", 1)], &[("a", 1), ("b", 1)]);
    fleet.wait(0, "a", 5);
    fleet.lose_grants();
    fleet.wait(1, "b", 1);
    assert!(fleet.grants.is_empty());
    fleet.tick(ms(1_100));
    assert_eq!(fleet.grants.len(), 1);
    assert_eq!(fleet.grants[0].1.account.as_str(), "b");
    assert_eq!(fleet.home.counters().timed_out_grants, 1);
}

// An endpoint gets twice its load after a rehoming. The new home knows of one router and grants a
// slot that another router's request still occupies. It must wait for the full report of each live
// member, and count what these hold, before it grants anything.
#[test]
fn a_new_home_counts_the_slots_in_use_before_it_grants() {
    let mut fleet = Fleet::gathering(2, &[("desk-1", 1)], &[("a", 1), ("b", 1)]);
    let mut first = report(0, 1, true);
    first.demand.push(demand("a", 1));
    fleet.send(first);
    assert!(fleet.grants.is_empty());

    let mut second = report(1, 1, true);
    second
        .holdings
        .push(support::foreign_holding("b", "desk-1"));
    fleet.send(second);
    assert!(fleet.grants.is_empty());

    let mut ended = report(1, 2, false);
    ended.ended.push(support::foreign_grant());
    fleet.send(ended);
    assert_eq!(fleet.grants.len(), 1);
}

// All callers of a pool wait although slots are idle. One live member never sends its full report,
// because its connection to the new home is cut. The home starts without it after the gather time.
#[test]
fn a_silent_member_delays_a_new_home_only_for_the_gather_time() {
    let mut fleet = Fleet::gathering(2, &[("desk-1", 1)], &[("a", 1)]);
    let mut first = report(0, 1, true);
    first.demand.push(demand("a", 1));
    fleet.send(first);
    fleet.tick(ms(299));
    assert!(fleet.grants.is_empty());
    fleet.tick(ms(1));
    assert_eq!(fleet.grants.len(), 1);
}

// A router died: its callers get no answer and its requests no longer run. Their slots must serve
// the callers of other routers as soon as the membership says that it is gone.
#[test]
fn a_member_that_is_gone_frees_its_slots() {
    let mut fleet = Fleet::new(2, &[("desk-1", 1)], &[("a", 1)]);
    fleet.wait(0, "a", 1);
    fleet.wait(1, "a", 1);
    fleet.acknowledge_all();
    assert_eq!(fleet.grants.len(), 1);
    fleet.event(HomeEvent::Members(vec![member(1)]));
    assert_eq!(fleet.grants.len(), 2);
    assert_eq!(fleet.grants[1].0, member(1));
}

// Callers at one router wait forever. A grant to it was lost, so it gets no other until it reports;
// the request for a full report was lost too, and the router has nothing new to report. The home
// repeats its request until the report arrives.
#[test]
fn an_unanswered_request_for_a_full_report_is_repeated() {
    let mut fleet = Fleet::new(1, &[("desk-1", 1)], &[("a", 1)]);
    fleet.wait(0, "a", 2);
    let ask = [HomeAction::RequestFullReport { to: member(0) }];
    assert_eq!(fleet.tick(ms(1_000)), ask);
    assert_eq!(fleet.tick(ms(100)), []);
    assert_eq!(fleet.tick(ms(200)), ask);
    let mut answer = report(0, 3, true);
    answer.demand.push(demand("a", 2));
    fleet.send(answer);
    assert_eq!(fleet.grants.len(), 2);
    assert_eq!(fleet.tick(ms(300)), []);
}

// Callers at one router wait although a slot is idle. The report of them was lost, and no later one
// showed the gap. The home regularly requests a full report from every router.
#[test]
fn a_router_with_nothing_new_to_say_is_asked_in_the_end() {
    let mut fleet = Fleet::new(1, &[("desk-1", 1)], &[("a", 1)]);
    assert_eq!(fleet.tick(ms(29_000)), []);
    let ask = [HomeAction::RequestFullReport { to: member(0) }];
    assert_eq!(fleet.tick(ms(11_000)), ask);
}

// A request ends although another one still runs under the same grant id, so its endpoint runs one
// request too many. A run left and rejoined while a grant to it was in transit; the home had
// forgotten the run and restarted its sequence.
#[test]
fn a_run_that_rejoins_never_gets_a_grant_id_again() {
    let mut fleet = Fleet::new(2, &[("desk-1", 1)], &[("a", 1)]);
    fleet.wait(0, "a", 1);
    fleet.event(HomeEvent::Members(vec![member(1)]));
    fleet.event(HomeEvent::Members(vec![member(0), member(1)]));
    let mut rejoined = report(0, 9, true);
    rejoined.demand.push(demand("a", 1));
    fleet.send(rejoined);
    assert_eq!(fleet.grants.len(), 2);
    assert_ne!(fleet.grants[0].1.id, fleet.grants[1].1.id);
}

#[parameterized(
    repeated = { 1, false, RejectionReason::RepeatedSequence, false },
    gap = { 3, false, RejectionReason::SequenceGap, true },
    old_full = { 1, true, RejectionReason::RepeatedSequence, false },
)]
fn a_report_out_of_sequence_changes_nothing(
    sequence: u64,
    full: bool,
    reason: RejectionReason,
    is_full_report_requested: bool,
) {
    let mut fleet = Fleet::new(1, &[("desk-1", 1)], &[("a", 1)]);
    fleet.tick(ms(1_000));
    let mut bad = report(0, sequence, full);
    bad.demand.push(demand("a", 1));
    let actions = fleet.send(bad);
    let asked = actions.contains(&HomeAction::RequestFullReport { to: member(0) });
    assert_eq!(asked, is_full_report_requested);
    assert!(fleet.grants.is_empty());
    assert_eq!(fleet.home.counters().rejections[&reason], 1);
}

#[parameterized(
    waiting = { u32::MAX, 1, 0 },
    cost = { 1, u64::MAX, 0 },
    served = { 1, 1, u64::MAX },
)]
fn absurd_counters_change_nothing(waiting: u32, cost_tokens: u64, total_tokens: u64) {
    let mut fleet = Fleet::new(1, &[("desk-1", 1)], &[("a", 1)]);
    let mut bad = report(0, 2, false);
    bad.demand.push(demand("a", waiting));
    bad.demand[0].head_cost_tokens = cost_tokens;
    bad.served.push(support::served("a", total_tokens));
    fleet.send(bad);
    assert!(fleet.grants.is_empty());
    let rejections = &fleet.home.counters().rejections;
    assert_eq!(rejections[&RejectionReason::AbsurdCounter], 1);
}

#[test]
fn settled_service_may_not_go_down_within_a_run() {
    let mut fleet = Fleet::new(1, &[("desk-1", 1)], &[("a", 1)]);
    let mut up = report(0, 2, false);
    up.served.push(support::served("a", 50));
    fleet.send(up);
    let mut down = report(0, 3, false);
    down.served.push(support::served("a", 49));
    fleet.send(down);
    let rejections = &fleet.home.counters().rejections;
    assert_eq!(rejections[&RejectionReason::ServedWentDown], 1);
}

// Callers of a newly imported account wait at a router that has the new configuration; the home
// gets it a second later. The home drops the unknown account but not the rest of the report, and
// requests a full report once it has the configuration, so the callers need not retry.
#[test]
fn an_account_imported_later_is_served_once_it_is_known() {
    let mut fleet = Fleet::new(1, &[("desk-1", 4)], &[("a", 1)]);
    fleet.tick(ms(1_000));
    let mut early = report(0, 2, false);
    early.demand = vec![demand("new", 1), demand("a", 1)];
    fleet.send(early);
    assert_eq!(fleet.grants.len(), 1);
    let actions = fleet.configure(&[("desk-1", 4)], &[("a", 1), ("new", 1)]);
    assert_eq!(actions, [HomeAction::RequestFullReport { to: member(0) }]);
}

// Callers of an account wait forever. An operator removed it by mistake and restored it before its
// routers learned of either, so these have nothing new to report; the home had dropped their
// demand.
#[test]
fn full_reports_are_requested_for_a_restored_account() {
    let mut fleet = Fleet::new(1, &[("desk-1", 0)], &[("a", 1)]);
    fleet.tick(ms(1_000));
    fleet.wait(0, "a", 1);
    assert_eq!(fleet.configure(&[("desk-1", 0)], &[]), []);
    let actions = fleet.configure(&[("desk-1", 0)], &[("a", 1)]);
    assert_eq!(actions, [HomeAction::RequestFullReport { to: member(0) }]);
}

#[test]
fn a_new_weight_applies_to_later_service() {
    let mut fleet = Fleet::new(1, &[("desk-1", 1)], &[("a", 1), ("b", 1)]);
    fleet.usable("desk-1", 0);
    fleet.wait(0, "a", 60);
    fleet.wait(0, "b", 60);
    fleet.usable("desk-1", 1);
    fleet.run(40, 100);
    fleet.configure(&[("desk-1", 1)], &[("a", 1), ("b", 4)]);
    let order = fleet.run_one_by_one(20, 100);
    assert_eq!(order.iter().filter(|account| *account == "b").count(), 16);
}

// Prompts of "a" share a prefix that desk-1 holds, and "a" was served more than "b". So "b" goes
// first; then "a" goes to desk-1 while that is free, and to another endpoint rather than wait.
#[test]
fn affinity_chooses_the_endpoint_and_not_the_account() {
    let mut fleet = Fleet::new(1, &[("desk-1", 1), ("desk-2", 2)], &[("a", 1), ("b", 1)]);
    fleet.usable("desk-2", 0);
    let warm = |account: &str, waiting: u32| Demand {
        head_prefix: Some(PrefixHash(7)),
        ..demand(account, waiting)
    };
    let mut first = report(0, 2, false);
    first.demand = vec![warm("a", 1)];
    fleet.send(first);
    let mut ended = report(0, 3, false);
    ended.grants_received = fleet.grants[0].1.id.sequence;
    ended.ended = vec![fleet.grants[0].1.id.clone()];
    ended.demand = vec![warm("a", 0)];
    fleet.send(ended);
    fleet.usable("desk-2", 2);

    let mut both = report(0, 4, false);
    both.grants_received = fleet.grants[0].1.id.sequence;
    both.demand = vec![warm("a", 2), demand("b", 1)];
    both.served = vec![support::served("a", 1_000)];
    fleet.send(both);
    let granted = fleet.grants[1..].iter();
    let granted: Vec<_> = granted
        .map(|(_, grant)| (grant.account.as_str(), grant.endpoint.as_str()))
        .collect();
    assert_eq!(granted, [("b", "desk-2"), ("a", "desk-1"), ("a", "desk-2")]);
}

#[test]
fn an_endpoint_that_shrank_gets_no_grant_above_its_slots() {
    let mut fleet = Fleet::new(1, &[("desk-1", 3)], &[("a", 1)]);
    fleet.wait(0, "a", 9);
    assert_eq!(fleet.grants.len(), 3);
    fleet.usable("desk-1", 1);
    fleet.run(2, 100);
    assert_eq!(fleet.grants.len(), 1);
    fleet.usable("desk-1", 2);
    assert_eq!(fleet.grants.len(), 2);
}

#[test]
fn a_home_moves_only_when_its_host_leaves() {
    let members: Vec<_> = (0..50).map(member).collect();
    let mut rest = members.clone();
    let gone = rest.remove(17);
    for pool in 0..200 {
        let pool = PoolId::from(format!("pool-{pool}").as_str());
        let before = home_of(&pool, &members);
        if before != Some(&gone) {
            assert_eq!(home_of(&pool, &rest), before);
        }
    }
}
