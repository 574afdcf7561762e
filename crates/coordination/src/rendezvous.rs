//! Selects the home of a pool by rendezvous hashing: the live member with the highest hash of
//! (pool, host).
//!
//! Every router computes the home alone, from the members that it considers alive. When a member
//! joins or leaves, only the pools homed on it move.

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
    // FNV alone gives names that differ only in their last byte similar high bits, so one host
    // would get most pools; therefore the result is mixed. The separator distinguishes ("ab", "c")
    // from ("a", "bc").
    let hash = stable_hash(hash, &[0]);
    mix(stable_hash(hash, member.host.as_str().as_bytes()))
}

/// FNV-1a hash. Every version and platform must compute the same value, which the hasher of the
/// standard library does not guarantee.
fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Derives a seed from a name.
pub(crate) fn seed_of(name: &str) -> u64 {
    mix(stable_hash(FNV_OFFSET, name.as_bytes()))
}
