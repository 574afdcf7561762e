//! Estimates the size of a message as CBOR with one-byte keys.
//!
//! A map or list costs 1 byte, or 3 above 23 entries; each field 1 byte for its key; a number 1, 2,
//! 3, 5 or 9 bytes by its value; a text its length and 1 or 2 bytes; a flag or variant 1 byte.

use sedgeridge_coordination::membership::Body;
use sedgeridge_coordination::membership::DIGEST_BUCKETS;
use sedgeridge_coordination::membership::MemberRecord;
use sedgeridge_coordination::membership::Message;
use sedgeridge_coordination::membership::Notice;
use sedgeridge_coordination::membership::Update;

const KEY: u64 = 1;
const FLAG: u64 = 1;

/// The parts as one byte string, and the hash of the notices.
const DIGEST: u64 = 1 + 2 * KEY + 2 + 4 * DIGEST_BUCKETS as u64 + 5;

/// Returns the estimated payload, without any transport's framing.
pub fn estimated_bytes(message: &Message) -> u64 {
    let updates: u64 = message.updates.iter().map(update).sum();
    let notices: u64 = message.notices.iter().map(notice).sum();
    list(5)
        + 5 * KEY
        + record(&message.from)
        + number(message.config_generation)
        + list(message.updates.len())
        + updates
        + list(message.notices.len())
        + notices
        + body(&message.body)
}

/// Sixteen numbers of up to two bytes, and the head of the list.
const FINGERPRINT_BYTES: u64 = 33;

fn update(update: &Update) -> u64 {
    let accuser = update.accuser.as_ref();
    list(2) + 2 * KEY + record(&update.record) + accuser.map_or(FLAG, |host| text(host.as_str()))
}

fn record(record: &MemberRecord) -> u64 {
    let member = text(record.member.host.as_str()) + number(record.member.incarnation.0);
    list(5) + 5 * KEY + member + number(record.refutations) + 2 * FLAG
}

fn notice(notice: &Notice) -> u64 {
    let fields = match notice {
        Notice::EndpointLeaving {
            endpoint,
            since_unix_ms,
        } => text(endpoint.as_str()) + number(*since_unix_ms),
        Notice::Quarantine { expires_in_ms, .. } => FINGERPRINT_BYTES + number(*expires_in_ms),
    };
    list(3) + 3 * KEY + FLAG + fields
}

fn body(body: &Body) -> u64 {
    let fields = match body {
        Body::Probe { sequence } | Body::ProbeAck { sequence } | Body::ProbeNack { sequence } => {
            KEY + number(*sequence)
        }
        Body::IndirectProbe { sequence, target } => {
            2 * KEY + number(*sequence) + text(target.as_str())
        }
        Body::Gossip => 0,
        Body::SyncRequest { .. } => KEY + DIGEST,
        Body::SyncTable {
            records,
            answer_wanted,
        } => {
            let digest = answer_wanted.as_ref().map_or(FLAG, |_| DIGEST);
            2 * KEY + digest + list(records.len()) + records.iter().map(record).sum::<u64>()
        }
        Body::Outranked { incarnation } => KEY + number(incarnation.0),
    };
    list(2) + FLAG + fields
}

fn list(entries: usize) -> u64 {
    if entries < 24 { 1 } else { 3 }
}

fn text(text: &str) -> u64 {
    text.len() as u64 + if text.len() < 24 { 1 } else { 2 }
}

fn number(value: u64) -> u64 {
    match value {
        0..24 => 1,
        24..0x100 => 2,
        0x100..0x1_0000 => 3,
        0x1_0000..0x1_0000_0000 => 5,
        _ => 9,
    }
}
