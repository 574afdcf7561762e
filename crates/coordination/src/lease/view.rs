//! Read access to the state of the lease.

use sedgeridge_state::lease_record::LeaseRecord;

use crate::lease::Lease;

impl Lease {
    /// Returns the lease's record as last read or written, whoever holds it.
    ///
    /// ```
    /// use sedgeridge_coordination::lease::Lease;
    /// use sedgeridge_coordination::lease_events::LeaseSettings;
    /// use sedgeridge_state::ids::*;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// assert!(Lease::new(member, LeaseSettings::default(), 7).record().is_none());
    /// ```
    pub fn record(&self) -> Option<&LeaseRecord> {
        let own = self.own_record.as_ref().map(|(record, _)| record);
        own.or_else(|| self.observed.as_ref()?.record.as_ref())
    }

    /// Returns whether this process was told to stop and holds no lease that it must still release.
    ///
    /// ```
    /// use sedgeridge_coordination::lease::Lease;
    /// use sedgeridge_coordination::lease_events::LeaseSettings;
    /// use sedgeridge_state::ids::*;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// assert!(!Lease::new(member, LeaseSettings::default(), 7).is_released());
    /// ```
    pub fn is_released(&self) -> bool {
        let is_idle = self.pending.is_none() && self.unconfirmed.is_none();
        self.is_stopping && is_idle && self.own_record.is_none()
    }
}
