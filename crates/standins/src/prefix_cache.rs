//! A bounded cache of prompt prefixes that evicts the least recently used first.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// One prefix of a prompt: its key and its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prefix {
    /// Key of the content.
    pub key: u64,
    /// Length from the start of the prompt.
    pub length_tokens: u64,
}

/// An LRU cache of prefixes whose capacity is measured in tokens.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_tokens: u64,
    held_tokens: u64,
    use_count: u64,
    entries: HashMap<u64, Entry>,
    keys_by_last_use: BTreeMap<u64, u64>,
}

#[derive(Debug)]
struct Entry {
    own_tokens: u64,
    last_use: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            held_tokens: 0,
            use_count: 0,
            entries: HashMap::new(),
            keys_by_last_use: BTreeMap::new(),
        }
    }

    /// Returns the length of the longest cached prefix and caches all prefixes of the prompt, which
    /// are given shortest first.
    pub fn use_prompt(&mut self, prefixes: &[Prefix]) -> u64 {
        let cached = prefixes
            .iter()
            .take_while(|prefix| self.entries.contains_key(&prefix.key))
            .last()
            .map_or(0, |prefix| prefix.length_tokens);
        // Touched from the longest to the shortest, so that the shortest, which most prompts share,
        // is evicted last.
        for index in (0..prefixes.len()).rev() {
            let shorter_tokens = index
                .checked_sub(1)
                .map_or(0, |i| prefixes[i].length_tokens);
            self.touch(
                prefixes[index].key,
                prefixes[index].length_tokens - shorter_tokens,
            );
        }
        self.evict();
        cached
    }

    /// Number of tokens in the cache.
    pub fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    fn touch(&mut self, key: u64, own_tokens: u64) {
        self.use_count += 1;
        let last_use = self.use_count;
        match self.entries.get_mut(&key) {
            Some(entry) => {
                self.keys_by_last_use.remove(&entry.last_use);
                entry.last_use = last_use;
            }
            None => {
                self.held_tokens += own_tokens;
                let entry = Entry {
                    own_tokens,
                    last_use,
                };
                self.entries.insert(key, entry);
            }
        }
        self.keys_by_last_use.insert(last_use, key);
    }

    fn evict(&mut self) {
        while self.held_tokens > self.capacity_tokens {
            let Some((_, key)) = self.keys_by_last_use.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.remove(&key) {
                self.held_tokens -= entry.own_tokens;
            }
        }
    }
}
