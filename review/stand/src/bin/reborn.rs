//! A server is partitioned from the store, not from the entries; it crashes behind the cut
//! and starts again under its id, with another version of its software. When the cut has
//! healed, its streams are broken off, and their callers take them up.

use stand::{name, read_message, Client, Entry, Message, Record, Setup, Store};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// When, from the start of traffic, the cut begins; how long the crashed server is down, and
/// how long the cut lasts.
const CUT_AT: Duration = Duration::from_secs(2);
const DOWN: Duration = Duration::from_millis(1_000);
const CUT: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(14);

/// Servers; one of them is cut off, a share of 0.2.
const SERVERS: u8 = 5;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Events of each stream, and the time between two.
const EVENTS: u64 = 48;
const PAUSE: Duration = Duration::from_millis(150);

const DEADLINE: Duration = Duration::from_millis(15_000);

/// A gap of four times the objective of 1.5 s.
const GAP: Duration = Duration::from_secs(6);

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A server that can crash and start again at its address.
struct Node {
    id: String,
    address: SocketAddr,
    is_up: AtomicBool,
    is_cut: AtomicBool,
    /// 1 or 2.
    version: AtomicU64,
    born: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    /// Streams that it writes now.
    running: AtomicU64,
    record: Record,
    store: Store,
}

impl Node {
    fn listen(self: &Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let node = Arc::clone(self);
        spawn(move || {
            while node.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        node.open.lock().unwrap().push(stream.try_clone().unwrap());
                        let node = Arc::clone(&node);
                        spawn(move || node.serve(stream));
                    }
                    Err(_) => sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_message(&mut stream) {
            if !self.is_up.load(Ordering::SeqCst) || !self.answer(&request, stream.get_mut()) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let mut write = |text: String| stream.write_all(text.as_bytes()).is_ok();
        if request.header(name("target")).is_some_and(|target| target != self.id) {
            let instance = name("instance");
            return write(format!("HTTP/1.1 421 X\r\n{instance}: {}\r\nContent-Length: 0\r\n\r\n", self.id));
        }
        if request.word(1) == "/report" {
            let report = include_str!("../report.txt").trim().replace(
                "{\"phase_kind\"",
                &format!("{{\"born\":{},\"phase_kind\"", self.born.load(Ordering::SeqCst)),
            );
            return write(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len()));
        }
        let version = self.version.load(Ordering::SeqCst);
        let after = request.header(name("last"));
        let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        self.record.line(&format!("server {} of version {version} runs {} after event {after}", self.id, request.id()));
        let mut is_open = write(format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            name("id"),
            request.id(),
            name("signature")
        ));
        self.running.fetch_add(1, Ordering::SeqCst);
        for number in after + 1..=EVENTS {
            sleep(PAUSE);
            let event = format!("id: {number}\ndata: piece {number} of version {version}\n\n");
            is_open = is_open && write(format!("{:x}\r\n{event}\r\n", event.len()));
            if !is_open {
                break;
            }
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        is_open && write("0\r\n\r\n".to_owned())
    }

    fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn start_again(self: &Arc<Self>, version: u64) {
        self.version.store(version, Ordering::SeqCst);
        self.born.store(unix_ms(), Ordering::SeqCst);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(2)),
            }
        };
        self.is_up.store(true, Ordering::SeqCst);
        self.listen(listener);
    }

    /// Writes the server's object at each heartbeat while it can, and removes it, as the
    /// store does, after three of silence.
    fn beat(self: &Arc<Self>) {
        let node = Arc::clone(self);
        spawn(move || {
            let (mut last, mut next) = (Instant::now(), Instant::now());
            let (mut is_listed, mut born) = (false, 0);
            for sequence in 1_u64.. {
                let born_now = node.born.load(Ordering::SeqCst);
                if born != born_now {
                    // It writes as it starts, and at each heartbeat from then on.
                    (born, next) = (born_now, Instant::now());
                }
                while next <= Instant::now() {
                    next += HEARTBEAT;
                    if !node.is_up.load(Ordering::SeqCst) || node.is_cut.load(Ordering::SeqCst) {
                        continue;
                    }
                    let spec = format!(
                        r#"{{"born": {born}, "service": "deskapp", "address": "{}", "zone": "spanish-town", "version": "v{}", "batch_slots": 64, "phase": "ready", "cold_remaining_ms": 0, "sequence": {sequence}}}"#,
                        node.address,
                        node.version.load(Ordering::SeqCst)
                    );
                    node.store.put(&format!("servers/{}", node.id), Some(&spec));
                    (last, is_listed) = (Instant::now(), true);
                }
                if is_listed && last.elapsed() >= HEARTBEAT * 3 {
                    node.record.line(&format!("the store removes the object of {}", node.id));
                    node.store.put(&format!("servers/{}", node.id), None);
                    is_listed = false;
                }
                sleep(Duration::from_millis(20));
            }
        });
    }
}

/// The versions of the whole events of an answer that goes on after an event, and the last
/// event.
fn pieces(answer: &Message, after: u64) -> (Vec<u64>, u64) {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let (mut rest, mut last, mut versions) = (body.as_str(), after, Vec::new());
    'events: loop {
        for version in [1, 2] {
            let event = format!("id: {0}\ndata: piece {0} of version {version}\n\n", last + 1);
            if let Some(behind) = rest.strip_prefix(event.as_str()) {
                (rest, last) = (behind, last + 1);
                if versions.last() != Some(&version) {
                    versions.push(version);
                }
                continue 'events;
            }
        }
        return (versions, last);
    }
}

