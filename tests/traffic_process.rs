//! The entry program as a separate process: readiness, failover between controllers, and graceful
//! shutdown under load.

mod traffic_support;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use crate::traffic_support::TIMEOUT;
use crate::traffic_support::connect;
use crate::traffic_support::controller;
use crate::traffic_support::controller_for;
use crate::traffic_support::get;
use crate::traffic_support::http_target;
use crate::traffic_support::ok_response;
use crate::traffic_support::read_head;
use crate::traffic_support::read_request;
use crate::traffic_support::read_response;
use crate::traffic_support::settings;
use crate::traffic_support::target;
use crate::traffic_support::view;
use gooseberryloft::ids::TicketNumber;

const PART_BYTES: usize = 64 << 10;
const PARTS: usize = 60;

/// A running entry process; dropping it kills the process.
struct Process {
    child: Child,
    callers: SocketAddr,
    admin: SocketAddr,
}

impl Process {
    fn start(name: &str, controllers: &[SocketAddr], extra_settings: &str) -> Self {
        let file = std::env::temp_dir().join(format!("{name}-{}.ini", std::process::id()));
        std::fs::write(&file, settings(controllers, 2, extra_settings)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberryloft-entry"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        std::fs::remove_file(&file).unwrap();
        let mut addresses = line
            .split([' ', ',', '\n'])
            .filter_map(|word| word.parse().ok());
        Self {
            callers: addresses.next().expect("the callers' address is printed"),
            admin: addresses.next().expect("the admin address is printed"),
            child,
        }
    }

    fn terminate(&self) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status().unwrap();
        assert!(status.success());
    }

