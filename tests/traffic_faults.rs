//! Responses that callers receive when targets, connections or callers fail or misbehave.

mod traffic_support;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use crate::traffic_support::connect;
use crate::traffic_support::exchange;
use crate::traffic_support::get;
use crate::traffic_support::http_target;
use crate::traffic_support::ok_response;
use crate::traffic_support::read_head;
use crate::traffic_support::read_request;
use crate::traffic_support::read_response;
use crate::traffic_support::service;
use crate::traffic_support::start_entry;
use crate::traffic_support::target;
use crate::traffic_support::view;
use crate::traffic_support::view_of;
use gooseberryloft::traffic::stats::Outcome;

const NOT_RUN: &[u8] =
    b"HTTP/1.1 503 Busy\r\nx-gooseberryloft-outcome: not-run\r\ncontent-length: 5\r\n\r\nbusy\n";

/// Starts a target that sends these bytes after the first request and closes the connection.
fn closing_target(bytes: &'static [u8]) -> std::net::SocketAddr {
    target(move |mut conn, _| {
        read_request(&mut conn);
        let _ = conn.get_mut().write_all(bytes);
    })
}

fn post(path: &str) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    format!("{head}content-length: 2\r\n\r\nab").into_bytes()
}

#[googletest::test]
fn a_truncated_response_never_looks_complete() {
    let responses: [&'static [u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
    ];
    for bytes in responses {
        let entry = start_entry(view(&[closing_target(bytes)]));
        let mut conn = connect(entry.address());
        conn.get_mut()
            .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            .unwrap();
        expect_that!(read_response(&mut conn), none());
        let mut rest = Vec::new();
        let _ = conn.read_to_end(&mut rest);
        expect_that!(rest, is_empty());
        expect_that!(entry.shared().stats.count(Outcome::Cut), eq(1));
    }
}

#[googletest::test]
fn a_truncated_short_response_is_retried_for_idempotent_requests() {
    let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
    let tries = Arc::new(AtomicUsize::new(0));
    let counted = tries.clone();
    let flaky = target(move |mut conn, _| {
        read_request(&mut conn);
        let first = counted.fetch_add(1, Ordering::SeqCst) == 0;
        let response = if first {
            cut.to_vec()
        } else {
            ok_response("all of it")
        };
        let _ = conn.get_mut().write_all(&response);
    });
    let entry = start_entry(view(&[flaky]));
    expect_that!(get(entry.address(), "/"), ends_with("\r\n\r\nall of it"));
    tries.store(0, Ordering::SeqCst);
    let response = exchange(entry.address(), &post("/"));
    expect_that!(response, starts_with("HTTP/1.1 502 "));
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-outcome: unknown\r\n")
    );
    expect_that!(tries.load(Ordering::SeqCst), eq(1));
}

#[googletest::test]
fn a_response_without_a_length_is_not_delivered() {
    let entry = start_entry(view(&[closing_target(b"HTTP/1.1 200 OK\r\n\r\nmaybe all")]));
    let response = exchange(entry.address(), &post("/"));
    expect_that!(response, starts_with("HTTP/1.1 502 "));
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-outcome: unknown\r\n")
    );
}

#[googletest::test]
fn a_response_without_an_end_that_is_reset_during_the_upload_is_not_delivered() {
    // More than the kernel buffers for a connection that the other side does not read.
    let length = 12 << 20;
    let upload = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    let upload = [upload.into_bytes(), vec![b'u'; length]].concat();
    for (sent, is_delivered) in [
        ("HTTP/1.1 200 OK\r\n\r\npart", false),
        ("HTTP/1.0 200 OK\r\n\r\npart", false),
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart", false),
        ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull", true),
    ] {
        let address = target(move |mut conn, _| {
            read_head(&mut conn);
            thread::sleep(Duration::from_millis(50));
            conn.get_mut().write_all(sent.as_bytes()).unwrap();
            let socket = socket2::SockRef::from(conn.get_ref());
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        });
        let entry = start_entry(view(&[address]));
        let response = exchange(entry.address(), &upload);
        let delivered = response.starts_with("HTTP/1.1 200 ");
        expect_that!(delivered, eq(is_delivered), "{sent}: {response}");
    }
}

