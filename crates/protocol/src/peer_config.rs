//! Wire form of configuration messages between routers; part of [`crate::peer`].

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use sedgeridge_coordination::config_events::ConfigItem;
use sedgeridge_coordination::config_events::ConfigItemContent;
use sedgeridge_coordination::config_events::Generation;
use sedgeridge_coordination::node_config::ConfigMessage;
use sedgeridge_coordination::store_call::CallId;
use sedgeridge_state::config_records::ConfigContent;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum WireConfig {
    #[serde(rename = "w")]
    GenerationWanted,
    #[serde(rename = "g")]
    GenerationInForce(Option<u64>),
    #[serde(rename = "c")]
    ChangesWanted {
        #[serde(rename = "c")]
        call: u64,
        #[serde(rename = "a")]
        after: Option<u64>,
    },
    #[serde(rename = "d")]
    Changes {
        #[serde(rename = "c")]
        call: u64,
        #[serde(rename = "i")]
        items: Vec<WireItem>,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireItem {
    #[serde(rename = "g")]
    generation: u64,
    #[serde(rename = "c")]
    content: ConfigContent,
}

pub(crate) fn config_to_wire(message: &ConfigMessage) -> WireConfig {
    match message {
        ConfigMessage::GenerationWanted => WireConfig::GenerationWanted,
        ConfigMessage::GenerationInForce(generation) => {
            WireConfig::GenerationInForce(generation.map(|generation| generation.0))
        }
        ConfigMessage::ChangesWanted { call, after } => WireConfig::ChangesWanted {
            call: call.0,
            after: after.map(|generation| generation.0),
        },
        ConfigMessage::Changes { call, items } => WireConfig::Changes {
            call: call.0,
            items: items.iter().map(item_to_wire).collect(),
        },
    }
}

pub(crate) fn config_from_wire(message: WireConfig) -> ConfigMessage {
    match message {
        WireConfig::GenerationWanted => ConfigMessage::GenerationWanted,
        WireConfig::GenerationInForce(generation) => {
            ConfigMessage::GenerationInForce(generation.map(Generation))
        }
        WireConfig::ChangesWanted { call, after } => ConfigMessage::ChangesWanted {
            call: CallId(call),
            after: after.map(Generation),
        },
        WireConfig::Changes { call, items } => ConfigMessage::Changes {
            call: CallId(call),
            items: items.into_iter().map(item_from_wire).collect(),
        },
    }
}

fn item_to_wire(item: &ConfigItem<ConfigContent>) -> WireItem {
    let (ConfigItemContent::Snapshot(content) | ConfigItemContent::Delta(content)) = &item.content;
    WireItem {
        generation: item.generation.0,
        content: content.as_ref().clone(),
    }
}

fn item_from_wire(item: WireItem) -> ConfigItem<ConfigContent> {
    config_item(item.generation, item.content)
}

/// Creates the item of a generation from its stored content.
///
/// ```
/// use sedgeridge_coordination::config_events::{ConfigItemContent, Generation};
/// use sedgeridge_protocol::peer_config::config_item;
/// use sedgeridge_state::config_records::ConfigContent;
///
/// let item = config_item(3, ConfigContent::Delta(Vec::new()));
/// assert_eq!(item.generation, Generation(3));
/// assert!(matches!(item.content, ConfigItemContent::Delta(_)));
/// ```
pub fn config_item(generation: u64, content: ConfigContent) -> ConfigItem<ConfigContent> {
    let is_whole = matches!(content, ConfigContent::Snapshot(_));
    let content = Arc::new(content);
    ConfigItem {
        generation: Generation(generation),
        content: if is_whole {
            ConfigItemContent::Snapshot(content)
        } else {
            ConfigItemContent::Delta(content)
        },
    }
}
