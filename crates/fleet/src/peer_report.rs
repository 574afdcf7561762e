//! What hosts tell each other several times a second, one datagram each.

use std::time::Duration;

use sedgeridge_coordination::poison_notice::PoisonNews;
use sedgeridge_coordination::poison_notice::PoisonNotice;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::account_shares::Usage;
use crate::endpoint_load::Load;

/// Longest report, a little below the longest datagram. Sums over a fleet with a hundred endpoints
/// take three kilobytes; the network layer cuts and joins them. A report that loses rows is worse
/// than a lost one: those who read it take the missing endpoints for idle.
pub const MAX_REPORT_BYTES: usize = 60_000;
/// First byte of every report; another format gets another one.
const FORMAT: u8 = 2;
/// Bytes before the body: the format, and what [`PeerReport::included`] holds.
const HEAD_BYTES: usize = 9;

/// Whose work a report sums up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Nobody's: the report tells only that the sender lives and what it knows.
    #[serde(rename = "p")]
    Presence,
    /// The sender's own.
    #[default]
    #[serde(rename = "o")]
    Own,
    /// That of the hosts of the sender's data centre that report to it, its own included.
    #[serde(rename = "d")]
    DataCentre,
    /// That of the whole fleet, as far as the sender knows.
    #[serde(rename = "f")]
    Fleet,
}

/// Work in progress and recent usage, and how new the sender's copy of the platform's tables is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Hash of the host's name.
    #[serde(rename = "h")]
    pub host: u64,
    /// Number of this run of the host; a later run has a higher one.
    #[serde(rename = "i")]
    pub run: u64,
    /// Number of the report within the run.
    #[serde(rename = "n")]
    pub number: u64,
    /// Number of the addressee's report that is part of the sums; 0 if none is. It stands before the
    /// body, so that the body is encoded once for all addressees.
    #[serde(skip)]
    pub included: u64,
    /// Hash of the name of the host's data centre.
    #[serde(rename = "d")]
    pub data_centre: u64,
    /// Whose work the sums hold.
    #[serde(rename = "o")]
    pub scope: Scope,
    /// Number of hosts whose work the sums hold.
    #[serde(rename = "m")]
    pub hosts: u32,
    /// Version of the newest change of the configuration that the host knows.
    #[serde(rename = "c")]
    pub config_version: u64,
    /// Version of the newest change of the list of endpoints that the host knows.
    #[serde(rename = "e")]
    pub endpoints_version: u64,
    /// Whether the host is about to stop.
    #[serde(rename = "s")]
    pub is_stopping: bool,
    /// Whether the host has more to do than it can.
    #[serde(rename = "b")]
    pub is_busy: bool,
    /// Whether the store answered the host when it last called.
    #[serde(rename = "f")]
    pub store_answers: bool,
    /// For how long the store has not answered the host, in milliseconds; 0 if it does.
    #[serde(rename = "g", default)]
    pub store_lost_ms: u64,
    /// How long ago the store last answered the host, in milliseconds; `None` if it does not call.
    #[serde(rename = "a", default)]
    pub store_answered_ms: Option<u64>,
    /// Work in progress, by hash of the endpoint's id.
    #[serde(rename = "l", with = "packed_loads")]
    pub loads: Vec<(u64, Load)>,
    /// Accounts' usage over the window, by hash of the account's name.
    #[serde(rename = "u", with = "packed_usage")]
    pub usage: Vec<(u64, Usage)>,
    /// News of requests that crash endpoints.
    #[serde(rename = "p")]
    pub crashes: Vec<CrashNews>,
}

/// News of one request that was in progress when an endpoint crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    high: u64,
    low: u64,
    kind: CrashNewsKind,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum CrashNewsKind {
    Crashed { endpoint: String, age_ms: u64 },
    Quarantined { remaining_ms: u64 },
    Finished,
}

/// Why a datagram is not a report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// It begins with another format's byte.
    #[error("datagram of an unknown format")]
    UnknownFormat,
    /// It cannot be decoded.
    #[error("malformed report: {0}")]
    Malformed(String),
}

