//! Minimal controllers, targets and HTTP clients for tests of the entry.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;

use gooseberryloft::ids::Fence;
use gooseberryloft::ids::GroupId;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ids::Version;
use gooseberryloft::link;
use gooseberryloft::link::Message;
use gooseberryloft::owner::assignment::Assignment;
use gooseberryloft::owner::assignment::Owner;
use gooseberryloft::settings::Settings;
use gooseberryloft::state_sync::Summary;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::KeySource;
use gooseberryloft::ticket::Keying;
use gooseberryloft::ticket::Service;
use gooseberryloft::ticket::Target;
use gooseberryloft::ticket::TargetState;
use gooseberryloft::traffic::entry::Entry;
use gooseberryloft::view::View;

pub const TOKEN: &str = "0123456789abcdef";
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A request as received by a target.
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(given, _)| given.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value)
    }
}

/// Starts a target; `handler` is called with each connection and its index, which starts at 0.
pub fn target(
    handler: impl Fn(BufReader<TcpStream>, usize) + Clone + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let stream = stream.unwrap();
            stream.set_nodelay(true).unwrap();
            let handler = handler.clone();
            thread::spawn(move || handler(BufReader::new(stream), number));
        }
    });
    address
}

/// Starts an HTTP target that responds to every request with the bytes returned by `respond`.
pub fn http_target(
    respond: impl Fn(&ReceivedRequest) -> Vec<u8> + Clone + Send + 'static,
) -> SocketAddr {
    target(move |mut conn, _| {
        while let Some(request) = read_request(&mut conn) {
            let _ = conn.get_mut().write_all(&respond(&request));
        }
    })
}

pub fn ok_response(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub fn read_head(conn: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if conn.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

pub fn read_request(conn: &mut impl BufRead) -> Option<ReceivedRequest> {
    let head = read_head(conn)?;
    let body = read_body(conn, &head)?;
    Some(ReceivedRequest { head, body })
}

/// Reads a body; `None` if it is truncated.
pub fn read_body(conn: &mut impl BufRead, head: &str) -> Option<Vec<u8>> {
    let lower = head.to_ascii_lowercase();
    let value = |name: &str| {
        lower
            .lines()
            .find_map(|l| l.strip_prefix(name).map(str::to_owned))
    };
    if value("transfer-encoding: chunked").is_some() {
        return read_chunks(conn);
    }
    let length = value("content-length: ").map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0; length];
    conn.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_chunks(conn: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        conn.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        conn.read_exact(&mut chunk).ok()?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Some(body);
        }
    }
}

/// Starts a controller that sends this view to every entry that connects.
pub fn controller(view: View) -> SocketAddr {
    controller_for(view, Duration::MAX)
}

/// Starts a controller that serves its first link for `lifetime` and then stops; with
/// [`Duration::MAX`], it serves any number of links and never stops.
pub fn controller_for(view: View, lifetime: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap().into();
            let view = view.clone();
            if lifetime == Duration::MAX {
                thread::spawn(move || task::block_on(serve_link(stream, view)));
                continue;
            }
            let _ = task::block_on(async_std::future::timeout(
                lifetime,
                serve_link(stream, view),
            ));
            return;
        }
    });
    address
}

async fn serve_link(stream: async_std::net::TcpStream, view: View) {
    let Ok(mut link) = link::accept(stream, TOKEN).await else {
        return;
    };
    while let Ok(message) = link.recv().await {
        let responses = match message {
            Message::Hello(hello) => vec![Message::Changes(view.changes_since(&hello.digest))],
            Message::Digest(digest) => vec![Message::Changes(view.changes_since(&digest))],
            Message::Ping(number) => vec![Message::Pong(number)],
            _ => continue,
        };
        for response in responses
            .into_iter()
            .chain([Message::Summary(Summary::of(&view, Some(0)))])
        {
            if link.send(&response).await.is_err() {
                return;
            }
        }
    }
}

