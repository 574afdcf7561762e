//! Draws a port for connections and datagrams alike.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

/// Ports that are drawn before the want of one is an error. A port that is free for connections is
/// taken for datagrams in about one draw of a hundred beside some hundred processes.
const MOST_DRAWS: u32 = 64;

/// Binds a listener and a datagram socket to the same address. With port 0 both get a port that is
/// free for both.
///
/// The kernel draws a port that is free for connections only. Another process may have it for
/// datagrams; the relay then failed with "address in use", once in some hundred starts.
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
    let mut draws = 1;
    loop {
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => {
                let is_drawn = address.port() == 0 && error.kind() == ErrorKind::AddrInUse;
                if !is_drawn || draws >= MOST_DRAWS {
                    return Err(error);
                }
                draws += 1;
            }
        }
    }
}