    fn wait_ready(&self, ready: bool) {
        let status = if ready {
            "HTTP/1.1 200 "
        } else {
            "HTTP/1.1 503 "
        };
        let started = Instant::now();
        while !get(self.admin, "/readyz").starts_with(status) {
            assert!(
                started.elapsed() < TIMEOUT,
                "/readyz did not return {status}"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the expected byte at an offset of the long body.
fn byte(at: usize) -> u8 {
    (at * 31 % 251) as u8
}

/// Starts a target that sends a long body in parts with pauses, or a short one for `/short`.
fn slow_target() -> SocketAddr {
    target(|mut conn, _| {
        while let Some(request) = read_request(&mut conn) {
            if request.head.starts_with("GET /short") {
                conn.get_mut().write_all(&ok_response("short")).unwrap();
                continue;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                PART_BYTES * PARTS
            );
            conn.get_mut().write_all(head.as_bytes()).unwrap();
            for part in 0..PARTS {
                let bytes: Vec<u8> = (part * PART_BYTES..(part + 1) * PART_BYTES)
                    .map(byte)
                    .collect();
                conn.get_mut().write_all(&bytes).unwrap();
                thread::sleep(Duration::from_millis(50));
            }
        }
    })
}

#[googletest::test]
fn a_graceful_shutdown_aborts_no_download() {
    let controller = controller(view(&[slow_target()]));
    let mut entry = Process::start("graceful", &[controller], "");
    entry.wait_ready(true);
    let mut download = connect(entry.callers);
    let mut idle = connect(entry.callers);
    let request = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    download
        .get_mut()
        .write_all(request("/long").as_bytes())
        .unwrap();
    idle.get_mut()
        .write_all(request("/short").as_bytes())
        .unwrap();
    expect_that!(read_response(&mut idle).unwrap().1, eq(b"short"));
    expect_that!(
        read_head(&mut download).unwrap(),
        starts_with("HTTP/1.1 200 ")
    );

    entry.terminate();
    entry.wait_ready(false);
    expect_that!(get(entry.admin, "/healthz"), starts_with("HTTP/1.1 200 "));
    // Requests that still arrive are served, and their connections are closed afterwards.
    idle.get_mut()
        .write_all(request("/short").as_bytes())
        .unwrap();
    let (head, body) = read_response(&mut idle).unwrap();
    expect_that!(head, contains_substring("connection: close\r\n"));
    expect_that!(body, eq(b"short"));

    let mut body = vec![0; PART_BYTES * PARTS];
    download.read_exact(&mut body).expect("no byte is missing");
    expect_that!((0..body.len()).all(|at| body[at] == byte(at)), eq(true));
    expect_that!(entry.child.wait().unwrap().success(), eq(true));
    expect_that!(std::net::TcpStream::connect(entry.callers), err(anything()));
}

#[googletest::test]
fn a_graceful_shutdown_aborts_no_upload() {
    let target = http_target(|request| ok_response(&format!("{} bytes", request.body.len())));
    let controller = controller(view(&[target]));
    let mut entry = Process::start("upload", &[controller], "");
    entry.wait_ready(true);
    let mut upload = connect(entry.callers);
    let head = format!(
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        PART_BYTES * PARTS
    );
    upload.get_mut().write_all(head.as_bytes()).unwrap();
    for part in 0..PARTS {
        if part == 5 {
            entry.terminate();
        }
        upload.get_mut().write_all(&vec![b'x'; PART_BYTES]).unwrap();
        thread::sleep(Duration::from_millis(30));
    }
    let (head, body) = read_response(&mut upload).expect("the response is complete");
    expect_that!(head, contains_substring("connection: close\r\n"));
    expect_that!(body, eq(format!("{} bytes", PART_BYTES * PARTS).as_bytes()));
    expect_that!(entry.child.wait().unwrap().success(), eq(true));
}

#[googletest::test]
fn an_entry_keeps_serving_without_controllers_up_to_the_stale_limit() {
    let target = http_target(|_| ok_response("whole"));
    let controller = controller_for(view(&[target]), Duration::from_millis(300));
    let entry = Process::start("stale", &[controller], "stale_limit = 1500 ms");
    entry.wait_ready(true);
    thread::sleep(Duration::from_millis(800));
    expect_that!(get(entry.callers, "/"), ends_with("\r\n\r\nwhole"));
    entry.wait_ready(false);
    let response = get(entry.callers, "/");
    expect_that!(response, starts_with("HTTP/1.1 503 "));
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-outcome: not-run\r\n")
    );
}

#[googletest::test]
fn an_entry_fails_over_to_the_next_controller() {
    let target = http_target(|_| ok_response("whole"));
    let first = controller_for(view(&[target]), Duration::from_millis(300));
    let mut newer = view(&[target]);
    newer.state.number = TicketNumber(2);
    newer
        .state
        .services
        .values_mut()
        .for_each(|s| s.prefix = "/new".into());
    let entry = Process::start("next", &[first, controller(newer)], "");
    entry.wait_ready(true);
    let started = Instant::now();
    while !get(entry.callers, "/new").ends_with("\r\n\r\nwhole")
        || !get(entry.callers, "/old").starts_with("HTTP/1.1 404 ")
    {
        assert_that!(started.elapsed(), lt(Duration::from_secs(5)));
        thread::sleep(Duration::from_millis(20));
    }
}

#[googletest::test]
fn a_drain_limit_bounds_the_graceful_shutdown() {
    let controller = controller(view(&[slow_target()]));
    let mut entry = Process::start("bounded", &[controller], "drain_limit = 500 ms");
    entry.wait_ready(true);
    let mut download = connect(entry.callers);
    download
        .get_mut()
        .write_all(b"GET /long HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    expect_that!(
        read_head(&mut download).unwrap(),
        starts_with("HTTP/1.1 200 ")
    );
    let started = Instant::now();
    entry.terminate();
    expect_that!(entry.child.wait().unwrap().success(), eq(true));
    expect_that!(started.elapsed(), lt(Duration::from_secs(2)));
    let mut body = vec![0; PART_BYTES * PARTS];
    expect_that!(download.read_exact(&mut body), err(anything()));
}

#[googletest::test]
fn an_entry_without_a_view_is_alive_but_not_ready() {
    let unreachable = "127.0.0.1:1".parse().unwrap();
    let entry = Process::start("viewless", &[unreachable], "");
    expect_that!(get(entry.admin, "/healthz"), starts_with("HTTP/1.1 200 "));
    expect_that!(get(entry.admin, "/readyz"), starts_with("HTTP/1.1 503 "));
    let response = get(entry.callers, "/");
    expect_that!(response, starts_with("HTTP/1.1 503 "));
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-outcome: not-run\r\n")
    );
}
