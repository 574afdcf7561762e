//! Exchange of reports and grants between an entry router and the home of a pool.

use std::time::Duration;

use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::entry_pool::EntryPool;
use sedgeridge_coordination::entry_pool::LaneHead;
use sedgeridge_coordination::entry_pool::Urgency;
use sedgeridge_coordination::entry_queue::Lane;
use sedgeridge_coordination::pool_home::AccountWeight;
use sedgeridge_coordination::pool_home::HomeAction;
use sedgeridge_coordination::pool_home::HomeEndpoint;
use sedgeridge_coordination::pool_home::HomeEvent;
use sedgeridge_coordination::pool_home::PoolHome;
use sedgeridge_coordination::pool_messages::Grant;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::ids::SiteId;
use sedgeridge_state::settings::FairSettings;
use sedgeridge_state::settings::RequestClass;

fn member(host: &str) -> Member {
    Member {
        host: HostId::from(host),
        incarnation: Incarnation(1),
    }
}

fn home() -> PoolHome {
    let mut home = PoolHome::new(
        member("home"),
        PoolId::from("desk"),
        FairSettings::default(),
    );
    let endpoint = HomeEndpoint {
        id: EndpointId::from("desk-1"),
        site: SiteId::from("officina"),
        slots: 2,
    };
    let weight = AccountWeight {
        account: AccountId::from("a"),
        weight: 1,
    };
    let configured = HomeEvent::Configured {
        endpoints: vec![endpoint],
        weights: vec![weight],
    };
    let members = HomeEvent::Members(vec![member("entry")]);
    for event in [configured, members] {
        home.handle(Duration::ZERO, event, &mut Vec::new());
    }
    home
}

const LANE_HEAD: LaneHead = LaneHead {
    cost_tokens: 100,
    prefix: None,
};

fn wait(entry: &mut EntryPool, key: RequestKey) {
    let lane = Lane {
        account: AccountId::from("a"),
        class: RequestClass::Interactive,
    };
    entry.enqueue(lane, key, false);
}

/// Passes the next report to the home and returns the grants that the home sends.
fn exchange(entry: &mut EntryPool, home: &mut PoolHome) -> Vec<Grant> {
    let mut actions = Vec::new();
    if let Some((_, report)) = entry.report(&member("entry"), Urgency::Lazy, |_| Some(LANE_HEAD)) {
        home.handle(Duration::ZERO, HomeEvent::Report(report), &mut actions);
    }
    let grants = actions.into_iter().filter_map(|action| match action {
        HomeAction::Grant { grant, .. } => Some(grant),
        HomeAction::RequestFullReport { .. } => None,
    });
    grants.collect()
}

// The router suspected the home, reported to another one and came back, without the home knowing.
// If the router restarted its report sequence, the home would drop the reports as repeated, and the
// callers of the router would wait forever while slots are idle.
#[test]
fn a_home_that_was_suspected_takes_the_reports_that_follow() {
    let mut home = home();
    let mut entry = EntryPool::new(PoolId::from("desk"), Duration::ZERO);
    entry.set_home(Some(member("home")));
    for _ in 0..3 {
        entry.request_full_report();
        exchange(&mut entry, &mut home);
    }
    entry.set_home(Some(member("other")));
    entry.set_home(Some(member("home")));
    wait(&mut entry, RequestKey(1));
    assert_eq!(exchange(&mut entry, &mut home).len(), 1);
    assert!(home.counters().rejections.is_empty());
}

// The first grant of a new home was lost as the connection was not open yet. The second one arrived
// and acknowledged both, so a slot idled for half a minute while callers waited. The entry router
// must send a full report after the first grant that it receives.
#[test]
fn the_slot_of_a_lost_first_grant_is_freed() {
    let mut home = home();
    let mut entry = EntryPool::new(PoolId::from("desk"), Duration::ZERO);
    entry.set_home(Some(member("home")));
    wait(&mut entry, RequestKey(1));
    wait(&mut entry, RequestKey(2));
    let grants = exchange(&mut entry, &mut home);
    assert_eq!(grants.len(), 2);
    assert!(entry.accept(&grants[1]));
    assert!(entry.pop_for_grant(&grants[1]).is_some());
    entry.hold(Duration::ZERO, &grants[1], 100);
    assert_eq!(exchange(&mut entry, &mut home).len(), 1);
}

// The ends of short grants were reported only with the next lazy report, so their slots seemed
// occupied most of the time and callers waited at half load. The end of a short grant must be
// reported at once; that of a long one may wait when no request waits for the slot.
#[test]
fn the_end_of_a_short_grant_is_reported_at_once() {
    let mut home = home();
    let mut entry = EntryPool::new(PoolId::from("desk"), Duration::ZERO);
    entry.set_home(Some(member("home")));
    for (ran, expected) in [
        (Duration::from_millis(20), Urgency::Urgent),
        (Duration::from_secs(10), Urgency::Lazy),
    ] {
        wait(&mut entry, RequestKey(1));
        let grants = exchange(&mut entry, &mut home);
        let grant = &grants[0];
        assert!(!grant.contended);
        assert!(entry.accept(grant));
        assert!(entry.pop_for_grant(grant).is_some());
        entry.hold(Duration::ZERO, grant, 100);
        exchange(&mut entry, &mut home);
        entry.release(ran, &grant.id);
        assert_eq!(entry.urgency(), expected, "after {ran:?}");
        exchange(&mut entry, &mut home);
    }
}