/// Checks that the caller does not get a response whose head begins with these lines.
fn expect_not_delivered(head: &str) {
    // Held whole, and streamed.
    for length in [4, 40_000] {
        let body = "x".repeat(length);
        let response = format!("{head}content-length: {length}\r\n\r\n{body}");
        let entry = start_entry(view(&[closing_target(response.leak().as_bytes())]));
        let received = exchange(entry.address(), &post("/"));
        expect_that!(received, starts_with("HTTP/1.1 502 "), "{head}");
        expect_that!(
            received,
            contains_substring("x-gooseberryloft-outcome: unknown\r\n")
        );
    }
}

#[googletest::test]
fn a_response_with_an_invalid_status_is_not_delivered() {
    for status in ["000", "099", "600", "999", "101"] {
        expect_not_delivered(&format!("HTTP/1.1 {status} S\r\n"));
    }
}

#[googletest::test]
fn a_response_with_an_invalid_field_name_is_not_delivered() {
    for line in [
        "x note: 1",
        " x-note: 1",
        "x-note : 1",
        "x-note\t: 1",
        "x\0note: 1",
        "x-\u{7f}note: 1",
        "content-length : 9",
        "transfer-encoding\t: chunked",
    ] {
        expect_not_delivered(&format!("HTTP/1.1 200 S\r\nx-first: 1\r\n{line}\r\n"));
    }
}

#[googletest::test]
fn ambiguous_requests_are_refused_and_reach_no_target() {
    let received = Arc::new(AtomicUsize::new(0));
    let count = received.clone();
    let address = http_target(move |_| {
        count.fetch_add(1, Ordering::Relaxed);
        ok_response("ran")
    });
    let entry = start_entry(view(&[address]));
    let many_fields = "x: y\r\n".repeat(101);
    let long = format!("x: {}\r\n", "y".repeat(17 << 10));
    let malformed = [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "content-length: 1\r\ncontent-length: 1\r\n\r\na",
        "content-length: 1, 1\r\n\r\na",
        "content-length: +1\r\n\r\na",
        "content-length: 99999999999999999999\r\n\r\n",
        "content-length:\r\n\r\n",
        "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\nxyz\r\n",
        "transfer-encoding: chunked\r\n\r\n-1\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n11111111111111111\r\n",
        "transfer-encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n",
        "transfer-encoding : chunked\r\n\r\n0\r\n\r\n",
        "x: a\r\n folded\r\n\r\n",
        "x: a\nb: c\r\n\r\n",
        "x: a\rb: c\r\n\r\n",
        "host: y\r\n\r\n",
        &format!("{many_fields}\r\n"),
        &format!("{long}\r\n"),
    ];
    for rest in malformed {
        let request = format!("POST / HTTP/1.1\r\nhost: x\r\n{rest}GET /second HTTP/1.1\r\n");
        let response = exchange(entry.address(), request.as_bytes());
        expect_that!(response, starts_with("HTTP/1.1 400 "), "{rest:?}");
        expect_that!(
            response,
            contains_substring("connection: close\r\n"),
            "{rest:?}"
        );
        expect_that!(response.matches("HTTP/1.1").count(), eq(1), "{rest:?}");
    }
    for line in [
        "GET /a/../b HTTP/1.1",
        "GET /%2e%2E/b HTTP/1.1",
        "GET x HTTP/1.1",
        "GET / HTTP/2",
    ] {
        let response = exchange(
            entry.address(),
            format!("{line}\r\nhost: x\r\n\r\n").as_bytes(),
        );
        expect_that!(response, starts_with("HTTP/1.1 400 "), "{line:?}");
    }
    let response = exchange(entry.address(), b"GET / HTTP/1.0\r\nhost: x\r\n\r\n");
    expect_that!(response, starts_with("HTTP/1.1 505 "));
    expect_that!(received.load(Ordering::Relaxed), eq(0));
}

