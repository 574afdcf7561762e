//! Looks up the route and the client account of a request.

use std::collections::HashMap;
use std::sync::Arc;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::ServiceId;

use crate::config::FleetConfig;
use crate::config::Route;
use crate::hashing::stable_hash;

/// Reason for which a request is refused before an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupError {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches the host name and path.
    NoRoute,
    /// The route requires a key, and the given key belongs to no account.
    UnknownKey,
}

impl LookupError {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
        }
    }
}

/// Lookup tables for one configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: Option<u64>,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    accounts: Option<HashMap<Arc<str>, AccountId>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: &FleetConfig) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host_routes = routes.entry(Arc::from(route.host.to_ascii_lowercase()));
            host_routes.or_default().push(Arc::new(route.clone()));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let accounts_by_key = |accounts: &Vec<crate::config::Account>| {
            let pairs = accounts.iter().flat_map(|account| {
                let keys = account.keys.iter();
                keys.map(|key| (key.clone(), account.id.clone()))
            });
            pairs.collect()
        };
        Self {
            version: Some(config.version),
            routes,
            accounts: config.accounts.as_ref().map(accounts_by_key),
        }
    }

    /// Returns the version of the configuration, if one is known.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Finds the route with the longest prefix of `path`. A port after the host name is ignored.
    ///
    /// # Errors
    ///
    /// No configuration is known, or no route matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, LookupError> {
        if self.version.is_none() {
            return Err(LookupError::NoConfig);
        }
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.routes.get(host.as_str());
        let routes = routes.ok_or(LookupError::NoRoute)?;
        let found = routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix));
        found.ok_or(LookupError::NoRoute)
    }

    /// Finds the account that holds `key`. Returns `None` if neither the route nor the
    /// configuration requires a key.
    ///
    /// # Errors
    ///
    /// The route requires a key, and the caller has no known one.
    pub fn account(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<AccountId>, LookupError> {
        let Some(accounts) = &self.accounts else {
            return Ok(None);
        };
        match key.and_then(|key| accounts.get(key)) {
            Some(account) => Ok(Some(account.clone())),
            None if route.is_public => Ok(None),
            None => Err(LookupError::UnknownKey),
        }
    }
}

/// Chooses one of a route's services by weight; the same request id chooses the same service.
///
/// ```
/// use sedgeridge_fleet::config::RouteTarget;
/// use sedgeridge_fleet::route_table::choose_service;
/// use sedgeridge_state::ids::ServiceId;
///
/// let only = RouteTarget { service: ServiceId::from("desk"), weight: 90 };
/// assert_eq!(choose_service(&[only], "id-1"), Some(ServiceId::from("desk")));
/// assert_eq!(choose_service(&[], "id-1"), None);
/// ```
pub fn choose_service(
    targets: &[crate::config::RouteTarget],
    request_id: &str,
) -> Option<ServiceId> {
    if targets.len() == 1 {
        return Some(targets[0].service.clone());
    }
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut point = stable_hash(request_id).checked_rem(total)?;
    for target in targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return Some(target.service.clone());
        }
        point -= weight;
    }
    None
}
