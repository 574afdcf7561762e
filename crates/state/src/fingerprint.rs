//! Tells whether two requests are the same: the same body from the same client account.

use sha2::Digest;
use sha2::Sha256;

use crate::ids::AccountId;

/// Bytes of the digest that are kept.
const KEPT_BYTES: usize = 16;

/// Identifies what a request asks for; equal on every router.
///
/// It is cut from a cryptographic digest: with a weaker one, an account could make up a request
/// that passes for another account's, and have that one refused.
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
    /// Returns the fingerprint of a request.
    pub fn of(account: &AccountId, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update((account.as_str().len() as u64).to_be_bytes());
        hash.update(account.as_str());
        hash.update(body);
        let digest = hash.finalize();
        let mut kept = [0; KEPT_BYTES];
        kept.copy_from_slice(&digest[..KEPT_BYTES]);
        Self(u128::from_be_bytes(kept))
    }
}
