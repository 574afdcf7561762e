//! Tests of the codec for messages between routers: round trips, truncated and corrupt input.

use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::attempt_results::EndpointResult;
use sedgeridge_coordination::attempt_results::ReportedFailure;
use sedgeridge_coordination::breaker::FailureKind;
use sedgeridge_coordination::config_events::Generation;
use sedgeridge_coordination::node::PeerMessage;
use sedgeridge_coordination::node_config::ConfigMessage;
use sedgeridge_coordination::poison_notice::PoisonEvent;
use sedgeridge_coordination::poison_notice::PoisonNotice;
use sedgeridge_coordination::pool_messages::Demand;
use sedgeridge_coordination::pool_messages::EntryReport;
use sedgeridge_coordination::pool_messages::Grant;
use sedgeridge_coordination::pool_messages::GrantId;
use sedgeridge_coordination::pool_messages::Holding;
use sedgeridge_coordination::pool_messages::PrefixHash;
use sedgeridge_coordination::pool_messages::Served;
use sedgeridge_coordination::store_call::CallId;
use sedgeridge_protocol::peer::decode;
use sedgeridge_protocol::peer::decode_hello;
use sedgeridge_protocol::peer::encode;
use sedgeridge_protocol::peer::encode_hello;
use sedgeridge_protocol::peer_config::config_item;
use sedgeridge_state::config_document::SectionEdit;
use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::RequestClass;

fn sender() -> Member {
    Member {
        host: "router-1".into(),
        incarnation: Incarnation(1_796_236_603_901_728),
    }
}

fn grant_id(sequence: u64) -> GrantId {
    GrantId {
        home: Member {
            host: "router-2".into(),
            incarnation: Incarnation(8),
        },
        sequence,
    }
}

fn report() -> EntryReport {
    EntryReport {
        from: sender(),
        pool: "desk".into(),
        sequence: 9,
        full: true,
        grants_received: 70,
        demand: vec![Demand {
            account: "crew-07".into(),
            class: RequestClass::Deferred,
            waiting: 3,
            head_cost_tokens: 400,
            head_prefix: Some(PrefixHash(u64::MAX)),
        }],
        holdings: vec![Holding {
            grant: grant_id(69),
            endpoint: "desk-1".into(),
            account: "crew-07".into(),
            estimate_tokens: 250,
        }],
        ended: vec![grant_id(68)],
        served: vec![Served {
            account: "crew-07".into(),
            total_tokens: 12_000,
        }],
        results: vec![EndpointResult {
            endpoint: "desk-1".into(),
            answered: 2,
            first_byte_ms: 14,
            started_ago_ms: 900,
            failures: vec![ReportedFailure {
                kind: FailureKind::Silent,
                started_ago_ms: 5_000,
            }],
        }],
    }
}

fn messages() -> Vec<PeerMessage> {
    let grant = Grant {
        id: GrantId {
            home: sender(),
            sequence: 4,
        },
        pool: "desk".into(),
        endpoint: "desk-1".into(),
        account: "crew-07".into(),
        class: RequestClass::Deferred,
        contended: true,
    };
    let poison = |event| {
        PeerMessage::Poison(PoisonNotice {
            fingerprint: Fingerprint(u128::MAX - 5),
            event,
        })
    };
    let edit = SectionEdit {
        site: Some(Arc::from("officina")),
        section: Arc::from("front"),
        pairs: None,
    };
    let changes = ConfigMessage::Changes {
        call: CallId(5),
        items: vec![config_item(8, ConfigContent::Delta(vec![edit]))],
    };
    vec![
        PeerMessage::Report(report()),
        PeerMessage::Grant(grant),
        PeerMessage::FullReportWanted {
            pool: "desk".into(),
        },
        poison(PoisonEvent::Crashed {
            endpoint: "desk-1".into(),
            age: Duration::from_millis(30),
        }),
        poison(PoisonEvent::Quarantined {
            remaining: Duration::from_secs(60),
        }),
        poison(PoisonEvent::Finished),
        PeerMessage::Config(ConfigMessage::GenerationWanted),
        PeerMessage::Config(ConfigMessage::GenerationInForce(Some(Generation(7)))),
        PeerMessage::Config(ConfigMessage::ChangesWanted {
            call: CallId(5),
            after: Some(Generation(7)),
        }),
        PeerMessage::Config(changes),
    ]
}

#[test]
fn every_message_round_trips() {
    for message in messages() {
        let bytes = encode(&message);
        assert_eq!(decode(&bytes, &sender()).unwrap(), message);
    }
    assert_eq!(decode_hello(&encode_hello(&sender())).unwrap(), sender());
}

// A peer of another version or a broken connection may deliver part of a message. It must be
// refused: a partial report would withdraw demand that is still waiting.
#[test]
fn a_message_cut_anywhere_is_refused() {
    for message in messages() {
        let bytes = encode(&message);
        for len in 0..bytes.len() {
            assert!(
                decode(&bytes[..len], &sender()).is_err(),
                "{message:?} truncated to {len} bytes"
            );
        }
    }
}

// Input may come from an unknown sender. A corrupt byte must not crash the decoder. A message that
// still decodes is checked by its receiver like any other.
#[test]
fn no_single_wrong_byte_brings_the_reader_down() {
    let bytes = encode(&PeerMessage::Report(report()));
    for position in 0..bytes.len() {
        for corrupt in [0x00, 0x1b, 0x7f, 0x9f, 0xbf, 0xff] {
            let mut corrupted = bytes.clone();
            corrupted[position] = corrupt;
            let _ = decode(&corrupted, &sender());
        }
    }
}
