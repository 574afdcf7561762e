//! Orders to engines between their typed form and the engines' own.

use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;

use crate::engine::EngineOrder as WireOrder;
use crate::engine::EngineState;
use crate::engine::LoadedModel;
use crate::engine::OrderKind;

/// Stands between the name of a model or adapter and its version.
const VERSION_SEPARATOR: char = '/';

/// Returns the order as engines read it; none if they have no form for it.
///
/// Engines have no form yet for orders to export or import KV cache.
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
        EngineOrder::Load(unit) => named(OrderKind::Load, unit),
        EngineOrder::Unload(unit) => named(OrderKind::Unload, unit),
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

/// Tells whether an order is in effect on an engine; none if its state does not say.
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
        EngineOrder::Load(unit) => Some(is_loaded(unit, state)),
        EngineOrder::Unload(unit) => {
            let (name, _) = split_version(unit);
            let unloaded = state.unloaded.iter().any(|known| known == name);
            Some(unloaded && !is_loaded(unit, state))
        }
        EngineOrder::ChangeRole(pool) => Some(state.role.as_deref() == Some(pool.as_str())),
        EngineOrder::ExportCache(_) | EngineOrder::ImportCache(_) => None,
    }
}

fn named(kind: OrderKind, unit: &str) -> (OrderKind, &str, Option<&str>) {
    let (name, version) = split_version(unit);
    (kind, name, version)
}

fn split_version(unit: &str) -> (&str, Option<&str>) {
    match unit.rsplit_once(VERSION_SEPARATOR) {
        Some((name, version)) => (name, Some(version)),
        None => (unit, None),
    }
}

fn is_loaded(unit: &str, state: &EngineState) -> bool {
    let (name, version) = split_version(unit);
    let matches = |model: &LoadedModel| {
        let same_version = version.is_none() || model.version.as_deref() == version;
        model.name == name && same_version
    };
    state.loaded.iter().any(matches)
}
