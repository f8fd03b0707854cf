//! Stand-ins for the platform's store, plain servers and clients, and the start of the
//! entry as a separate process. Names of the wire stand in `names.txt`.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Returns a name of the wire.
pub fn name(key: &str) -> &'static str {
    let lines = include_str!("names.txt").lines();
    let mut pairs = lines.filter_map(|line| line.split_once('='));
    pairs.find(|(known, _)| *known == key).expect("a known name").1
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(Instant, Vec<String>)>>);

impl Default for Record {
    fn default() -> Self {
        Self(Arc::new(Mutex::new((Instant::now(), Vec::new()))))
    }
}

impl Record {
    pub fn line(&self, text: &str) {
        let mut state = self.0.lock().unwrap();
        let ms = state.0.elapsed().as_millis();
        state.1.push(format!("{ms:>7} ms  {text}"));
    }

    pub fn write(&self, path: &Path) {
        let text = self.0.lock().unwrap().1.join("\n") + "\n";
        std::fs::write(path, text).expect("the record can be written");
    }
}

/// One HTTP message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        let found = self.headers.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, position: usize) -> &str {
        self.first.split(' ').nth(position).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header(name("id")).unwrap_or_default()
    }
}

fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let read = stream.read_line(&mut line).ok()?;
    (read > 0).then(|| line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads one message; `None` if the connection ends before its head is complete.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message {
        first: read_line(stream)?,
        ..Message::default()
    };
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(pair);
    }
    message.complete = read_body(stream, &mut message).is_some();
    Some(message)
}

fn read_body(stream: &mut BufReader<TcpStream>, message: &mut Message) -> Option<()> {
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let line = read_line(stream)?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(());
            }
            message.body.extend(&chunk[..size]);
        }
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    message.body = body;
    Some(())
}

// JSON, as far as the store needs it.

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while at < text.len() && text[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

fn skip_string(text: &[u8], mut at: usize) -> usize {
    at += 1;
    while at < text.len() && text[at] != b'"' {
        at += if text[at] == b'\\' { 2 } else { 1 };
    }
    at + 1
}

fn skip_value(text: &[u8], at: usize) -> usize {
    let mut at = skip_space(text, at);
    let mut depth = 0;
    while at < text.len() {
        match text[at] {
            b'"' => at = skip_string(text, at),
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' => {
                if depth == 0 {
                    return at;
                }
                depth -= 1;
                at += 1;
            }
            b',' if depth == 0 => return at,
            _ => at += 1,
        }
        if depth == 0 {
            let next = skip_space(text, at);
            if next >= text.len() || matches!(text[next], b',' | b'}' | b']') {
                return at;
            }
        }
    }
    at
}

/// Returns the text of the value of a field of an object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut at = skip_space(text, object.find('{')? + 1);
    while at < text.len() && text[at] == b'"' {
        let end = skip_string(text, at);
        let key = &object[at + 1..end - 1];
        let start = skip_space(text, skip_space(text, end) + 1);
        let stop = skip_value(text, start);
        if key == name {
            return Some(object[start..stop].trim());
        }
        at = skip_space(text, stop);
        if at >= text.len() || text[at] != b',' {
            return None;
        }
        at = skip_space(text, at + 1);
    }
    None
}

