//! Hashes that are the same on every host.

use xxhash_rust::xxh3::xxh3_64;

/// Hashes a name to 64 bits. Every host and version computes the same value.
///
/// ```
/// use sedgeridge_fleet::hashing::stable_hash;
///
/// assert_eq!(stable_hash("desk-1"), stable_hash("desk-1"));
/// assert_ne!(stable_hash("desk-1"), stable_hash("desk-2"));
/// ```
pub fn stable_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Hashes an ordered pair, for rendezvous hashing.
///
/// ```
/// use sedgeridge_fleet::hashing::pair_hash;
///
/// assert_ne!(pair_hash(1, 2), pair_hash(2, 1));
/// ```
pub fn pair_hash(first: u64, second: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&first.to_le_bytes());
    bytes[8..].copy_from_slice(&second.to_le_bytes());
    xxh3_64(&bytes)
}
