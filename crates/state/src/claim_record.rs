//! Records in the table service that make a non-repeatable request run at most once.

use std::sync::Arc;

use crate::fields::FieldReader;
use crate::fields::FieldWriter;
use crate::ids::AccountId;
use crate::ids::AttemptId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Member;

/// Prefix of the table keys of all claims.
pub const CLAIM_PREFIX: &str = "claim/";

/// Hash of a request body; distinguishes a repeat from another request with the same idempotency
/// key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyHash(pub u64);

/// Row for one idempotency key of one client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Attempt that holds the claim; only the router incarnation that made it may dispatch.
    pub attempt: AttemptId,
    /// Hash of the body that the key was first used with.
    pub body_hash: BodyHash,
    /// Unix time after which the row may be deleted.
    pub expires_at_ms: u64,
    /// Known state of the request.
    pub state: ClaimState,
}

/// Known state of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// The attempt may dispatch the request, or has done so.
    Open,
    /// The attempt has not dispatched the request and never will.
    Released,
    /// The request ran.
    Ran(RecordedAnswer),
    /// The attempt dispatched the request and cannot tell whether it ran.
    Unknown,
}

/// Answer stored for repeats of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, if stored.
    pub body: RecordedBody,
}

/// Answer body stored for repeats of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedBody {
    /// The body itself.
    Inline(Arc<str>),
    /// Name of the body in the object store.
    Object(Arc<str>),
    /// Not stored, because it is too large.
    Omitted,
}

/// Returns the table key of an idempotency key.
///
/// ```
/// use sedgeridge_state::claim_record::claim_key;
/// use sedgeridge_state::ids::AccountId;
///
/// assert_eq!(&*claim_key(&AccountId::from("crew-07"), "deposit-9"), "claim/crew-07/deposit-9");
/// ```
pub fn claim_key(account: &AccountId, idempotency_key: &str) -> Arc<str> {
    let account = account.as_str().replace('%', "%25").replace('/', "%2F");
    Arc::from(format!("{CLAIM_PREFIX}{account}/{idempotency_key}"))
}

impl ClaimRecord {
    /// Encodes the row's value.
    ///
    /// ```
    /// use sedgeridge_state::claim_record::*;
    /// use sedgeridge_state::ids::*;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(2) };
    /// let record = ClaimRecord {
    ///     attempt: AttemptId { member, sequence: 3 },
    ///     body_hash: BodyHash(4),
    ///     expires_at_ms: 5,
    ///     state: ClaimState::Open,
    /// };
    /// assert_eq!(ClaimRecord::decode(&record.encode()), Some(record));
    /// ```
    pub fn encode(&self) -> String {
        let mut fields = FieldWriter::default();
        let member = &self.attempt.member;
        fields
            .put("host", member.host.as_str())
            .put("incarnation", &member.incarnation.0.to_string())
            .put("sequence", &self.attempt.sequence.to_string())
            .put("body_hash", &self.body_hash.0.to_string())
            .put("expires_at_ms", &self.expires_at_ms.to_string());
        match &self.state {
            ClaimState::Open => fields.put("state", "open"),
            ClaimState::Released => fields.put("state", "released"),
            ClaimState::Unknown => fields.put("state", "unknown"),
            ClaimState::Ran(answer) => encode_answer(&mut fields, answer),
        };
        fields.finish()
    }

    /// Decodes a row's value; `None` if this release does not know its format.
    ///
    /// ```
    /// assert_eq!(sedgeridge_state::claim_record::ClaimRecord::decode("state=open"), None);
    /// ```
    pub fn decode(text: &str) -> Option<Self> {
        let fields = FieldReader::parse(text);
        let member = Member {
            host: HostId::from(fields.text("host")?.as_str()),
            incarnation: Incarnation(fields.number("incarnation")?),
        };
        let state = match fields.text("state")?.as_str() {
            "open" => ClaimState::Open,
            "released" => ClaimState::Released,
            "unknown" => ClaimState::Unknown,
            "ran" => ClaimState::Ran(decode_answer(&fields)?),
            _ => return None,
        };
        Some(Self {
            attempt: AttemptId {
                member,
                sequence: fields.number("sequence")?,
            },
            body_hash: BodyHash(fields.number("body_hash")?),
            expires_at_ms: fields.number("expires_at_ms")?,
            state,
        })
    }
}

