//! Clients: send one request and read its answer at a given pace.

use std::ffi::c_int;
use std::ffi::c_void;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::mem::size_of;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::os::fd::FromRawFd;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::HOST_NAME;
use crate::fleet::LOOKUP_PREFIX;
use crate::http;

/// How a client is connected, and how fast it takes an answer.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Bytes per second that it reads at first; `None` for all that arrive.
    pub bytes_per_s: Option<usize>,
    /// Time after which it reads all that arrives.
    pub slow_for: Duration,
    /// Receive buffer.
    pub receive_buffer: c_int,
    /// Maximum segment size that it announces, as on an Ethernet link. The loopback device has 64 KB.
    pub segment_bytes: c_int,
}

pub const SLOW_BUFFER: c_int = 8 * 1024;
pub const ETHERNET_SEGMENT: c_int = 1_400;

/// How an answer ended, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// With its last chunk.
    Complete,
    /// With the connection, before its last chunk.
    Cut(String),
    /// Not at all before the client's time was over.
    TimedOut,
}

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub attempt: String,
    pub status: u16,
    pub has_stamp: bool,
    /// Ids of the events, in the order of arrival.
    pub events: Vec<u64>,
    pub body_bytes: usize,
    pub end: End,
    pub took: Duration,
}

impl Answer {
    pub fn last_event(&self) -> u64 {
        self.events.last().copied().unwrap_or(0)
    }

    /// Tells whether the events are 1, 2, 3 and so on.
    pub fn is_gapless(&self) -> bool {
        self.events
            .iter()
            .zip(1..)
            .all(|(event, expected)| *event == expected)
    }
}

