//! The intent of an order to an engine, written before the order is sent.

use std::sync::Arc;

use crate::fields::FieldReader;
use crate::fields::FieldWriter;
use crate::ids::EndpointId;
use crate::ids::PoolId;
use crate::lease_record::FencingNumber;

/// First part of every order's key.
pub const ORDER_PREFIX: &str = "order/";

/// What an engine is told to do. Every order names the state it leads to, so a repeat is harmless.
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

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderState {
    /// It may have been sent; whoever holds the lease completes it.
    Intended,
    /// It is in effect.
    Done,
    /// The engine refused it.
    Refused,
}

impl OrderState {
    /// Returns the state's name.
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

/// Row of the newest order to an endpoint; a later order replaces it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Position among the orders to the endpoint.
    pub number: u64,
    /// Epoch that wrote the row; 0 if an operator did.
    pub fencing: FencingNumber,
    /// The order.
    pub order: EngineOrder,
    /// How far it has come.
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
    /// Tells whether the engine must have no work in progress while it obeys.
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

    /// Tells whether the engine reads from the weight store.
    ///
    /// ```
    /// use sedgeridge_state::order_record::EngineOrder;
    ///
    /// assert!(EngineOrder::Load("assistant/v2".into()).reads_weights());
    /// ```
    pub fn reads_weights(&self) -> bool {
        matches!(self, Self::Load(_))
    }

    /// Returns the kind's name and what the order is about.
    ///
    /// ```
    /// use sedgeridge_state::order_record::EngineOrder;
    ///
    /// let order = EngineOrder::ChangeRole("booking".into());
    /// assert_eq!(order.kind_and_subject(), ("change_role", "booking"));
    /// ```
    pub fn kind_and_subject(&self) -> (&'static str, &str) {
        match self {
            Self::Load(unit) => ("load", unit),
            Self::Unload(unit) => ("unload", unit),
            Self::ChangeRole(pool) => ("change_role", pool.as_str()),
            Self::ExportCache(object) => ("export_cache", object),
            Self::ImportCache(object) => ("import_cache", object),
        }
    }

    /// Reads a kind's name and what the order is about.
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
    /// Returns the row's value.
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

    /// Reads a row's value.
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