/// The platform's store.
#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<String, (u64, String)>,
    changes: Vec<(u64, String, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 10;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator and the servers do.
    pub fn put(&self, key: &str, spec: Option<&str>) {
        write_object(&mut self.state.0.lock().unwrap(), key, spec);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_message(&mut stream) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{}: 1\r\n\
                 Content-Length: {}\r\n\r\n",
                name("era"),
                body.len()
            );
            if stream.get_mut().write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let key = path.trim_start_matches("/objects/").to_owned();
        if request.word(0) == "GET" {
            return self.read(&key, query);
        }
        let answer = {
            let mut state = self.state.0.lock().unwrap();
            change(&mut state, request, &key, query)
        };
        self.state.1.notify_all();
        answer
    }

    fn read(&self, key: &str, query: &str) -> (u16, String) {
        let value = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name)?.1.parse().ok()
        };
        let mut state = self.state.0.lock().unwrap();
        if key.contains('/') {
            let found = state.objects.get(key);
            return match found {
                Some((revision, spec)) => (200, object(key, *revision, spec)),
                None => (404, "{}".to_owned()),
            };
        }
        let prefix = format!("{key}/");
        let Some(after) = value("watch") else {
            let objects = state.objects.iter();
            let items: Vec<String> = objects
                .filter(|(known, _)| known.starts_with(&prefix))
                .map(|(known, (revision, spec))| object(known, *revision, spec))
                .collect();
            let (items, at) = (items.join(","), state.revision);
            let body = format!(r#"{{"items":[{items}],"has_more":false,"at":{at}}}"#);
            return (200, body);
        };
        let until = Instant::now() + Duration::from_millis(value("wait_ms").unwrap_or(0));
        loop {
            let changes = state.changes.iter();
            let events: Vec<String> = changes
                .filter(|(revision, known, _)| *revision > after && known.starts_with(&prefix))
                .map(|(revision, known, spec)| {
                    let value = object(known, *revision, spec.as_deref().unwrap_or("null"));
                    format!(r#"{{"object":{value},"deleted":{}}}"#, spec.is_none())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(key: &str, revision: u64, spec: &str) -> String {
    let name = key.split_once('/').map_or(key, |(_, name)| name);
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created_at":1,"finalizers":[]}},"spec":{spec},"status":null}}"#
    )
}

fn write_object(state: &mut StoreState, key: &str, spec: Option<&str>) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    match spec {
        Some(spec) => {
            let value = (revision, spec.to_owned());
            state.objects.insert(key.to_owned(), value);
        }
        None => {
            state.objects.remove(key);
        }
    }
    let change = (revision, key.to_owned(), spec.map(str::to_owned));
    state.changes.push(change);
    revision
}

fn change(state: &mut StoreState, request: &Message, key: &str, query: &str) -> (u16, String) {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let known = state.objects.get(key).cloned();
    let expected = field(&body, "metadata").and_then(|metadata| field(metadata, "revision"));
    let expected = expected.or_else(|| query.strip_prefix("revision="));
    let expected: Option<u64> = expected.and_then(|text| text.parse().ok());
    let conflict = |(revision, spec): &(u64, String)| (409, object(key, *revision, spec));
    match (request.word(0), known) {
        ("POST", Some(known)) => conflict(&known),
        ("PUT" | "DELETE", None) => (404, "{}".to_owned()),
        (_, Some(known)) if expected.is_some_and(|revision| revision != known.0) => {
            conflict(&known)
        }
        ("DELETE", _) => {
            write_object(state, key, None);
            (200, "{}".to_owned())
        }
        (_, known) => {
            let spec = field(&body, "spec").unwrap_or("null").to_owned();
            // A write that changes nothing does not increase the revision.
            let revision = match known {
                Some((revision, known)) if known == spec => revision,
                _ => write_object(state, key, Some(&spec)),
            };
            (200, object(key, revision, &spec))
        }
    }
}

/// One request at a server, and the connection that it came on.
pub struct Exchange<'a> {
    pub request: Message,
    pub stream: &'a mut BufReader<TcpStream>,
    /// Bytes to send when the next request has arrived on this connection.
    pub late: &'a mut Vec<u8>,
    pub server: &'a str,
}

impl Exchange<'_> {
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.get_mut().write_all(bytes).is_ok()
    }

    /// The whole answer of a sound server that has run the request.
    pub fn success(&self) -> Vec<u8> {
        let body = format!("answer of {} to {}", self.server, self.request.id());
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: 3e1b.07.5a2\r\nContent-Length: {}\r\n\r\n",
            name("id"),
            self.request.id(),
            name("signature"),
            body.len()
        );
        (head + &body).into_bytes()
    }
}

/// Handles a request; returns whether the connection stays open.
pub type Handler = dyn Fn(&mut Exchange<'_>) -> bool + Send + Sync;

/// A server of a plain service.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
}

impl Server {
    pub fn start(ip: Ipv4Addr, id: &str, handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().unwrap();
        let own = id.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, handler) = (own.clone(), Arc::clone(&handler));
                thread::spawn(move || serve(stream, &id, &*handler));
            }
        });
        Self {
            id: id.to_owned(),
            address,
        }
    }

    /// The server's object in the store.
    pub fn record(&self, zone: &str, phase: &str, sequence: u64) -> String {
        include_str!("record_of_server.txt")
            .replace("@SERVICE@", "deskapp")
            .replace("@ADDRESS@", &self.address.to_string())
            .replace("@ZONE@", zone)
            .replace("@PHASE@", phase)
            .replace("@SEQUENCE@", &sequence.to_string())
            .trim()
            .to_owned()
    }
}

fn serve(stream: TcpStream, id: &str, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    let mut late = Vec::new();
    while let Some(request) = read_message(&mut stream) {
        let is_other = request.header(name("target")).is_some_and(|target| target != id);
        let mut exchange = Exchange {
            request,
            stream: &mut stream,
            late: &mut late,
            server: id,
        };
        let stays = if is_other {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{}: {id}\r\nContent-Length: 0\r\n\r\n",
                name("instance")
            );
            exchange.write(answer.as_bytes())
        } else {
            handler(&mut exchange)
        };
        if !stays {
            return;
        }
    }
}

