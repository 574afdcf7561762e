//! HTTP clients for servers that are named by their IP address.

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

/// Bytes of each of the two buffers of a connection. The library's own have 128 KiB, written from the
/// first use and kept as long as the connection: 64 kept connections that had carried two bytes each
/// took 280 KB of resident memory each, and take 30 KB. Longer bodies pass through in more reads and
/// writes.
const CONNECTION_BUFFER_BYTES: usize = 16 << 10;

/// Begins the settings of a client whose connections hold little memory.
pub(crate) fn address_config() -> ConfigBuilder<AgentScope> {
    Agent::config_builder()
        .input_buffer_size(CONNECTION_BUFFER_BYTES)
        .output_buffer_size(CONNECTION_BUFFER_BYTES)
        .max_response_header_size(CONNECTION_BUFFER_BYTES)
}

/// Creates a client that takes addresses such as `127.0.0.1:80` and looks up no names.
pub(crate) fn address_agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), AddressResolver)
}

/// Reads addresses without a look-up.
///
/// The library's own resolver starts a thread for each request that has a timeout, also when the
/// name is an address and the connection is kept: a router would start thousands a second.
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
