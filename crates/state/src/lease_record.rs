//! Record of the coordinator's lease in the table service.

use crate::fields::FieldReader;
use crate::fields::FieldWriter;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Member;

/// Key of the lease; written at each renewal. The row is never deleted, because fencing numbers
/// would start again.
pub const LEASE_KEY: &str = "lease/coordinator";

/// Key of the holder's epoch. It is written only when the holder changes, so its version can be a
/// condition of all the holder's writes.
pub const EPOCH_KEY: &str = "lease/coordinator-epoch";

/// Number that grows with each change of the lease holder. Engines that check it refuse orders with
/// a lower number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingNumber(pub u64);

/// Row of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Process that holds the lease, or held it last.
    pub holder: Member,
    /// Fencing number of this holder's epoch.
    pub fencing: FencingNumber,
    /// Number of renewals in this epoch.
    pub renewal: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}

impl LeaseRecord {
    /// Encodes the row's value.
    ///
    /// ```
    /// use sedgeridge_state::ids::*;
    /// use sedgeridge_state::lease_record::*;
    ///
    /// let record = LeaseRecord {
    ///     holder: Member { host: HostId::from("r1"), incarnation: Incarnation(2) },
    ///     fencing: FencingNumber(3),
    ///     renewal: 4,
    ///     released: false,
    /// };
    /// assert_eq!(LeaseRecord::decode(&record.encode()), Some(record));
    /// ```
    pub fn encode(&self) -> String {
        let mut fields = FieldWriter::default();
        fields
            .put("host", self.holder.host.as_str())
            .put("incarnation", &self.holder.incarnation.0.to_string())
            .put("fencing", &self.fencing.0.to_string())
            .put("renewal", &self.renewal.to_string())
            .put("released", if self.released { "1" } else { "0" });
        fields.finish()
    }

    /// Decodes a row's value; `None` if a field is missing or malformed.
    ///
    /// ```
    /// assert_eq!(sedgeridge_state::lease_record::LeaseRecord::decode("fencing=3"), None);
    /// ```
    pub fn decode(text: &str) -> Option<Self> {
        let fields = FieldReader::parse(text);
        Some(Self {
            holder: Member {
                host: HostId::from(fields.text("host")?.as_str()),
                incarnation: Incarnation(fields.number("incarnation")?),
            },
            fencing: FencingNumber(fields.number("fencing")?),
            renewal: fields.number("renewal")?,
            released: fields.number("released")? == 1,
        })
    }
}
