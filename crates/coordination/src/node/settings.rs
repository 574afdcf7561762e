//! The accepted configuration: how a generation comes into force.

use std::time::Duration;

use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::millis;

use crate::membership::MembershipEvent;
use crate::node::Node;
use crate::node::Outbox;
use crate::node_config::ConfigStep;
use crate::node_config::NodeConfig;
use crate::node_events::NodeAction;
use crate::node_events::PeerMessage;

impl Node {
    /// Returns the generation of the configuration in force; 0 for the files given at the start.
    pub(super) fn generation(&self) -> u64 {
        let current = self.config.as_ref().and_then(NodeConfig::generation);
        current.map_or(0, |generation| generation.0)
    }

    pub(super) fn config_event(
        &mut self,
        now: Duration,
        out: &mut Outbox,
        visit: impl FnOnce(&mut NodeConfig, &mut Vec<ConfigStep>),
    ) {
        let Some(config) = &mut self.config else {
            return;
        };
        let mut steps = Vec::new();
        visit(config, &mut steps);
        for step in steps {
            match step {
                ConfigStep::Read(read) => out.actions.push(NodeAction::ReadConfig(read)),
                ConfigStep::Send { to, message } => out.actions.push(NodeAction::Send {
                    to,
                    message: PeerMessage::Config(message),
                }),
                ConfigStep::Adopt {
                    generation,
                    settings,
                } => {
                    self.put_in_force(now, &settings, out);
                    out.actions.push(NodeAction::SettingsChanged {
                        generation,
                        settings,
                    });
                }
                ConfigStep::Unusable {
                    generation,
                    findings,
                } => out.actions.push(NodeAction::ConfigUnusable {
                    generation,
                    findings,
                }),
                ConfigStep::Announce(generation) => {
                    let event = MembershipEvent::ConfigGeneration(generation.0);
                    self.membership_event(now, event, out);
                }
                ConfigStep::Ready => out.actions.push(NodeAction::Ready),
            }
        }
    }

    /// Puts settings in force without touching the requests in hand.
    pub(super) fn put_in_force(&mut self, now: Duration, settings: &Settings, out: &mut Outbox) {
        self.settings = settings.clone();
        self.schedule.configure(
            millis(settings.fair.batch_interval_ms),
            millis(settings.fair.report_interval_ms),
        );
        self.entry.configure(now, settings);
        let hosts = settings.hosts.iter().map(|host| host.id.clone()).collect();
        let event = MembershipEvent::HostsConfigured(hosts);
        self.membership_event(now, event, out);
        let known = &settings.pools;
        self.homes
            .retain(|pool, _| known.iter().any(|known| known.id == *pool));
        let pools: Vec<PoolId> = self.homes.keys().cloned().collect();
        for pool in pools {
            let mut wanted = Vec::new();
            if let Some(home) = self.homes.get_mut(&pool) {
                home.configure(now, &pool, settings, &mut wanted);
            }
            self.deliver(now, &pool, wanted, out);
        }
        self.place_homes(now, out);
    }
}
