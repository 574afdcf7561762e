//! HTTP clients for servers that are named by their IP address.

use std::net::SocketAddr;

use http::Uri;
use ureq::Agent;
use ureq::Error;
use ureq::config::Config;
use ureq::unversioned::resolver::ResolvedSocketAddrs;
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::DefaultConnector;
use ureq::unversioned::transport::NextTimeout;

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
