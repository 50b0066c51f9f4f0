//! Stand-ins and clients of the review's scripts: a store, workers, a proxy and callers, as the users' pages
//! describe them, and the checks of the rules on what they saw. It uses the standard library only and is built
//! by `review/build.sh`.
//!
//! `standins CASE RECORD` runs one case from the root of the repository. It starts the project's own programs
//! with the commands of `deploy/system.toml` and the templates of `deploy/`, writes what was sent, answered and
//! run to RECORD, ends all processes, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------------------------------------------------
// JSON

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_blanks(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }

    fn number(&self) -> u64 {
        match self {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::Arr(list) => list,
            _ => &[],
        }
    }
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            skip_blanks(bytes, at);
            if bytes.get(*at) == Some(&b'}') {
                *at += 1;
                return Some(Json::Obj(fields));
            }
            loop {
                skip_blanks(bytes, at);
                let name = parse_text(bytes, at)?;
                skip_blanks(bytes, at);
                if bytes.get(*at) != Some(&b':') {
                    return None;
                }
                *at += 1;
                fields.push((name, parse_value(bytes, at)?));
                skip_blanks(bytes, at);
                *at += 1;
                match bytes.get(*at - 1)? {
                    b',' => continue,
                    b'}' => return Some(Json::Obj(fields)),
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            skip_blanks(bytes, at);
            if bytes.get(*at) == Some(&b']') {
                *at += 1;
                return Some(Json::Arr(list));
            }
            loop {
                list.push(parse_value(bytes, at)?);
                skip_blanks(bytes, at);
                *at += 1;
                match bytes.get(*at - 1)? {
                    b',' => continue,
                    b']' => return Some(Json::Arr(list)),
                    _ => return None,
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Str),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < bytes.len() && b"+-.eE0123456789".contains(&bytes[*at]) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            text.parse().ok().map(Json::Num)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let found = bytes[*at..].starts_with(word.as_bytes());
    *at += word.len();
    found.then_some(value)
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escape = *bytes.get(*at)?;
                *at += 1;
                match escape {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        *at += 4;
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend(c.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

/// Returns a text as a JSON string.
fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------------------
// Signals and resets

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Has a process end with the one that started it, however that ends.
fn end_with_parent(command: &mut Command) {
    // PR_SET_PDEATHSIG with SIGKILL.
    let set = || match unsafe { prctl(1, 9, 0, 0, 0) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    };
    unsafe { command.pre_exec(set) };
}

/// Closes a connection with a reset instead of an orderly end.
fn reset(stream: &TcpStream) {
    let linger = [1i32, 0];
    // SOL_SOCKET, SO_LINGER on Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

// ---------------------------------------------------------------------------------------------------------
// The record

/// What the stand-ins and callers saw, with the time since the start of the case.
struct Record {
    begun: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    fn note(&self, line: impl Into<String>) -> f64 {
        let now = self.now_ms();
        self.note_at(now, line);
        now
    }

    fn note_at(&self, at_ms: f64, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at_ms, line.into()));
    }
}

type SharedRecord = Arc<Record>;

// ---------------------------------------------------------------------------------------------------------
// HTTP

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

/// What a server does with a request.
enum Reply {
    Answer(u16, String),
    /// Ends the connection without an answer.
    Close,
    /// Says nothing more on the connection.
    Silence,
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<usize>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            return Ok(Some(end + 4));
        }
        let mut chunk = [0u8; 8192];
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..n]);
    }
}

/// Reads a message. Returns its first line, its headers and its body; `None` at the end of the connection.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<(String, HashMap<String, String>, String)>> {
    let Some(end) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let mut headers = HashMap::new();
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length: usize = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        let mut chunk = [0u8; 8192];
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..n]);
    }
    let body = String::from_utf8_lossy(&buffer[..length]).into_owned();
    buffer.drain(..length);
    Ok(Some((first, headers, body)))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3);
        let hex = hex.and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[at], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves HTTP/1.1 at an address, with a thread for each connection.
fn serve(address: SocketAddr, handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some((first, headers, body)) = read_message(&mut stream, &mut buffer)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let request = Request {
            method,
            path: path.to_owned(),
            query,
            headers,
            body,
        };
        match handler(request) {
            Reply::Answer(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(text.as_bytes())?;
            }
            Reply::Silence => {
                // The other end gives up on its own.
                while read_message(&mut stream, &mut buffer)?.is_some() {}
                return Ok(());
            }
            Reply::Close => {
                stream.shutdown(Shutdown::Both)?;
                return Ok(());
            }
        }
    }
    Ok(())
}

/// A call's result: its status, 0 if there was no complete answer, and its body.
type Answered = (u16, String);

fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    Ok(stream)
}

fn send_call(stream: &mut TcpStream, method: &str, path: &str, headers: &str, body: &str) -> io::Result<()> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

fn read_answer(stream: &mut TcpStream) -> Answered {
    let mut buffer = Vec::new();
    match read_message(stream, &mut buffer) {
        Ok(Some((first, _, body))) => {
            let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
            (status.unwrap_or(0), body)
        }
        _ => (0, String::new()),
    }
}

fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Answered {
    let Ok(mut stream) = connect(address, limit) else {
        return (0, String::new());
    };
    if send_call(&mut stream, method, path, headers, body).is_err() {
        return (0, String::new());
    }
    read_answer(&mut stream)
}

