//! Reports that hosts send each other several times a second, one datagram each.

use std::cmp::Reverse;
use std::time::Duration;

use ciborium::value::Value;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::account_shares::Usage;
use crate::crash_evidence::SuspectReport;
use crate::endpoint_load::Load;
use crate::store_version::StoreVersion;
use crate::store_version::TableVersions;

/// Longest report, a little below the longest datagram. Sums over a fleet with a hundred endpoints
/// take three kilobytes; the network layer fragments and reassembles them.
pub const MAX_REPORT_BYTES: usize = 60_000;
/// Largest number of endpoints in a report. With [`MAX_USAGE_ROWS`] and the longest rows, a report
/// stays below [`MAX_REPORT_BYTES`].
pub const MAX_LOAD_ROWS: usize = 1_700;
/// Largest number of client accounts in a report.
pub const MAX_USAGE_ROWS: usize = 1_000;
/// First byte of every report. Another format has another first byte.
const FORMAT: u8 = 2;
/// Bytes before the body: the format and [`PeerReport::included`].
const HEAD_BYTES: usize = 9;

/// Scope of the work in a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// No work: the report is a heartbeat and tells only what the sender knows.
    #[serde(rename = "p")]
    Heartbeat,
    /// Work of the sender.
    #[default]
    #[serde(rename = "o")]
    Own,
    /// Work of the hosts of the sender's data centre that report to it, including its own.
    #[serde(rename = "d")]
    DataCentre,
    /// Work of the whole fleet, as far as the sender knows.
    #[serde(rename = "f")]
    Fleet,
}

/// Work in progress, recent usage, and the versions of the sender's copies of the platform's
/// tables.
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
    /// Number of the addressee's report that is part of the sums; 0 if none is. It is stored before
    /// the body, so the body is encoded once for all addressees.
    #[serde(skip)]
    pub included: u64,
    /// Hash of the name of the host's data centre.
    #[serde(rename = "d")]
    pub data_centre: u64,
    /// Scope of the work in the sums.
    #[serde(rename = "o")]
    pub scope: Scope,
    /// Number of hosts whose work is in the sums.
    #[serde(rename = "m")]
    pub hosts: u32,
    /// Number of the newest change of the configuration known to the host.
    #[serde(rename = "c")]
    pub config_number: u64,
    /// Number of the newest change of the list of endpoints known to the host.
    #[serde(rename = "e")]
    pub endpoints_number: u64,
    /// Number of the newest change of the host list known to the host.
    #[serde(rename = "v", default)]
    pub hosts_number: u64,
    /// Eras of the numbers of configuration, endpoints and hosts. Hosts of an earlier version do not
    /// send them.
    #[serde(rename = "w", default)]
    pub eras: [u64; 3],
    /// Whether the host is about to stop.
    #[serde(rename = "s")]
    pub is_stopping: bool,
    /// Whether the host is overloaded.
    #[serde(rename = "b")]
    pub is_busy: bool,
    /// Whether the store answered the host's last call.
    #[serde(rename = "f")]
    pub store_answers: bool,
    /// Time for which the store has not answered the host, in milliseconds; 0 if it does.
    #[serde(rename = "g", default)]
    pub store_lost_ms: u64,
    /// Time since the store last answered the host, in milliseconds; `None` if the host does not
    /// call it.
    #[serde(rename = "a", default)]
    pub store_answered_ago_ms: Option<u64>,
    /// Work in progress, by hash of the endpoint's id.
    #[serde(rename = "l", with = "packed_loads")]
    pub loads: Vec<(u64, Load)>,
    /// Accounts' usage over the window, by hash of the account's name.
    #[serde(rename = "u", with = "packed_usage")]
    pub usage: Vec<(u64, Usage)>,
    /// Number of rows that the sender left out of `loads` and `usage`, since there was no room.
    #[serde(rename = "x", default)]
    pub left_out: u32,
    /// Requests and parts of prompts that may crash endpoints.
    #[serde(rename = "q", default)]
    pub suspects: Vec<SuspectReport>,
    /// Always empty. Hosts of an earlier version require the field, and put notices of their own into it.
    #[serde(rename = "p", default)]
    pub notices: Vec<Value>,
}

