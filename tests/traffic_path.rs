//! Requests and responses through an entry on real sockets.

mod traffic_support;

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use googletest::prelude::*;

use crate::traffic_support::connect;
use crate::traffic_support::exchange;
use crate::traffic_support::get;
use crate::traffic_support::http_target;
use crate::traffic_support::keyed_view;
use crate::traffic_support::ok_response;
use crate::traffic_support::read_request;
use crate::traffic_support::read_response;
use crate::traffic_support::service;
use crate::traffic_support::start_entry;
use crate::traffic_support::start_entry_with;
use crate::traffic_support::target;
use crate::traffic_support::view;
use crate::traffic_support::view_of;

#[googletest::test]
fn a_request_and_its_response_are_forwarded() {
    let target = http_target(|request| ok_response(&request.head));
    let entry = start_entry(view(&[target]));
    let response = get(entry.address(), "/roster/7?day=5");
    expect_that!(response, starts_with("HTTP/1.1 200 OK\r\n"));
    expect_that!(
        response,
        contains_substring("GET /roster/7?day=5 HTTP/1.1\r\n")
    );
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-deadline-ms: ")
    );
    expect_that!(response, not(contains_substring("x-gooseberryloft-shard")));
}

#[googletest::test]
fn a_keyed_request_carries_group_shard_and_fence() {
    let target = http_target(|request| ok_response(&request.head));
    let entry = start_entry(keyed_view(target));
    let response = get(entry.address(), "/jobs/a%20b/status");
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-group: roster/0\r\n")
    );
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-fence: 7\r\n")
    );
    let shard = gooseberryloft::ids::key_hash(b"a b") % 4;
    let line = format!("x-gooseberryloft-shard: {shard}\r\n");
    expect_that!(response, contains_substring(line));
    let no_key = get(entry.address(), "/jobs");
    expect_that!(no_key, starts_with("HTTP/1.1 400 "));
    expect_that!(
        no_key,
        contains_substring("x-gooseberryloft-outcome: not-run\r\n")
    );
}

#[googletest::test]
fn pipelined_requests_are_answered_in_order() {
    let target = http_target(|request| ok_response(request.head.lines().next().unwrap()));
    let entry = start_entry(view(&[target]));
    let mut conn = connect(entry.address());
    let request = |n| format!("POST /{n} HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nab");
    let all: String = (0..5).map(request).collect();
    conn.get_mut().write_all(all.as_bytes()).unwrap();
    for n in 0..5 {
        let (_, body) = read_response(&mut conn).expect("the response is complete");
        expect_that!(body, eq(format!("POST /{n} HTTP/1.1").as_bytes()));
    }
}

#[googletest::test]
fn callers_cannot_forge_the_header_fields_of_the_entry() {
    let target = http_target(|request| ok_response(&request.head));
    let entry = start_entry(view(&[target]));
    let response = exchange(
        entry.address(),
        b"GET / HTTP/1.1\r\nhost: x\r\nX-Gooseberryloft-Fence: 9\r\nkeep-alive: 5\r\nx-hop: 1\r\n\
          connection: close, x-hop, host\r\n\r\n",
    );
    expect_that!(response, starts_with("HTTP/1.1 200 "));
    expect_that!(response.to_lowercase(), not(contains_substring("fence")));
    expect_that!(response, not(contains_substring("x-hop")));
    expect_that!(response, not(contains_substring("keep-alive")));
    expect_that!(response, contains_substring("host: x"));
}

#[googletest::test]
fn a_path_of_no_service_is_refused_as_not_run() {
    let entry = start_entry(keyed_view("127.0.0.1:1".parse().unwrap()));
    let response = get(entry.address(), "/elsewhere");
    expect_that!(response, starts_with("HTTP/1.1 404 "));
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-outcome: not-run\r\n")
    );
}

#[googletest::test]
fn connections_to_a_target_stay_within_the_share_of_the_entry() {
    let open = Arc::new(Mutex::new((0, 0)));
    let count = open.clone();
    let address = target(move |mut conn, _| {
        {
            let mut open = count.lock().unwrap();
            open.0 += 1;
            open.1 = open.1.max(open.0);
        }
        while let Some(request) = read_request(&mut conn) {
            thread::sleep(Duration::from_millis(3));
            let _ = conn.get_mut().write_all(&ok_response(&request.head));
        }
        count.lock().unwrap().0 -= 1;
    });
    let mut limited = service("/", &[address]);
    for target in limited.targets.values_mut() {
        target.connections = 3;
    }
    let entry = start_entry_with(view_of(limited), 2, "");
    let callers = (0..12).map(|n| {
        let entry = entry.address();
        thread::spawn(move || (0..20).all(|_| get(entry, &format!("/{n}")).contains(" 200 ")))
    });
    let callers: Vec<_> = callers.collect();
    expect_that!(callers.into_iter().all(|c| c.join().unwrap()), eq(true));
    expect_that!(open.lock().unwrap().1, le(3));
}
