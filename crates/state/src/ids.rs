//! Names and ids that all crates use.

use std::fmt;
use std::sync::Arc;

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_id!(
    /// Name of a client account, such as `crew-07`.
    ///
    /// ```
    /// let account = sedgeridge_state::ids::AccountId::from("crew-07");
    /// assert_eq!(account.as_str(), "crew-07");
    /// ```
    AccountId
);
string_id!(
    /// Name of a service that callers request, such as `desk-assistant`.
    ServiceId
);
string_id!(
    /// Name of a pool: the endpoints that share the work of one or more services.
    PoolId
);
string_id!(
    /// Name of an endpoint, such as `desk-3`.
    EndpointId
);
string_id!(
    /// Name of a site (a data centre).
    SiteId
);
string_id!(
    /// Name of a host of the fleet, which runs one router process.
    HostId
);
string_id!(
    /// Id of one caller request; unique across the fleet.
    RequestId
);

/// Identifies one run of a host. A restarted host has a higher incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// One run of one host, named as the sender of its peer messages.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    pub host: HostId,
    pub incarnation: Incarnation,
}

/// Id of one attempt to run a request on an endpoint.
///
/// Answers are matched by this id, so a late or misrouted answer never reaches another request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Router incarnation that made the attempt.
    pub member: Member,
    /// Sequence number among the attempts of that incarnation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Member { host, incarnation } = &self.member;
        write!(f, "{host}.{}.{}", incarnation.0, self.sequence)
    }
}