// ---------------------------------------------------------------------------------------------------------
// The platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl StoreState {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.revision += 1;
        let revision = self.revision;
        let made = self.items.get(key).map_or(revision, |item| item.made);
        let item = value.map(|(value, lease)| Item {
            value,
            revision,
            made,
            lease,
        });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        self.history.push((revision, key.to_owned(), item));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.write(&key, None);
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (at, ttl))| *at + *ttl <= now);
        let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn item_text(key: &str, item: &Item, at: u64) -> String {
        format!(
            "{{\"privateKey\":{},\"value\":{},\"revision\":{},\"made\":{},\"lease\":{},\"at\":{at}}}",
            quote(key),
            quote(&item.value),
            item.revision,
            item.made,
            item.lease
        )
    }

    fn transact(&mut self, body: &Json) -> Reply {
        for row in body.get("expectedRev").list() {
            let now = self.items.get(row.get("privateKey").text());
            if now.map_or(0, |item| item.revision) != row.get("revision").number() {
                return Reply::Answer(412, "{\"items\":[]}".to_owned());
            }
        }
        let lost = |put: &Json| {
            let lease = put.get("lease").number();
            lease != 0 && !self.leases.contains_key(&lease)
        };
        if body.get("put").list().iter().any(lost) {
            return Reply::Answer(404, "{}".to_owned());
        }
        for put in body.get("put").list() {
            let value = (put.get("value").text().to_owned(), put.get("lease").number());
            self.write(put.get("privateKey").text(), Some(value));
        }
        for key in body.get("remove").list() {
            self.write(key.text(), None);
        }
        Reply::Answer(200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn start_store(address: SocketAddr, configuration: &str) -> io::Result<()> {
    let mut state = StoreState::default();
    state.write("op/config", Some((base64(configuration.as_bytes()), 0)));
    let state = Arc::new(Mutex::new(state));
    serve(address, move |request| {
        let param = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if request.path == "/-/kv-watch" {
            return watch(&state, &param("pathPrefix"), &param("after"), &param("waitMs"));
        }
        let mut state = state.lock().unwrap();
        state.expire_leases();
        let at = state.revision;
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/kv-key") => match state.items.get(&param("privateKey")) {
                Some(item) => Reply::Answer(200, StoreState::item_text(&param("privateKey"), item, at)),
                None => Reply::Answer(404, "{}".to_owned()),
            },
            ("GET", "/-/kv-range") => {
                let prefix = param("pathPrefix");
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let found: Vec<String> = found
                    .map(|(key, item)| StoreState::item_text(key, item, at))
                    .collect();
                let text = format!("{{\"items\":[{}],\"more\":false,\"at\":{at}}}", found.join(","));
                Reply::Answer(200, text)
            }
            ("POST", "/-/kv-txn") => state.transact(&body),
            ("POST", "/-/kv-lease") => {
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl = body.get("ttl_ms").number();
                let span = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now(), span));
                Reply::Answer(200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease: u64 = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((at, ttl)) => {
                        *at = Instant::now();
                        Reply::Answer(200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => Reply::Answer(404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.end_lease(lease);
                Reply::Answer(200, "{}".to_owned())
            }
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    })
}

fn watch(state: &Mutex<StoreState>, prefix: &str, after: &str, wait_ms: &str) -> Reply {
    let after: u64 = after.parse().unwrap_or(0);
    let wait = Duration::from_millis(wait_ms.parse().unwrap_or(0));
    let end = Instant::now() + wait;
    loop {
        {
            let mut state = state.lock().unwrap();
            state.expire_leases();
            let news = state.history.iter();
            let news = news.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let news: Vec<String> = news
                .map(|(at, key, item)| match item {
                    Some(item) => StoreState::item_text(key, item, *at),
                    None => format!(
                        "{{\"privateKey\":{},\"revision\":{at},\"gone\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            if !news.is_empty() || Instant::now() >= end {
                let text = format!("{{\"events\":[{}],\"at\":{}}}", news.join(","), state.revision);
                return Reply::Answer(200, text);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

// ---------------------------------------------------------------------------------------------------------
// Workers

/// A run as the worker carried it out.
#[derive(Clone, Debug)]
struct Interval {
    worker: usize,
    task: String,
    run: u64,
    from_ms: f64,
    to_ms: Option<f64>,
    how: &'static str,
}

#[derive(Clone)]
struct Running {
    run: u64,
    from_ms: f64,
    work_ms: f64,
    index: usize,
}

/// The disruption of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct WorkerTrouble {
    /// Of the starts, one in so many is carried out and the connection ends without the answer; 0 for none.
    lose_one_in: u64,
    /// The share of the orders, in percent, that get no answer and are carried out 2 to 12 s later.
    late_percent: u64,
}

struct WorkerState {
    number: usize,
    id: String,
    born: u64,
    fence: u64,
    /// The time until which everything is kept, on the worker's clock.
    deadline_ms: f64,
    running: BTreeMap<String, Running>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ended: u64,
    /// The highest run of each task that was stopped or has ended.
    highest: HashMap<String, u64>,
    sequence: u64,
    trouble: WorkerTrouble,
    starts: u64,
    lost_answers: u64,
    /// The state of a random number generator.
    dice: u64,
}

/// All workers, and all that ran on them.
struct Workers {
    record: SharedRecord,
    states: Vec<Mutex<WorkerState>>,
    intervals: Mutex<Vec<Interval>>,
    service: String,
    capacity_cpu: u64,
}

const MAX_HOLD_MS: f64 = 1000.0;
/// Two runs count as simultaneous from this on. All times are of one clock, so this is only a margin.
const MIN_OVERLAP_MS: f64 = 1.0;

impl Workers {
    fn new(record: SharedRecord, count: usize, service: &str, capacity_cpu: u64) -> Arc<Workers> {
        let born = unix_ms();
        let state = |number: usize| WorkerState {
            number,
            id: format!("i-{:08x}", 0x7f3a_0000 + number),
            born,
            fence: 0,
            deadline_ms: 0.0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            ended: 0,
            highest: HashMap::new(),
            sequence: 0,
            trouble: WorkerTrouble::default(),
            starts: 0,
            lost_answers: 0,
            dice: born ^ ((number as u64 + 1) << 32),
        };
        Arc::new(Workers {
            record,
            states: (0..count).map(|n| Mutex::new(state(n))).collect(),
            intervals: Mutex::new(Vec::new()),
            service: service.to_owned(),
            capacity_cpu,
        })
    }

    fn end(&self, state: &mut WorkerState, task: &str, at_ms: f64, how: &'static str) {
        let Some(running) = state.running.remove(task) else {
            return;
        };
        state.ended += 1;
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(running.run);
        let row = (state.ended, task.to_owned(), running.run, how);
        state.finished.push(row);
        let mut intervals = self.intervals.lock().unwrap();
        intervals[running.index].to_ms = Some(at_ms);
        intervals[running.index].how = how;
        let worker = state.number;
        let line = format!("worker {worker}: ended {task} run {}: {how}", running.run);
        self.record.note_at(at_ms, line);
    }

    /// Ends what is done and what nobody has renewed.
    fn advance(&self, state: &mut WorkerState) {
        let now = self.record.now_ms();
        let due: Vec<(String, f64)> = state
            .running
            .iter()
            .map(|(task, r)| (task.clone(), r.from_ms + r.work_ms))
            .collect();
        for (task, done_at) in due {
            if done_at <= now && done_at <= state.deadline_ms {
                self.end(state, &task, done_at, "done");
            } else if state.deadline_ms <= now {
                let at = state.deadline_ms;
                self.end(state, &task, at, "lapsed");
            }
        }
    }

    fn renew(&self, state: &mut WorkerState, body: &Json) {
        let wanted = body.get("deadlineMs").number() as f64;
        let most = self.record.now_ms() + MAX_HOLD_MS;
        state.deadline_ms = state.deadline_ms.max(wanted.min(most));
    }

    fn clock(&self) -> String {
        format!("{{\"clockMs\":{}}}", self.record.now_ms() as u64)
    }

    fn refuse(&self, reason: &str) -> Reply {
        let now = self.record.now_ms() as u64;
        Reply::Answer(409, format!("{{\"clockMs\":{now},\"reason\":\"{reason}\"}}"))
    }

    /// Returns whether a call is for another life, and whether its fencing token is too low.
    fn check(&self, state: &mut WorkerState, request: &Request, body: &Json) -> Option<Reply> {
        let meant = request.headers.get("stackcourse-expected-instance");
        if meant.is_some_and(|id| *id != state.id) {
            return Some(Reply::Answer(421, "{}".to_owned()));
        }
        let fence = body.get("fencingToken").number();
        if fence < state.fence {
            return Some(self.refuse("fence"));
        }
        state.fence = fence;
        None
    }

    fn start(&self, number: usize, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.states[number].lock().unwrap();
        let state = &mut *state;
        self.advance(state);
        if let Some(reply) = self.check(state, request, &body) {
            return reply;
        }
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number();
        let now = self.record.now_ms();
        let deadline = body.get("deadlineMs").number() as f64;
        if deadline > 0.0 && deadline < now {
            return self.refuse("late");
        }
        if state.highest.get(&task).is_some_and(|highest| run <= *highest) {
            self.renew(state, &body);
            return self.refuse("old");
        }
        self.renew(state, &body);
        if !state.running.contains_key(&task) {
            let work_ms: u64 = body.get("spec").text().parse().unwrap_or(0);
            let mut intervals = self.intervals.lock().unwrap();
            let index = intervals.len();
            intervals.push(Interval {
                worker: state.number,
                task: task.clone(),
                run,
                from_ms: now,
                to_ms: None,
                how: "",
            });
            drop(intervals);
            let running = Running {
                run,
                from_ms: now,
                work_ms: work_ms as f64,
                index,
            };
            state.running.insert(task.clone(), running);
            state.starts += 1;
            let worker = state.number;
            self.record
                .note_at(now, format!("worker {worker}: began {task} run {run}"));
        }
        let lose = state.trouble.lose_one_in;
        if lose > 0 && state.starts % lose == 0 {
            state.lost_answers += 1;
            let worker = state.number;
            let line = format!("worker {worker}: the answer to the start of {task} run {run} is lost");
            self.record.note(line);
            return Reply::Close;
        }
        Reply::Answer(200, self.clock())
    }

    fn stop(&self, number: usize, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.states[number].lock().unwrap();
        self.advance(&mut state);
        if let Some(reply) = self.check(&mut state, request, &body) {
            return reply;
        }
        let (task, run) = (body.get("task").text(), body.get("run").number());
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
        if state.running.get(task).is_some_and(|r| r.run <= run) {
            let now = self.record.now_ms();
            self.end(&mut state, task, now, "stopped");
        }
        Reply::Answer(200, self.clock())
    }

    fn hold(&self, number: usize, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let seen = body.get("lastSeen").number();
        let end = Instant::now() + Duration::from_millis(body.get("waitMs").number().min(2000));
        {
            let mut state = self.states[number].lock().unwrap();
            self.advance(&mut state);
            if let Some(reply) = self.check(&mut state, request, &body) {
                return reply;
            }
            self.renew(&mut state, &body);
            state.finished.retain(|row| row.0 > seen);
        }
        loop {
            let mut state = self.states[number].lock().unwrap();
            self.advance(&mut state);
            if !state.finished.is_empty() || Instant::now() >= end {
                return Reply::Answer(200, self.lists(&state));
            }
            drop(state);
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn lists(&self, state: &WorkerState) -> String {
        let now = self.record.now_ms();
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, r)| {
                let percent = ((now - r.from_ms) / r.work_ms.max(1.0) * 100.0).clamp(0.0, 99.0);
                format!("[{},{},\"\",{},0]", quote(task), r.run, percent as u64)
            })
            .collect();
        let finished: Vec<String> = state
            .finished
            .iter()
            .take(500)
            .map(|(n, task, run, how)| format!("[{n},{},{run},\"{how}\",\"\"]", quote(task)))
            .collect();
        format!(
            "{{\"born\":{},\"clockMs\":{},\"running\":[{}],\"finished\":[{}]}}",
            state.born,
            now as u64,
            running.join(","),
            finished.join(",")
        )
    }

    /// Returns after how long an order that gets no answer is carried out; `None` if it is answered.
    fn lateness(&self, number: usize) -> Option<Duration> {
        let mut state = self.states[number].lock().unwrap();
        if state.trouble.late_percent == 0 {
            return None;
        }
        let mut roll = |sides: u64| {
            state.dice = state
                .dice
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (state.dice >> 33) % sides
        };
        let (percent, delay) = (roll(100), 2000 + roll(10_000));
        (percent < state.trouble.late_percent).then(|| Duration::from_millis(delay))
    }

    fn answer(&self, number: usize, request: &Request) -> Reply {
        match request.path.as_str() {
            "/-/run-start" => self.start(number, request),
            "/-/run-stop" => self.stop(number, request),
            "/-/hold" => self.hold(number, request),
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn serve(self: &Arc<Workers>, number: usize, app: SocketAddr, beats: SocketAddr) -> io::Result<()> {
        let workers = self.clone();
        serve(app, move |request| {
            let Some(delay) = workers.lateness(number) else {
                return workers.answer(number, &request);
            };
            let (late, workers) = (delay, workers.clone());
            let what = request.path.trim_start_matches("/-/").to_owned();
            if what != "hold" {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let (task, run) = (body.get("task").text().to_owned(), body.get("run").number());
                let line = format!("worker {number}: no answer to {what} of {task} run {run}, done later");
                workers.record.note(line);
            }
            thread::spawn(move || {
                thread::sleep(late);
                workers.answer(number, &request);
            });
            Reply::Silence
        })?;
        let workers = self.clone();
        thread::spawn(move || loop {
            let (id, text) = {
                let mut state = workers.states[number].lock().unwrap();
                state.sequence += 1;
                let text = format!(
                    "{{\"service\":{},\"address\":\"{app}\",\"zone\":\"pl-hall-a\",\"version\":\"v1\",\"slots\":8,\
                     \"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":65536,\
                     \"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":{},\"sequence\":{},\"born\":{}}}",
                    quote(&workers.service),
                    workers.capacity_cpu,
                    workers.record.now_ms() as u64,
                    state.sequence,
                    state.born
                );
                (state.id.clone(), text)
            };
            let path = format!("/-/instances/{id}");
            call(
                beats,
                "PUT",
                &path,
                "Host: side\r\n",
                &text,
                Duration::from_secs(1),
            );
            thread::sleep(Duration::from_millis(1500));
        });
        // Ends are recorded when they happen, not when somebody asks.
        let workers = self.clone();
        thread::spawn(move || loop {
            workers.advance(&mut workers.states[number].lock().unwrap());
            thread::sleep(Duration::from_millis(1));
        });
        Ok(())
    }

    /// Returns the pairs of runs of one task that happened at the same time, with how long they did.
    fn overlaps(&self) -> Vec<(Interval, Interval, f64)> {
        let now = self.record.now_ms();
        let intervals = self.intervals.lock().unwrap();
        let mut found = Vec::new();
        for (i, one) in intervals.iter().enumerate() {
            for two in intervals[i + 1..].iter().filter(|two| two.task == one.task) {
                let from = one.from_ms.max(two.from_ms);
                let to = one.to_ms.unwrap_or(now).min(two.to_ms.unwrap_or(now));
                if to - from >= MIN_OVERLAP_MS {
                    found.push((one.clone(), two.clone(), to - from));
                }
            }
        }
        found
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

// ---------------------------------------------------------------------------------------------------------
// A proxy

/// A TCP proxy before the port of an entry for links. It can reset its connections, and cut off agents: nothing is
/// carried on their connections then, in either direction.
#[derive(Clone)]
struct Proxy {
    open: Arc<Mutex<Vec<TcpStream>>>,
    cut_off: Arc<Mutex<BTreeSet<String>>>,
}

impl Proxy {
    fn start(listen: SocketAddr, to: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind(listen)?;
        let proxy = Proxy {
            open: Arc::default(),
            cut_off: Arc::default(),
        };
        let shared = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming() {
                let Ok(client) = client else { continue };
                let Ok(server) = TcpStream::connect_timeout(&to, Duration::from_millis(500)) else {
                    reset(&client);
                    continue;
                };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let mut open = shared.open.lock().unwrap();
                for stream in [&client, &server] {
                    open.extend(stream.try_clone());
                }
                drop(open);
                let agent = Arc::default();
                shared.pump(&client, &server, &agent, true);
                shared.pump(&server, &client, &agent, false);
            }
        });
        Ok(proxy)
    }

    /// Carries what arrives on one connection to another one. The first bytes of an agent hold its name.
    fn pump(&self, from: &TcpStream, to: &TcpStream, agent: &Arc<Mutex<String>>, mut first: bool) {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let (agent, cut_off) = (agent.clone(), self.cut_off.clone());
        thread::spawn(move || {
            let mut chunk = [0u8; 65536];
            while let Ok(n) = from.read(&mut chunk) {
                if std::mem::take(&mut first) {
                    let text = String::from_utf8_lossy(&chunk[..n]).into_owned();
                    let name = text.split(|c: char| !c.is_ascii_alphanumeric() && c != '-');
                    let name = name.filter_map(|word| word.find("side-").map(|at| word[at..].to_owned()));
                    *agent.lock().unwrap() = name.last().unwrap_or_default();
                }
                while cut_off.lock().unwrap().contains(&*agent.lock().unwrap()) {
                    thread::sleep(Duration::from_millis(1));
                }
                if n == 0 || to.write_all(&chunk[..n]).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
        });
    }

    /// Resets all connections. New ones work at once.
    fn reset_all(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            reset(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Cuts off the agents of these names, and no others.
    fn cut(&self, agents: &[String]) {
        *self.cut_off.lock().unwrap() = agents.iter().cloned().collect();
    }
}

// ---------------------------------------------------------------------------------------------------------
// The system under test

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
/// The bounds of the small sites that the checks need.
const CANCEL_MS: f64 = 3000.0;
const STOP_GRACE_MS: f64 = 50.0;

struct Process {
    name: String,
    role: &'static str,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self) -> io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new("target/release/stackcourse");
        command
            .args(["platform", self.role])
            .env("STACKCOURSE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone()?))
            .stdout(Stdio::from(log));
        end_with_parent(&mut command);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the status of the process if it has ended by itself.
    fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok()?.map(|status| status.to_string())
    }
}

/// A deployment of the system with its stand-ins.
struct System {
    record: SharedRecord,
    workers: Arc<Workers>,
    entries: Vec<Process>,
    agents: Vec<Process>,
    /// For each entry, the proxy before its port for links.
    proxies: Vec<Proxy>,
    dir: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.agents) {
            process.end();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Fills a template of `deploy/` for a process.
fn fill(template: &Path, values: &[(&str, String)]) -> io::Result<String> {
    let mut text = std::fs::read_to_string(template)?;
    for (gap, value) in values {
        text = text.replace(&format!("{{{{{gap}}}}}"), value);
    }
    // No seeds: the store answers throughout, and everything is found there.
    if let (Some(from), Some(to)) = (text.find("{{#seeds}}"), text.find("{{/seeds}}")) {
        text.replace_range(from..to + "{{/seeds}}".len(), "");
    }
    if text.contains("{{") {
        return Err(io::Error::other(format!("{}: unknown gaps", template.display())));
    }
    Ok(text)
}

fn free_network() -> Option<[u8; 2]> {
    let first = std::process::id();
    (0..5000u32)
        .map(|n| (first.wrapping_mul(97) + n) % 50_000)
        .map(|n| [(n / 250) as u8 + 20, (n % 250) as u8])
        .find(|[a, b]| {
            let free =
                |host: u8, port: u16| TcpListener::bind((Ipv4Addr::new(127, *a, *b, host), port)).is_ok();
            free(1, 8169) && free(11, 7720) && free(31, 8165)
        })
}

impl System {
    fn start(record: SharedRecord, entries: usize, agents: usize, configuration: &str) -> io::Result<System> {
        let [a, b] = free_network().ok_or_else(|| io::Error::other("no free addresses"))?;
        let ip = |host: usize| Ipv4Addr::new(127, a, b, host as u8);
        let store = SocketAddr::from((ip(1), 8169));
        start_store(store, configuration)?;
        let dir = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&dir)?;
        let workers = Workers::new(record.clone(), agents, SERVICE, 16_000);
        let mut system = System {
            record,
            workers,
            entries: Vec::new(),
            agents: Vec::new(),
            proxies: Vec::new(),
            dir,
        };
        let zones = ["pl-hall-a", "pl-hall-b", "grand-baie"];
        let common = |name: &str, zone: &str, ip: Ipv4Addr| {
            vec![
                ("nodeName|json", quote(name)),
                ("zone|json", quote(zone)),
                ("ip|json", quote(&ip.to_string())),
                ("portRange|json", "[7720,7735]".to_owned()),
                ("platform.address|json", quote(&store.to_string())),
                ("bounds.graceS|json", "6".to_owned()),
                ("bounds.maxHoldMs|json", "1000".to_owned()),
                ("limits.cpuShare|json", "0.25".to_owned()),
                ("heartbeatMs|json", "1500".to_owned()),
            ]
        };
        for n in 0..entries {
            let at = ip(11 + n);
            let name = format!("edge-{}-1", zones[n % 3]);
            let mut values = common(&name, zones[n % 3], at);
            values.push(("bindAddrs.frontend|json", quote(&format!("{at}:8161"))));
            values.push(("bindAddrs.readiness|json", quote(&format!("{at}:8167"))));
            let text = fill(Path::new("deploy/entry.settings.json"), &values)?;
            // The proxy's address is announced to the others, so that the links between the machines can be
            // disrupted.
            let proxy = SocketAddr::from((at, 7730));
            let own = SocketAddr::from((at, 7720));
            let text = text.replacen(
                "\"node\": {",
                &format!("\"node\": {{ \"reached_at\": \"{proxy}\","),
                1,
            );
            system.proxies.push(Proxy::start(proxy, own)?);
            system.entries.push(system.process(name, "entry", at, &text)?);
        }
        for n in 0..agents {
            let at = ip(31 + n);
            let name = format!("side-{}-{}", zones[n % 3], n / 3 + 1);
            let (app, beats) = (SocketAddr::from((at, 8165)), SocketAddr::from((at, 8166)));
            let mut values = common(&name, zones[n % 3], at);
            values.push(("bindAddrs.controlPlane|json", quote(&beats.to_string())));
            values.push(("app|json", quote(&app.to_string())));
            let text = fill(Path::new("deploy/agent.settings.json"), &values)?;
            system.agents.push(system.process(name, "agent", at, &text)?);
            system.workers.serve(n, app, beats)?;
        }
        for process in system.entries.iter_mut().chain(&mut system.agents) {
            process.start()?;
        }
        system.wait_until_ready()?;
        Ok(system)
    }

    fn process(&self, name: String, role: &'static str, ip: Ipv4Addr, settings: &str) -> io::Result<Process> {
        let file = self.dir.join(format!("{name}.json"));
        std::fs::write(&file, settings)?;
        Ok(Process {
            log: self.dir.join(format!("{name}.log")),
            name,
            role,
            ip,
            settings: file,
            child: None,
        })
    }

    /// Waits until all entries are ready, with a link to each agent, and have run for longer than they count as
    /// just started.
    fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(25);
        let limit = Duration::from_secs(1);
        let ready = |entry: &Process| {
            let at = SocketAddr::from((entry.ip, 8167));
            let metrics = SocketAddr::from((entry.ip, 9464));
            let page = call(metrics, "GET", "/metrics", "Host: x\r\n", "", limit).1;
            let linked = page.lines().find(|l| l.contains("executors_linked"));
            let linked = linked.and_then(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
            call(at, "GET", "/-/ready", "Host: x\r\n", "", limit).0 == 200
                && linked == Some(self.agents.len() as f64)
        };
        while !self.entries.iter().all(ready) {
            if Instant::now() > end {
                return Err(io::Error::other("the system is not ready after 25 s"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(4));
        self.record.note("all entries are ready and linked to all agents");
        Ok(())
    }

    fn front(&self, entry: usize) -> SocketAddr {
        SocketAddr::from((self.entries[entry].ip, 8161))
    }

    fn name(&self, entry: usize) -> &str {
        &self.entries[entry].name
    }

    /// Notes processes that have ended by themselves.
    fn note_ends(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.agents) {
            if let Some(status) = process.ended() {
                self.record.note(format!("{} has ended: {status}", process.name));
            }
        }
    }
}

/// Returns a configuration with one queue, with the values of a queue of the small sites.
fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\
         \"type\":\"unsafe\",\"timeoutMs\":1500,\"sloMs\":60,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":2,\"extension\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\
         \"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\"preconditions\":false,\"headroom\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

/// A best-effort job. The `spec` tells the workers how long a task works, in milliseconds.
#[derive(Clone)]
struct JobPlan {
    id: u64,
    /// The number of steps, which run one after the other.
    steps: usize,
    /// The number of tasks in each step.
    tasks: u64,
    work_ms: u64,
    cpu: u64,
    deadline_ms: u64,
}

impl JobPlan {
    fn id(&self) -> String {
        format!("{:016x}", self.id)
    }

    fn path(&self) -> String {
        format!("{PREFIX}{}", self.id())
    }

    fn headers(&self) -> String {
        format!("Host: {HOST}\r\nStackcourse-Deadline: {}\r\n", self.deadline_ms)
    }

    fn body(&self) -> String {
        let step = |n: usize| {
            let after = if n > 0 {
                format!(",\"after\":[{}]", n - 1)
            } else {
                String::new()
            };
            format!(
                "{{\"count\":{},\"cpu\":{},\"memMb\":64,\"estimateMs\":{}{after}}}",
                self.tasks, self.cpu, self.work_ms
            )
        };
        let steps: Vec<String> = (0..self.steps).map(step).collect();
        format!(
            "{{\"spec\":\"{}\",\"bestEffort\":true,\"steps\":[{}]}}",
            self.work_ms,
            steps.join(",")
        )
    }
}

/// Hands a job in at an entry and notes the answer.
fn submit(record: &Record, front: SocketAddr, entry: &str, job: &JobPlan) -> Answered {
    let id = job.id();
    record.note(format!("client: POST {id} at {entry}"));
    let limit = Duration::from_millis(job.deadline_ms + 1000);
    let answer = call(front, "POST", &job.path(), &job.headers(), &job.body(), limit);
    record.note(format!(
        "client: answer to POST {id} at {entry}: {} {}",
        answer.0, answer.1
    ));
    answer
}

/// Cancels a job on an open connection to an entry. Returns the status and when the answer came.
fn cancel(record: &Record, stream: &mut TcpStream, entry: &str, job: &JobPlan) -> (u16, f64) {
    let id = job.id();
    record.note(format!("client: DELETE {id} at {entry}"));
    let headers = format!("Host: {HOST}\r\n");
    let sent = send_call(stream, "DELETE", &job.path(), &headers, "");
    let answer = sent.map_or((0, String::new()), |()| read_answer(stream));
    let at = record.note(format!(
        "client: answer to DELETE {id} at {entry}: {} {}",
        answer.0, answer.1
    ));
    (answer.0, at)
}

/// The runs of a job, by its id.
fn runs_of(workers: &Workers, job: &JobPlan) -> Vec<Interval> {
    let prefix = format!("{}.", job.id());
    let intervals = workers.intervals.lock().unwrap();
    let own = intervals.iter().filter(|i| i.task.starts_with(&prefix));
    own.cloned().collect()
}

fn wait_for_runs(workers: &Workers, job: &JobPlan, count: usize, limit: Duration) -> io::Result<()> {
    let end = Instant::now() + limit;
    while runs_of(workers, job).len() < count {
        if Instant::now() > end {
            return Err(io::Error::other(format!("{} did not begin in time", job.id())));
        }
        thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns what breaks UNASKED after the cancelling of a job was acknowledged at `acked_ms`: the starts later than
/// `cancel_ms` and, if no disruption was near then, the tasks still at work `stopGraceMs` after that.
fn unasked(workers: &Workers, job: &JobPlan, acked_ms: f64, calm: bool) -> Vec<String> {
    let now = workers.record.now_ms();
    let mut found = Vec::new();
    for run in runs_of(workers, job) {
        let begun = run.from_ms - acked_ms;
        let ended = run.to_ms.unwrap_or(now) - acked_ms;
        let what = format!("UNASKED: {} run {} on worker {}", run.task, run.run, run.worker);
        if begun > CANCEL_MS {
            found.push(format!(
                "{what} began {begun:.0} ms after the cancelling was acknowledged"
            ));
        } else if calm && ended > CANCEL_MS + STOP_GRACE_MS {
            found.push(format!(
                "{what} was at work until {ended:.0} ms after the cancelling was acknowledged"
            ));
        }
    }
    found
}

/// Returns what breaks TWICE: the runs of one task that happened at the same time.
fn twice(workers: &Workers) -> Vec<String> {
    let overlaps = workers.overlaps().into_iter();
    let lines = overlaps.map(|(one, two, ms)| {
        format!(
            "TWICE: {} ran on worker {} (run {}, from {:.1} ms) and on worker {} (run {}, from {:.1} ms) at once for \
             {ms:.1} ms",
            one.task, one.worker, one.run, one.from_ms, two.worker, two.run, two.from_ms
        )
    });
    lines.collect()
}

/// The result of a case: what broke the rule.
type Findings = io::Result<Vec<String>>;

/// TWICE: workers carry out starts whose answers are lost because the connection ends first.
fn case_lost_answers(record: &SharedRecord, trouble: bool) -> Findings {
    let mut system = System::start(record.clone(), 3, 4, &configuration())?;
    let fronts: Vec<SocketAddr> = (0..3).map(|n| system.front(n)).collect();
    let names: Vec<String> = (0..3).map(|n| system.name(n).to_owned()).collect();
    let mut clients = Vec::new();
    for n in 0..160usize {
        if n == 20 && trouble {
            for worker in 0..2 {
                system.workers.states[worker].lock().unwrap().trouble.lose_one_in = 6;
            }
            record.note("from now on workers 0 and 1 lose the answer to one start in six");
        }
        if n == 140 && trouble {
            for worker in 0..2 {
                system.workers.states[worker].lock().unwrap().trouble.lose_one_in = 0;
            }
            record.note("from now on no answer is lost");
        }
        let job = JobPlan {
            id: 0x5c0e_7a21_d94b_0000 + n as u64,
            steps: 1,
            tasks: 2,
            work_ms: 200,
            cpu: 1600,
            deadline_ms: 1500,
        };
        let (record, fronts, names) = (record.clone(), fronts.clone(), names.clone());
        clients.push(thread::spawn(move || {
            let mut entry = n % 3;
            for _ in 0..2 {
                let (status, _) = submit(&record, fronts[entry], &names[entry], &job);
                if ![0, 502, 504].contains(&status) {
                    return status;
                }
                pause(1300);
                entry = (entry + 1) % 3;
            }
            0
        }));
        pause(50);
    }
    let answers: Vec<u16> = clients.into_iter().map(|c| c.join().unwrap_or(0)).collect();
    pause(1500);
    system.note_ends();
    let served = answers.iter().filter(|status| **status == 200).count();
    let lost: u64 = system
        .workers
        .states
        .iter()
        .map(|s| s.lock().unwrap().lost_answers)
        .sum();
    record.note(format!(
        "{served} of {} jobs served, {lost} answers to starts lost",
        answers.len()
    ));
    if served < answers.len() / 2 {
        return Err(io::Error::other("fewer than half of the jobs were served"));
    }
    Ok(twice(&system.workers))
}

/// TWICE: agents are cut off while their workers leave half of the orders unanswered and carry them out late.
fn case_late_stops(record: &SharedRecord, trouble: bool) -> Findings {
    const AGENTS: usize = 6;
    let mut system = System::start(record.clone(), 3, AGENTS, &configuration())?;
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..33u64 {
        let entry = client as usize % 3;
        let (record, over) = (record.clone(), over.clone());
        let (front, name) = (system.front(entry), system.name(entry).to_owned());
        clients.push(thread::spawn(move || {
            let mut served = 0;
            for n in 0.. {
                if over.load(Ordering::SeqCst) {
                    break;
                }
                let job = JobPlan {
                    id: 0x5c0e_0000_0000_0000 + (client << 16) + n,
                    steps: 1,
                    tasks: 4,
                    work_ms: 5000,
                    cpu: 500,
                    deadline_ms: 20_000,
                };
                let (status, _) = submit(&record, front, &name, &job);
                served += u64::from(status == 200);
                pause(100);
            }
            served
        }));
        pause(30);
    }
    pause(2000);
    for round in 0..18usize {
        let pair = [(2 * round) % AGENTS, (2 * round + 1) % AGENTS];
        if trouble {
            let names: Vec<String> = pair.iter().map(|n| system.agents[*n].name.clone()).collect();
            record.note(format!(
                "{} and {} are cut off from the entries for 2 s; their workers are late with half of the orders",
                names[0], names[1]
            ));
            pair.iter()
                .for_each(|n| system.workers.states[*n].lock().unwrap().trouble.late_percent = 50);
            system.proxies.iter().for_each(|proxy| proxy.cut(&names));
        }
        pause(2000);
        system.proxies.iter().for_each(|proxy| proxy.cut(&[]));
        pair.iter()
            .for_each(|n| system.workers.states[*n].lock().unwrap().trouble.late_percent = 0);
        if trouble {
            record.note("the cut is over, and orders are answered");
        }
        pause(2000);
    }
    over.store(true, Ordering::SeqCst);
    let served: u64 = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    system.note_ends();
    record.note(format!("{served} jobs served"));
    if served < 50 {
        return Err(io::Error::other("hardly any job was served"));
    }
    Ok(twice(&system.workers))
}

/// UNASKED: a job is cancelled at the second entry at which it was handed in, while the first one is frozen.
fn case_frozen_entry(record: &SharedRecord, trouble: bool) -> Findings {
    let mut system = System::start(record.clone(), 3, 4, &configuration())?;
    let job = JobPlan {
        id: 0x5c0e_7a21_d94b_36fa,
        steps: 8,
        tasks: 2,
        work_ms: 1200,
        cpu: 1600,
        deadline_ms: 20_000,
    };
    let hand_in = |entry: usize| {
        let (record, front, job) = (record.clone(), system.front(entry), job.clone());
        let name = system.name(entry).to_owned();
        thread::spawn(move || submit(&record, front, &name, &job))
    };
    let first = hand_in(0);
    wait_for_runs(&system.workers, &job, 2, Duration::from_secs(3))?;
    // `retransmitMs` without a response: the job comes again at another node.
    pause(1300);
    let second = hand_in(1);
    pause(700);
    let name = system.name(0).to_owned();
    if trouble {
        system.entries[0].signal(SIGSTOP);
        record.note(format!("{name} is frozen for 4 s"));
    }
    pause(50);
    let mut stream = connect(system.front(1), Duration::from_secs(4))?;
    let (status, acked) = cancel(record, &mut stream, system.name(1), &job);
    pause(3950);
    if trouble {
        system.entries[0].signal(SIGCONT);
        record.note(format!("{name} runs again"));
    }
    pause(8000);
    let _ = (first.join(), second.join());
    system.note_ends();
    if ![200, 410].contains(&status) {
        return Err(io::Error::other(format!(
            "the cancelling was answered with {status}"
        )));
    }
    // The entry wakes about `cancel_ms` after the acknowledgement, so only starts count, which the machines of the
    // workers make; nothing happened to those.
    Ok(unasked(&system.workers, &job, acked, false))
}

/// UNASKED: a job is cancelled while the links of its entry are reset.
fn case_lost_stop(record: &SharedRecord, trouble: bool) -> Findings {
    let mut system = System::start(record.clone(), 3, 4, &configuration())?;
    let job = JobPlan {
        id: 0x5c0e_7a21_d94b_36f8,
        steps: 1,
        tasks: 4,
        work_ms: 7000,
        cpu: 1600,
        deadline_ms: 20_000,
    };
    let (front, name) = (system.front(0), system.name(0).to_owned());
    let client = {
        let (record, name, job) = (record.clone(), name.clone(), job.clone());
        thread::spawn(move || submit(&record, front, &name, &job))
    };
    wait_for_runs(&system.workers, &job, 4, Duration::from_secs(3))?;
    pause(1000);
    let mut stream = connect(front, Duration::from_secs(4))?;
    if trouble {
        system.proxies[0].reset_all();
        record.note(format!(
            "the connections between {name} and the other machines are reset"
        ));
    }
    let (status, acked) = cancel(record, &mut stream, &name, &job);
    pause(6500);
    let _ = client.join();
    system.note_ends();
    if ![200, 410].contains(&status) {
        return Err(io::Error::other(format!(
            "the cancelling was answered with {status}"
        )));
    }
    Ok(unasked(&system.workers, &job, acked, true))
}

/// UNASKED: a job comes again at another entry after a broken connection, and is cancelled at the first one.
fn case_moved_job(record: &SharedRecord, trouble: bool) -> Findings {
    let mut system = System::start(record.clone(), 3, 4, &configuration())?;
    let job = JobPlan {
        id: 0x5c0e_7a21_d94b_36f9,
        steps: 8,
        tasks: 2,
        work_ms: 1200,
        cpu: 1600,
        deadline_ms: 20_000,
    };
    let fronts = [system.front(0), system.front(1)];
    let names = [system.name(0).to_owned(), system.name(1).to_owned()];
    let id = job.id();
    let mut first = Some(connect(fronts[0], Duration::from_secs(20))?);
    record.note(format!("client: POST {id} at {}", names[0]));
    if let Some(first) = &mut first {
        send_call(first, "POST", &job.path(), &job.headers(), &job.body())?;
    }
    wait_for_runs(&system.workers, &job, 2, Duration::from_secs(3))?;
    pause(300);
    let client = trouble.then(|| {
        first.take().inspect(reset);
        record.note(format!("client: the connection to {} is reset", names[0]));
        pause(1300);
        let (record, front, name, job) = (record.clone(), fronts[1], names[1].clone(), job.clone());
        thread::spawn(move || submit(&record, front, &name, &job))
    });
    if trouble {
        wait_for_runs(&system.workers, &job, 4, Duration::from_secs(5))?;
    }
    pause(500);
    let mut stream = connect(fronts[0], Duration::from_secs(4))?;
    let (status, acked) = cancel(record, &mut stream, &names[0], &job);
    pause(9000);
    if let Some(client) = client {
        let _ = client.join();
    }
    system.note_ends();
    if ![200, 410].contains(&status) {
        return Err(io::Error::other(format!(
            "the cancelling was answered with {status}"
        )));
    }
    Ok(unasked(&system.workers, &job, acked, true))
}

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let file = args.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Arc::new(Record {
        begun: Instant::now(),
        lines: Mutex::new(Vec::new()),
    });
    // No case takes longer than 120 s.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    record.note(format!(
        "case {case}, {}",
        if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let result = match case.as_str() {
        "lost-answers" => case_lost_answers(&record, trouble),
        "late-stops" => case_late_stops(&record, trouble),
        "frozen-entry" => case_frozen_entry(&record, trouble),
        "lost-stop" => case_lost_stop(&record, trouble),
        "moved-job" => case_moved_job(&record, trouble),
        _ => Err(io::Error::other(format!("unknown case {case}"))),
    };
    let code = match &result {
        Ok(found) => {
            for line in found {
                record.note(format!("BROKEN: {line}"));
                println!("{line}");
            }
            record.note(if found.is_empty() {
                "the rule held"
            } else {
                "the rule was broken"
            });
            i32::from(!found.is_empty())
        }
        Err(error) => {
            record.note(format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            2
        }
    };
    let mut lines = record.lines.lock().unwrap().clone();
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let text: Vec<String> = lines
        .iter()
        .map(|(at, line)| format!("{at:10.1} ms  {line}\n"))
        .collect();
    if std::fs::write(&file, text.concat()).is_err() {
        std::process::exit(2);
    }
    std::process::exit(code);
}
