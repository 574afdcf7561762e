//! The configuration of one router: the generation in force and its content.

use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::SiteId;
use sedgeridge_state::settings::ConfigurationSource;
use sedgeridge_state::settings::Settings;

use crate::config_adoption::ConfigAdoption;
use crate::config_events::ConfigAction;
use crate::config_events::ConfigAdoptionSettings;
use crate::config_events::ConfigEvent;
use crate::config_events::ConfigItem;
use crate::config_events::ConfigItemContent;
use crate::config_events::Generation;
use crate::store_call::CallId;

/// A message between routers about the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigMessage {
    /// Asks for the generation in force.
    GenerationWanted,
    /// Tells the generation in force, if any.
    GenerationInForce(Option<Generation>),
    /// Asks for the changes after a generation or, without one, for the whole configuration.
    ChangesWanted {
        /// Identifies the call.
        call: CallId,
        /// Generation in force at the sender.
        after: Option<Generation>,
    },
    /// Answers a [`ConfigMessage::ChangesWanted`].
    Changes {
        /// Identifies the call.
        call: CallId,
        /// The newer items. Empty if the sender has none.
        items: Vec<ConfigItem<ConfigContent>>,
    },
}

/// A read of the configuration in the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigRead {
    /// The head.
    Head {
        /// Identifies the call.
        call: CallId,
        /// Whether a stale value is not acceptable.
        is_exact: bool,
    },
    /// The changes after a generation, or the last snapshot and the changes after it.
    Changes {
        /// Identifies the call.
        call: CallId,
        /// Generation in force.
        after: Option<Generation>,
        /// Newest generation wanted.
        up_to: Generation,
    },
}

/// A step that the configuration requires of its router.
#[derive(Debug)]
pub(crate) enum ConfigStep {
    /// Read from the table service.
    Read(ConfigRead),
    /// Send a message on the link to a peer.
    Send { to: Member, message: ConfigMessage },
    /// Put settings in force.
    Adopt {
        generation: Generation,
        settings: Box<Settings>,
    },
    /// The content of a generation is not usable here. The previous settings stay in force.
    Unusable {
        generation: Generation,
        findings: String,
    },
    /// Tell the fleet which generation is in force.
    Announce(Generation),
    /// A configuration is in force: the router can take requests.
    Ready,
}

/// The configuration of one router.
#[derive(Debug)]
pub(crate) struct NodeConfig {
    adoption: ConfigAdoption<ConfigContent>,
    document: ConfigDocument,
    site: SiteId,
    peers: Vec<Member>,
}

impl NodeConfig {
    fn new(site: SiteId, seed: u64) -> Self {
        Self {
            adoption: ConfigAdoption::new(ConfigAdoptionSettings::default(), seed),
            document: ConfigDocument::default(),
            site,
            peers: Vec::new(),
        }
    }

    /// Creates the configuration of a process on a host, or `None` if the files stay in force.
    pub(crate) fn for_host(host: &HostId, files: &Settings, seed: u64) -> Option<Self> {
        match files.platform.configuration {
            ConfigurationSource::Files => None,
            ConfigurationSource::Table => {
                let host = files.host(host.as_str());
                let site = host.map_or(SiteId::from(""), |host| host.site.clone());
                Some(Self::new(site, seed))
            }
        }
    }

    /// Returns the generation in force.
    pub(crate) fn generation(&self) -> Option<Generation> {
        self.adoption.current_generation()
    }

    pub(crate) fn handle(
        &mut self,
        now: Duration,
        event: ConfigEvent<ConfigContent>,
        steps: &mut Vec<ConfigStep>,
    ) {
        let mut actions = Vec::new();
        self.adoption.handle(now, event, &mut actions);
        for action in actions {
            self.apply_action(action, steps);
        }
    }

    pub(crate) fn set_peers(
        &mut self,
        now: Duration,
        peers: Vec<Member>,
        steps: &mut Vec<ConfigStep>,
    ) {
        self.peers.clone_from(&peers);
        self.handle(now, ConfigEvent::PeersChanged(peers), steps);
    }

