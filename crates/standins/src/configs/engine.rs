//! Settings of the `engine` stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;

use crate::batch::BatchConfig;
use crate::configs::COMMON_OPTIONS;
use crate::configs::CommandLine;
use crate::configs::ENDPOINT_OPTIONS;
use crate::configs::UsageError;
use crate::configs::any_loopback_port;
use crate::configs::check_not_negative;
use crate::configs::check_positive;
use crate::configs::read_option;
use crate::endpoint::EndpointConfig;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Settings shared with plain services.
    pub endpoint: EndpointConfig,
    /// Duration of one step, which yields one token of each running request.
    pub token_ms: f64,
    /// Prefill time of each uncached input token.
    pub prefill_us_per_token: f64,
    /// Capacity of the prefix cache.
    pub prefix_cache_tokens: u64,
    /// Maximum number of waiting requests; further ones are refused before they start.
    pub max_waiting: usize,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            endpoint: EndpointConfig {
                name: "engine".to_owned(),
                slots: 8,
                report_lag_ms: 0,
                ledger_file: None,
            },
            token_ms: 20.0,
            prefill_us_per_token: 100.0,
            prefix_cache_tokens: 20_000,
            max_waiting: 1024,
            checks_fencing: true,
        }
    }
}

impl EngineConfig {
    /// Settings of the batch.
    pub fn batch(&self) -> BatchConfig {
        BatchConfig {
            slots: self.endpoint.slots as usize,
            step: Duration::from_secs_f64(self.token_ms / 1e3),
            prefill_per_token: Duration::from_secs_f64(self.prefill_us_per_token / 1e6),
            cache_tokens: self.prefix_cache_tokens,
        }
    }
}

impl CommandLine for EngineConfig {
    fn help() -> String {
        format!(
            "A model engine that batches continuously.\n\n\
             sedgeridge-standins engine [OPTIONS]\n\n{COMMON_OPTIONS}{ENDPOINT_OPTIONS}\
             \x20 --token-ms X       time of one step [default: 20]\n\
             \x20 --prefill-us-per-token X\n\
             \x20                    time for each uncached input token [default: 100]\n\
             \x20 --prefix-cache-tokens N\n\
             \x20                    size of the prefix cache [default: 20000]\n\
             \x20 --max-waiting N    longest waiting line [default: 1024]\n\
             \x20 --ignore-fencing   obey orders with an old fencing number\n"
        )
    }

    fn read(&mut self, arguments: &mut Arguments) -> Result<(), UsageError> {
        read_option(arguments, "--listen", &mut self.listen)?;
        self.endpoint.read(arguments)?;
        read_option(arguments, "--token-ms", &mut self.token_ms)?;
        let prefill = &mut self.prefill_us_per_token;
        read_option(arguments, "--prefill-us-per-token", prefill)?;
        let cache = &mut self.prefix_cache_tokens;
        read_option(arguments, "--prefix-cache-tokens", cache)?;
        read_option(arguments, "--max-waiting", &mut self.max_waiting)?;
        self.checks_fencing &= !arguments.contains("--ignore-fencing");
        check_positive("--token-ms", self.token_ms)?;
        check_not_negative("--prefill-us-per-token", self.prefill_us_per_token)
    }
}
