//! Tests of the conversion of engine orders, and of reading their effect from the engine's state.

use sedgeridge_protocol::engine::EngineState;
use sedgeridge_protocol::engine::LoadedModel;
use sedgeridge_protocol::engine_orders::is_in_effect;
use sedgeridge_protocol::engine_orders::order_to_wire;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;
use yare::parameterized;

fn state() -> EngineState {
    EngineState {
        highest_fencing: 3,
        loaded: vec![LoadedModel {
            name: "assistant".into(),
            version: Some("v2".into()),
        }],
        unloaded: vec!["portal".into()],
        role: Some("booking".into()),
    }
}

#[parameterized(
    version = { "load", "assistant/v2", Some(true) },
    any_version = { "load", "assistant", Some(true) },
    other_version = { "load", "assistant/v3", Some(false) },
    not_loaded = { "load", "portal/v2", Some(false) },
    unloaded = { "unload", "portal", Some(true) },
    still_loaded = { "unload", "assistant/v2", Some(false) },
    never_known = { "unload", "adapter", Some(false) },
    role = { "change_role", "booking", Some(true) },
    other_role = { "change_role", "desk", Some(false) },
    export = { "export_cache", "cache-1", None },
)]
fn state_tells_whether_an_order_is_in_effect(kind: &str, subject: &str, expected: Option<bool>) {
    let order = EngineOrder::from_kind(kind, subject).unwrap();
    assert_eq!(is_in_effect(&order, &state()), expected);
}

#[parameterized(
    export = { "export_cache" },
    import = { "import_cache" },
)]
fn engines_have_no_cache_orders(kind: &str) {
    let order = EngineOrder::from_kind(kind, "cache-1").unwrap();
    assert_eq!(order_to_wire(&order, FencingNumber(1)), None);
}
