//! Hash table from names to indices.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::Hash;
use std::hash::Hasher;

/// Index by name. It is only looked up, never iterated, as its order is arbitrary.
#[derive(Debug)]
pub(crate) struct NameIndex<K> {
    indices: HashMap<K, usize, BuildHasherDefault<NameHasher>>,
}

impl<K> Default for NameIndex<K> {
    fn default() -> Self {
        Self {
            indices: HashMap::default(),
        }
    }
}

impl<K: Hash + Eq> NameIndex<K> {
    pub(crate) fn find(&self, name: &K) -> Option<usize> {
        self.indices.get(name).copied()
    }

    pub(crate) fn insert(&mut self, name: K, index: usize) {
        self.indices.insert(name, index);
    }

    pub(crate) fn remove(&mut self, name: &K) {
        self.indices.remove(name);
    }
}

/// Multiplicative hash of eight bytes at a time. It needs no random key: names come from the
/// configuration, so no outsider can choose names that collide.
#[derive(Debug, Default)]
pub(crate) struct NameHasher {
    hash: u64,
}

const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
const ROTATION: u32 = 23;

impl Hasher for NameHasher {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            let mixed = self.hash.rotate_left(ROTATION) ^ u64::from_le_bytes(word);
            self.hash = mixed.wrapping_mul(MULTIPLIER);
        }
    }

    fn finish(&self) -> u64 {
        // The table selects the bucket by the low bits, which multiplication mixes least.
        self.hash ^ (self.hash >> 32)
    }
}
