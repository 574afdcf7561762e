//! Incoming links: receives the messages of other routers and hands them to the core.

use std::sync::mpsc::SyncSender;
use std::time::Duration;

use futures_util::StreamExt;
use metrics::counter;
use sedgeridge_protocol::peer::decode;
use sedgeridge_protocol::peer::decode_hello;
use sedgeridge_state::ids::Member;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::tungstenite::Message;

use crate::core::CoreInput;
use crate::event_log::LogEvent;
use crate::event_log::log_warn;
use crate::peers::STREAM_OVERHEAD_BYTES;
use crate::peers::count_message;
use crate::peers::websocket_config;

/// Longest time for a peer to identify itself.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without any frame after which a link is closed: its sender pings more often, so it has stopped or is
/// unreachable.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(16);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links until the runtime ends.
pub async fn accept_links(listener: TcpListener, core: SyncSender<CoreInput>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read_link(stream, core.clone()));
            }
            Err(error) => {
                log_warn(LogEvent::AcceptFailed, format_args!("peer error={error:?}"));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn read_link(stream: TcpStream, core: SyncSender<CoreInput>) {
    let _ = stream.set_nodelay(true);
    let config = Some(websocket_config());
    let Ok(Ok(mut socket)) = timeout(HELLO_TIMEOUT, accept_async_with_config(stream, config)).await
    else {
        return;
    };
    let Some(from) = receive_hello(&mut socket).await else {
        return;
    };
    loop {
        match timeout(SILENCE_TIMEOUT, socket.next()).await {
            Ok(Some(Ok(Message::Binary(bytes)))) => {
                count_message("in", bytes.len() as u64, STREAM_OVERHEAD_BYTES);
                if !deliver(&bytes, &from, &core) {
                    return;
                }
            }
            Ok(Some(Ok(_))) => {}
            Ok(Some(Err(_)) | None) | Err(_) => return,
        }
    }
}

async fn receive_hello(socket: &mut WebSocketStream<TcpStream>) -> Option<Member> {
    let first = timeout(HELLO_TIMEOUT, socket.next()).await.ok()??;
    let Ok(Message::Binary(bytes)) = first else {
        return None;
    };
    match decode_hello(&bytes) {
        Ok(member) => Some(member),
        Err(error) => {
            report_refused_message("hello", &error);
            None
        }
    }
}

/// Delivers a message to the core; returns false if the core has ended.
fn deliver(bytes: &[u8], from: &Member, core: &SyncSender<CoreInput>) -> bool {
    match decode(bytes, from) {
        Ok(message) => {
            let from = from.clone();
            core.send(CoreInput::PeerMessage { from, message }).is_ok()
        }
        Err(error) => {
            report_refused_message(from.host.as_str(), &error);
            true
        }
    }
}

fn report_refused_message(from: &str, error: &impl std::fmt::Display) {
    counter!("sedgeridge_peer_drops_total", "reason" => "malformed").increment(1);
    log_warn(
        LogEvent::PeerMessageRefused,
        format_args!("from={from} error={error:?}", error = error.to_string()),
    );
}