fn encode_answer<'a>(fields: &'a mut FieldWriter, answer: &RecordedAnswer) -> &'a mut FieldWriter {
    fields
        .put("state", "ran")
        .put("status", &answer.status.to_string());
    match &answer.body {
        RecordedBody::Inline(body) => fields.put("body", body),
        RecordedBody::Object(name) => fields.put("object", name),
        RecordedBody::Omitted => fields,
    }
}

fn decode_answer(fields: &FieldReader<'_>) -> Option<RecordedAnswer> {
    let body = match (fields.text("body"), fields.text("object")) {
        (Some(body), _) => RecordedBody::Inline(Arc::from(body)),
        (None, Some(name)) => RecordedBody::Object(Arc::from(name)),
        (None, None) => RecordedBody::Omitted,
    };
    let status = u16::try_from(fields.number("status")?).ok()?;
    Some(RecordedAnswer { status, body })
}

/// Prefix of the keys of all index rows.
pub const CLAIM_INDEX_PREFIX: &str = "claim-index/";

/// Time span of one bucket of the index.
pub const CLAIM_BUCKET_MS: u64 = 60_000;

/// Returns the bucket of claims that expire at this Unix time.
///
/// ```
/// assert_eq!(sedgeridge_state::claim_record::claim_bucket(120_001), 2);
/// ```
pub fn claim_bucket(expires_at_ms: u64) -> u64 {
    expires_at_ms / CLAIM_BUCKET_MS
}

/// Returns the key prefix of the index rows of a bucket.
///
/// ```
/// use sedgeridge_state::claim_record::claim_bucket_prefix;
///
/// assert_eq!(&*claim_bucket_prefix(2), "claim-index/0000000002/");
/// ```
pub fn claim_bucket_prefix(bucket: u64) -> Arc<str> {
    Arc::from(format!("{CLAIM_INDEX_PREFIX}{bucket:010}/"))
}

/// Index row: the keys claimed by one transaction, to find them when they expire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimIndex {
    /// Keys of the claims.
    pub keys: Vec<Arc<str>>,
}

impl ClaimIndex {
    /// Returns the key of a transaction's index row, given the expiry time that selects the bucket
    /// and the attempt of the first claim.
    ///
    /// ```
    /// use sedgeridge_state::claim_record::ClaimIndex;
    /// use sedgeridge_state::ids::*;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(2) };
    /// let first = AttemptId { member, sequence: 3 };
    /// assert_eq!(&*ClaimIndex::key(120_000, &first), "claim-index/0000000002/r1.2.3");
    /// ```
    pub fn key(expires_at_ms: u64, first_attempt: &AttemptId) -> Arc<str> {
        let prefix = claim_bucket_prefix(claim_bucket(expires_at_ms));
        Arc::from(format!("{prefix}{first_attempt}"))
    }

    /// Encodes the row's value.
    ///
    /// ```
    /// use sedgeridge_state::claim_record::ClaimIndex;
    ///
    /// let index = ClaimIndex { keys: vec!["claim/a/1".into()] };
    /// assert_eq!(ClaimIndex::decode(&index.encode()), index);
    /// ```
    pub fn encode(&self) -> String {
        let mut fields = FieldWriter::default();
        for (position, key) in self.keys.iter().enumerate() {
            fields.put(&format!("key_{position}"), key);
        }
        fields.finish()
    }

    /// Decodes a row's value.
    ///
    /// ```
    /// use sedgeridge_state::claim_record::ClaimIndex;
    ///
    /// assert!(ClaimIndex::decode("").keys.is_empty());
    /// ```
    pub fn decode(text: &str) -> Self {
        let fields = FieldReader::parse(text);
        let keys = (0..).map_while(|i| fields.text(&format!("key_{i}")));
        Self {
            keys: keys.map(Arc::from).collect(),
        }
    }
}