/// Reason for which a datagram is not a report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The datagram begins with the byte of another format.
    #[error("datagram of an unknown format")]
    UnknownFormat,
    /// The body cannot be decoded.
    #[error("malformed report: {0}")]
    Malformed(String),
}

impl PeerReport {
    /// Sets the work in the report. If there is no room for all rows, those of the least busy endpoints
    /// and of the accounts that requested least are left out, and counted: receivers take such
    /// endpoints for idle, and a missing busy one would get everybody's requests.
    ///
    /// ```
    /// use sedgeridge_fleet::endpoint_load::Load;
    /// use sedgeridge_fleet::peer_report::{MAX_LOAD_ROWS, PeerReport};
    ///
    /// let loads = (0..5_000_u32).map(|requests| (0, Load { requests, ..Load::default() }));
    /// let mut report = PeerReport::default();
    /// report.set_work(loads.collect(), Vec::new());
    /// assert_eq!(report.loads.len(), MAX_LOAD_ROWS);
    /// assert_eq!(report.left_out as usize, 5_000 - MAX_LOAD_ROWS);
    /// assert_eq!(report.loads[0].1.requests, 4_999);
    /// ```
    pub fn set_work(&mut self, mut loads: Vec<(u64, Load)>, mut usage: Vec<(u64, Usage)>) {
        let rows = loads.len() + usage.len();
        keep_largest(&mut loads, MAX_LOAD_ROWS, |load| {
            (load.requests, load.unread_tokens)
        });
        keep_largest(&mut usage, MAX_USAGE_ROWS, |usage| usage.requested_tokens);
        let left_out = rows - loads.len() - usage.len();
        self.left_out = u32::try_from(left_out).unwrap_or(u32::MAX);
        self.loads = loads;
        self.usage = usage;
    }

    /// Returns the versions of the sender's copies of the tables.
    pub fn table_versions(&self) -> TableVersions {
        let [config_era, endpoints_era, hosts_era] = self.eras;
        let version = |era, number| StoreVersion { era, number };
        TableVersions {
            config: version(config_era, self.config_number),
            endpoints: version(endpoints_era, self.endpoints_number),
            hosts: version(hosts_era, self.hosts_number),
        }
    }

    /// Sets the versions of the sender's copies of the tables.
    ///
    /// ```
    /// use sedgeridge_fleet::peer_report::PeerReport;
    /// use sedgeridge_fleet::store_version::{StoreVersion, TableVersions};
    ///
    /// let endpoints = StoreVersion { era: 2, number: 40 };
    /// let versions = TableVersions { endpoints, ..TableVersions::default() };
    /// let mut report = PeerReport::default();
    /// report.set_table_versions(versions);
    /// assert_eq!(report.table_versions(), versions);
    /// ```
    pub fn set_table_versions(&mut self, versions: TableVersions) {
        let TableVersions {
            config,
            endpoints,
            hosts,
        } = versions;
        self.config_number = config.number;
        self.endpoints_number = endpoints.number;
        self.hosts_number = hosts.number;
        self.eras = [config.era, endpoints.era, hosts.era];
    }

    /// Encodes the report. If it is too long, entries are dropped, starting with the last ones.
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
        shorter.suspects.truncate(self.suspects.len() / 2);
        shorter.encode()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are not a report of this format.
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
        ciborium::into_writer(self, &mut bytes).expect("writing to a vector cannot fail");
        bytes
    }
}

/// Keeps the `count` rows with the largest values, largest first if any is dropped.
fn keep_largest<T, K: Ord>(rows: &mut Vec<(u64, T)>, count: usize, value: impl Fn(&T) -> K) {
    if rows.len() > count {
        rows.sort_unstable_by_key(|(_, row)| Reverse(value(row)));
        rows.truncate(count);
    }
}

/// Sets [`PeerReport::included`] in an encoded report.
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
    if let Some(bytes) = encoded.get_mut(1..HEAD_BYTES) {
        bytes.copy_from_slice(&included.to_be_bytes());
    }
}

/// Encodes loads as rows of numbers: field names would fill most of the datagram.
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

/// Encodes usage as rows of numbers.
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

/// Converts a duration to whole milliseconds, the unit in reports.
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
