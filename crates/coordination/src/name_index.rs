//! Finds the index of a name in constant time.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::Hash;
use std::hash::Hasher;

/// Index by name. It is only looked up, never iterated: its order means nothing.
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

/// Multiplies in eight bytes at a time. Names come from the configuration, so nobody outside can
/// choose them to collide, and no random key is needed.
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
        // The table takes its bucket from the low bits, which a product mixes least.
        self.hash ^ (self.hash >> 32)
    }
}
