//! Settings of the `hosts` stand-in.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::configs::COMMON_OPTIONS;
use crate::configs::CommandLine;
use crate::configs::UsageError;
use crate::configs::any_loopback_port;
use crate::configs::read_option;

/// Settings of the host list.
#[derive(Debug, Clone)]
pub struct HostsConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name in the start line.
    pub name: String,
    /// Age of the list that is served.
    pub lag_ms: u64,
}

impl Default for HostsConfig {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            name: "hosts".to_owned(),
            lag_ms: 0,
        }
    }
}

impl CommandLine for HostsConfig {
    fn help() -> String {
        format!(
            "The platform's lagging list of live and leaving hosts.\n\n\
             sedgeridge-standins hosts [OPTIONS]\n\n{COMMON_OPTIONS}\
             \x20 --lag-ms N         lag of the list [default: 0]\n"
        )
    }

    fn read(&mut self, arguments: &mut Arguments) -> Result<(), UsageError> {
        read_option(arguments, "--listen", &mut self.listen)?;
        read_option(arguments, "--name", &mut self.name)?;
        read_option(arguments, "--lag-ms", &mut self.lag_ms)
    }
}
