//! Of two entries one is killed while streams run through it. Their callers take them up
//! at the other entry, as they may.

use stand::{name, Client, Entry, Exchange, Message, Record, Server, Setup, Store};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Time from the start of traffic to the kill, and to the end.
const KILL_AFTER: Duration = Duration::from_secs(10);
const LENGTH: Duration = Duration::from_secs(20);

/// Events of each stream, and the time between two.
const EVENTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(25);

/// Deadline of a stream, and the gap after which its caller abandons it: two seconds, four
/// times the objective (800 ms) or eight times the longest pause (400 ms).
const DEADLINE: Duration = Duration::from_millis(5_000);
const GAP: Duration = Duration::from_millis(3_200);

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number} of {EVENTS}\n\n")
}

fn stream(exchange: &mut Exchange<'_>, after: u64) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        name("id"),
        exchange.request.id(),
        name("signature")
    );
    exchange.write(head.as_bytes());
    for number in after + 1..=EVENTS {
        sleep(PAUSE);
        let event = event(number);
        if !exchange.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()) {
            return false;
        }
    }
    exchange.write(b"0\r\n\r\n")
}

fn plain(exchange: &mut Exchange<'_>, body: &str) -> bool {
    let length = body.len();
    exchange.write(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes())
}

/// The number of the last whole event of an answer that goes on after an event; `None` if
/// its events don't fit.
fn last_event(answer: &Message, after: u64) -> Option<u64> {
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let (mut rest, mut last) = (body.as_str(), after);
    while let Some(behind) = rest.strip_prefix(&event(last + 1)) {
        rest = behind;
        last += 1;
    }
    (rest.is_empty() || event(last + 1).starts_with(rest)).then_some(last)
}

#[derive(Default, Debug, Clone, Copy)]
struct Seen {
    new: usize,
    begun: usize,
    taken_up: usize,
    gone_on: usize,
    wrong: usize,
}

struct Caller {
    number: usize,
    record: Record,
    seen: Arc<Mutex<Seen>>,
}

impl Caller {
    /// Sends one request and returns the answer, as far as it came.
    fn ask(&self, address: std::net::SocketAddr, id: &str, left: Duration, resumes: Option<(&str, u64)>) -> Message {
        let resumes = resumes.map_or(String::new(), |(first, last)| {
            format!("{}: {last}\r\n{}: {first}\r\n", name("last"), name("resumes"))
        });
        let request = format!(
            "POST /diag/1 HTTP/1.1\r\nHost: desk.example\r\n{}: {id}\r\n{}: {}\r\n{resumes}\
             {}: m0\r\n{}: 100,80\r\n{}: {:x}:100\r\nContent-Length: 5\r\n\r\npress",
            name("id"),
            name("deadline"),
            left.as_millis(),
            name("model"),
            name("tokens"),
            name("parts"),
            4096 + self.number
        );
        let Some(mut client) = Client::connect(address) else {
            return Message::default();
        };
        client.set_gap(GAP.min(left));
        self.record.line(&format!("client sends {id}"));
        client.send(request.as_bytes());
        let answer = client.answer().unwrap_or_default();
        let (status, whole) = (answer.status(), answer.complete);
        self.record.line(&format!("client gets {status} for {id}, whole: {whole}"));
        answer
    }

    /// Asks for one stream; if it breaks off, takes it up once at the other entry.
    fn stream(&self, round: usize, at: std::net::SocketAddr, other: std::net::SocketAddr) {
        let began_at = Instant::now();
        let id = format!("s-{}-{round}", self.number);
        let answer = self.ask(at, &id, DEADLINE, None);
        let last = last_event(&answer, 0);
        let has_begun = answer.status() == 200 && last.is_some_and(|last| last > 0);
        {
            let mut seen = self.seen.lock().unwrap();
            seen.new += 1;
            seen.begun += usize::from(has_begun);
            seen.wrong += usize::from(answer.status() == 200 && last.is_none() || (answer.complete && answer.status() == 200 && last != Some(EVENTS)));
        }
        if !has_begun || answer.complete {
            return;
        }
        let last = last.unwrap_or(0);
        let left = DEADLINE.saturating_sub(began_at.elapsed());
        let again = format!("{id}-again");
        let sent_at = Instant::now();
        let rest = self.ask(other, &again, left, Some((&id, last)));
        let end = last_event(&rest, last);
        let has_gone_on = rest.status() == 200 && end.is_some_and(|end| end > last);
        self.record.line(&format!(
            "{id} broke off after event {last}; {again} gets status {} after {} ms and {}",
            rest.status(),
            sent_at.elapsed().as_millis(),
            if has_gone_on { "goes on" } else { "does not go on" }
        ));
        let mut seen = self.seen.lock().unwrap();
        seen.taken_up += 1;
        seen.gone_on += usize::from(has_gone_on);
        seen.wrong += usize::from(rest.status() == 200 && end.is_none());
    }
}

