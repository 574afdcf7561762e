//! Accepts callers' connections.

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::caller_connection;
use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::wire::WireFormat;

/// Connections accepted in one turn of the event loop while the host is overloaded. Without a limit
/// a flood of connections, each read and refused, takes processor time from the requests that were
/// admitted; a pause by a timer would last as long as timers are late, and leave callers without a
/// connection.
const OVERLOADED_ACCEPTS_PER_TURN: u32 = 16;

/// Accepts connections for as long as the process runs.
pub async fn accept_forever<W: WireFormat, C: Clock>(
    gateway: Rc<Gateway<W, C>>,
    listener: TcpListener,
) {
    let mut accepted = 0;
    loop {
        let stream = gateway.accept(&listener).await;
        spawn_local(serve_counted(gateway.clone(), stream));
        accepted += 1;
        if accepted >= OVERLOADED_ACCEPTS_PER_TURN && gateway.host_load.borrow().is_overloaded() {
            accepted = 0;
            tokio::task::yield_now().await;
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
