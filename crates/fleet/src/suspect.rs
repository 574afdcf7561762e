//! Requests and parts of prompts that may crash endpoints.

use std::fmt;
use std::str::FromStr;

use sedgeridge_state::fingerprint::Fingerprint;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

const PART_PREFIX: &str = "part-";
const REQUEST_PREFIX: &str = "request-";

/// Something that may crash each endpoint that begins to answer it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// A part of prompts, by its id, wherever it is not the last one.
    #[serde(rename = "p")]
    Part(u64),
    /// A whole request, by a hash of its fingerprint.
    #[serde(rename = "r")]
    Request(u64),
}

impl Suspect {
    /// Returns the suspect for all requests with a fingerprint.
    ///
    /// ```
    /// use sedgeridge_fleet::suspect::Suspect;
    /// use sedgeridge_state::fingerprint::Fingerprint;
    ///
    /// assert_eq!(Suspect::request(Fingerprint(1 << 64 | 3)), Suspect::Request(2));
    /// ```
    pub fn request(fingerprint: Fingerprint) -> Self {
        let Fingerprint(digest) = fingerprint;
        Self::Request((digest >> 64) as u64 ^ digest as u64)
    }

    /// Tells whether it is a part of prompts.
    pub fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(f, "{PART_PREFIX}{id:x}"),
            Self::Request(hash) => write!(f, "{REQUEST_PREFIX}{hash:x}"),
        }
    }
}

/// The text names no suspect.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("expected part-HEX or request-HEX, got {0}")]
pub struct SuspectError(String);

impl FromStr for Suspect {
    type Err = SuspectError;

    /// Reads the text that [`Display`](fmt::Display) writes.
    ///
    /// ```
    /// use sedgeridge_fleet::suspect::Suspect;
    ///
    /// assert_eq!("part-5c1e".parse(), Ok(Suspect::Part(0x5c1e)));
    /// assert!("5c1e".parse::<Suspect>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, SuspectError> {
        let number = |hex: &str| u64::from_str_radix(hex, 16).ok();
        let part = text.strip_prefix(PART_PREFIX).and_then(number);
        let request = text.strip_prefix(REQUEST_PREFIX).and_then(number);
        let suspect = part.map(Self::Part).or(request.map(Self::Request));
        suspect.ok_or_else(|| SuspectError(text.to_owned()))
    }
}
