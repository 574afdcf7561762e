//! Just enough HTTP/1.1 for the stand-ins: reads requests, writes whole answers, and makes short calls.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request that was read completely.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let field = query.split('&').filter_map(|field| field.split_once('='));
        let value = field.into_iter().find(|(key, _)| *key == name)?.1;
        Some(percent_decoded(value))
    }
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: String = rest.by_ref().take(2).map(char::from).collect();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let mut request = Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Reads the first line and the header fields.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Makes a call on a new connection. Returns status and body.
pub fn call(address: SocketAddr, method: &str, target: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let mut body = vec![
        0;
        length
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or(0)
    ];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns a hash of a body (FNV-1a).
pub fn hash(body: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    body.iter().fold(0xcbf2_9ce4_8422_2325, step)
}
