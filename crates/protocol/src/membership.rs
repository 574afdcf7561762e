//! Encodes membership messages as CBOR datagrams.
//!
//! One-letter field names keep a probe within a few dozen bytes; [`crate::peer`] says why that
//! matters.

use serde::Deserialize;
use serde::Serialize;

use sedgeridge_coordination::membership::Body;
use sedgeridge_coordination::membership::DIGEST_BUCKETS;
use sedgeridge_coordination::membership::Health;
use sedgeridge_coordination::membership::MemberRecord;
use sedgeridge_coordination::membership::Message;
use sedgeridge_coordination::membership::Notice;
use sedgeridge_coordination::membership::TableDigest;
use sedgeridge_coordination::membership::Update;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;

use crate::peer::PeerCodecError;
use crate::peer::from_cbor;
use crate::peer::to_cbor;

#[derive(Debug, Serialize, Deserialize)]
struct WireMessage {
    #[serde(rename = "f")]
    from: WireRecord,
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    config_generation: u64,
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    updates: Vec<WireUpdate>,
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    notices: Vec<WireNotice>,
    #[serde(rename = "b")]
    body: WireBody,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireRecord {
    #[serde(rename = "h")]
    host: String,
    #[serde(rename = "i")]
    incarnation: u64,
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    refutations: u64,
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    leaving: bool,
    #[serde(rename = "s", default, skip_serializing_if = "is_alive")]
    health: WireHealth,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
enum WireHealth {
    #[default]
    #[serde(rename = "a")]
    Alive,
    #[serde(rename = "s")]
    Suspect,
    #[serde(rename = "d")]
    Dead,
    #[serde(rename = "l")]
    Left,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireUpdate {
    #[serde(rename = "r")]
    record: WireRecord,
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    accuser: Option<String>,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireNotice {
    #[serde(rename = "l")]
    EndpointLeaving {
        #[serde(rename = "e")]
        endpoint: String,
        #[serde(rename = "s")]
        since_unix_ms: u64,
    },
    #[serde(rename = "q")]
    Quarantine {
        #[serde(rename = "f")]
        fingerprint: [u8; 16],
        #[serde(rename = "x")]
        expires_in_ms: u64,
    },
}

#[derive(Debug, Serialize, Deserialize)]
enum WireBody {
    #[serde(rename = "p")]
    Probe(u64),
    #[serde(rename = "a")]
    ProbeAck(u64),
    #[serde(rename = "i")]
    IndirectProbe {
        #[serde(rename = "s")]
        sequence: u64,
        #[serde(rename = "t")]
        target: String,
    },
    #[serde(rename = "n")]
    ProbeNack(u64),
    #[serde(rename = "g")]
    Gossip,
    #[serde(rename = "r")]
    SyncRequest(WireDigest),
    #[serde(rename = "t")]
    SyncTable {
        #[serde(rename = "r")]
        records: Vec<WireRecord>,
        #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
        answer_wanted: Option<WireDigest>,
    },
    #[serde(rename = "o")]
    Outranked(u64),
}

#[derive(Debug, Serialize, Deserialize)]
struct WireDigest {
    #[serde(rename = "p")]
    parts: Vec<u32>,
    #[serde(rename = "n")]
    notices: u32,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !*value
}

fn is_alive(value: &WireHealth) -> bool {
    *value == WireHealth::Alive
}

/// Encodes a membership message.
///
/// ```
/// use sedgeridge_coordination::membership::{Body, Health, MemberRecord, Message};
/// use sedgeridge_protocol::membership::{decode, encode};
/// use sedgeridge_state::ids::{Incarnation, Member};
///
/// let member = Member { host: "router-1".into(), incarnation: Incarnation(7) };
/// let from = MemberRecord { member, refutations: 0, leaving: false, health: Health::Alive };
/// let message = Message {
///     from,
///     config_generation: 3,
///     updates: Vec::new(),
///     notices: Vec::new(),
///     body: Body::Probe { sequence: 9 },
/// };
/// let bytes = encode(&message);
/// assert!(bytes.len() < 48);
/// assert_eq!(decode(&bytes).unwrap(), message);
/// ```
pub fn encode(message: &Message) -> Vec<u8> {
    to_cbor(&WireMessage {
        from: record_to_wire(&message.from),
        config_generation: message.config_generation,
        updates: message.updates.iter().map(update_to_wire).collect(),
        notices: message.notices.iter().map(notice_to_wire).collect(),
        body: body_to_wire(&message.body),
    })
}

/// Decodes a membership message.
///
/// # Errors
///
/// Returns an error if the bytes are not a membership message.
pub fn decode(bytes: &[u8]) -> Result<Message, PeerCodecError> {
    let message: WireMessage = from_cbor(bytes)?;
    Ok(Message {
        from: record_from_wire(&message.from),
        config_generation: message.config_generation,
        updates: message.updates.iter().map(update_from_wire).collect(),
        notices: message.notices.iter().map(notice_from_wire).collect(),
        body: body_from_wire(&message.body)?,
    })
}

fn record_to_wire(record: &MemberRecord) -> WireRecord {
    WireRecord {
        host: record.member.host.as_str().to_owned(),
        incarnation: record.member.incarnation.0,
        refutations: record.refutations,
        leaving: record.leaving,
        health: match record.health {
            Health::Alive => WireHealth::Alive,
            Health::Suspect => WireHealth::Suspect,
            Health::Dead => WireHealth::Dead,
            Health::Left => WireHealth::Left,
        },
    }
}

fn record_from_wire(record: &WireRecord) -> MemberRecord {
    MemberRecord {
        member: Member {
            host: HostId::from(record.host.as_str()),
            incarnation: Incarnation(record.incarnation),
        },
        refutations: record.refutations,
        leaving: record.leaving,
        health: match record.health {
            WireHealth::Alive => Health::Alive,
            WireHealth::Suspect => Health::Suspect,
            WireHealth::Dead => Health::Dead,
            WireHealth::Left => Health::Left,
        },
    }
}

fn update_to_wire(update: &Update) -> WireUpdate {
    WireUpdate {
        record: record_to_wire(&update.record),
        accuser: update.accuser.as_ref().map(|host| host.as_str().to_owned()),
    }
}

fn update_from_wire(update: &WireUpdate) -> Update {
    Update {
        record: record_from_wire(&update.record),
        accuser: update.accuser.as_deref().map(HostId::from),
    }
}

fn notice_to_wire(notice: &Notice) -> WireNotice {
    match notice {
        Notice::EndpointLeaving {
            endpoint,
            since_unix_ms,
        } => WireNotice::EndpointLeaving {
            endpoint: endpoint.as_str().to_owned(),
            since_unix_ms: *since_unix_ms,
        },
        Notice::Quarantine {
            fingerprint,
            expires_in_ms,
        } => WireNotice::Quarantine {
            fingerprint: fingerprint.0.to_be_bytes(),
            expires_in_ms: *expires_in_ms,
        },
    }
}

fn notice_from_wire(notice: &WireNotice) -> Notice {
    match notice {
        WireNotice::EndpointLeaving {
            endpoint,
            since_unix_ms,
        } => Notice::EndpointLeaving {
            endpoint: endpoint.as_str().into(),
            since_unix_ms: *since_unix_ms,
        },
        WireNotice::Quarantine {
            fingerprint,
            expires_in_ms,
        } => Notice::Quarantine {
            fingerprint: Fingerprint(u128::from_be_bytes(*fingerprint)),
            expires_in_ms: *expires_in_ms,
        },
    }
}

fn body_to_wire(body: &Body) -> WireBody {
    match body {
        Body::Probe { sequence } => WireBody::Probe(*sequence),
        Body::ProbeAck { sequence } => WireBody::ProbeAck(*sequence),
        Body::IndirectProbe { sequence, target } => WireBody::IndirectProbe {
            sequence: *sequence,
            target: target.as_str().to_owned(),
        },
        Body::ProbeNack { sequence } => WireBody::ProbeNack(*sequence),
        Body::Gossip => WireBody::Gossip,
        Body::SyncRequest { digest } => WireBody::SyncRequest(digest_to_wire(digest)),
        Body::SyncTable {
            records,
            answer_wanted,
        } => WireBody::SyncTable {
            records: records.iter().map(record_to_wire).collect(),
            answer_wanted: answer_wanted.as_ref().map(digest_to_wire),
        },
        Body::Outranked { incarnation } => WireBody::Outranked(incarnation.0),
    }
}

fn body_from_wire(body: &WireBody) -> Result<Body, PeerCodecError> {
    Ok(match body {
        WireBody::Probe(sequence) => Body::Probe {
            sequence: *sequence,
        },
        WireBody::ProbeAck(sequence) => Body::ProbeAck {
            sequence: *sequence,
        },
        WireBody::IndirectProbe { sequence, target } => Body::IndirectProbe {
            sequence: *sequence,
            target: target.as_str().into(),
        },
        WireBody::ProbeNack(sequence) => Body::ProbeNack {
            sequence: *sequence,
        },
        WireBody::Gossip => Body::Gossip,
        WireBody::SyncRequest(digest) => Body::SyncRequest {
            digest: digest_from_wire(digest)?,
        },
        WireBody::SyncTable {
            records,
            answer_wanted,
        } => Body::SyncTable {
            records: records.iter().map(record_from_wire).collect(),
            answer_wanted: answer_wanted.as_ref().map(digest_from_wire).transpose()?,
        },
        WireBody::Outranked(incarnation) => Body::Outranked {
            incarnation: Incarnation(*incarnation),
        },
    })
}

fn digest_to_wire(digest: &TableDigest) -> WireDigest {
    WireDigest {
        parts: digest.buckets.to_vec(),
        notices: digest.notices,
    }
}

fn digest_from_wire(digest: &WireDigest) -> Result<TableDigest, PeerCodecError> {
    let buckets: Result<[u32; DIGEST_BUCKETS], _> = digest.parts.as_slice().try_into();
    let buckets = buckets.map_err(|_| PeerCodecError::WrongDigestLength(digest.parts.len()))?;
    Ok(TableDigest {
        buckets: Box::new(buckets),
        notices: digest.notices,
    })
}
