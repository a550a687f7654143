//! Stand-ins of the platform for the review's scripts: the store, instances, clients, and gateway
//! processes that are started with the command and the template of the deploy file.
//!
//! Only the standard library is used, so that `rustc` alone builds it.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const MS: Duration = Duration::from_millis(1);

/// Whether the disruption of the case is played: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

pub fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// The record of a case: what was sent, answered and run, with seconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {}", text.as_ref());
    }

    /// Adds a line and also prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.add(text);
    }
}

/// A message: its head as sent, and its body.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message with a `content-length`; `None` if the connection ends before it is whole.
    pub fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if !matches!(stream.read(&mut byte), Ok(1)) {
                return None;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut message = Self { head, body: Vec::new() };
        let length = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(':'));
        fields.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    /// The second word of the first line: a request's target or a response's status.
    pub fn second(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default().trim()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

// ---------------------------------------------------------------------------------------- store

#[derive(Default)]
struct Topics {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
}

/// The platform's store: a log with keyed topics of one partition, which answers after 4 ms.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

const STORE_ANSWER: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store has a free port");
        let address = listener.local_addr().unwrap();
        let store = Self { address, topics: Arc::default() };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    /// Appends a record of the operator or of an instance; returns when it is acknowledged.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        thread::sleep(STORE_ANSWER);
        self.append(topic, key, value.as_bytes());
        Instant::now()
    }

    fn append(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let records = topics.topics.entry(topic.into()).or_default();
        records.push((key.into(), value.into()));
        let end = records.len() as u64;
        changed.notify_all();
        end
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(call) = Message::read(&mut stream) {
            let target = call.second().to_owned();
            let (operation, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let topic = query.get("topic").copied().unwrap_or_default();
            let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0u64);
            let (status, body) = match operation {
                "/log-newest" => (200, self.newest(topic, query.get("after").copied())),
                "/log-read" => (200, self.read(topic, number("from"), number("wait_ms"))),
                "/log-append" => self.append_records(topic, &call.body),
                _ => (404, Vec::new()),
            };
            thread::sleep(STORE_ANSWER);
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn append_records(&self, topic: &str, mut body: &[u8]) -> (u16, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Vec::new());
        }
        let mut end = 0;
        while body.len() >= 5 {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            let (record, rest) = body[4..].split_at(length);
            let (key, value) = record[1..].split_at(record[0] as usize);
            end = self.append(topic, &String::from_utf8_lossy(key), value);
            body = rest;
        }
        (200, format!(r#"{{"offset":{},"end_offset":{end}}}"#, end.saturating_sub(1)).into_bytes())
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Vec<u8> {
        const PAGE: usize = 50;
        let after = after.map(percent_decode);
        let topics = self.topics.0.lock().unwrap();
        let records = topics.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .into_iter()
            .filter(|(key, (_, value))| !value.is_empty() && after.as_ref().is_none_or(|a| a < key))
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        let page = items[..items.len().min(PAGE)].join(",");
        let (more, end) = (items.len() > PAGE, records.len());
        format!(r#"{{"items":[{page}],"has_more":{more},"end_offset":{end}}}"#).into_bytes()
    }

    fn read(&self, topic: &str, from: u64, wait_ms: u64) -> Vec<u8> {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.topics.get(topic).map_or(&[][..], Vec::as_slice);
            let found = records.get(from as usize..).unwrap_or_default();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in found {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return body;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let code = (first == b'%').then(|| tail.get(..2)).flatten();
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(DIGITS[(value >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ------------------------------------------------------------------------------------ instances

/// What the instances of one service do with a request: how long they work on it.
pub type Work = Arc<dyn Fn(&Message) -> Duration + Send + Sync>;

/// An instance, which runs `slots` requests at a time and queues a few more.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    pub zone: String,
    slots: usize,
    running: Arc<AtomicUsize>,
    working: Arc<AtomicUsize>,
    born: u128,
    work: Work,
    record: Record,
}

impl Instance {
    pub fn start(id: &str, service: &str, zone: &str, slots: usize, ip: Ipv4Addr, work: Work, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("an instance has a free port");
        let born = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_millis();
        let instance = Self {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            service: service.into(),
            zone: zone.into(),
            slots,
            running: Arc::default(),
            working: Arc::default(),
            born,
            work,
            record: record.clone(),
        };
        let shared = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        instance
    }

    /// Registers in the store. The beats that follow change no more than `sequence`, so the entry
    /// does not change.
    pub fn register(&self, store: &Store) {
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","max_concurrency":{},"state":"ready","warmup_remaining_ms":0,"sequence":1,"born":{}}}"#,
            self.service, self.address, self.zone, self.slots, self.born
        );
        store.put("keyed.servers", &self.id, &entry);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = Message::read(&mut stream) {
            let running = self.running.load(Ordering::Relaxed);
            let (busy, waiting) = (running.min(self.slots), running.saturating_sub(self.slots));
            let load = format!("X-Instance-Load: {busy},{waiting},{},100\r\n", self.slots);
            let response = if request.second() == "/health" {
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\n{load}Content-Length: 0\r\n\r\n", self.id)
            } else {
                let id = request.field("x-attempt-id").unwrap_or_default().to_owned();
                let echo = format!("X-Attempt-Id: {id}\r\n{load}");
                if request.field("x-expect-instance").is_some_and(|expected| expected != self.id) {
                    format!("HTTP/1.1 421 Misdirected Request\r\n{echo}X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)
                } else if self.running.fetch_add(1, Ordering::Relaxed) >= 3 * self.slots {
                    self.running.fetch_sub(1, Ordering::Relaxed);
                    format!("HTTP/1.1 503 Service Unavailable\r\n{echo}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                } else {
                    self.record.add(format!("instance {} runs {id}", self.id));
                    // A request beyond the slots waits for one.
                    while self.working.fetch_add(1, Ordering::SeqCst) >= self.slots {
                        self.working.fetch_sub(1, Ordering::SeqCst);
                        thread::sleep(2 * MS);
                    }
                    let is_done = self.run((self.work)(&request), &stream);
                    self.working.fetch_sub(1, Ordering::SeqCst);
                    self.running.fetch_sub(1, Ordering::Relaxed);
                    if !is_done {
                        self.record.add(format!("instance {} drops {id}: its connection was closed", self.id));
                        return;
                    }
                    self.record.add(format!("instance {} has run {id}", self.id));
                    format!("HTTP/1.1 200 OK\r\n{echo}X-Response-Seal: seal.{id}\r\nContent-Length: 4\r\n\r\ndone")
                }
            };
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Works on a request; returns `false` as soon as its connection is closed.
    fn run(&self, work: Duration, stream: &TcpStream) -> bool {
        let (mut left, mut last) = (work.as_secs_f64(), Instant::now());
        while left > 0.0 {
            thread::sleep(5 * MS);
            let now = Instant::now();
            left -= now.duration_since(last).as_secs_f64();
            last = now;
            let _ = stream.set_nonblocking(true);
            let peeked = stream.peek(&mut [0]);
            let _ = stream.set_nonblocking(false);
            let is_closed = match peeked {
                Ok(count) => count == 0,
                Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            };
            if is_closed {
                return false;
            }
        }
        true
    }
}

// -------------------------------------------------------------------------------- configuration

/// A route of a configuration.
pub struct Route<'a> {
    pub name: String,
    pub prefix: String,
    pub kind: &'a str,
    pub timeout_ms: u32,
    pub service: &'a str,
}

pub const HOST: &str = "one.example";

/// The operator's configuration, in the layout of `op/config`.
pub fn config(version: u64, routes: &[Route], services: &[&str], connections: u32) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, prefix, kind, timeout_ms, service } = route;
            format!(r#"["{name}","{HOST}","{prefix}","{kind}",{timeout_ms},1000,1,null,2,"{service}"]"#)
        })
        .collect();
    let services: Vec<String> =
        services.iter().map(|name| format!(r#"["{name}","/health",{connections},"h1",false]"#)).collect();
    format!(
        r#"{{"version":{version},"routes":{{"columns":["name","host","path_prefix","route_type","timeout_ms","target_latency_ms","priority","backends","max_attempts","service"],"rows":[{}]}},"services":{{"columns":["name","health_check_path","max_connections","protocol","tls_enabled"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

// ------------------------------------------------------------------------------------- gateways

/// A temporary folder, removed when the value is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback network of this case: no other process of the machine is likely to use it.
pub fn network() -> u8 {
    let free = |octet: &u8| TcpListener::bind((Ipv4Addr::new(127, *octet, 200, 1), 9180)).is_ok();
    let first = (std::process::id() % 150) as u8 + 20;
    (first..=first + 60).find(free).expect("a free loopback network")
}

/// Settings of a gateway that differ between machines or sites.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub grace_s: u32,
    pub memory_mb: u32,
    pub probes_per_s: u32,
    pub retry_slack: u32,
}

/// A gateway process. It is killed when the value is dropped.
pub struct Gateway {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    child: Child,
}

impl Gateway {
    /// Starts the program of the deploy file with its template, as the platform fills it in.
    pub fn start(machine: &Machine, store: SocketAddr, seeds: &[SocketAddr], folder: &Path) -> Self {
        let Machine { name, zone, ip, .. } = machine;
        let text = std::fs::read_to_string("deploy/settings.jsonc").expect("run in the repository");
        let seeds: Vec<String> = seeds.iter().map(|seed| format!(r#""{seed}""#)).collect();
        let values = [
            ("node|json", format!(r#""{name}""#)),
            ("zone|json", format!(r#""{zone}""#)),
            ("listen.front|json", format!(r#""{ip}:8381""#)),
            ("listen.ready|json", format!(r#""{ip}:8388""#)),
            ("listen.control|json", format!(r#""{ip}:8382""#)),
            ("ip", ip.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("platform.address|json", format!(r#""{store}""#)),
            ("limits.link_mbps", "1000.0".into()),
            ("bootstrap|json", "true".into()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.retry_budget_slack", machine.retry_slack.to_string()),
            ("bounds.retry_window_s", "10".into()),
            ("bounds.probes_per_s", machine.probes_per_s.to_string()),
            ("bounds.grace_period_s", machine.grace_s.to_string()),
            ("limits.max_fds", "4100".into()),
            ("limits.memory_mb", machine.memory_mb.to_string()),
        ];
        let fill = |text: String, (key, value): &(&str, String)| text.replace(&format!("{{{{{key}}}}}"), value);
        let text = values.iter().fold(text, fill);
        assert!(!text.contains("{{"), "the template has an unknown placeholder: {text}");
        let (settings, log) = (folder.join(format!("{name}.jsonc")), folder.join(format!("{name}.log")));
        std::fs::write(&settings, text).expect("the settings can be written");
        let mut words = deploy_command();
        let mut command = Command::new(words.remove(0));
        command.args(words).env("CORNELLINK_NODE_FILE", &settings);
        let output = File::create(&log).expect("the log can be written");
        let child = command.stdin(Stdio::null()).stdout(output).spawn().expect("the gateway is built");
        let at = |port| SocketAddr::from((*ip, port));
        Self { name: name.clone(), zone: zone.clone(), ip: *ip, front: at(8381), ready: at(8388), log, child }
    }

    /// Whether the readiness check answers with 200 within a second.
    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "signal {name}");
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The words of `run` in the deploy file.
fn deploy_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("run in the repository");
    let line = text.lines().find(|line| line.trim_start().starts_with("run")).expect("`run`");
    let command = line.split('"').nth(1).expect("`run` is a string");
    command.split(' ').map(str::to_owned).collect()
}

pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, 1000 * MS) else { return false };
    let _ = stream.set_read_timeout(Some(1000 * MS));
    let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    Message::read(&mut stream).is_some_and(|response| response.status() == 200)
}

/// Waits until all gateways are ready; returns whether they are.
pub fn wait_ready(gateways: &[Gateway], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(50 * MS);
    }
    true
}

/// The platform's choice of nodes for new connections in one zone: it asks each node once a second,
/// takes a node out after two misses and in again after a 200, and uses all nodes of the zone if
/// fewer than half are in rotation.
#[derive(Clone)]
pub struct Rotation {
    misses: Arc<Vec<AtomicUsize>>,
}

impl Rotation {
    pub fn start(gateways: &[Gateway]) -> Self {
        let misses: Vec<AtomicUsize> = gateways.iter().map(|_| AtomicUsize::new(0)).collect();
        let rotation = Self { misses: Arc::new(misses) };
        for (index, gateway) in gateways.iter().enumerate() {
            let (address, shared) = (gateway.ready, rotation.clone());
            thread::spawn(move || loop {
                let asked = Instant::now();
                match is_ready(address) {
                    true => shared.misses[index].store(0, Ordering::Relaxed),
                    false => {
                        shared.misses[index].fetch_add(1, Ordering::Relaxed);
                    }
                }
                sleep_until(asked + 1000 * MS);
            });
        }
        rotation
    }

    pub fn is_in(&self, index: usize) -> bool {
        self.misses[index].load(Ordering::Relaxed) < 2
    }

    /// Whether the platform hands new connections to this node.
    pub fn is_used(&self, index: usize) -> bool {
        let count = (0..self.misses.len()).filter(|index| self.is_in(*index)).count();
        self.is_in(index) || 2 * count < self.misses.len()
    }
}
