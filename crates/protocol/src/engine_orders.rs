//! Converts engine orders to the engines' JSON form, and reads an order's effect from the engine's
//! state.

use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;

use crate::engine::EngineOrder as WireOrder;
use crate::engine::EngineState;
use crate::engine::LoadedModel;
use crate::engine::OrderKind;

/// Separates the name of a model or adapter from its version.
const VERSION_SEPARATOR: char = '/';

/// Converts an order to the engines' JSON form; `None` if engines have no such order.
///
/// Engines have no orders yet to export or import KV cache.
///
/// ```
/// use sedgeridge_protocol::engine_orders::order_to_wire;
/// use sedgeridge_state::lease_record::FencingNumber;
/// use sedgeridge_state::order_record::EngineOrder;
///
/// let order = order_to_wire(&EngineOrder::Load("assistant/v2".into()), FencingNumber(7)).unwrap();
/// assert_eq!(order.target, "assistant");
/// assert_eq!(order.version.as_deref(), Some("v2"));
/// assert_eq!(order.fencing, 7);
/// ```
pub fn order_to_wire(order: &EngineOrder, fencing: FencingNumber) -> Option<WireOrder> {
    let (kind, target, version) = match order {
        EngineOrder::Load(artifact) => versioned_order(OrderKind::Load, artifact),
        EngineOrder::Unload(artifact) => versioned_order(OrderKind::Unload, artifact),
        EngineOrder::ChangeRole(pool) => (OrderKind::Role, pool.as_str(), None),
        EngineOrder::ExportCache(_) | EngineOrder::ImportCache(_) => return None,
    };
    Some(WireOrder {
        fencing: fencing.0,
        kind,
        target: target.to_owned(),
        version: version.map(str::to_owned),
    })
}

/// Returns whether an order is in effect on an engine; `None` if the engine's state does not tell.
///
/// ```
/// use sedgeridge_protocol::engine::EngineState;
/// use sedgeridge_protocol::engine_orders::is_in_effect;
/// use sedgeridge_state::order_record::EngineOrder;
///
/// let state = EngineState { role: Some("booking".into()), ..EngineState::default() };
/// let order = EngineOrder::ChangeRole("booking".into());
/// assert_eq!(is_in_effect(&order, &state), Some(true));
/// ```
pub fn is_in_effect(order: &EngineOrder, state: &EngineState) -> Option<bool> {
    match order {
        EngineOrder::Load(artifact) => Some(is_loaded(artifact, state)),
        EngineOrder::Unload(artifact) => {
            let (name, _) = split_version(artifact);
            let unloaded = state.unloaded.iter().any(|known| known == name);
            Some(unloaded && !is_loaded(artifact, state))
        }
        EngineOrder::ChangeRole(pool) => Some(state.role.as_deref() == Some(pool.as_str())),
        EngineOrder::ExportCache(_) | EngineOrder::ImportCache(_) => None,
    }
}

fn versioned_order(kind: OrderKind, artifact: &str) -> (OrderKind, &str, Option<&str>) {
    let (name, version) = split_version(artifact);
    (kind, name, version)
}

fn split_version(artifact: &str) -> (&str, Option<&str>) {
    match artifact.rsplit_once(VERSION_SEPARATOR) {
        Some((name, version)) => (name, Some(version)),
        None => (artifact, None),
    }
}

fn is_loaded(artifact: &str, state: &EngineState) -> bool {
    let (name, version) = split_version(artifact);
    let matches = |model: &LoadedModel| {
        let same_version = version.is_none() || model.version.as_deref() == version;
        model.name == name && same_version
    };
    state.loaded.iter().any(matches)
}
