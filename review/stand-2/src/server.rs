//! A model server. It writes streams of events and logs each run.

use crate::http::{self, Message, Reader};
use crate::names::{self, fill, name};
use crate::record::Record;
use crate::store::field;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time to read a prompt.
const PREFILL_MS: u64 = 20;

/// One run of a request. Times are those of the record.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: String,
    pub request: String,
    pub after: u64,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
}

#[derive(Debug, Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub version: String,
    zone: String,
    record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Time for an event, in milliseconds.
    pub pace_ms: u64,
    /// How many times as long the server takes.
    pub slowness: Arc<AtomicU64>,
    orders: Arc<AtomicU64>,
    holds_model: bool,
    /// A part of prompts on which the server crashes.
    pub bad_part: Arc<Mutex<Option<String>>>,
    /// Open connections, and whether the server has crashed.
    open: Arc<Mutex<(Vec<TcpStream>, bool)>>,
}

impl Server {
    pub fn start(
        ip: IpAddr,
        (id, zone, version): (&str, &str, &str),
        pace_ms: u64,
        holds_model: bool,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            version: version.to_owned(),
            zone: zone.to_owned(),
            record: record.clone(),
            runs: Arc::default(),
            pace_ms,
            slowness: Arc::new(AtomicU64::new(1)),
            orders: Arc::default(),
            holds_model,
            bad_part: Arc::default(),
            open: Arc::default(),
        };
        let serving = server.clone();
        listener.set_nonblocking(true)?;
        std::thread::spawn(move || serving.accept(&listener));
        Ok(server)
    }

    /// Accepts connections until the server crashes, which closes the listener.
    fn accept(&self, listener: &TcpListener) {
        while !self.has_crashed() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            let kept = stream.set_nonblocking(false).and_then(|()| stream.try_clone());
            if let Ok(kept) = kept {
                self.open.lock().expect("no holder panics").0.push(kept);
                let server = self.clone();
                std::thread::spawn(move || server.connection(stream));
            }
        }
    }

    pub fn has_crashed(&self) -> bool {
        self.open.lock().expect("no holder panics").1
    }

    /// Ends the server: it accepts nothing, and its connections end.
    fn crash(&self) {
        self.open.lock().expect("no holder panics").1 = true;
        std::thread::sleep(Duration::from_millis(10));
        let connections = std::mem::take(&mut self.open.lock().expect("no holder panics").0);
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Whether the prompt has the part on which the server crashes.
    fn is_bad(&self, request: &Message) -> bool {
        let bad_part = self.bad_part.lock().expect("no holder panics").clone();
        let parts = request.header(name("parts")).unwrap_or_default();
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        bad_part.is_some_and(|bad| ids.any(|id| id == bad))
    }

    /// What the server writes of itself into the store.
    pub fn entry(&self) -> String {
        let values = [
            ("ADDRESS", &*self.address.to_string()),
            ("ZONE", &*self.zone),
            ("VERSION", &*self.version),
            ("MODELS", self.models()),
            ("SEQUENCE", "4"),
        ];
        fill(names::SERVER, &values)
    }

    fn models(&self) -> &'static str {
        if self.holds_model { names::MODEL } else { "" }
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(request) = http::read_message(&mut reader) {
            let answered = match request.word(1) {
                "/report" => self.report(&mut out),
                "/order" => self.order(&mut out, &request),
                "/healthz" => http::respond(&mut out, "200 OK", &self.instance(), ""),
                _ => self.stream(&mut out, &request),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn instance(&self) -> String {
        format!("{}: {}\r\n", name("instance"), self.id)
    }

    fn report(&self, out: &mut TcpStream) -> std::io::Result<()> {
        let sequence = self.orders.load(Ordering::Relaxed).to_string();
        let values = [("MODELS", self.models()), ("SEQUENCE", &*sequence), ("RUNNING", "0")];
        let headers = "Content-Type: application/json\r\n";
        http::respond(out, "200 OK", headers, &fill(names::REPORT, &values))
    }

    /// No order fits: each server holds all that it has room for, or nothing is asked of it.
    fn order(&self, out: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let operation = field(&text, "operation").unwrap_or_default();
        self.record.note(format!("server {} refuses the order {operation}", self.id));
        http::respond(out, "400 Bad Request", "", "")
    }

    fn stream(&self, out: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let id = request.header(name("id")).unwrap_or_default().to_owned();
        if request.header(name("target")) != Some(self.id.as_str()) {
            return http::respond(out, "421 Misdirected Request", &self.instance(), "");
        }
        if !self.holds_model {
            let headers = format!("{}: 1\r\n{}: {id}\r\n", name("not_run"), name("id"));
            return http::respond(out, "421 Misdirected Request", &headers, "");
        }
        let number = |text: Option<&str>| text.and_then(|text| text.parse::<u64>().ok());
        let after = number(request.header(name("last"))).unwrap_or(0);
        let tokens = request.header(name("tokens")).and_then(|text| text.split_once(','));
        let events = number(tokens.map(|(_, most)| most)).unwrap_or(20) / 2;
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s.{}.{id}\r\n{}: 1\r\nContent-Type: \
             text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n",
            name("id"),
            name("signature"),
            self.id,
            name("weights"),
        );
        std::thread::sleep(Duration::from_millis(PREFILL_MS));
        let run = self.begin(&id, after);
        let written = std::io::Write::write_all(out, head.as_bytes());
        if self.is_bad(request) {
            self.record.note(format!("server {} crashes as it answers {id}", self.id));
            self.crash();
            self.end(run, &id, false);
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let written = written.and_then(|()| self.events(out, &id, after, events));
        let whole = written.is_ok();
        self.end(run, &id, whole);
        written
    }

    fn events(
        &self,
        out: &mut TcpStream,
        id: &str,
        after: u64,
        events: u64,
    ) -> std::io::Result<()> {
        for number in after + 1..=events {
            let pace_ms = self.pace_ms * self.slowness.load(Ordering::Relaxed);
            let due = self.record.now_ms() + pace_ms;
            while self.record.now_ms() < due {
                if http::is_closed(out) {
                    return Err(std::io::ErrorKind::ConnectionAborted.into());
                }
                let left = due.saturating_sub(self.record.now_ms());
                std::thread::sleep(Duration::from_millis(left.min(5)));
            }
            http::write_chunk(out, &format!("id: {number}\ndata: {} {id}\n\n", self.id))?;
        }
        std::io::Write::write_all(out, b"0\r\n\r\n")
    }

    fn begin(&self, id: &str, after: u64) -> usize {
        let mut runs = self.runs.lock().expect("no holder panics");
        runs.push(Run {
            server: self.id.clone(),
            request: id.to_owned(),
            after,
            began_ms: self.record.now_ms(),
            ended_ms: None,
        });
        self.record.note(format!("server {} begins to run {id} after event {after}", self.id));
        runs.len() - 1
    }

    fn end(&self, run: usize, id: &str, whole: bool) {
        let mut runs = self.runs.lock().expect("no holder panics");
        runs[run].ended_ms = Some(self.record.now_ms());
        let how = if whole { "ends" } else { "drops, as its connection was closed," };
        self.record.note(format!("server {} {how} the run of {id}", self.id));
    }
}