#[googletest::test]
fn a_half_closed_caller_receives_its_response() {
    let address = http_target(|_| {
        thread::sleep(Duration::from_millis(200));
        ok_response("late but whole")
    });
    let entry = start_entry(view(&[address]));
    let mut conn = connect(entry.address());
    conn.get_mut()
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    conn.get_ref().shutdown(Shutdown::Write).unwrap();
    let (_, body) = read_final_response(&mut conn).expect("the response is complete");
    expect_that!(body, eq(b"late but whole"));
}

/// Reads the final response; skips interim ones, as HTTP/1.1 requires of clients.
fn read_final_response(
    conn: &mut std::io::BufReader<std::net::TcpStream>,
) -> Option<(String, Vec<u8>)> {
    loop {
        let (head, body) = read_response(conn)?;
        if !head.starts_with("HTTP/1.1 1") {
            return Some((head, body));
        }
    }
}

#[googletest::test]
fn a_disconnected_caller_frees_its_target() {
    let (tx, rx) = mpsc::channel();
    let address = target(move |mut conn, _| {
        read_request(&mut conn);
        tx.send("received").unwrap();
        let mut byte = [0];
        let _ = conn.read(&mut byte);
        tx.send("cancelled").unwrap();
    });
    let entry = start_entry(view(&[address]));
    let mut conn = connect(entry.address());
    conn.get_mut()
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    let limit = Duration::from_secs(2);
    expect_that!(rx.recv_timeout(limit), ok(eq("received")));
    drop(conn);
    expect_that!(rx.recv_timeout(limit), ok(eq("cancelled")));
    let started = Instant::now();
    while entry.shared().drain.in_flight() > 0 {
        assert_that!(started.elapsed(), lt(limit));
        thread::sleep(Duration::from_millis(5));
    }
}

#[googletest::test]
fn responses_without_a_body_keep_the_connection_in_sync() {
    let address = http_target(|request| match request.head.split(' ').nth(1).unwrap() {
        "/head" => b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n".to_vec(),
        "/204" => b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(),
        "/304" => b"HTTP/1.1 304 Not Modified\r\ncontent-length: 7\r\n\r\n".to_vec(),
        "/103" => [
            &b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"[..],
            &ok_response("final"),
        ]
        .concat(),
        _ => ok_response("last"),
    });
    let entry = start_entry(view(&[address]));
    let mut conn = connect(entry.address());
    let mut send = |method: &str, path: &str| {
        let request = format!("{method} {path} HTTP/1.1\r\nhost: x\r\n\r\n");
        conn.get_mut().write_all(request.as_bytes()).unwrap();
        match matches!(path, "/head" | "/204" | "/304") {
            true => read_head(&mut conn).unwrap(),
            false => String::from_utf8(read_response(&mut conn).unwrap().1).unwrap(),
        }
    };
    expect_that!(
        send("HEAD", "/head"),
        contains_substring("content-length: 5\r\n")
    );
    expect_that!(
        send("GET", "/204"),
        not(contains_substring("content-length"))
    );
    expect_that!(
        send("GET", "/304"),
        contains_substring("content-length: 7\r\n")
    );
    expect_that!(send("GET", "/103"), eq("final"));
    expect_that!(send("GET", "/last"), eq("last"));
}

#[googletest::test]
fn a_caller_that_expects_100_continue_receives_it() {
    let entry = start_entry(view(&[http_target(|request| {
        ok_response(&String::from_utf8_lossy(&request.body))
    })]));
    let mut conn = connect(entry.address());
    let head = b"POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n";
    conn.get_mut().write_all(head).unwrap();
    expect_that!(
        read_head(&mut conn),
        some(eq("HTTP/1.1 100 Continue\r\n\r\n"))
    );
    conn.get_mut().write_all(b"body").unwrap();
    expect_that!(read_response(&mut conn).unwrap().1, eq(b"body"));
}

#[googletest::test]
fn non_idempotent_requests_are_not_retried_after_a_broken_connection() {
    let ran = Arc::new(AtomicUsize::new(0));
    let crash = || {
        let ran = ran.clone();
        target(move |mut conn, _| {
            read_request(&mut conn);
            ran.fetch_add(1, Ordering::Relaxed);
        })
    };
    let entry = start_entry(view(&[crash(), crash()]));
    let response = exchange(entry.address(), &post("/charge"));
    expect_that!(response, starts_with("HTTP/1.1 502 "));
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-outcome: unknown\r\n")
    );
    expect_that!(ran.load(Ordering::Relaxed), eq(1));
}

