//! Wire form of notices about requests that crash endpoints; part of [`crate::peer`].

use std::time::Duration;

use sedgeridge_coordination::poison_notice::PoisonEvent;
use sedgeridge_coordination::poison_notice::PoisonNotice;
use sedgeridge_state::fingerprint::Fingerprint;
use serde::Deserialize;
use serde::Serialize;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WirePoison {
    #[serde(rename = "f")]
    fingerprint: [u8; 16],
    #[serde(rename = "n")]
    news: WirePoisonNews,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum WirePoisonNews {
    #[serde(rename = "c")]
    Crashed { endpoint: String, age_ms: u64 },
    #[serde(rename = "q")]
    Quarantined { remaining_ms: u64 },
    #[serde(rename = "f")]
    Finished,
}

pub(crate) fn poison_to_wire(notice: &PoisonNotice) -> WirePoison {
    WirePoison {
        fingerprint: notice.fingerprint.0.to_be_bytes(),
        news: match &notice.event {
            PoisonEvent::Crashed { endpoint, age } => WirePoisonNews::Crashed {
                endpoint: endpoint.as_str().to_owned(),
                age_ms: age.as_millis() as u64,
            },
            PoisonEvent::Quarantined { remaining } => WirePoisonNews::Quarantined {
                remaining_ms: remaining.as_millis() as u64,
            },
            PoisonEvent::Finished => WirePoisonNews::Finished,
        },
    }
}

pub(crate) fn poison_from_wire(notice: &WirePoison) -> PoisonNotice {
    PoisonNotice {
        fingerprint: Fingerprint(u128::from_be_bytes(notice.fingerprint)),
        event: match &notice.news {
            WirePoisonNews::Crashed { endpoint, age_ms } => PoisonEvent::Crashed {
                endpoint: endpoint.as_str().into(),
                age: Duration::from_millis(*age_ms),
            },
            WirePoisonNews::Quarantined { remaining_ms } => PoisonEvent::Quarantined {
                remaining: Duration::from_millis(*remaining_ms),
            },
            WirePoisonNews::Finished => PoisonEvent::Finished,
        },
    }
}
