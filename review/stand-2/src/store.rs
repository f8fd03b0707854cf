//! The platform's store: objects by kind and name, one revision counter, watches.

use crate::http::{self, Message, Reader};
use crate::names::name;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    /// JSON text; `None` if the object was deleted.
    spec: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State { revision: 100, ..State::default() };
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.connection(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, kind: &str, object: &str, spec: Option<&str>) -> u64 {
        let mut state = self.state.0.lock().expect("no holder panics");
        state.revision += 1;
        let revision = state.revision;
        let written = Object { revision, spec: spec.map(str::to_owned) };
        state.objects.insert((kind.to_owned(), object.to_owned()), written);
        drop(state);
        self.state.1.notify_all();
        revision
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(request) = http::read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            // An answer of the platform takes 4 ms.
            std::thread::sleep(Duration::from_millis(4));
            let headers = format!("{}: 1\r\nContent-Type: application/json\r\n", name("era"));
            if http::respond(&mut out, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let mut words = path.trim_start_matches('/').split('/').skip(1);
        let (Some(kind), object) = (words.next(), words.next()) else {
            return ("404 Not Found", "{}".to_owned());
        };
        match (request.word(0), object) {
            ("GET", None) => ("200 OK", self.list(kind, query)),
            ("GET", Some(object)) => {
                let state = self.state.0.lock().expect("no holder panics");
                match state.get(kind, object) {
                    Some(found) => ("200 OK", render(object, found)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            (method, Some(object)) => self.write(method, kind, object, query, &request.body),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, query: &str) -> String {
        let number = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(known, _)| *known == key);
            found.next().and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let mut state = self.state.0.lock().expect("no holder panics");
        let Some(after) = number("watch") else {
            let items = state.of_kind(kind).filter(|(_, object)| object.spec.is_some());
            let items: Vec<String> = items.map(|(name, object)| render(name, object)).collect();
            let at = state.revision;
            return format!("{{\"items\":[{}],\"has_more\":false,\"at\":{at}}}", items.join(","));
        };
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        loop {
            let changed = state.of_kind(kind).filter(|(_, object)| object.revision > after);
            let mut changed: Vec<(&str, &Object)> = changed.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, object)| object.revision);
                let events = changed.into_iter().map(|(name, object)| {
                    let deleted = object.spec.is_none();
                    format!("{{\"deleted\":{deleted},\"object\":{}}}", render(name, object))
                });
                let events: Vec<String> = events.collect();
                let at = state.revision;
                return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
            }
            state = self.state.1.wait_timeout(state, left).expect("no holder panics").0;
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        object: &str,
        query: &str,
        body: &[u8],
    ) -> (&'static str, String) {
        let text = String::from_utf8_lossy(body).into_owned();
        let named = field(&text, "metadata").and_then(|meta| field(&meta, "revision"));
        let named = named.or_else(|| query.strip_prefix("revision=").map(str::to_owned));
        let named = named.and_then(|text| text.parse::<u64>().ok());
        let state = self.state.0.lock().expect("no holder panics");
        let found = state.get(kind, object).cloned();
        drop(state);
        match (method, &found) {
            ("POST", Some(found)) => return ("409 Conflict", render(object, found)),
            ("PUT" | "DELETE", None) => return ("404 Not Found", "{}".to_owned()),
            _ => {}
        }
        if let (Some(found), Some(named)) = (&found, named)
            && found.revision != named
        {
            return ("409 Conflict", render(object, found));
        }
        let spec = (method != "DELETE").then(|| field(&text, "spec").unwrap_or("null".to_owned()));
        let revision = self.put(kind, object, spec.as_deref());
        ("200 OK", render(object, &Object { revision, spec }))
    }
}

impl State {
    fn get(&self, kind: &str, object: &str) -> Option<&Object> {
        let found = self.objects.get(&(kind.to_owned(), object.to_owned()));
        found.filter(|found| found.spec.is_some())
    }

    fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = (&'a str, &'a Object)> {
        let objects = self.objects.iter().filter(move |((known, _), _)| known == kind);
        objects.map(|((_, name), object)| (name.as_str(), object))
    }
}

fn render(object: &str, found: &Object) -> String {
    let spec = found.spec.as_deref().unwrap_or("null");
    let revision = found.revision;
    format!(
        "{{\"metadata\":{{\"name\":\"{object}\",\"revision\":{revision},\"created_at\":9,\
         \"finalizers\":[]}},\"spec\":{spec},\"status\":null}}"
    )
}

/// The JSON text of a field of an object, found outside of nested objects.
pub fn field(text: &str, name: &str) -> Option<String> {
    let bytes = text.as_bytes();
    let (mut depth, mut index, mut in_text) = (0, 0, false);
    let key = format!("\"{name}\"");
    while index < bytes.len() {
        let byte = bytes[index];
        if in_text {
            match byte {
                b'\\' => index += 1,
                b'"' => in_text = false,
                _ => {}
            }
        } else {
            match byte {
                b'"' if depth == 1 && text[index..].starts_with(&key) => {
                    let rest = text[index + key.len()..].trim_start();
                    if let Some(rest) = rest.strip_prefix(':') {
                        return Some(value(rest.trim_start()).to_owned());
                    }
                    in_text = true;
                }
                b'"' => in_text = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' => depth -= 1,
                _ => {}
            }
        }
        index += 1;
    }
    None
}

/// The first JSON value of a text.
fn value(text: &str) -> &str {
    let bytes = text.as_bytes();
    let (mut depth, mut in_text, mut index) = (0, false, 0);
    while index < bytes.len() {
        let byte = bytes[index];
        if in_text {
            match byte {
                b'\\' => index += 1,
                b'"' => in_text = false,
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_text = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' | b',' if depth == 0 => return text[..index].trim_end(),
                b'}' | b']' => depth -= 1,
                _ => {}
            }
        }
        index += 1;
    }
    text
}
