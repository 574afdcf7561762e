//! Test configuration with two accounts and three services: a model service, a plain service, and a plain service
//! that is not repeatable.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod attempts;
pub mod resident;
pub mod test_front;

use sedgeridge_state::settings::AccountSettings;
use sedgeridge_state::settings::PoolKind;
use sedgeridge_state::settings::PoolSettings;
use sedgeridge_state::settings::RequestClass;
use sedgeridge_state::settings::ServiceSettings;
use sedgeridge_state::settings::Settings;
use sedgeridge_transport::directory::key_sha256;

/// `Authorization` header of account `crew-07`.
pub const KEY: &str = "Bearer crew-key";
/// `Authorization` header of account `crew-08`.
pub const OTHER_KEY: &str = "Bearer other-key";
/// Name of the router's host.
pub const HOST: &str = "router-1";

pub fn settings() -> Settings {
    let pool = |id: &str, kind| PoolSettings {
        id: id.into(),
        kind,
        floor: 0,
    };
    let service = |id: &str, pool: &str, repeatable| ServiceSettings {
        id: id.into(),
        pool: pool.into(),
        repeatable,
        class: RequestClass::default(),
    };
    let account = |id: &str, key: &str| AccountSettings {
        id: id.into(),
        weight: 1,
        key_sha256: key_sha256(key),
        max_in_progress: 0,
        max_requests_per_s: 0,
    };
    Settings {
        pools: vec![
            pool("engines", PoolKind::Model),
            pool("booking", PoolKind::Plain),
        ],
        services: vec![
            service("desk", "engines", true),
            service("stock", "booking", true),
            service("deposit", "booking", false),
        ],
        accounts: vec![
            account("crew-07", "crew-key"),
            account("crew-08", "other-key"),
        ],
        ..Settings::default()
    }
}
