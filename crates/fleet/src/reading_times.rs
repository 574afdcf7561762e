//! Tells when prompts that were sent are expected to be read.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::arrival::RequestId;

/// Requests whose unread tokens are to be counted anew, by time.
#[derive(Debug, Default)]
pub struct ReadingTimes {
    due: BinaryHeap<Reverse<(Duration, RequestId)>>,
}

impl ReadingTimes {
    /// Records that the tokens of a request are to be counted anew at a time.
    pub fn add(&mut self, at: Duration, request: RequestId) {
        self.due.push(Reverse((at, request)));
    }

    /// Removes and returns a request whose time has come.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::arrival::RequestId;
    /// use sedgeridge_fleet::reading_times::ReadingTimes;
    ///
    /// let mut times = ReadingTimes::default();
    /// times.add(Duration::from_millis(30), RequestId(1));
    /// assert_eq!(times.take_due(Duration::from_millis(20)), None);
    /// assert_eq!(times.take_due(Duration::from_millis(30)), Some(RequestId(1)));
    /// assert_eq!(times.take_due(Duration::from_millis(30)), None);
    /// ```
    pub fn take_due(&mut self, now: Duration) -> Option<RequestId> {
        let Reverse((at, _)) = self.due.peek()?;
        if *at > now {
            return None;
        }
        let Reverse((_, request)) = self.due.pop()?;
        Some(request)
    }
}
