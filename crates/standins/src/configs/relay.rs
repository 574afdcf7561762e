//! Settings of the `relay` stand-in.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::configs::COMMON_OPTIONS;
use crate::configs::CommandLine;
use crate::configs::UsageError;
use crate::configs::any_loopback_port;
use crate::configs::check_not_negative;
use crate::configs::read_option;

/// Settings of a relay.
#[derive(Debug, Clone)]
pub struct RelayConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name in the start line.
    pub name: String,
    /// Address that connections and datagrams are forwarded to; required.
    pub to: Option<SocketAddr>,
    /// Address of the server that accepts orders on `/control`.
    pub control: SocketAddr,
    /// One-way delay of each byte.
    pub delay_ms: f64,
}

impl Default for RelayConfig {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            name: "relay".to_owned(),
            to: None,
            control: any_loopback_port(),
            delay_ms: 0.0,
        }
    }
}

impl CommandLine for RelayConfig {
    fn help() -> String {
        format!(
            "A relay of connections and datagrams that stands for a network link.\n\n\
             sedgeridge-standins relay --to IP:PORT [OPTIONS]\n\n{COMMON_OPTIONS}\
             \x20 --to IP:PORT       where connections and datagrams lead to\n\
             \x20 --control IP:PORT  address that takes orders [default: 127.0.0.1:0]\n\
             \x20 --delay-ms X       delay of each byte, one way [default: 0]\n"
        )
    }

    fn read(&mut self, arguments: &mut Arguments) -> Result<(), UsageError> {
        read_option(arguments, "--listen", &mut self.listen)?;
        read_option(arguments, "--name", &mut self.name)?;
        let mut to = self.to.unwrap_or_else(any_loopback_port);
        read_option(arguments, "--to", &mut to)?;
        self.to = (to.port() != 0).then_some(to);
        read_option(arguments, "--control", &mut self.control)?;
        read_option(arguments, "--delay-ms", &mut self.delay_ms)?;
        if self.to.is_none() {
            return Err(UsageError::Missing("--to IP:PORT"));
        }
        check_not_negative("--delay-ms", self.delay_ms)
    }
}
