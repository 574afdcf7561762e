//! HTTP clients for servers that are addressed by IP address and port.

use std::net::SocketAddr;

use http::Uri;
use ureq::Agent;
use ureq::Error;
use ureq::config::Config;
use ureq::config::ConfigBuilder;
use ureq::typestate::AgentScope;
use ureq::unversioned::resolver::ResolvedSocketAddrs;
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::DefaultConnector;
use ureq::unversioned::transport::NextTimeout;

/// Size of each of the two buffers of a connection. The library's default is 128 KiB, which is written to at the
/// first use and kept as long as the connection. With the default, each of 64 idle connections that had carried
/// two bytes took 280 KB of resident memory; with this size it takes 30 KB. Longer bodies need more reads and
/// writes.
const CONNECTION_BUFFER_BYTES: usize = 16 << 10;

/// Returns the configuration of a client whose connections use little memory.
pub(crate) fn address_config() -> ConfigBuilder<AgentScope> {
    Agent::config_builder()
        .input_buffer_size(CONNECTION_BUFFER_BYTES)
        .output_buffer_size(CONNECTION_BUFFER_BYTES)
        .max_response_header_size(CONNECTION_BUFFER_BYTES)
}

/// Creates a client that connects to addresses such as `127.0.0.1:80` and resolves no names.
pub(crate) fn address_agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), AddressResolver)
}

/// Parses addresses without a name lookup.
///
/// The library's own resolver starts a thread for each request with a timeout, even if the name is an
/// address and the connection is reused: a router would start thousands of threads a second.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().ok_or(Error::HostNotFound)?;
        let address: SocketAddr = authority
            .as_str()
            .parse()
            .map_err(|_| Error::HostNotFound)?;
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
