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
        Self::of_pieces(account, [body])
    }

    /// Computes the fingerprint of a request whose content is in several pieces. It is that of the pieces put together.
    ///
    /// ```
    /// use sedgeridge_state::fingerprint::Fingerprint;
    /// use sedgeridge_state::ids::AccountId;
    ///
    /// let account = AccountId::from("crew-07");
    /// let pieces: [&[u8]; 2] = [b"GET /read/", b"{}"];
    /// let whole = Fingerprint::of(&account, b"GET /read/{}");
    /// assert_eq!(Fingerprint::of_pieces(&account, pieces), whole);
    /// ```
    pub fn of_pieces<'a>(account: &AccountId, pieces: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        hash.update((account.as_str().len() as u64).to_be_bytes());
        hash.update(account.as_str());
        for piece in pieces {
            hash.update(piece);
        }
        let digest = hash.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(u128::from_be_bytes(bytes))
    }
}
