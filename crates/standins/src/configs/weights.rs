//! Settings of the `weights` stand-in.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::configs::COMMON_OPTIONS;
use crate::configs::CommandLine;
use crate::configs::UsageError;
use crate::configs::above_zero;
use crate::configs::any_port;
use crate::configs::option;

/// Settings of the weight store.
#[derive(Debug, Clone)]
pub struct WeightsConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name in the start line.
    pub name: String,
    /// Size of each file of weights.
    pub size_bytes: u64,
    /// Transfer rate that all downloads share.
    pub bytes_per_s: f64,
}

impl Default for WeightsConfig {
    fn default() -> Self {
        Self {
            listen: any_port(),
            name: "weights".to_owned(),
            size_bytes: 1_000_000,
            bytes_per_s: 10_000_000.0,
        }
    }
}

impl CommandLine for WeightsConfig {
    fn help() -> String {
        format!(
            "The platform's rate-limited weight store.\n\n\
             sedgeridge-standins weights [OPTIONS]\n\n{COMMON_OPTIONS}\
             \x20 --size-bytes N     size of each file of weights [default: 1000000]\n\
             \x20 --bytes-per-s X    rate that all downloads share [default: 10000000]\n"
        )
    }

    fn read(&mut self, arguments: &mut Arguments) -> Result<(), UsageError> {
        option(arguments, "--listen", &mut self.listen)?;
        option(arguments, "--name", &mut self.name)?;
        option(arguments, "--size-bytes", &mut self.size_bytes)?;
        option(arguments, "--bytes-per-s", &mut self.bytes_per_s)?;
        above_zero("--bytes-per-s", self.bytes_per_s)
    }
}
