//! Datagrams by which hosts tell each other the origins of streams.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::peer_report::to_millis;
use crate::stream_origin::StreamKey;
use crate::stream_origin::StreamOrigin;

/// First byte of every message. Reports begin with another one.
const MESSAGE_FORMAT: u8 = 3;

/// A message about the origin of one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Asks the receiver to hold an origin.
    #[serde(rename = "k")]
    Hold {
        /// The stream.
        #[serde(rename = "s")]
        stream: StreamKey,
        /// Its origin.
        #[serde(rename = "o")]
        origin: StreamOrigin,
        /// Time for which it is held, in milliseconds.
        #[serde(rename = "l")]
        lifetime_ms: u64,
        /// Whether the sender waits for [`OriginMessage::Held`].
        #[serde(rename = "w")]
        wants_answer: bool,
    },
    /// The sender holds the origin of the stream.
    #[serde(rename = "a")]
    Held {
        /// The stream.
        #[serde(rename = "s")]
        stream: StreamKey,
    },
    /// Asks for the origin of a stream.
    #[serde(rename = "f")]
    Find {
        /// The stream.
        #[serde(rename = "s")]
        stream: StreamKey,
    },
    /// Answers [`OriginMessage::Find`].
    #[serde(rename = "r")]
    Found {
        /// The stream.
        #[serde(rename = "s")]
        stream: StreamKey,
        /// Its origin; `None` if the sender does not know it.
        #[serde(rename = "o")]
        origin: Option<StreamOrigin>,
        /// Hash of the sender's name.
        #[serde(rename = "h")]
        host: u64,
    },
}

/// Reason for which a datagram is not a message about an origin.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum OriginMessageError {
    /// The datagram begins with the byte of another format.
    #[error("datagram of an unknown format")]
    UnknownFormat,
    /// The body cannot be decoded.
    #[error("malformed message about a stream's origin: {0}")]
    Malformed(String),
}

impl OriginMessage {
    /// Returns the message that asks a host to hold an origin.
    pub fn hold(
        stream: StreamKey,
        origin: StreamOrigin,
        lifetime: Duration,
        wants_answer: bool,
    ) -> Self {
        Self::Hold {
            stream,
            origin,
            lifetime_ms: to_millis(lifetime),
            wants_answer,
        }
    }

    /// Tells whether a datagram claims to be such a message.
    pub fn has_format(datagram: &[u8]) -> bool {
        datagram.first() == Some(&MESSAGE_FORMAT)
    }

    /// Encodes the message.
    ///
    /// ```
    /// use sedgeridge_fleet::origin_message::OriginMessage;
    /// use sedgeridge_fleet::stream_origin::StreamKey;
    ///
    /// let message = OriginMessage::Find { stream: StreamKey::of_attempt("9c41") };
    /// assert_eq!(OriginMessage::decode(&message.encode()), Ok(message));
    /// assert!(OriginMessage::decode(b"?").is_err());
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![MESSAGE_FORMAT];
        ciborium::into_writer(self, &mut bytes).expect("writing to a vector cannot fail");
        bytes
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are not a message of this format.
    pub fn decode(datagram: &[u8]) -> Result<Self, OriginMessageError> {
        let Some((&MESSAGE_FORMAT, body)) = datagram.split_first() else {
            return Err(OriginMessageError::UnknownFormat);
        };
        ciborium::from_reader(body)
            .map_err(|error| OriginMessageError::Malformed(error.to_string()))
    }
}
