//! Splits a stream of server-sent events into complete events, and tracks their ids.

/// Maximum number of bytes up to the end of the next event, blank lines and comments included.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data:";
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
const LONGEST_EVENT_END: usize = 4;

/// Splits received bytes after the last blank line.
///
/// An endpoint may stop in the middle of an event. Only complete events are passed to the caller, so that a stream which
/// is resumed at another endpoint has each event once.
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
    bytes_since_event: usize,
    last_id: Option<u64>,
    events: u64,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let searched = self.partial.len().saturating_sub(LONGEST_EVENT_END - 1);
        self.partial.extend_from_slice(bytes);
        self.bytes_since_event += bytes.len();
        let Some(end) = end_of_events(&self.partial[searched..]) else {
            return Vec::new();
        };
        let end = searched + end;
        // Copied, so that what waits for a slow caller takes no more memory than its length.
        let complete = self.partial[..end].to_vec();
        self.partial.drain(..end);
        self.note_ids(&complete);
        complete
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events with an id.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Tells whether an event has arrived in part.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the length of the partial event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Tells whether more than [`MAX_EVENT_BYTES`] have arrived since the last event.
    pub fn is_too_long(&self) -> bool {
        self.bytes_since_event > MAX_EVENT_BYTES
    }

    /// Discards the partial event, which another endpoint will send completely.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.bytes_since_event = 0;
    }

    fn note_ids(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            if line.starts_with(ID_FIELD) || line.starts_with(DATA_FIELD) {
                self.bytes_since_event = self.partial.len();
            }
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
    let ends = EVENT_ENDS.iter().filter_map(|end| {
        let start = bytes
            .windows(end.len())
            .rposition(|window| window == *end)?;
        Some(start + end.len())
    });
    ends.max()
}
