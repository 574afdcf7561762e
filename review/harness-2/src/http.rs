//! HTTP/1.1 for stand-ins: requests with a length or in chunks, answers with a length or in chunks.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request as a server reads it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a decoded field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let mut fields = fields.filter(|(key, _)| *key == name);
        fields.next().map(|(_, value)| percent_decoded(value))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.last() != Some(&b'\n') {
        return None;
    }
    let text = String::from_utf8_lossy(&line);
    Some(text.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    }
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

/// Reads a chunk. The inner value is `None` at the end of the body.
fn read_chunk(reader: &mut impl BufRead) -> Option<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let length = line.split(';').next().unwrap_or_default();
    let length = usize::from_str_radix(length.trim(), 16).ok()?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk).ok()?;
    read_line(reader)?;
    Some((length > 0).then_some(chunk))
}

/// Writes a whole answer.
pub fn write_answer(
    stream: &mut impl Write,
    status: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Writes a chunk.
pub fn write_chunk(stream: &mut impl Write, bytes: &[u8]) -> std::io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend(bytes);
    chunk.extend(b"\r\n");
    stream.write_all(&chunk)
}

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// As its head or its chunks say.
    Complete,
    /// The connection ended or was reset before.
    Cut,
    /// Nothing arrived for too long.
    Silent,
}

/// An answer as a caller reads it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A caller's connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects. Reads end after `read_timeout` without a byte.
    pub fn open(address: SocketAddr, read_timeout: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Self::of(stream, read_timeout)
    }

    /// Wraps a connected socket.
    pub fn of(stream: TcpStream, read_timeout: Duration) -> std::io::Result<Self> {
        stream.set_read_timeout(Some(read_timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::with_capacity(1_024, stream),
        })
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads an answer. `before_read` is called before each chunk of a body.
    pub fn read_answer(&mut self, mut before_read: impl FnMut(usize)) -> Answer {
        let mut answer = Answer {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
            end: End::Cut,
        };
        let Some(line) = read_line(&mut self.reader) else {
            return answer;
        };
        let status = line.split(' ').nth(1);
        answer.status = status.and_then(|it| it.parse().ok()).unwrap_or_default();
        let Some(headers) = read_headers(&mut self.reader) else {
            return answer;
        };
        answer.headers = headers;
        if answer.header("transfer-encoding").is_some() {
            loop {
                before_read(answer.body.len());
                match read_chunk(&mut self.reader) {
                    Some(Some(chunk)) => answer.body.extend(chunk),
                    Some(None) => break answer.end = End::Complete,
                    None => break,
                }
            }
        } else {
            let length = answer
                .header("content-length")
                .and_then(|it| it.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            if self.reader.read_exact(&mut body).is_ok() {
                answer.end = End::Complete;
                answer.body = body;
            }
        }
        answer
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn fetch(address: SocketAddr, request: &[u8], read_timeout: Duration) -> Option<Answer> {
    let mut connection = Connection::open(address, read_timeout).ok()?;
    connection.send(request).ok()?;
    Some(connection.read_answer(|_| {}))
}