fn main() {
    let setup = Setup::new();
    let record = Record::default();
    let store = Store::start(setup.ip(1));
    let config = include_str!("../config_streams.txt").replace("@VERSION@", "1");
    store.put("config/main", Some(&config));
    let mut servers = Vec::new();
    for number in 1..=4_u8 {
        let record = record.clone();
        let id = format!("i-{number}");
        let server = Server::start(
            setup.ip(10 + number),
            &id,
            Arc::new(move |exchange| {
                match exchange.request.word(1) {
                    "/report" => return plain(exchange, include_str!("../report.txt").trim()),
                    "/order" => return plain(exchange, ""),
                    _ => {}
                }
                let id = exchange.request.id().to_owned();
                let after = exchange.request.header(name("last"));
                let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
                record.line(&format!("server {} runs {id} after event {after}", exchange.server));
                stream(exchange, after)
            }),
        );
        servers.push(server);
    }
    // Servers write their records about once in each heartbeat; what changes is the count.
    let heartbeats = {
        let store = store.clone();
        let specs: Vec<_> = servers
            .iter()
            .map(|server| (server.id.clone(), server.record("spanish-town", "ready", 0)))
            .collect();
        move |sequence: u64| {
            for (id, spec) in &specs {
                let spec = spec
                    .replace("\"deskapp\"", "\"oracle\"")
                    .replace("\"batch_slots\": 6", "\"batch_slots\": 64")
                    .replace("\"sequence\": 0", &format!("\"sequence\": {sequence}"));
                let spec = spec.trim_end_matches('}').to_owned()
                    + r#", "phase_kind": "unified", "models": [{"name": "m0", "version": 1, "adapters": []}]}"#;
                store.put(&format!("servers/{id}"), Some(&spec));
            }
        }
    };
    heartbeats(1);
    spawn(move || {
        for sequence in 2.. {
            sleep(Duration::from_millis(1_200));
            heartbeats(sequence);
        }
    });
    let mut entries: Vec<Entry> = [1_u8, 2]
        .iter()
        .map(|number| {
            let node = format!("{}-{number}", name("class"));
            Entry::start(&setup.root, &setup.folder, &node, setup.ip(20 + number), store.address)
        })
        .collect();
    if !entries.iter().all(Entry::wait_until_ready) {
        record.line("the entries did not become ready");
        drop(entries);
        setup.end(&record, 2);
    }
    // Traffic starts 10 s after the machines do.
    sleep(Duration::from_secs(10));
    let addresses = [entries[0].callers, entries[1].callers];
    // The platform picks the entry by a hash of the client; the shares are uneven.
    let at_first: usize = std::env::var("AT_FIRST").ok().and_then(|text| text.parse().ok()).unwrap_or(24);
    let at_second: usize = std::env::var("AT_SECOND").ok().and_then(|text| text.parse().ok()).unwrap_or(6);
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let killed = Arc::new(AtomicUsize::new(0));
    let begin = Instant::now();
    let callers: Vec<_> = (0..at_first + at_second)
        .map(|number| {
            let caller = Caller { number, record: record.clone(), seen: Arc::clone(&seen) };
            let killed = Arc::clone(&killed);
            spawn(move || {
                sleep(Duration::from_millis(number as u64 * 33));
                for round in 0.. {
                    if begin.elapsed() > LENGTH {
                        return;
                    }
                    let is_first = number < at_first && killed.load(Ordering::Relaxed) == 0;
                    let (at, other) = if is_first { (addresses[0], addresses[1]) } else { (addresses[1], addresses[1]) };
                    caller.stream(round, at, other);
                    sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    sleep(KILL_AFTER);
    if setup.has_trouble {
        record.line("the first entry is killed");
        killed.store(1, Ordering::Relaxed);
        entries[0].kill();
        // The platform starts it again after a short delay; nobody is sent to it.
        sleep(Duration::from_secs(1));
        entries[0].start_again(&setup.root, &setup.folder, &format!("{}-1", name("class")));
        record.line("the first entry has been started again");
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(entries);
    let seen = *seen.lock().unwrap();
    record.line(&format!("{seen:?}"));
    let share_new = seen.begun as f64 / seen.new.max(1) as f64;
    let share_on = seen.gone_on as f64 / seen.taken_up.max(1) as f64;
    record.line(&format!("share of new streams that begin {share_new:.2}, of those taken up that go on {share_on:.2}"));
    let code = if seen.taken_up >= 12 && share_on < share_new / 2.0 {
        1
    } else if seen.wrong == 0 && seen.begun > 100 && (seen.taken_up >= 12 || !setup.has_trouble) {
        0
    } else {
        2
    };
    setup.end(&record, code);
}