/// Sends a request for a stream and reads the answer.
pub fn fetch_stream(
    address: SocketAddrV4,
    request: &str,
    attempt: &str,
    time_left: Duration,
    pace: Pace,
) -> Answer {
    let started_at = Instant::now();
    let mut bytes = Vec::new();
    let end = match connect(address, pace) {
        Ok(stream) => read_paced(stream, request, &mut bytes, started_at + time_left, pace),
        Err(error) => End::Cut(format!("no connection: {error}")),
    };
    let head_end = find(&bytes, b"\r\n\r\n").map_or(bytes.len(), |at| at + 4);
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let is_chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let (body, has_last_chunk) = match is_chunked {
        true => decode_chunks(&bytes[head_end..]),
        false => (bytes[head_end..].to_vec(), false),
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    // An event counts once its closing blank line is there.
    let events = text
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"));
    let ids = events.filter_map(|event| event.lines().next()?.strip_prefix("id: ")?.parse().ok());
    Answer {
        attempt: attempt.to_owned(),
        status,
        has_stamp: head.to_ascii_lowercase().contains("x-server-stamp:"),
        events: ids.collect(),
        body_bytes: body.len(),
        end: match has_last_chunk {
            true => End::Complete,
            false => end,
        },
        took: started_at.elapsed(),
    }
}

/// Reads until the last chunk, the end of the connection, or the deadline.
fn read_paced(
    mut stream: TcpStream,
    request: &str,
    bytes: &mut Vec<u8>,
    ends_at: Instant,
    pace: Pace,
) -> End {
    const STEP: Duration = Duration::from_millis(50);
    const FULL_STEP: usize = 1 << 16;
    const RETRIED: [ErrorKind; 3] = [
        ErrorKind::WouldBlock,
        ErrorKind::TimedOut,
        ErrorKind::Interrupted,
    ];
    let _ = stream.set_read_timeout(Some(STEP));
    if let Err(error) = stream.write_all(request.as_bytes()) {
        return End::Cut(error.to_string());
    }
    let step_bytes = pace
        .bytes_per_s
        .map_or(FULL_STEP, |rate| rate * STEP.as_millis() as usize / 1_000);
    let mut buffer = vec![0; FULL_STEP];
    let started_at = Instant::now();
    let mut next_read_at = started_at;
    while Instant::now() < ends_at {
        let is_slow = pace.bytes_per_s.is_some() && started_at.elapsed() < pace.slow_for;
        let limit = if is_slow { step_bytes } else { FULL_STEP };
        match stream.read(&mut buffer[..limit]) {
            Ok(0) => return End::Cut("closed".to_owned()),
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(error) if RETRIED.contains(&error.kind()) => {}
            Err(error) => return End::Cut(error.to_string()),
        }
        if bytes.ends_with(b"\r\n0\r\n\r\n") {
            return End::Complete;
        }
        if is_slow {
            next_read_at += STEP;
            thread::sleep(next_read_at.saturating_duration_since(Instant::now()));
        }
    }
    End::TimedOut
}

/// Sends requests on one connection without waiting for answers. Returns the statuses of the answers, which have a length.
pub fn pipeline(address: SocketAddrV4, requests: &[u8], expected: usize, pace: Pace) -> Vec<u16> {
    const IDLE_LIMIT: Duration = Duration::from_secs(5);
    let Ok(stream) = connect(address, pace) else {
        return Vec::new();
    };
    let _ = stream.set_read_timeout(Some(IDLE_LIMIT));
    let Ok(mut writer) = stream.try_clone() else {
        return Vec::new();
    };
    let mut statuses = Vec::new();
    thread::scope(|scope| {
        // The router may close the connection before it has read all.
        scope.spawn(move || writer.write_all(requests));
        let mut reader = BufReader::new(&stream);
        while statuses.len() < expected {
            let Some((first, headers)) = http::read_head(&mut reader) else {
                break;
            };
            let length = headers
                .iter()
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
            let length = length
                .and_then(|(_, value)| value.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                break;
            }
            statuses.extend(
                first
                    .split(' ')
                    .nth(1)
                    .and_then(|it| it.parse::<u16>().ok()),
            );
        }
        // Ends the writer if it still waits for room.
        let _ = stream.shutdown(Shutdown::Both);
    });
    statuses
}

/// Tells the clients of [`repeat_on_kept`] to stop.
pub static STOP: AtomicBool = AtomicBool::new(false);

/// What a client got that sends one request after the other on a kept connection.
pub struct KeptAnswers {
    pub answered: usize,
    /// Attempt of a request that was sent on the kept connection and got no byte of an answer.
    pub unanswered: Option<String>,
}

/// Sends requests one after the other on one connection, until it is told to stop or the connection ends.
pub fn repeat_on_kept(address: SocketAddrV4, first_attempt: usize) -> KeptAnswers {
    const PAUSE: Duration = Duration::from_millis(10);
    let mut kept = KeptAnswers {
        answered: 0,
        unanswered: None,
    };
    let Ok(mut stream) = TcpStream::connect(address) else {
        return kept;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let Ok(reader) = stream.try_clone() else {
        return kept;
    };
    let mut reader = BufReader::new(reader);
    for number in 0.. {
        if STOP.load(Ordering::SeqCst) {
            break;
        }
        let attempt = format!("{:016x}", first_attempt + number);
        let request = format!(
            "GET {LOOKUP_PREFIX}{number} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 5000\r\n\r\n"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            break;
        }
        let is_first = number == 0;
        match reader.fill_buf() {
            Ok(bytes) if !bytes.is_empty() => {}
            _ => {
                kept.unanswered = Some(attempt).filter(|_| !is_first);
                break;
            }
        }
        let Some((_, headers)) = http::read_head(&mut reader) else {
            break;
        };
        let length = headers
            .iter()
            .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let length = length
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or(0);
        if reader.read_exact(&mut vec![0; length]).is_err() {
            break;
        }
        kept.answered += 1;
        thread::sleep(PAUSE);
    }
    kept
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Returns the decoded body, and whether the last chunk was there.
fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(line_end) = find(bytes, b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&bytes[..line_end]).ok();
        let Some(size) = size.and_then(|it| usize::from_str_radix(it.trim(), 16).ok()) else {
            return (body, false);
        };
        bytes = &bytes[line_end + 2..];
        if size == 0 {
            return (body, bytes.starts_with(b"\r\n"));
        }
        if bytes.len() < size + 2 {
            body.extend_from_slice(&bytes[..bytes.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&bytes[..size]);
        bytes = &bytes[size + 2..];
    }
}

#[repr(C)]
struct RawAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
    #[link_name = "connect"]
    fn os_connect(socket: c_int, address: *const RawAddress, length: u32) -> c_int;
}

const AF_INET: c_int = 2;
const SOCK_STREAM_CLOEXEC: c_int = 1 | 0o2_000_000;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;

/// Connects with the options of a link, which have to be set before.
fn connect(address: SocketAddrV4, pace: Pace) -> std::io::Result<TcpStream> {
    fn check(result: c_int) -> std::io::Result<c_int> {
        match result < 0 {
            true => Err(std::io::Error::last_os_error()),
            false => Ok(result),
        }
    }
    fn set(socket: c_int, level: c_int, name: c_int, value: c_int) -> std::io::Result<c_int> {
        let value: *const c_int = &value;
        // SAFETY: the value lives until the call returns, and its size is given.
        check(unsafe { setsockopt(socket, level, name, value.cast(), size_of::<c_int>() as u32) })
    }
    // SAFETY: the call takes plain numbers. The descriptor is owned by the stream from then on.
    let descriptor = check(unsafe { socket(AF_INET, SOCK_STREAM_CLOEXEC, 0) })?;
    let stream = unsafe { TcpStream::from_raw_fd(descriptor) };
    set(descriptor, SOL_SOCKET, SO_RCVBUF, pace.receive_buffer)?;
    set(descriptor, IPPROTO_TCP, TCP_MAXSEG, pace.segment_bytes)?;
    let ip: Ipv4Addr = *address.ip();
    let raw = RawAddress {
        family: AF_INET as u16,
        port: address.port().to_be(),
        address: u32::from(ip).to_be(),
        zero: [0; 8],
    };
    // SAFETY: the address lives until the call returns, and its size is given.
    check(unsafe { os_connect(descriptor, &raw, size_of::<RawAddress>() as u32) })?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
