//! Picks the home of a pool: the live member with the highest hash of (pool, host).
//!
//! Every router works the home out alone, from the members that it believes alive. When a member
//! comes or goes only the pools homed on it move.

use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;

use crate::random::mix;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the home of `pool`: the same for every order of `members`, and for every run of a host.
///
/// ```
/// use sedgeridge_coordination::rendezvous::home_of;
/// use sedgeridge_state::ids::{HostId, Incarnation, Member, PoolId};
///
/// let member = |host: &str| Member { host: HostId::from(host), incarnation: Incarnation(1) };
/// let pool = PoolId::from("desk");
/// let all = [member("r1"), member("r2"), member("r3")];
/// let reversed = [member("r3"), member("r2"), member("r1")];
/// assert_eq!(home_of(&pool, &all), home_of(&pool, &reversed));
/// assert_eq!(home_of(&pool, &[]), None);
/// ```
pub fn home_of<'a>(pool: &PoolId, members: &'a [Member]) -> Option<&'a Member> {
    members
        .iter()
        .max_by_key(|member| (score(pool, member), *member))
}

fn score(pool: &PoolId, member: &Member) -> u64 {
    let hash = stable_hash(FNV_OFFSET, pool.as_str().as_bytes());
    // FNV alone leaves the high bits of names that differ in their last byte alike, which would
    // give one host most pools, so the result is mixed. The separator keeps ("ab", "c") and ("a", "bc") apart.
    let hash = stable_hash(hash, &[0]);
    mix(stable_hash(hash, member.host.as_str().as_bytes()))
}

/// FNV-1a: every version and platform must agree on it, which the standard hasher does not promise.
fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Derives a seed from a name.
pub(crate) fn seed_of(name: &str) -> u64 {
    mix(stable_hash(FNV_OFFSET, name.as_bytes()))
}
