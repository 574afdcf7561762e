//! Names and identifiers used on every layer.

use std::fmt;
use std::sync::Arc;

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Borrows the name.
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

shared_name!(
    /// Names a client account, such as `crew-07`.
    ///
    /// ```
    /// let account = sedgeridge_state::ids::AccountId::from("crew-07");
    /// assert_eq!(account.as_str(), "crew-07");
    /// ```
    AccountId
);
shared_name!(
    /// Names a service that callers address, such as `desk-assistant`.
    ServiceId
);
shared_name!(
    /// Names a pool: the endpoints that share the work of one or more services.
    PoolId
);
shared_name!(
    /// Names an endpoint, such as `desk-3`.
    EndpointId
);
shared_name!(
    /// Names a site (a data centre).
    SiteId
);
shared_name!(
    /// Names a host of the fleet, that is one router process.
    HostId
);
shared_name!(
    /// Identifies one caller request; unique across the fleet.
    RequestId
);

/// Counts the starts of one host. A restarted host comes back with a higher incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// One run of one host: what a peer message is signed with.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The host that runs.
    pub host: HostId,
    /// Which of its runs this is.
    pub incarnation: Incarnation,
}

/// Identifies one attempt to run a request on an endpoint.
///
/// Answers are matched by this id, so a late or crossed answer never reaches another request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The router run that made the attempt.
    pub member: Member,
    /// Position among the attempts of that run.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Member { host, incarnation } = &self.member;
        write!(f, "{host}.{}.{}", incarnation.0, self.sequence)
    }
}
