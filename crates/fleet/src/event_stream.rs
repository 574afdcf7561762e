//! Splits a stream of server-sent events into complete events, and tracks their ids.

/// Maximum length of an event that is buffered until its end arrives.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;
const ID_FIELD: &[u8] = b"id:";

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
    last_id: Option<u64>,
    events: u64,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.partial) else {
            return Vec::new();
        };
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

    /// Tells whether the partial event is longer than [`MAX_EVENT_BYTES`].
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Discards the partial event, which another endpoint will send completely.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    fn note_ids(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
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
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let lf = lf.map(|start| start + 2);
    let crlf = crlf.map(|start| start + 4);
    lf.max(crlf)
}
