//! Settings of the `weights` stand-in.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::configs::COMMON_OPTIONS;
use crate::configs::CommandLine;
use crate::configs::UsageError;
use crate::configs::any_loopback_port;
use crate::configs::check_positive;
use crate::configs::read_option;

/// Settings of the weight store.
#[derive(Debug, Clone)]
pub struct WeightsConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name in the start line.
    pub name: String,
    /// Size of each weight file.
    pub size_bytes: u64,
    /// Transfer rate that all downloads share.
    pub bytes_per_s: f64,
}

impl Default for WeightsConfig {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
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
        read_option(arguments, "--listen", &mut self.listen)?;
        read_option(arguments, "--name", &mut self.name)?;
        read_option(arguments, "--size-bytes", &mut self.size_bytes)?;
        read_option(arguments, "--bytes-per-s", &mut self.bytes_per_s)?;
        check_positive("--bytes-per-s", self.bytes_per_s)
    }
}
