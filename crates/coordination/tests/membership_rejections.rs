//! Invalid messages are dropped and counted by reason, and change nothing.

mod membership_network;

use std::time::Duration;

use membership_network::host_name;
use sedgeridge_coordination::membership::Body;
use sedgeridge_coordination::membership::Health;
use sedgeridge_coordination::membership::MemberRecord;
use sedgeridge_coordination::membership::Membership;
use sedgeridge_coordination::membership::MembershipAction;
use sedgeridge_coordination::membership::MembershipEvent;
use sedgeridge_coordination::membership::Message;
use sedgeridge_coordination::membership::Notice;
use sedgeridge_coordination::membership::Rejection;
use sedgeridge_coordination::membership::Update;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::MembershipSettings;
use yare::parameterized;

const START_UNIX_US: u64 = 1_800_000_000_000_000;
const TWO_DAYS_US: u64 = 2 * 86_400_000_000;
const NOW: Duration = Duration::from_millis(1);

fn record(host: HostId, incarnation: u64) -> MemberRecord {
    MemberRecord {
        member: Member {
            host,
            incarnation: Incarnation(incarnation),
        },
        refutations: 0,
        leaving: false,
        health: Health::Alive,
    }
}

fn gossip(from: MemberRecord) -> Message {
    Message {
        from,
        config_generation: 0,
        updates: Vec::new(),
        notices: Vec::new(),
        body: Body::Gossip,
    }
}

fn with_update(record: MemberRecord) -> Message {
    let update = Update {
        record,
        accuser: None,
    };
    Message {
        updates: vec![update],
        ..gossip(peer())
    }
}

fn with_notice(notice: Notice) -> Message {
    Message {
        notices: vec![notice],
        ..gossip(peer())
    }
}

fn peer() -> MemberRecord {
    record(host_name(1), START_UNIX_US)
}

fn stranger() -> MemberRecord {
    record(HostId::from("stranger"), START_UNIX_US)
}

fn from_the_future() -> MemberRecord {
    record(host_name(2), START_UNIX_US + TWO_DAYS_US)
}

fn much_refuted() -> MemberRecord {
    MemberRecord {
        refutations: u64::MAX,
        ..record(host_name(2), START_UNIX_US)
    }
}

fn absurd_generation() -> Message {
    Message {
        config_generation: u64::MAX,
        ..gossip(peer())
    }
}

fn self_accused() -> MemberRecord {
    MemberRecord {
        health: Health::Dead,
        ..peer()
    }
}

fn oversized() -> Message {
    let update = Update {
        record: record(host_name(2), START_UNIX_US),
        accuser: None,
    };
    Message {
        updates: vec![update; 100],
        ..gossip(peer())
    }
}

fn leaving_since(since_unix_ms: u64) -> Notice {
    Notice::EndpointLeaving {
        endpoint: EndpointId::from("desk-1"),
        since_unix_ms,
    }
}

fn endless_quarantine() -> Notice {
    Notice::Quarantine {
        fingerprint: Fingerprint(1),
        expires_in_ms: u64::MAX,
    }
}

/// Returns a membership that knows host 1 and has nothing left to disseminate.
fn membership() -> Membership {
    let member = Member {
        host: host_name(0),
        incarnation: Incarnation(START_UNIX_US),
    };
    let hosts = (0..4).map(host_name).collect();
    let mut membership = Membership::new(member, MembershipSettings::default(), hosts, 1);
    let hello = MembershipEvent::MessageReceived(gossip(peer()));
    membership.handle(NOW, hello, &mut Vec::new());
    membership
}

#[parameterized(
    unknown_sender = { gossip(stranger()), Rejection::UnknownSender },
    unknown_subject = { with_update(stranger()), Rejection::UnknownSubject },
    old_run = { gossip(record(host_name(1), START_UNIX_US - 1)), Rejection::StaleIncarnation },
    sender_from_the_future = { gossip(from_the_future()), Rejection::AbsurdIncarnation },
    update_from_the_future = { with_update(from_the_future()), Rejection::AbsurdIncarnation },
    much_refuted_sender = { gossip(much_refuted()), Rejection::AbsurdRefutations },
    much_refuted_update = { with_update(much_refuted()), Rejection::AbsurdRefutations },
    high_generation = { absurd_generation(), Rejection::AbsurdGeneration },
    own_name = { gossip(record(host_name(0), START_UNIX_US)), Rejection::OwnName },
    dead_sender = { gossip(self_accused()), Rejection::SelfAccusation },
    too_many_updates = { oversized(), Rejection::Oversized },
    leaving_in_the_future = { with_notice(leaving_since(u64::MAX)), Rejection::AbsurdNotice },
    quarantine_without_end = { with_notice(endless_quarantine()), Rejection::AbsurdNotice },
)]
fn a_bad_message_is_counted_and_changes_nothing(message: Message, reason: Rejection) {
    let mut membership = membership();
    let mut actions = Vec::new();
    membership.handle(NOW, MembershipEvent::MessageReceived(message), &mut actions);
    assert_eq!(membership.rejections().iter().count(), 1);
    assert!(membership.rejections().count_of(reason) > 0);
    let is_outranked_answer = |a: &MembershipAction| match a {
        MembershipAction::Send { message, .. } => matches!(message.body, Body::Outranked { .. }),
        _ => false,
    };
    assert!(actions.iter().all(is_outranked_answer), "{actions:?}");
    assert_eq!(membership.config_generation(), 0);
}

// Guards against a router that stops serving because of a false claim about itself. A message
// claims that this host is dead, under a version it never had; the host refutes with a higher
// version.
#[test]
fn a_false_claim_about_this_host_is_refuted() {
    let mut membership = membership();
    let claim = MemberRecord {
        refutations: 3,
        health: Health::Dead,
        ..record(host_name(0), START_UNIX_US)
    };
    let mut actions = Vec::new();
    let event = MembershipEvent::MessageReceived(with_update(claim));
    membership.handle(NOW, event, &mut actions);
    membership.handle(NOW, MembershipEvent::Tick, &mut actions);
    let refutations = actions.iter().filter_map(|a| match a {
        MembershipAction::Send { message, .. } => Some(message.from.refutations),
        _ => None,
    });
    assert_eq!(refutations.max(), Some(4));
}
