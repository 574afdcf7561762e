//! Anti-entropy: compares tables bucket by bucket, so that only differing buckets are sent.

use std::collections::BTreeMap;

use sedgeridge_state::ids::HostId;

use super::dissemination::NoticeKey;
use super::member_table::MemberTable;
use super::messages::DIGEST_BUCKETS;
use super::messages::MemberRecord;
use super::messages::TableDigest;
use super::notice_table::NoticeTable;

/// Returns the digest of the state on which two members should agree. Suspicions and dead members
/// are left out: suspicions end too quickly to be worth sending a table, and dead members are
/// removed at different times.
pub(crate) fn digest(
    own: &MemberRecord,
    table: &MemberTable,
    notices: &NoticeTable,
) -> TableDigest {
    let mut buckets = Box::new([0_u32; DIGEST_BUCKETS]);
    for record in table.live_records().chain([own]) {
        // A sum does not depend on the order, and the own record is not in the table's order.
        let bucket = &mut buckets[bucket_of(&record.member.host)];
        *bucket = bucket.wrapping_add(record_hash(record));
    }
    TableDigest {
        buckets,
        notices: notices_hash(notices),
    }
}

/// Returns the records in those buckets where the digests differ.
pub(crate) fn differing(
    table: &MemberTable,
    ours: &TableDigest,
    theirs: &TableDigest,
) -> Vec<MemberRecord> {
    let differs = |record: &&MemberRecord| {
        let bucket = bucket_of(&record.member.host);
        ours.buckets[bucket] != theirs.buckets[bucket]
    };
    table.records().filter(differs).cloned().collect()
}

/// Returns the records of `ours` that are newer than in `theirs`, or live and missing there.
pub(crate) fn newer_than(ours: Vec<MemberRecord>, theirs: &[MemberRecord]) -> Vec<MemberRecord> {
    let theirs: BTreeMap<&HostId, &MemberRecord> =
        theirs.iter().map(|r| (&r.member.host, r)).collect();
    let is_newer = |ours: &MemberRecord| match theirs.get(&ours.member.host) {
        None => ours.is_live(),
        Some(theirs) => (ours.version(), ours.health) > (theirs.version(), theirs.health),
    };
    ours.into_iter().filter(is_newer).collect()
}

fn bucket_of(host: &HostId) -> usize {
    let mut hash = Fnv::default();
    hash.add(host.as_str().as_bytes());
    hash.0 as usize % DIGEST_BUCKETS
}

fn record_hash(record: &MemberRecord) -> u32 {
    let mut hash = Fnv::default();
    hash.add(record.member.host.as_str().as_bytes());
    hash.add(&record.member.incarnation.0.to_le_bytes());
    hash.add(&record.refutations.to_le_bytes());
    hash.add(&[u8::from(record.leaving)]);
    hash.0
}

fn notices_hash(notices: &NoticeTable) -> u32 {
    let mut hash = Fnv::default();
    for key in notices.keys() {
        match key {
            NoticeKey::Leaving(endpoint) => hash.add(endpoint.as_str().as_bytes()),
            NoticeKey::Quarantine(fingerprint) => hash.add(&fingerprint.0.to_le_bytes()),
        }
    }
    hash.0
}

/// 32-bit FNV-1a hash: cheap and equal on every host, but not secure against crafted collisions.
#[derive(Debug)]
struct Fnv(u32);

impl Default for Fnv {
    fn default() -> Self {
        Self(0x811C_9DC5)
    }
}

impl Fnv {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
        }
    }
}
