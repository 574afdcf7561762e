//! Settings of the stand-ins for the platform's services.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::configs::COMMON_OPTIONS;
use crate::configs::CommandLine;
use crate::configs::UsageError;
use crate::configs::above_zero;
use crate::configs::any_port;
use crate::configs::option;

/// Writes that the platform's services take each second.
const WRITES_PER_S: f64 = 400.0;
/// Reads that the platform's services take each second.
const READS_PER_S: f64 = 2000.0;

/// Settings of the table service and of the object store.
#[derive(Debug, Clone)]
pub struct TableConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name in the start line.
    pub name: String,
    /// Transactions or uploads taken each second.
    pub writes_per_s: f64,
    /// Reads taken each second.
    pub reads_per_s: f64,
}

impl Default for TableConfig {
    fn default() -> Self {
        Self {
            listen: any_port(),
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
        option(arguments, "--listen", &mut self.listen)?;
        option(arguments, "--name", &mut self.name)?;
        option(arguments, "--writes-per-s", &mut self.writes_per_s)?;
        option(arguments, "--reads-per-s", &mut self.reads_per_s)?;
        above_zero("--writes-per-s", self.writes_per_s)?;
        above_zero("--reads-per-s", self.reads_per_s)
    }
}