#[googletest::test]
fn requests_that_did_not_run_are_retried() {
    let received = Arc::new(AtomicUsize::new(0));
    let count = received.clone();
    let sheds_first_request =
        http_target(move |request| match count.fetch_add(1, Ordering::Relaxed) {
            0 => NOT_RUN.to_vec(),
            _ => ok_response(&String::from_utf8_lossy(&request.body)),
        });
    let entry = start_entry(view(&[sheds_first_request]));
    expect_that!(
        exchange(entry.address(), &post("/charge")),
        ends_with("\r\n\r\nab")
    );
    expect_that!(received.load(Ordering::Relaxed), eq(2));
    let shedding = crate::traffic_support::start_entry(view(&[http_target(|_| NOT_RUN.to_vec())]));
    let response = exchange(shedding.address(), &post("/charge"));
    expect_that!(response, starts_with("HTTP/1.1 503 "));
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-outcome: not-run\r\n")
    );
}

#[googletest::test]
fn an_unresponsive_connection_is_replaced_by_a_new_one() {
    let address = target(|mut conn, number| {
        while read_request(&mut conn).is_some() {
            let _ = conn
                .get_mut()
                .write_all(&ok_response(&format!("connection {number}")));
            // From now on, the first connection accepts requests but never responds.
            if number == 0 {
                let _ = conn.read_to_end(&mut Vec::new());
            }
        }
    });
    let mut short_deadline = service("/", &[address]);
    short_deadline.deadline_ms = 600;
    let entry = start_entry(view_of(short_deadline));
    expect_that!(get(entry.address(), "/"), ends_with("connection 0"));
    expect_that!(get(entry.address(), "/"), ends_with("connection 1"));
    expect_that!(entry.shared().stats.timeouts(), eq(1));
    expect_that!(get(entry.address(), "/"), ends_with("connection 1"));
}

#[googletest::test]
fn retries_at_a_slow_target_stay_within_the_retry_budget() {
    const REQUESTS: usize = 60;
    let ran = Arc::new(AtomicUsize::new(0));
    let count = ran.clone();
    let address = http_target(move |request| {
        if request.head.starts_with("GET /slow") {
            count.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(70));
        }
        ok_response("whole")
    });
    let mut short_deadline = service("/", &[address]);
    short_deadline.deadline_ms = 100;
    let entry = start_entry(view_of(short_deadline));
    for _ in 0..REQUESTS {
        get(entry.address(), "/fast");
        get(entry.address(), "/slow");
    }
    // The retry budget starts at 10 retries and grows by 8 for every 100 requests.
    let retries = 10 + 2 * REQUESTS * 8 / 100;
    expect_that!(ran.load(Ordering::Relaxed), le(REQUESTS + retries));
}

#[googletest::test]
fn non_idempotent_requests_use_no_connection_that_was_idle_for_long() {
    let address = target(|mut conn, number| {
        if read_request(&mut conn).is_some() {
            let _ = conn
                .get_mut()
                .write_all(&ok_response(&format!("connection {number}")));
            let _ = conn.read_to_end(&mut Vec::new());
        }
    });
    let entry = start_entry(view(&[address]));
    expect_that!(
        exchange(entry.address(), &post("/")),
        ends_with("connection 0")
    );
    thread::sleep(Duration::from_millis(1100));
    expect_that!(
        exchange(entry.address(), &post("/")),
        ends_with("connection 1")
    );
}

#[googletest::test]
fn duplicate_and_unrequested_responses_are_discarded() {
    let address = http_target(|request| {
        let own = ok_response(request.head.lines().next().unwrap());
        [own, ok_response("doubled"), b"and more".to_vec()].concat()
    });
    let entry = start_entry(view(&[address]));
    let mut conn = connect(entry.address());
    for n in 0..20 {
        let request = format!("GET /{n} HTTP/1.1\r\nhost: x\r\n\r\n");
        conn.get_mut().write_all(request.as_bytes()).unwrap();
        let (_, body) = read_response(&mut conn).expect("the response is complete");
        expect_that!(body, eq(format!("GET /{n} HTTP/1.1").as_bytes()));
    }
}