fn ask(record: &Record, address: SocketAddr, id: &str, left: Duration, resumes: Option<(&str, u64)>) -> Message {
    let resumes = resumes.map_or(String::new(), |(first, last)| {
        format!("{}: {last}\r\n{}: {first}\r\n", name("last"), name("resumes"))
    });
    let request = format!(
        "POST /letters/1 HTTP/1.1\r\nHost: desk.example\r\n{}: {id}\r\n{}: {}\r\n{resumes}Content-Length: {}\r\n\r\n{id}",
        name("id"),
        name("deadline"),
        left.as_millis(),
        id.len()
    );
    let Some(mut client) = Client::connect(address) else {
        return Message::default();
    };
    client.set_gap(GAP.min(left));
    record.line(&format!("client sends {id}"));
    client.send(request.as_bytes());
    let answer = client.answer().unwrap_or_default();
    let (status, whole) = (answer.status(), answer.complete);
    record.line(&format!("client gets {status} for {id}, whole: {whole}"));
    answer
}

#[derive(Default, Debug)]
struct Seen {
    begun: usize,
    whole: usize,
    taken_up: usize,
    gone_on: usize,
    /// Streams that hold pieces of two versions.
    joined: BTreeMap<String, Vec<u64>>,
}

fn main() {
    let setup = Setup::new();
    let record = Record::default();
    let store = Store::start(setup.ip(1));
    let config = include_str!("../config_plain_streams.txt").replace("@VERSION@", "1");
    store.put("config/main", Some(&config));
    let nodes: Vec<Arc<Node>> = (1..=SERVERS)
        .map(|number| {
            let listener = TcpListener::bind((setup.ip(10 + number), 0)).expect("a free port");
            let node = Arc::new(Node {
                id: format!("i-{number}"),
                address: listener.local_addr().unwrap(),
                is_up: AtomicBool::new(true),
                is_cut: AtomicBool::new(false),
                version: AtomicU64::new(1),
                born: AtomicU64::new(unix_ms()),
                open: Mutex::default(),
                running: AtomicU64::new(0),
                record: record.clone(),
                store: store.clone(),
            });
            node.listen(listener);
            node.beat();
            node
        })
        .collect();
    sleep(Duration::from_millis(200));
    let entry = Entry::start(&setup.root, &setup.folder, &format!("{}-1", name("class")), setup.ip(1), store.address);
    if !entry.wait_until_ready() {
        record.line("the entry did not become ready");
        drop(entry);
        setup.end(&record, 2);
    }
    // Traffic starts 10 s after the machines do.
    sleep(Duration::from_secs(10));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let begin = Instant::now();
    let address = entry.callers;
    let callers: Vec<_> = (0..24)
        .map(|number| {
            let (record, seen) = (record.clone(), Arc::clone(&seen));
            spawn(move || {
                // Two callers are there from the start, the others come later.
                if number >= 2 {
                    sleep(CUT_AT + DOWN + Duration::from_millis(number * 30));
                }
                for round in 0.. {
                    if begin.elapsed() > LENGTH {
                        return;
                    }
                    let began_at = Instant::now();
                    let id = format!("s-{number}-{round}");
                    let answer = ask(&record, address, &id, DEADLINE, None);
                    let (mut versions, last) = pieces(&answer, 0);
                    let mut is_whole = answer.complete && last == EVENTS;
                    let mut taken_up = None;
                    if last > 0 && !is_whole {
                        let left = DEADLINE.saturating_sub(began_at.elapsed());
                        let again = format!("{id}-again");
                        let rest = ask(&record, address, &again, left, Some((&id, last)));
                        let (more, end) = pieces(&rest, last);
                        is_whole = rest.complete && end == EVENTS;
                        record.line(&format!(
                            "{id} broke off after event {last}, versions {versions:?}; taken up as {again}: status {}, versions {more:?} up to event {end}",
                            rest.status()
                        ));
                        taken_up = Some(end > last);
                        versions.extend(more);
                    }
                    versions.dedup();
                    let mut seen = seen.lock().unwrap();
                    seen.begun += usize::from(last > 0);
                    seen.whole += usize::from(is_whole);
                    seen.taken_up += usize::from(taken_up.is_some());
                    seen.gone_on += usize::from(taken_up == Some(true));
                    if versions.len() > 1 {
                        seen.joined.insert(id, versions);
                    }
                    drop(seen);
                    sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    sleep(CUT_AT);
    if setup.has_trouble {
        // One that has nothing to do at the moment.
        let idle = nodes.iter().find(|node| node.running.load(Ordering::SeqCst) == 0);
        let node = idle.expect("two callers leave three servers idle");
        record.line(&format!("server {} is cut off from the store, and crashes", node.id));
        node.is_cut.store(true, Ordering::SeqCst);
        node.crash();
        sleep(DOWN);
        node.start_again(2);
        record.line(&format!("server {} has started again, with version 2", node.id));
        sleep(CUT - DOWN);
        node.is_cut.store(false, Ordering::SeqCst);
        record.line(&format!("server {} reaches the store again", node.id));
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(entry);
    let seen = seen.lock().unwrap();
    record.line(&format!(
        "{} streams begun, {} whole, {} taken up, {} of them went on",
        seen.begun, seen.whole, seen.taken_up, seen.gone_on
    ));
    record.line(&format!("streams of two versions: {:?}", seen.joined));
    let code = if seen.joined.len() > 2 {
        1
    } else if seen.whole > 20 && (seen.taken_up > 2 || !setup.has_trouble) {
        0
    } else {
        2
    };
    drop(seen);
    setup.end(&record, code);
}