pub fn settings(controllers: &[SocketAddr], threads: usize, extra_settings: &str) -> String {
    let list: Vec<String> = controllers.iter().map(SocketAddr::to_string).collect();
    format!(
        "[vm]\nname = entry-1\ndata_centre = ikeja\n\
         [entry]\nlisten = 127.0.0.1:0\nadmin = 127.0.0.2:0\ncontrollers = {}\nthreads = {threads}\n{extra_settings}\n\
         [controller]\npeer = 127.0.0.1:8090\nadmin = 127.0.0.1:8091\n\
         [platform]\ntable = 127.0.0.1:8100\nobjects = 127.0.0.1:8101\nvms = 127.0.0.1:8102\n\
         [security]\ntoken = {TOKEN}\n",
        list.join(" ")
    )
}

/// Starts an entry that routes by this view.
pub fn start_entry(view: View) -> Entry {
    start_entry_with(view, 1, "")
}

pub fn start_entry_with(view: View, threads: usize, extra_settings: &str) -> Entry {
    let text = settings(&[controller(view)], threads, extra_settings);
    let settings = Settings::parse("test.ini", &text).unwrap();
    let entry = Entry::start(&settings).unwrap();
    let started = Instant::now();
    while entry.shared().is_stale() {
        assert!(started.elapsed() < TIMEOUT, "the entry received no view");
        thread::sleep(Duration::from_millis(5));
    }
    entry
}

pub fn service(prefix: &str, targets: &[SocketAddr]) -> Service {
    let target = |address: &SocketAddr| Target {
        address: *address,
        data_centre: "ikeja".into(),
        slots: 6,
        connections: 130,
        checks_term: true,
        group: 0,
        state: TargetState::Serving,
    };
    let named = targets.iter().enumerate();
    Service {
        prefix: prefix.into(),
        keying: None,
        idempotent: vec!["GET".into(), "HEAD".into(), "PUT".into()],
        priority: 1,
        spread_percent: 100,
        deadline_ms: 5000,
        targets: named
            .map(|(i, a)| (format!("t{i}").into(), target(a)))
            .collect(),
    }
}

/// Returns a view with one unkeyed service under `/`.
pub fn view(targets: &[SocketAddr]) -> View {
    view_of(service("/", targets))
}

pub fn view_of(service: Service) -> View {
    let state = InForce {
        number: TicketNumber(1),
        services: BTreeMap::from([("roster".into(), service)]),
    };
    View {
        state,
        groups: BTreeMap::new(),
    }
}

/// Returns a view with one keyed service of 4 shards, all owned by one target at fence 7.
pub fn keyed_view(address: SocketAddr) -> View {
    let mut keyed = service("/jobs", &[address]);
    keyed.keying = Some(Keying {
        source: KeySource::Path,
        shards: 4,
        groups: 1,
    });
    let mut view = view_of(keyed);
    let id = GroupId {
        service: "roster".into(),
        index: 0,
    };
    let owner = Owner {
        target: Some("t0".into()),
        fence: Fence(7),
    };
    let mut group = Assignment::empty(id.clone());
    group.version = Version(1);
    group.owners = (0..4).map(|shard| (Shard(shard), owner.clone())).collect();
    view.groups.insert(id, Arc::new(group));
    view
}

pub fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(TIMEOUT)).unwrap();
    BufReader::new(stream)
}

/// Sends bytes and returns everything received until the connection ends.
pub fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut conn = connect(address);
    let _ = conn.get_mut().write_all(request);
    let mut response = Vec::new();
    let _ = conn.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Sends a GET request with `connection: close`; returns the head and body of the response.
pub fn get(address: SocketAddr, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    exchange(address, request.as_bytes())
}

/// Reads one response from a persistent connection; `None` if it is truncated.
pub fn read_response(conn: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let head = read_head(conn)?;
    let body = read_body(conn, &head)?;
    Some((head, body))
}
