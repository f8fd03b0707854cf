//! Reads and writes HTTP/1.1 on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or the head of a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

pub type Reader = BufReader<TcpStream>;

fn line(reader: &mut Reader) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the head of a message.
pub fn read_head(reader: &mut Reader) -> io::Result<Message> {
    let mut message = Message { first: line(reader)?, ..Message::default() };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a message with a length, or without a body.
pub fn read_message(reader: &mut Reader) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(message)
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut Reader) -> io::Result<Vec<u8>> {
    let size = line(reader)?;
    let size = usize::from_str_radix(size.trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut bytes = vec![0; size];
    reader.read_exact(&mut bytes)?;
    line(reader)?;
    Ok(bytes)
}

pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

pub fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes())
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Whether the other end has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let restored = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0 || restored.is_err(),
        Err(error) => error.kind() != io::ErrorKind::WouldBlock || restored.is_err(),
    }
}
