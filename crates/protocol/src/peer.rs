//! Encodes and decodes messages between routers as CBOR.
//!
//! Field names on the wire have one letter: control traffic is limited per node, and full names
//! would be the larger part of a small message. Decoding returns the typed messages of the
//! `sedgeridge-coordination` crate, or an error.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use sedgeridge_coordination::node::PeerMessage;
use sedgeridge_coordination::pool_messages::Grant;
use sedgeridge_coordination::pool_messages::GrantId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::RequestClass;

use crate::peer_config::WireConfig;
use crate::peer_config::config_from_wire;
use crate::peer_config::config_to_wire;
use crate::peer_poison::WirePoison;
use crate::peer_poison::poison_from_wire;
use crate::peer_poison::poison_to_wire;
use crate::peer_report::WireReport;
use crate::peer_report::report_from_wire;
use crate::peer_report::report_to_wire;

/// Maximum size of a message that is read.
pub const MAX_PEER_MESSAGE_BYTES: usize = 16 << 20;

/// Reason why a peer message is refused.
#[derive(Debug, Error)]
pub enum PeerCodecError {
    /// It is not CBOR, or not a known message.
    #[error("cannot decode peer message: {0}")]
    Malformed(String),
    /// It holds an unknown request class.
    #[error("peer message has an unknown request class: {0}")]
    UnknownClass(u8),
    /// It holds an unknown kind of failure.
    #[error("peer message has an unknown failure kind: {0}")]
    UnknownFailure(u8),
    /// Its digest of the member table has the wrong number of parts.
    #[error("membership digest has {0} parts")]
    WrongDigestLength(usize),
}

/// First message on a connection: identifies the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHello {
    #[serde(rename = "h")]
    host: String,
    #[serde(rename = "i")]
    incarnation: u64,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireMessage {
    #[serde(rename = "r")]
    Report(WireReport),
    #[serde(rename = "g")]
    Grant(WireGrant),
    #[serde(rename = "f")]
    FullReportWanted(String),
    #[serde(rename = "x")]
    Poison(WirePoison),
    #[serde(rename = "c")]
    Config(WireConfig),
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireGrantId {
    #[serde(rename = "h")]
    host: String,
    #[serde(rename = "i")]
    incarnation: u64,
    #[serde(rename = "s")]
    sequence: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireGrant {
    #[serde(rename = "s")]
    sequence: u64,
    #[serde(rename = "p")]
    pool: String,
    #[serde(rename = "e")]
    endpoint: String,
    #[serde(rename = "a")]
    account: String,
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    class: u8,
    #[serde(rename = "w", default, skip_serializing_if = "is_false")]
    contended: bool,
}

pub(crate) fn is_false(value: &bool) -> bool {
    !*value
}

pub(crate) fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}

pub(crate) fn is_zero(value: &u8) -> bool {
    *value == 0
}

/// Encodes the hello message of a member.
pub fn encode_hello(member: &Member) -> Vec<u8> {
    to_cbor(&WireHello {
        host: member.host.as_str().to_owned(),
        incarnation: member.incarnation.0,
    })
}

/// Decodes a hello message.
///
/// # Errors
///
/// Returns an error if the bytes are not a hello message.
pub fn decode_hello(bytes: &[u8]) -> Result<Member, PeerCodecError> {
    let hello: WireHello = from_cbor(bytes)?;
    Ok(Member {
        host: HostId::from(hello.host.as_str()),
        incarnation: Incarnation(hello.incarnation),
    })
}

/// Encodes a message.
///
/// ```
/// use sedgeridge_coordination::node::PeerMessage;
/// use sedgeridge_protocol::peer::{decode, encode};
/// use sedgeridge_state::ids::{Incarnation, Member};
///
/// let from = Member { host: "router-1".into(), incarnation: Incarnation(7) };
/// let message = PeerMessage::FullReportWanted { pool: "desk".into() };
/// let bytes = encode(&message);
/// assert_eq!(decode(&bytes, &from).unwrap(), message);
/// assert!(decode(&bytes[..bytes.len() - 1], &from).is_err());
/// ```
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    to_cbor(&match message {
        PeerMessage::Report(report) => WireMessage::Report(report_to_wire(report)),
        PeerMessage::Grant(grant) => WireMessage::Grant(grant_to_wire(grant)),
        PeerMessage::FullReportWanted { pool } => {
            WireMessage::FullReportWanted(pool.as_str().to_owned())
        }
        PeerMessage::Poison(notice) => WireMessage::Poison(poison_to_wire(notice)),
        PeerMessage::Config(message) => WireMessage::Config(config_to_wire(message)),
    })
}

/// Decodes a message sent by `from`.
///
/// # Errors
///
/// Returns an error if the bytes are not a message.
pub fn decode(bytes: &[u8], from: &Member) -> Result<PeerMessage, PeerCodecError> {
    Ok(match from_cbor(bytes)? {
        WireMessage::Report(report) => PeerMessage::Report(report_from_wire(&report, from)?),
        WireMessage::Grant(grant) => PeerMessage::Grant(grant_from_wire(&grant, from)?),
        WireMessage::FullReportWanted(pool) => PeerMessage::FullReportWanted {
            pool: pool.as_str().into(),
        },
        WireMessage::Poison(notice) => PeerMessage::Poison(poison_from_wire(&notice)),
        WireMessage::Config(message) => PeerMessage::Config(config_from_wire(message)),
    })
}

pub(crate) fn to_cbor(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("plain data always encodes");
    bytes
}

pub(crate) fn from_cbor<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, PeerCodecError> {
    ciborium::from_reader(bytes).map_err(|error| PeerCodecError::Malformed(error.to_string()))
}

pub(crate) fn class_to_wire(class: RequestClass) -> u8 {
    match class {
        RequestClass::Interactive => 0,
        RequestClass::Deferred => 1,
    }
}

pub(crate) fn class_from_wire(class: u8) -> Result<RequestClass, PeerCodecError> {
    match class {
        0 => Ok(RequestClass::Interactive),
        1 => Ok(RequestClass::Deferred),
        other => Err(PeerCodecError::UnknownClass(other)),
    }
}

pub(crate) fn grant_id_to_wire(id: &GrantId) -> WireGrantId {
    WireGrantId {
        host: id.home.host.as_str().to_owned(),
        incarnation: id.home.incarnation.0,
        sequence: id.sequence,
    }
}

pub(crate) fn grant_id_from_wire(id: &WireGrantId) -> GrantId {
    GrantId {
        home: Member {
            host: HostId::from(id.host.as_str()),
            incarnation: Incarnation(id.incarnation),
        },
        sequence: id.sequence,
    }
}

fn grant_to_wire(grant: &Grant) -> WireGrant {
    WireGrant {
        sequence: grant.id.sequence,
        pool: grant.pool.as_str().to_owned(),
        endpoint: grant.endpoint.as_str().to_owned(),
        account: grant.account.as_str().to_owned(),
        class: class_to_wire(grant.class),
        contended: grant.contended,
    }
}

fn grant_from_wire(grant: &WireGrant, from: &Member) -> Result<Grant, PeerCodecError> {
    Ok(Grant {
        id: GrantId {
            home: from.clone(),
            sequence: grant.sequence,
        },
        pool: grant.pool.as_str().into(),
        endpoint: grant.endpoint.as_str().into(),
        account: grant.account.as_str().into(),
        class: class_from_wire(grant.class)?,
        contended: grant.contended,
    })
}