impl PeerReport {
    /// Encodes the report. Entries that do not fit are left out, the last ones first.
    ///
    /// ```
    /// use sedgeridge_fleet::peer_report::PeerReport;
    ///
    /// let report = PeerReport { host: 7, number: 1, ..PeerReport::default() };
    /// assert_eq!(PeerReport::decode(&report.encode()).unwrap(), report);
    /// assert!(PeerReport::decode(b"?").is_err());
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let bytes = self.to_bytes();
        if bytes.len() <= MAX_REPORT_BYTES {
            return bytes;
        }
        let mut shorter = self.clone();
        shorter.loads.truncate(self.loads.len() / 2);
        shorter.usage.truncate(self.usage.len() / 2);
        shorter.crashes.truncate(self.crashes.len() / 2);
        shorter.encode()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are no report of this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, ReportError> {
        let (head, body) = bytes
            .split_first_chunk::<HEAD_BYTES>()
            .ok_or(ReportError::UnknownFormat)?;
        let [FORMAT, included @ ..] = *head else {
            return Err(ReportError::UnknownFormat);
        };
        let report: Self = ciborium::from_reader(body)
            .map_err(|error| ReportError::Malformed(error.to_string()))?;
        Ok(Self {
            included: u64::from_be_bytes(included),
            ..report
        })
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        bytes.extend(self.included.to_be_bytes());
        ciborium::into_writer(self, &mut bytes).expect("a vector takes every byte");
        bytes
    }
}

/// Changes [`PeerReport::included`] of an encoded report.
///
/// ```
/// use sedgeridge_fleet::peer_report::PeerReport;
/// use sedgeridge_fleet::peer_report::set_included;
///
/// let mut bytes = PeerReport::default().encode();
/// set_included(&mut bytes, 7);
/// assert_eq!(PeerReport::decode(&bytes).unwrap().included, 7);
/// ```
pub fn set_included(encoded: &mut [u8], included: u64) {
    if let Some(place) = encoded.get_mut(1..HEAD_BYTES) {
        place.copy_from_slice(&included.to_be_bytes());
    }
}

/// Loads as rows of numbers: names of fields would fill most of the datagram.
mod packed_loads {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    use crate::endpoint_load::Load;

    type Packed = (u64, u32, u32, u32);

    pub fn serialize<S: Serializer>(loads: &[(u64, Load)], to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(loads.iter().map(|(key, load)| -> Packed {
            (*key, load.unread_tokens, load.requests, load.memory_tokens)
        }))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<(u64, Load)>, D::Error> {
        let packed = Vec::<Packed>::deserialize(from)?;
        let loads = packed
            .into_iter()
            .map(|(key, unread_tokens, requests, memory_tokens)| {
                let load = Load {
                    unread_tokens,
                    requests,
                    memory_tokens,
                };
                (key, load)
            });
        Ok(loads.collect())
    }
}

/// Usage as rows of numbers.
mod packed_usage {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;

    use crate::account_shares::Usage;

    type Packed = (u64, u32, u32);

    pub fn serialize<S: Serializer>(usage: &[(u64, Usage)], to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(
            usage.iter().map(|(key, usage)| -> Packed {
                (*key, usage.requested_tokens, usage.started_tokens)
            }),
        )
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<(u64, Usage)>, D::Error> {
        let packed = Vec::<Packed>::deserialize(from)?;
        let usage = packed
            .into_iter()
            .map(|(key, requested_tokens, started_tokens)| {
                (
                    key,
                    Usage {
                        requested_tokens,
                        started_tokens,
                    },
                )
            });
        Ok(usage.collect())
    }
}

impl From<&PoisonNotice> for CrashNews {
    fn from(notice: &PoisonNotice) -> Self {
        let whole = notice.fingerprint.0;
        let kind = match &notice.news {
            PoisonNews::Crashed { endpoint, age } => CrashNewsKind::Crashed {
                endpoint: endpoint.to_string(),
                age_ms: to_millis(*age),
            },
            PoisonNews::Quarantined { remaining } => CrashNewsKind::Quarantined {
                remaining_ms: to_millis(*remaining),
            },
            PoisonNews::Finished => CrashNewsKind::Finished,
        };
        Self {
            high: (whole >> 64) as u64,
            low: whole as u64,
            kind,
        }
    }
}

impl From<&CrashNews> for PoisonNotice {
    fn from(news: &CrashNews) -> Self {
        let fingerprint = Fingerprint(u128::from(news.high) << 64 | u128::from(news.low));
        let news = match &news.kind {
            CrashNewsKind::Crashed { endpoint, age_ms } => PoisonNews::Crashed {
                endpoint: EndpointId::from(endpoint.as_str()),
                age: Duration::from_millis(*age_ms),
            },
            CrashNewsKind::Quarantined { remaining_ms } => PoisonNews::Quarantined {
                remaining: Duration::from_millis(*remaining_ms),
            },
            CrashNewsKind::Finished => PoisonNews::Finished,
        };
        Self { fingerprint, news }
    }
}

/// Returns whole milliseconds, as hosts send them.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::peer_report::to_millis;
///
/// assert_eq!(to_millis(Duration::from_micros(2_900)), 2);
/// ```
pub fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
