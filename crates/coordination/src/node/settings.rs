//! Puts accepted configurations in force.

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
    /// Returns the generation of the configuration in force, or 0 for the files given at the start.
    pub(super) fn config_generation(&self) -> u64 {
        let current = self.config.as_ref().and_then(NodeConfig::generation);
        current.map_or(0, |generation| generation.0)
    }

    pub(super) fn update_config(
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
                    self.apply_settings(now, &settings, out);
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
                    self.handle_membership_event(now, event, out);
                }
                ConfigStep::Ready => out.actions.push(NodeAction::Ready),
            }
        }
    }

    /// Puts settings in force without affecting waiting and running requests.
    pub(super) fn apply_settings(&mut self, now: Duration, settings: &Settings, out: &mut Outbox) {
        self.settings = settings.clone();
        self.report_schedule.configure(
            millis(settings.fair.batch_interval_ms),
            millis(settings.fair.report_interval_ms),
        );
        self.entry.configure(now, settings);
        let hosts = settings.hosts.iter().map(|host| host.id.clone()).collect();
        let event = MembershipEvent::HostsConfigured(hosts);
        self.handle_membership_event(now, event, out);
        let configured_pools = &settings.pools;
        self.homes
            .retain(|id, _| configured_pools.iter().any(|pool| pool.id == *id));
        let pools: Vec<PoolId> = self.homes.keys().cloned().collect();
        for pool in pools {
            let mut home_actions = Vec::new();
            if let Some(home) = self.homes.get_mut(&pool) {
                home.configure(now, &pool, settings, &mut home_actions);
            }
            self.deliver_home_actions(now, &pool, home_actions, out);
        }
        self.place_homes(now, out);
    }
}
