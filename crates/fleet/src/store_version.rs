//! Versions of the platform's store, which may come back from an older copy.

/// Version of the store or of a row in it. Versions of a later era are newer than all of an earlier
/// one, whatever their numbers.
///
/// ```
/// use sedgeridge_fleet::store_version::StoreVersion;
///
/// let before_loss = StoreVersion { era: 1, number: 90 };
/// let after_loss = StoreVersion { era: 2, number: 40 };
/// assert!(after_loss > before_loss);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion {
    /// Number that rises by one whenever the store comes back from an older copy.
    pub era: u64,
    /// Number of the transaction. A later era gives out numbers of an earlier one again.
    pub number: u64,
}

impl From<u64> for StoreVersion {
    /// Returns a version of a store that states no era.
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

/// Versions of a host's copies of the platform's tables.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableVersions {
    /// Newest known change of the configuration.
    pub config: StoreVersion,
    /// Newest known change of the list of endpoints.
    pub endpoints: StoreVersion,
    /// Newest known change of the host list.
    pub hosts: StoreVersion,
}