#[googletest::test]
fn a_late_response_is_discarded() {
    let address = http_target(|request| {
        if request.head.starts_with("GET /slow") {
            thread::sleep(Duration::from_millis(400));
        }
        ok_response(request.head.lines().next().unwrap())
    });
    let mut short_deadline = service("/", &[address]);
    short_deadline.deadline_ms = 200;
    let entry = start_entry(view_of(short_deadline));
    let slow = get(entry.address(), "/slow");
    expect_that!(
        slow,
        contains_substring("x-gooseberryloft-outcome: unknown\r\n")
    );
    for n in 0..30 {
        expect_that!(
            get(entry.address(), &format!("/{n}")),
            ends_with(format!("/{n} HTTP/1.1"))
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[googletest::test]
fn a_response_with_another_request_id_is_discarded() {
    let address = http_target(|request| {
        let id = request.field("x-gooseberryloft-request").unwrap();
        let id = if request.head.starts_with("POST") {
            "0123456789abcdef"
        } else {
            id
        };
        let head = format!("HTTP/1.1 200 OK\r\nx-gooseberryloft-request: {id}\r\n");
        format!("{head}content-length: 4\r\n\r\nmine").into_bytes()
    });
    let entry = start_entry(view(&[address]));
    expect_that!(get(entry.address(), "/"), ends_with("mine"));
    let mismatched = exchange(entry.address(), &post("/"));
    expect_that!(
        mismatched,
        contains_substring("x-gooseberryloft-outcome: unknown\r\n")
    );
    expect_that!(mismatched, not(contains_substring("mine")));
}

#[googletest::test]
fn a_response_before_the_end_of_the_request_is_delivered() {
    let address = target(|mut conn, _| {
        read_head(&mut conn);
        let response = b"HTTP/1.1 413 Too Large\r\ncontent-length: 3\r\n\r\nbig";
        conn.get_mut().write_all(response).unwrap();
        thread::sleep(Duration::from_millis(300));
    });
    let entry = start_entry(view(&[address]));
    let mut conn = connect(entry.address());
    let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000\r\n\r\n";
    conn.get_mut().write_all(head).unwrap();
    let (head, body) = read_response(&mut conn).expect("the response is complete");
    expect_that!(head, starts_with("HTTP/1.1 413 "));
    expect_that!(head, contains_substring("connection: close\r\n"));
    expect_that!(body, eq(b"big"));
}

#[googletest::test]
fn bodies_of_any_framing_pass_unchanged() {
    let address = http_target(|request| match request.field("transfer-encoding") {
        Some(_) => {
            let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
            let chunks = request.body.chunks(70_000).map(|chunk| {
                [
                    format!("{:x};x=y\r\n", chunk.len()).as_bytes(),
                    chunk,
                    b"\r\n",
                ]
                .concat()
            });
            let body: Vec<u8> = chunks.flatten().collect();
            [head, body, b"0\r\nx: y\r\n\r\n".to_vec()].concat()
        }
        None => {
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                request.body.len()
            );
            [head.into_bytes(), request.body.clone()].concat()
        }
    });
    let entry = start_entry(view(&[address]));
    let mut conn = connect(entry.address());
    for size in [0, 1, 65_535, 65_536, 65_537, 1_000_000, 5_000_000] {
        let body: Vec<u8> = (0..size).map(|n| (n * 31 % 251) as u8).collect();
        let length = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n");
        let chunked = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunks = body
            .chunks(9_999)
            .map(|chunk| [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat());
        let chunks: Vec<u8> = chunks.flatten().chain(*b"0\r\n\r\n").collect();
        for request in [
            [length.as_bytes(), &body].concat(),
            [chunked.as_bytes(), &chunks].concat(),
        ] {
            let mut writer = conn.get_ref().try_clone().unwrap();
            let sender = thread::spawn(move || writer.write_all(&request).unwrap());
            let (_, got) = read_response(&mut conn).expect("the response is complete");
            sender.join().unwrap();
            expect_that!(got == body, eq(true), "{size} bytes");
        }
    }
}
