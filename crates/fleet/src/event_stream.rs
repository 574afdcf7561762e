//! Splits a stream of server-sent events into whole events, and follows their ids.

/// Longest event that is kept while its end has not arrived.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;
const ID_FIELD: &[u8] = b"id:";

/// Cuts received bytes after each blank line.
///
/// An endpoint may stop in the middle of an event. Only whole events go to the caller, so that a
/// stream which goes on at another endpoint has each event once.
///
/// ```
/// use sedgeridge_fleet::event_stream::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some(1));
/// assert_eq!(splitter.push(b"ta: b\n\n"), b"id: 2\ndata: b\n\n");
/// assert!(!splitter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    events: u64,
}

impl EventSplitter {
    /// Takes received bytes and returns the whole events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.partial) else {
            return Vec::new();
        };
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        self.note_ids(&whole);
        whole
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns how many whole events have passed.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Tells whether the beginning of an event waits for its end.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Tells whether an event is longer than [`MAX_EVENT_BYTES`].
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Forgets the beginning of an event that another endpoint will send whole.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    fn note_ids(&mut self, whole: &[u8]) {
        for line in whole.split(|byte| *byte == b'\n') {
            if let Some(value) = line.strip_prefix(ID_FIELD) {
                self.events += 1;
                let id = std::str::from_utf8(value).ok();
                self.last_id = id.and_then(|id| id.trim().parse().ok()).or(self.last_id);
            }
        }
    }
}

/// Returns the position after the last blank line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let dos = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let unix = unix.map(|start| start + 2);
    let dos = dos.map(|start| start + 4);
    unix.max(dos)
}
