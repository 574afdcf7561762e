//! Records of orders to engines in the table service, written before the order is sent.

use std::sync::Arc;

use crate::fields::FieldReader;
use crate::fields::FieldWriter;
use crate::ids::EndpointId;
use crate::ids::PoolId;
use crate::lease_record::FencingNumber;

/// Prefix of the table keys of all orders.
pub const ORDER_PREFIX: &str = "order/";

/// An order to an engine. It names the state to reach, so it is idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a model, adapter or version from the weight store.
    Load(Arc<str>),
    /// Unload a model, adapter or version.
    Unload(Arc<str>),
    /// Serve another pool.
    ChangeRole(PoolId),
    /// Write the KV cache to this object.
    ExportCache(Arc<str>),
    /// Read the KV cache from this object.
    ImportCache(Arc<str>),
}

/// Progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderState {
    /// It may have been sent; the holder of the lease completes it.
    Intended,
    /// It is in effect.
    Done,
    /// The engine refused it.
    Refused,
}

impl OrderState {
    /// Returns the state's name in stored records.
    ///
    /// ```
    /// assert_eq!(sedgeridge_state::order_record::OrderState::Done.as_str(), "done");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Intended => "intended",
            Self::Done => "done",
            Self::Refused => "refused",
        }
    }
}

/// Row of the newest order for an endpoint; a later order replaces it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    pub endpoint: EndpointId,
    /// Sequence number among the orders for the endpoint.
    pub number: u64,
    /// Fencing number of the epoch that wrote the row; 0 if an operator wrote it.
    pub fencing: FencingNumber,
    pub order: EngineOrder,
    pub state: OrderState,
}

/// Returns the table key of an endpoint's newest order.
///
/// ```
/// use sedgeridge_state::ids::EndpointId;
/// use sedgeridge_state::order_record::order_key;
///
/// assert_eq!(&*order_key(&EndpointId::from("desk-3")), "order/desk-3");
/// ```
pub fn order_key(endpoint: &EndpointId) -> Arc<str> {
    Arc::from(format!("{ORDER_PREFIX}{endpoint}"))
}

impl EngineOrder {
    /// Returns whether the engine must have no work in progress while it applies the order.
    ///
    /// ```
    /// use sedgeridge_state::order_record::EngineOrder;
    ///
    /// assert!(EngineOrder::Load("assistant/v2".into()).requires_idle_engine());
    /// assert!(!EngineOrder::ExportCache("cache-1".into()).requires_idle_engine());
    /// ```
    pub fn requires_idle_engine(&self) -> bool {
        matches!(self, Self::Load(_) | Self::Unload(_) | Self::ChangeRole(_))
    }

    /// Returns whether the engine reads from the weight store to apply the order.
    ///
    /// ```
    /// use sedgeridge_state::order_record::EngineOrder;
    ///
    /// assert!(EngineOrder::Load("assistant/v2".into()).reads_weights());
    /// ```
    pub fn reads_weights(&self) -> bool {
        matches!(self, Self::Load(_))
    }

    /// Returns the name of the kind and the subject: the artifact, pool or object of the order.
    ///
    /// ```
    /// use sedgeridge_state::order_record::EngineOrder;
    ///
    /// let order = EngineOrder::ChangeRole("booking".into());
    /// assert_eq!(order.kind_and_subject(), ("change_role", "booking"));
    /// ```
    pub fn kind_and_subject(&self) -> (&'static str, &str) {
        match self {
            Self::Load(artifact) => ("load", artifact),
            Self::Unload(artifact) => ("unload", artifact),
            Self::ChangeRole(pool) => ("change_role", pool.as_str()),
            Self::ExportCache(object) => ("export_cache", object),
            Self::ImportCache(object) => ("import_cache", object),
        }
    }

    /// Parses the name of a kind and the subject; `None` if the kind is unknown.
    ///
    /// ```
    /// use sedgeridge_state::order_record::EngineOrder;
    ///
    /// let order = EngineOrder::from_kind("load", "assistant/v2");
    /// assert_eq!(order, Some(EngineOrder::Load("assistant/v2".into())));
    /// assert_eq!(EngineOrder::from_kind("reboot", "now"), None);
    /// ```
    pub fn from_kind(kind: &str, subject: &str) -> Option<Self> {
        let order = match kind {
            "load" => Self::Load(subject.into()),
            "unload" => Self::Unload(subject.into()),
            "change_role" => Self::ChangeRole(subject.into()),
            "export_cache" => Self::ExportCache(subject.into()),
            "import_cache" => Self::ImportCache(subject.into()),
            _ => return None,
        };
        Some(order)
    }
}

impl OrderRecord {
    /// Encodes the row's value.
    ///
    /// ```
    /// use sedgeridge_state::lease_record::FencingNumber;
    /// use sedgeridge_state::order_record::*;
    ///
    /// let record = OrderRecord {
    ///     endpoint: "desk-3".into(),
    ///     number: 1,
    ///     fencing: FencingNumber(2),
    ///     order: EngineOrder::ChangeRole("booking".into()),
    ///     state: OrderState::Intended,
    /// };
    /// assert_eq!(OrderRecord::decode(&record.encode()), Some(record));
    /// ```
    pub fn encode(&self) -> String {
        let (kind, subject) = self.order.kind_and_subject();
        let mut fields = FieldWriter::default();
        fields
            .put("endpoint", self.endpoint.as_str())
            .put("number", &self.number.to_string())
            .put("fencing", &self.fencing.0.to_string())
            .put("kind", kind)
            .put("subject", subject)
            .put("state", self.state.as_str());
        fields.finish()
    }

    /// Decodes a row's value; `None` if a field is missing or malformed.
    ///
    /// ```
    /// assert_eq!(sedgeridge_state::order_record::OrderRecord::decode("number=1"), None);
    /// ```
    pub fn decode(text: &str) -> Option<Self> {
        let fields = FieldReader::parse(text);
        let state = match fields.text("state")?.as_str() {
            "intended" => OrderState::Intended,
            "done" => OrderState::Done,
            "refused" => OrderState::Refused,
            _ => return None,
        };
        Some(Self {
            endpoint: fields.text("endpoint")?.as_str().into(),
            number: fields.number("number")?,
            fencing: FencingNumber(fields.number("fencing")?),
            order: EngineOrder::from_kind(&fields.text("kind")?, &fields.text("subject")?)?,
            state,
        })
    }
}
