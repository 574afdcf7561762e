//! Fingerprints of requests, equal for the same body from the same client account.

use sha2::Digest;
use sha2::Sha256;

use crate::ids::AccountId;

/// Number of leading bytes of the digest that form the fingerprint.
const FINGERPRINT_BYTES: usize = 16;

/// Identifies a request by client account and body; the same on every router.
///
/// It is a truncated cryptographic digest. With a weaker hash, an account could construct a request
/// with the same fingerprint as another account's request, and get that request refused.
///
/// ```
/// use sedgeridge_state::fingerprint::Fingerprint;
/// use sedgeridge_state::ids::AccountId;
///
/// let crew = Fingerprint::of(&AccountId::from("crew-07"), b"{}");
/// let other = Fingerprint::of(&AccountId::from("crew-08"), b"{}");
/// assert_ne!(crew, other);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(account: &AccountId, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update((account.as_str().len() as u64).to_be_bytes());
        hash.update(account.as_str());
        hash.update(body);
        let digest = hash.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(u128::from_be_bytes(bytes))
    }
}
