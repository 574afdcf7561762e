//! Binds one port for both connections and datagrams.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

/// Maximum number of ports tried. With some hundred other processes, about one in a hundred ports
/// that are free for connections is taken for datagrams.
const MAX_BIND_ATTEMPTS: u32 = 64;

/// Binds a listener and a datagram socket to the same address. With port 0 both get a port that is
/// free for both.
///
/// For port 0 the kernel picks a port that is free for connections only. Another process may use it
/// for datagrams. Without further attempts the relay failed with "address in use", once in some
/// hundred starts.
///
/// # Errors
///
/// The port is taken, or none was free for both.
///
/// ```
/// let (listener, socket) = sedgeridge_standins::shared_port::bind(([127, 0, 0, 1], 0).into())?;
/// assert_eq!(listener.local_addr()?, socket.local_addr()?);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = 1;
    loop {
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => {
                let is_kernel_pick = address.port() == 0 && error.kind() == ErrorKind::AddrInUse;
                if !is_kernel_pick || attempts >= MAX_BIND_ATTEMPTS {
                    return Err(error);
                }
                attempts += 1;
            }
        }
    }
}
