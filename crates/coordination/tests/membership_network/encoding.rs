//! Estimates the size of a message as CBOR with one-byte keys.
//!
//! A map or list takes 1 byte, or 3 above 23 entries; each field 1 byte for its key; a number 1, 2,
//! 3, 5 or 9 bytes depending on its value; a text its length plus 1 or 2 bytes; a flag or variant 1
//! byte.

use sedgeridge_coordination::membership::Body;
use sedgeridge_coordination::membership::DIGEST_BUCKETS;
use sedgeridge_coordination::membership::MemberRecord;
use sedgeridge_coordination::membership::Message;
use sedgeridge_coordination::membership::Notice;
use sedgeridge_coordination::membership::Update;

const KEY_BYTES: u64 = 1;
const FLAG_BYTES: u64 = 1;

/// The buckets as one byte string, and the hash of the notices.
const DIGEST_BYTES: u64 = 1 + 2 * KEY_BYTES + 2 + 4 * DIGEST_BUCKETS as u64 + 5;

/// Returns the estimated payload size, without the framing of any transport.
pub fn estimated_bytes(message: &Message) -> u64 {
    let updates: u64 = message.updates.iter().map(update_bytes).sum();
    let notices: u64 = message.notices.iter().map(notice_bytes).sum();
    list_head_bytes(5)
        + 5 * KEY_BYTES
        + record_bytes(&message.from)
        + number_bytes(message.config_generation)
        + list_head_bytes(message.updates.len())
        + updates
        + list_head_bytes(message.notices.len())
        + notices
        + body_bytes(&message.body)
}

/// Sixteen numbers of up to two bytes, and the head of the list.
const FINGERPRINT_BYTES: u64 = 33;

fn update_bytes(update: &Update) -> u64 {
    let accuser = update.accuser.as_ref();
    list_head_bytes(2)
        + 2 * KEY_BYTES
        + record_bytes(&update.record)
        + accuser.map_or(FLAG_BYTES, |host| text_bytes(host.as_str()))
}

fn record_bytes(record: &MemberRecord) -> u64 {
    let member =
        text_bytes(record.member.host.as_str()) + number_bytes(record.member.incarnation.0);
    list_head_bytes(5) + 5 * KEY_BYTES + member + number_bytes(record.refutations) + 2 * FLAG_BYTES
}

fn notice_bytes(notice: &Notice) -> u64 {
    let fields = match notice {
        Notice::EndpointLeaving {
            endpoint,
            since_unix_ms,
        } => text_bytes(endpoint.as_str()) + number_bytes(*since_unix_ms),
        Notice::Quarantine { expires_in_ms, .. } => {
            FINGERPRINT_BYTES + number_bytes(*expires_in_ms)
        }
    };
    list_head_bytes(3) + 3 * KEY_BYTES + FLAG_BYTES + fields
}

fn body_bytes(body: &Body) -> u64 {
    let fields = match body {
        Body::Probe { sequence } | Body::ProbeAck { sequence } | Body::ProbeNack { sequence } => {
            KEY_BYTES + number_bytes(*sequence)
        }
        Body::IndirectProbe { sequence, target } => {
            2 * KEY_BYTES + number_bytes(*sequence) + text_bytes(target.as_str())
        }
        Body::Gossip => 0,
        Body::SyncRequest { .. } => KEY_BYTES + DIGEST_BYTES,
        Body::SyncTable {
            records,
            answer_wanted,
        } => {
            let digest = answer_wanted.as_ref().map_or(FLAG_BYTES, |_| DIGEST_BYTES);
            2 * KEY_BYTES
                + digest
                + list_head_bytes(records.len())
                + records.iter().map(record_bytes).sum::<u64>()
        }
        Body::Outranked { incarnation } => KEY_BYTES + number_bytes(incarnation.0),
    };
    list_head_bytes(2) + FLAG_BYTES + fields
}

fn list_head_bytes(entries: usize) -> u64 {
    if entries < 24 { 1 } else { 3 }
}

fn text_bytes(text: &str) -> u64 {
    text.len() as u64 + if text.len() < 24 { 1 } else { 2 }
}

fn number_bytes(value: u64) -> u64 {
    match value {
        0..24 => 1,
        24..0x100 => 2,
        0x100..0x1_0000 => 3,
        0x1_0000..0x1_0000_0000 => 5,
        _ => 9,
    }
}
