//! Compares and exchanges whole tables (anti-entropy).

use std::collections::BTreeMap;

use sedgeridge_state::ids::HostId;

use super::dissemination::NoticeKey;
use super::member_table::MemberTable;
use super::messages::MemberRecord;
use super::messages::TableDigest;
use super::notice_board::NoticeBoard;

/// Summarises what two members should agree on. Suspicions and dead members are left out: the
/// first pass too quickly to be worth a table, the second are forgotten at different times.
pub(crate) fn digest(
    own: &MemberRecord,
    table: &MemberTable,
    notices: &NoticeBoard,
) -> TableDigest {
    let mut live: Vec<&MemberRecord> = table.live().collect();
    let place = live.partition_point(|r| r.member.host < own.member.host);
    live.insert(place, own);
    let mut hash = Fnv::default();
    for record in &live {
        hash.add(record.member.host.as_str().as_bytes());
        hash.add(&record.member.incarnation.0.to_le_bytes());
        hash.add(&record.refutations.to_le_bytes());
        hash.add(&[u8::from(record.leaving)]);
    }
    for key in notices.keys() {
        match key {
            NoticeKey::Leaving(endpoint) => hash.add(endpoint.as_str().as_bytes()),
            NoticeKey::Quarantine(fingerprint) => hash.add(&fingerprint.to_le_bytes()),
        }
    }
    TableDigest {
        members: live.len() as u32,
        hash: hash.0,
    }
}

/// Returns the records held that are newer than those in `theirs`, or missing there.
pub(crate) fn newer_than(table: &MemberTable, theirs: &[MemberRecord]) -> Vec<MemberRecord> {
    let theirs: BTreeMap<&HostId, &MemberRecord> =
        theirs.iter().map(|r| (&r.member.host, r)).collect();
    let is_newer = |ours: &MemberRecord| match theirs.get(&ours.member.host) {
        None => ours.is_live(),
        Some(theirs) => (ours.version(), ours.health) > (theirs.version(), theirs.health),
    };
    table.records().filter(|r| is_newer(r)).cloned().collect()
}

/// The FNV-1a hash, 64 bits wide: equal on every host and cheap; it guards against nobody.
#[derive(Debug)]
struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(0xCBF2_9CE4_8422_2325)
    }
}

impl Fnv {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01B3);
        }
    }
}
