//! Settings of the `plain` stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;

use crate::configs::COMMON_OPTIONS;
use crate::configs::CommandLine;
use crate::configs::ENDPOINT_OPTIONS;
use crate::configs::UsageError;
use crate::configs::any_loopback_port;
use crate::configs::check_not_negative;
use crate::configs::read_option;
use crate::endpoint::EndpointConfig;

/// Settings of a plain service.
#[derive(Debug, Clone)]
pub struct PlainConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Settings shared with engines.
    pub endpoint: EndpointConfig,
    /// Time for which each request occupies its slot.
    pub service_ms: f64,
    /// Maximum number of waiting requests; further ones are refused before they start.
    pub max_waiting: usize,
}

impl Default for PlainConfig {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            endpoint: EndpointConfig {
                name: "plain".to_owned(),
                slots: 8,
                report_lag_ms: 0,
                ledger_file: None,
            },
            service_ms: 20.0,
            max_waiting: 1024,
        }
    }
}

impl PlainConfig {
    /// Time for which each request occupies its slot.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_ms / 1e3)
    }
}

impl CommandLine for PlainConfig {
    fn help() -> String {
        format!(
            "A plain HTTP service.\n\n\
             sedgeridge-standins plain [OPTIONS]\n\n{COMMON_OPTIONS}{ENDPOINT_OPTIONS}\
             \x20 --service-ms X     time that each request takes on its slot [default: 20]\n\
             \x20 --max-waiting N    longest waiting line [default: 1024]\n"
        )
    }

    fn read(&mut self, arguments: &mut Arguments) -> Result<(), UsageError> {
        read_option(arguments, "--listen", &mut self.listen)?;
        self.endpoint.read(arguments)?;
        read_option(arguments, "--service-ms", &mut self.service_ms)?;
        read_option(arguments, "--max-waiting", &mut self.max_waiting)?;
        check_not_negative("--service-ms", self.service_ms)
    }
}
