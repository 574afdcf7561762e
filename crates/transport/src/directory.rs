//! Lookup of accounts by key, and of services and endpoints by name, in the current configuration.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::RwLock;

use sha2::Digest;
use sha2::Sha256;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::settings::EndpointSettings;
use sedgeridge_state::settings::PoolKind;
use sedgeridge_state::settings::ServiceSettings;
use sedgeridge_state::settings::Settings;

/// Index of a configuration.
#[derive(Debug, Clone)]
pub struct Directory {
    accounts_by_key: BTreeMap<String, AccountId>,
    services: BTreeMap<String, DirectoryService>,
    endpoints: BTreeMap<EndpointId, EndpointSettings>,
    /// The indexed configuration.
    pub settings: Settings,
}

/// The directory of the current configuration, shared by the threads of a router.
#[derive(Debug, Clone)]
pub struct SharedDirectory {
    current: Arc<RwLock<Arc<Directory>>>,
}

impl SharedDirectory {
    /// Creates the directory of the first configuration.
    pub fn new(settings: Settings) -> Self {
        let directory = Arc::new(Directory::new(settings));
        Self {
            current: Arc::new(RwLock::new(directory)),
        }
    }

    /// Returns the current directory. A request keeps the directory with which it began.
    pub fn current(&self) -> Arc<Directory> {
        Arc::clone(&self.current.read().expect("no writer panics"))
    }

    /// Replaces the configuration and returns its directory.
    pub fn replace(&self, settings: Settings) -> Arc<Directory> {
        let directory = Arc::new(Directory::new(settings));
        *self.current.write().expect("no writer panics") = Arc::clone(&directory);
        directory
    }
}

/// A service and the kind of its pool.
#[derive(Debug, Clone)]
pub struct DirectoryService {
    /// The service.
    pub service: ServiceSettings,
    /// The protocol of its endpoints.
    pub kind: PoolKind,
}

impl Directory {
    /// Indexes a configuration.
    pub fn new(settings: Settings) -> Self {
        let accounts_by_key = settings
            .accounts
            .iter()
            .map(|account| (account.key_sha256.clone(), account.id.clone()))
            .collect();
        let kind_of = |service: &ServiceSettings| {
            let pool = settings.pools.iter().find(|pool| pool.id == service.pool);
            pool.map(|pool| pool.kind).unwrap_or_default()
        };
        let services = settings
            .services
            .iter()
            .map(|service| {
                let entry = DirectoryService {
                    service: service.clone(),
                    kind: kind_of(service),
                };
                (service.id.as_str().to_owned(), entry)
            })
            .collect();
        let endpoints = settings
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.id.clone(), endpoint.clone()))
            .collect();
        Self {
            accounts_by_key,
            services,
            endpoints,
            settings,
        }
    }

    /// Finds the account that a key belongs to.
    pub fn account_of_key(&self, key: &str) -> Option<&AccountId> {
        self.accounts_by_key.get(&key_sha256(key))
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&DirectoryService> {
        self.services.get(name)
    }

    /// Finds an endpoint.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&EndpointSettings> {
        self.endpoints.get(id)
    }
}

/// Returns the hash of an account key in the form used in the configuration.
///
/// ```
/// let hash = sedgeridge_transport::directory::key_sha256("secret");
/// assert!(hash.starts_with("2bb80d53"));
/// ```
pub fn key_sha256(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