/// The entry, as a process of its own. It is killed when dropped.
pub struct Entry {
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

fn free_ports(ip: Ipv4Addr, count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
        .collect();
    let ports = listeners.iter();
    ports.map(|listener| listener.local_addr().unwrap().port()).collect()
}

impl Entry {
    /// Starts the command of the deploy file with a settings file in `folder`.
    pub fn start(root: &Path, folder: &Path, node: &str, ip: Ipv4Addr, store: SocketAddr) -> Self {
        let ports = free_ports(ip, 5);
        let address = |port: u16| SocketAddr::new(IpAddr::V4(ip), port);
        let text = include_str!("settings.txt")
            .replace("@NAME@", node)
            .replace("@IP@", &ip.to_string())
            .replace("@PORT0@", &ports[3].to_string())
            .replace("@PORT1@", &(ports[3].saturating_add(15)).to_string())
            .replace("@SEEDS@", &format!("\"{}\"", address(ports[2])))
            .replace("@BOOTSTRAP@", "true")
            .replace("@FRONTEND@", &ports[0].to_string())
            .replace("@READINESS@", &ports[1].to_string())
            .replace("@CONTROL@", &ports[2].to_string())
            .replace("@STORE@", &store.to_string());
        let path = folder.join(format!("{node}.toml"));
        std::fs::write(&path, text).expect("the settings can be written");
        Self {
            child: Self::spawn(root, folder, node),
            callers: address(ports[0]),
            readiness: address(ports[1]),
        }
    }

    /// Starts an entry again that was killed, with its settings.
    pub fn start_again(&mut self, root: &Path, folder: &Path, node: &str) {
        let path = folder.join(format!("{node}.toml"));
        let text = std::fs::read_to_string(&path).expect("the settings were written");
        let text = text.replace("bootstrap = true", "bootstrap = false");
        std::fs::write(&path, text).expect("the settings can be written");
        self.child = Self::spawn(root, folder, node);
    }

    /// Kills the process, as with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn spawn(root: &Path, folder: &Path, node: &str) -> Child {
        let path = folder.join(format!("{node}.toml"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{node}.log")))
            .unwrap();
        Command::new(root.join("target/release/sesame-front"))
            .args(["--metrics-port", "9464"])
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env(name("boot"), &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the entry was built")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let answer = exchange(self.readiness, b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self(BufReader::new(stream)))
    }

    /// Sets the longest wait for the next bytes.
    pub fn set_gap(&self, gap: Duration) {
        let gap = gap.max(Duration::from_millis(1));
        let _ = self.0.get_ref().set_read_timeout(Some(gap));
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.0.get_mut().write_all(bytes).is_ok()
    }

    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8]) -> Option<Message> {
    let mut client = Client::connect(address)?;
    client.send(request);
    client.answer()
}

/// The bytes of a client's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> Vec<u8> {
    let (id_name, deadline_name) = (name("id"), name("deadline"));
    let length = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\n{id_name}: {id}\r\n\
         {deadline_name}: {deadline_ms}\r\n{length}\r\n{body}"
    )
    .into_bytes()
}

/// The text of a configuration.
pub fn config(version: u64) -> String {
    include_str!("config.txt").replace("@VERSION@", &version.to_string())
}

/// What a case needs: folders, and a loopback address that no other case uses.
pub struct Setup {
    pub root: PathBuf,
    /// The case's folder, for its record.
    pub case: PathBuf,
    /// A temporary folder, removed when dropped.
    pub folder: PathBuf,
    pub has_trouble: bool,
    net: (u8, u8),
}

impl Setup {
    /// The first argument is the root of the repository, the second the case's folder.
    pub fn new() -> Self {
        let mut arguments = std::env::args_os().skip(1).map(PathBuf::from);
        let root = arguments.next().expect("the root of the repository");
        let case = arguments.next().expect("the folder of the case");
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{process}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let net = ((process >> 8) as u8 | 1, process as u8);
        Self {
            root: root.canonicalize().expect("the root exists"),
            case,
            folder,
            has_trouble,
            net,
        }
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, number)
    }

    /// Keeps a copy of the entry's log if asked to, and ends the process.
    pub fn end(self, record: &Record, code: i32) -> ! {
        record.line(&format!("exit {code}"));
        record.write(&self.case.join("record.txt"));
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
        std::process::exit(code)
    }
}

impl Default for Setup {
    fn default() -> Self {
        Self::new()
    }
}
