//! A client that asks for one stream, and takes it up once if its connection breaks.

use crate::http::{self, Reader};
use crate::names::name;
use crate::record::Record;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// How one try ended.
#[derive(Debug, Clone, Default)]
pub struct Try {
    /// Status; 0 without an answer.
    pub status: u16,
    pub first_event: Option<u64>,
    pub last_event: Option<u64>,
    pub whole: bool,
}

/// A request for a stream.
#[derive(Debug, Clone)]
pub struct Ask {
    pub id: String,
    pub events: u64,
    /// The last event that the client has, and the id of the try that brought its first.
    pub goes_on: Option<(u64, String)>,
    pub deadline_ms: u64,
    /// The shared parts of its prompt. Its own part follows.
    pub shared: String,
}

impl Ask {
    /// The parts of the prompt; the last one is the request's own.
    fn parts(&self) -> String {
        let own = self.id.bytes().fold(7_u64, |hash, byte| hash.wrapping_mul(31) + u64::from(byte));
        format!("{},{own:x}:310", self.shared)
    }
}

pub fn ask(front: SocketAddr, ask: &Ask, record: &Record) -> Try {
    let mut result = Try::default();
    let from = ask.goes_on.as_ref();
    let from = from.map_or(String::new(), |(last, began)| format!(" after event {last} of {began}"));
    record.note(format!("client sends {}{from} to {front}", ask.id));
    let ended = exchange(front, ask, &mut result);
    record.note(match (&ended, result.status) {
        (Ok(()), 200) => format!("client has {} whole, up to {:?}", ask.id, result.last_event),
        (Ok(()), status) => format!("client gets {status} for {}", ask.id),
        (Err(why), status) => {
            let last = result.last_event;
            format!("client's connection for {} ends: {why}; status {status}, last event {last:?}", ask.id)
        }
    });
    result
}

fn exchange(front: SocketAddr, ask: &Ask, result: &mut Try) -> std::io::Result<()> {
    let mut stream = http::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_millis(ask.deadline_ms)))?;
    let mut head = format!(
        "POST /summary/visit HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\n{}: {}\r\n{}: m0\r\n\
         {}: 1460,{}\r\n{}: {}\r\nContent-Length: {}\r\n",
        name("id"),
        ask.id,
        name("deadline"),
        ask.deadline_ms,
        name("model"),
        name("tokens"),
        ask.events * 2,
        name("parts"),
        ask.parts(),
        ask.id.len(),
    );
    if let Some((last, began)) = &ask.goes_on {
        head += &format!("{}: {last}\r\n", name("last"));
        // Without it, the entry can't know where the stream began.
        if std::env::var_os("UNNAMED").is_none() {
            head += &format!("{}: {began}\r\n", name("resumes"));
        }
    }
    stream.write_all(format!("{head}\r\n{}", ask.id).as_bytes())?;
    let mut reader = Reader::new(stream);
    let answer = http::read_head(&mut reader)?;
    result.status = answer.status();
    if result.status != 200 {
        return Ok(());
    }
    let mut text = String::new();
    loop {
        let chunk = http::read_chunk(&mut reader)?;
        if chunk.is_empty() {
            result.whole = true;
            return Ok(());
        }
        text += &String::from_utf8_lossy(&chunk);
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            let number = event.lines().find_map(|line| line.strip_prefix("id:"));
            let number = number.and_then(|text| text.trim().parse().ok());
            result.first_event = result.first_event.or(number);
            result.last_event = number.or(result.last_event);
        }
    }
}
