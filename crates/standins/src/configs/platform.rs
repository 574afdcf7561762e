//! Settings of the stand-ins for the platform's services.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::configs::COMMON_OPTIONS;
use crate::configs::CommandLine;
use crate::configs::UsageError;
use crate::configs::any_loopback_port;
use crate::configs::check_positive;
use crate::configs::read_option;

/// Default write limit, that of the platform's services.
const WRITES_PER_S: f64 = 400.0;
/// Default read limit, that of the platform's services.
const READS_PER_S: f64 = 2000.0;

/// Settings of the table service and of the object store.
#[derive(Debug, Clone)]
pub struct TableConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name in the start line.
    pub name: String,
    /// Limit of transactions or uploads each second.
    pub writes_per_s: f64,
    /// Limit of reads each second.
    pub reads_per_s: f64,
}

impl Default for TableConfig {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            name: "platform".to_owned(),
            writes_per_s: WRITES_PER_S,
            reads_per_s: READS_PER_S,
        }
    }
}

impl CommandLine for TableConfig {
    fn help() -> String {
        format!(
            "The platform's table service (`table`) or object store (`objects`), in memory.\n\n\
             sedgeridge-standins table|objects [OPTIONS]\n\n{COMMON_OPTIONS}\
             \x20 --writes-per-s X   transactions or uploads taken each second [default: 400]\n\
             \x20 --reads-per-s X    reads taken each second [default: 2000]\n"
        )
    }

    fn read(&mut self, arguments: &mut Arguments) -> Result<(), UsageError> {
        read_option(arguments, "--listen", &mut self.listen)?;
        read_option(arguments, "--name", &mut self.name)?;
        read_option(arguments, "--writes-per-s", &mut self.writes_per_s)?;
        read_option(arguments, "--reads-per-s", &mut self.reads_per_s)?;
        check_positive("--writes-per-s", self.writes_per_s)?;
        check_positive("--reads-per-s", self.reads_per_s)
    }
}
