//! Accepts callers' connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::caller_connection;
use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::wire::WireFormat;

/// Pause after each accepted connection while the host is overloaded. Without it a flood of
/// connections, each read and refused, takes processor time from the requests that were admitted.
/// Callers that are not accepted reach another host, since this one is not ready meanwhile.
const OVERLOADED_ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// Accepts connections for as long as the process runs.
pub async fn accept_forever<W: WireFormat, C: Clock>(
    gateway: Rc<Gateway<W, C>>,
    listener: TcpListener,
) {
    loop {
        let stream = gateway.accept(&listener).await;
        spawn_local(serve_counted(gateway.clone(), stream));
        if gateway.loop_lag.borrow().is_overloaded() {
            tokio::time::sleep(OVERLOADED_ACCEPT_PAUSE).await;
        }
    }
}

/// Serves one connection, and counts it while it is open.
///
/// A caller may keep its connection open for the idle timeout. At some hundred new connections a
/// second these use up the process's file descriptors, and callers cannot connect. Above
/// [`GatewaySettings::max_callers`] each response therefore closes its connection.
///
/// [`GatewaySettings::max_callers`]: crate::settings::GatewaySettings::max_callers
async fn serve_counted<W: WireFormat, C: Clock>(gateway: Rc<Gateway<W, C>>, stream: TcpStream) {
    gateway
        .caller_connections
        .set(gateway.caller_connections.get() + 1);
    caller_connection::serve(gateway.clone(), stream).await;
    gateway
        .caller_connections
        .set(gateway.caller_connections.get() - 1);
}
