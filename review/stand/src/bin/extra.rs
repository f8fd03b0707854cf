//! For five seconds, a faulty server sends additional bytes after 3 in 100 of its complete answers, late:
//! when the next request has come on the connection. The bytes are the answer of a server
//! that sheds, as `fleetbench wire` shows it. They name no request.

use stand::{name, request, Client, Entry, Record, Server, Setup, Store};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How long the clients send.
const LENGTH: Duration = Duration::from_secs(20);

/// When, from the start of traffic, the server is faulty, and for how long.
const FAULTY_AT: Duration = Duration::from_secs(5);
const FAULTY: Duration = Duration::from_secs(5);

/// Additional bytes follow one answer in this many of the faulty server: under 3 in 100.
const EXTRA_EACH: usize = 34;

#[derive(Default)]
struct Seen {
    /// How often each request ran.
    ran: BTreeMap<String, Vec<String>>,
    /// When traffic started.
    begin: Option<Instant>,
    /// Answers of the faulty server while it is faulty.
    answers: usize,
    extras: usize,
}

fn additional_bytes() -> Vec<u8> {
    let not_run = name("not_run");
    format!("HTTP/1.1 503 Service Unavailable\r\n{not_run}: 1\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

fn main() {
    let setup = Setup::new();
    let record = Record::default();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let store = Store::start(setup.ip(1));
    store.put("config/main", Some(&stand::config(1)));
    let has_trouble = setup.has_trouble;
    let mut servers = Vec::new();
    for number in 1..=3_u8 {
        let (seen, record) = (Arc::clone(&seen), record.clone());
        let is_faulty = number == 1;
        let id = format!("i-{number}");
        let server = Server::start(
            setup.ip(10 + number),
            &id,
            Arc::new(move |exchange| {
                let id = exchange.request.id().to_owned();
                let extra = std::mem::take(exchange.late);
                record.line(&format!("server {} runs {id}", exchange.server));
                let server = exchange.server.to_owned();
                seen.lock().unwrap().ran.entry(id.clone()).or_default().push(server);
                if !extra.is_empty() {
                    seen.lock().unwrap().extras += 1;
                    record.line(&format!(
                        "server {} sends additional bytes, and goes on with {id}",
                        exchange.server
                    ));
                    exchange.write(&extra);
                }
                sleep(Duration::from_millis(60));
                let answer = exchange.success();
                if is_faulty {
                    let mut seen = seen.lock().unwrap();
                    let since = seen.begin.map_or(Duration::ZERO, |begin| begin.elapsed());
                    let faulty = (FAULTY_AT..FAULTY_AT + FAULTY).contains(&since);
                    seen.answers += usize::from(faulty);
                    if has_trouble && faulty && extra.is_empty() && seen.answers % EXTRA_EACH == 0 {
                        *exchange.late = additional_bytes();
                    }
                }
                exchange.write(&answer)
            }),
        );
        let spec = server.record("spanish-town", "ready", 1);
        store.put(&format!("servers/{id}"), Some(&spec));
        servers.push(server);
    }
    let entry = Entry::start(&setup.root, &setup.folder, &format!("{}-1", name("class")), setup.ip(1), store.address);
    if !entry.wait_until_ready() {
        record.line("the entry did not become ready");
        drop(entry);
        setup.end(&record, 2);
    }
    sleep(Duration::from_millis(500));
    let begin = Instant::now();
    seen.lock().unwrap().begin = Some(begin);
    let answers: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let number = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..5)
        .map(|_| {
            let (answers, record, number) = (Arc::clone(&answers), record.clone(), Arc::clone(&number));
            let address = entry.callers;
            spawn(move || {
                let mut connection = None;
                while begin.elapsed() < LENGTH {
                    let id = format!("order-{}", number.fetch_add(1, Ordering::Relaxed));
                    let client = match &mut connection {
                        Some(client) => client,
                        None => match Client::connect(address) {
                            Some(client) => connection.insert(client),
                            None => return,
                        },
                    };
                    record.line(&format!("client sends {id}"));
                    client.send(&request("POST", "/order/1", &id, 4_000, "one cylinder"));
                    let answer = client.answer();
                    let status = answer.as_ref().map_or(0, |answer| answer.status());
                    record.line(&format!("client gets {status} for {id}"));
                    let closes = answer.is_none_or(|answer| answer.header("connection") == Some("close"));
                    if closes {
                        connection = None;
                    }
                    answers.lock().unwrap().insert(id, status);
                    sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    sleep(Duration::from_millis(300));
    drop(entry);
    let seen = seen.lock().unwrap();
    let answers = answers.lock().unwrap().clone();
    let twice: Vec<_> = seen.ran.iter().filter(|(_, at)| at.len() > 1).collect();
    let refused: Vec<_> = answers
        .iter()
        .filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && seen.ran.contains_key(*id))
        .collect();
    let served = answers.values().filter(|status| **status == 200).count();
    record.line(&format!(
        "{} requests, {served} served; in the five seconds the faulty server gave {} answers and {} times additional bytes",
        answers.len(),
        seen.answers,
        seen.extras
    ));
    record.line(&format!("run more than once: {twice:?}"));
    record.line(&format!("refused as not run, although run: {refused:?}"));
    let code = if !twice.is_empty() || !refused.is_empty() {
        1
    } else if served * 2 > answers.len() && (seen.extras > 0 || !has_trouble) {
        0
    } else {
        2
    };
    drop(seen);
    setup.end(&record, code);
}
