//! Names of the faults that can be injected.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A fault by its name on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultName {
    /// One router is killed and restarted with no state.
    RouterKill,
    /// One router is frozen for longer than a stream may be idle, then continues.
    RouterFreeze,
    /// One endpoint of each pool is killed and restarted.
    EngineCrash,
    /// One request crashes every engine that runs it, and its caller sends it again.
    Poison,
    /// The table service answers nothing but 503.
    TableDown,
    /// Endpoints and the table service do the work, but some of their answers are lost.
    LostAnswers,
    /// One site is partitioned from the others and from the table service, then reconnected.
    SiteCut,
    /// One account sends many times its share for the middle third of the run.
    Flood,
    /// One endpoint of each pool reports that it is leaving.
    EndpointLeave,
    /// Open connections of some endpoints, links and the table service stop delivering data; new
    /// connections work.
    SilentConnection,
    /// Operators change the configuration at the same time.
    OperatorRace,
    /// The configuration changes while a site is partitioned from the others.
    ConfigUnderPartition,
    /// The coordinator that holds the lease is frozen for longer than its lease.
    LeaseFreeze,
}

impl FaultName {
    /// Every fault.
    pub const ALL: [Self; 13] = [
        Self::RouterKill,
        Self::RouterFreeze,
        Self::EngineCrash,
        Self::Poison,
        Self::TableDown,
        Self::LostAnswers,
        Self::SiteCut,
        Self::Flood,
        Self::EndpointLeave,
        Self::SilentConnection,
        Self::OperatorRace,
        Self::ConfigUnderPartition,
        Self::LeaseFreeze,
    ];

    /// Name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RouterKill => "router-kill",
            Self::RouterFreeze => "router-freeze",
            Self::EngineCrash => "engine-crash",
            Self::Poison => "poison",
            Self::TableDown => "table-down",
            Self::LostAnswers => "lost-answers",
            Self::SiteCut => "site-cut",
            Self::Flood => "flood",
            Self::EndpointLeave => "endpoint-leave",
            Self::SilentConnection => "silent-connection",
            Self::OperatorRace => "operator-race",
            Self::ConfigUnderPartition => "config-under-partition",
            Self::LeaseFreeze => "lease-freeze",
        }
    }

    /// Whether it partitions a site, so that it needs a deployment of several sites.
    pub fn needs_links(self) -> bool {
        matches!(self, Self::SiteCut | Self::ConfigUnderPartition)
    }
}

impl fmt::Display for FaultName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The name of the fault is unknown.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("--fault {0}: expected one of {known}", known = known_names())]
pub struct UnknownFault(pub String);

fn known_names() -> String {
    FaultName::ALL.map(FaultName::as_str).join(", ")
}

impl FromStr for FaultName {
    type Err = UnknownFault;

    /// ```
    /// use sedgeridge_load::fault_name::FaultName;
    /// assert_eq!("poison".parse(), Ok(FaultName::Poison));
    /// assert!("sabotage".parse::<FaultName>().is_err());
    /// ```
    fn from_str(name: &str) -> Result<Self, UnknownFault> {
        let known = Self::ALL.into_iter().find(|fault| fault.as_str() == name);
        known.ok_or_else(|| UnknownFault(name.to_owned()))
    }
}

/// Separates the names of faults that are injected in the same run.
const SEPARATOR: char = '+';

/// Faults that are injected in the same run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FaultNames(pub Vec<FaultName>);

impl FaultNames {
    /// Whether this fault is among them.
    pub fn contains(&self, fault: FaultName) -> bool {
        self.0.contains(&fault)
    }

    /// Whether the run is without faults.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for FaultNames {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.0.iter().map(|name| name.as_str()).collect();
        f.write_str(&names.join(&SEPARATOR.to_string()))
    }
}

impl FromStr for FaultNames {
    type Err = UnknownFault;

    /// ```
    /// use sedgeridge_load::fault_name::FaultNames;
    /// let both: FaultNames = "router-kill+table-down".parse().unwrap();
    /// assert_eq!(both.to_string(), "router-kill+table-down");
    /// ```
    fn from_str(names: &str) -> Result<Self, UnknownFault> {
        let names = names.split(SEPARATOR).map(str::parse);
        names.collect::<Result<_, _>>().map(Self)
    }
}