    /// Handles the generation that a peer sent with a membership message.
    pub(crate) fn handle_peer_generation(
        &mut self,
        now: Duration,
        from: &HostId,
        generation: Generation,
        steps: &mut Vec<ConfigStep>,
    ) {
        let Some(peer) = self.peers.iter().find(|peer| peer.host == *from).cloned() else {
            return;
        };
        let event = ConfigEvent::PeerGeneration {
            peer,
            generation: Some(generation),
        };
        self.handle(now, event, steps);
    }

    /// Handles a message of a peer.
    pub(crate) fn handle_peer_message(
        &mut self,
        now: Duration,
        from: &Member,
        message: ConfigMessage,
        steps: &mut Vec<ConfigStep>,
    ) {
        match message {
            ConfigMessage::GenerationWanted => steps.push(ConfigStep::Send {
                to: from.clone(),
                message: ConfigMessage::GenerationInForce(self.adoption.current_generation()),
            }),
            ConfigMessage::GenerationInForce(generation) => {
                let event = ConfigEvent::PeerGeneration {
                    peer: from.clone(),
                    generation,
                };
                self.handle(now, event, steps);
            }
            ConfigMessage::ChangesWanted { call, after } => steps.push(ConfigStep::Send {
                to: from.clone(),
                message: ConfigMessage::Changes {
                    call,
                    items: self.changes_after(after),
                },
            }),
            ConfigMessage::Changes { call, items } => {
                self.handle(now, ConfigEvent::Fetched { call, items }, steps);
            }
        }
    }

    fn changes_after(&self, after: Option<Generation>) -> Vec<ConfigItem<ConfigContent>> {
        let Some(current) = self.adoption.current_generation() else {
            return Vec::new();
        };
        if after >= Some(current) {
            return Vec::new();
        }
        self.adoption.changes_after(after).unwrap_or_else(|| {
            let whole = ConfigContent::Snapshot(self.document.clone());
            vec![ConfigItem {
                generation: current,
                content: ConfigItemContent::Snapshot(Arc::new(whole)),
            }]
        })
    }

    fn apply_action(&mut self, action: ConfigAction<ConfigContent>, steps: &mut Vec<ConfigStep>) {
        match action {
            ConfigAction::ReadHead { call, is_exact } => {
                steps.push(ConfigStep::Read(ConfigRead::Head { call, is_exact }));
            }
            ConfigAction::AskPeer(to) => steps.push(ConfigStep::Send {
                to,
                message: ConfigMessage::GenerationWanted,
            }),
            ConfigAction::FetchFromStore { call, after, up_to } => {
                steps.push(ConfigStep::Read(ConfigRead::Changes { call, after, up_to }));
            }
            ConfigAction::FetchFromPeer { call, peer, after } => steps.push(ConfigStep::Send {
                to: peer,
                message: ConfigMessage::ChangesWanted { call, after },
            }),
            ConfigAction::Adopt(items) => steps.extend(self.adopt(items)),
            ConfigAction::Announce(generation) => steps.push(ConfigStep::Announce(generation)),
            ConfigAction::Ready => steps.push(ConfigStep::Ready),
        }
    }

    /// Applies changes in order. Only the resulting state is put in force.
    fn adopt(&mut self, items: Vec<ConfigItem<ConfigContent>>) -> Option<ConfigStep> {
        let generation = items.last()?.generation;
        for item in items {
            let (ConfigItemContent::Snapshot(content) | ConfigItemContent::Delta(content)) =
                item.content;
            self.document = content.apply_to(std::mem::take(&mut self.document));
        }
        Some(match self.document.settings(self.site.as_str()) {
            Ok(settings) => ConfigStep::Adopt {
                generation,
                settings: Box::new(settings),
            },
            Err(findings) => {
                let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
                ConfigStep::Unusable {
                    generation,
                    findings: findings.join("; "),
                }
            }
        })
    }
}
