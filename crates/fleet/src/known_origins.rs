//! Keeps the origins of streams until their callers' deadlines.

use std::collections::BTreeSet;
use std::time::Duration;

use nohash_hasher::IntMap;

use crate::stream_origin::StreamKey;
use crate::stream_origin::StreamOrigin;

/// Largest number of streams, some two megabytes. Those that expire first make room for new ones.
pub const MAX_KNOWN_STREAMS: usize = 20_000;

/// Origins of streams that this host began, resumed or keeps for other hosts.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::known_origins::KnownOrigins;
/// use sedgeridge_fleet::stream_origin::{StreamKey, StreamOrigin};
///
/// let (stream, origin) = (StreamKey::of_attempt("9c41"), StreamOrigin(7));
/// let mut known = KnownOrigins::default();
/// known.put(Duration::ZERO, stream, origin, Duration::from_secs(10));
/// assert_eq!(known.get(Duration::from_secs(9), stream), Some(origin));
/// assert_eq!(known.get(Duration::from_secs(11), stream), None);
/// ```
#[derive(Debug, Default)]
pub struct KnownOrigins {
    streams: IntMap<u64, KnownStream>,
    by_expiry: BTreeSet<(Duration, u64)>,
}

#[derive(Debug)]
struct KnownStream {
    /// `None` if different origins were stated, so that none can be relied on.
    origin: Option<StreamOrigin>,
    expires_at: Duration,
}

impl KnownOrigins {
    /// Keeps the origin of a stream for `lifetime`.
    pub fn put(
        &mut self,
        now: Duration,
        stream: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
    ) {
        self.drop_expired(now);
        let StreamKey(key) = stream;
        let mut put = KnownStream {
            origin: Some(origin),
            expires_at: now.saturating_add(lifetime),
        };
        if let Some(known) = self.streams.get(&key) {
            put.origin = put.origin.filter(|_| known.origin == Some(origin));
            put.expires_at = put.expires_at.max(known.expires_at);
            self.by_expiry.remove(&(known.expires_at, key));
        }
        self.by_expiry.insert((put.expires_at, key));
        self.streams.insert(key, put);
        if self.streams.len() > MAX_KNOWN_STREAMS {
            self.drop_first();
        }
    }

    /// Returns the origin of a stream, if it is known.
    pub fn get(&self, now: Duration, stream: StreamKey) -> Option<StreamOrigin> {
        let known = self.streams.get(&stream.0);
        let known = known.filter(|known| known.expires_at > now);
        known.and_then(|known| known.origin)
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn drop_expired(&mut self, now: Duration) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.streams.remove(&key);
        }
    }
}
