//! A graceful shutdown at any moment cuts no request in flight.

mod traffic_support;

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use proptest::prelude::*;

use crate::traffic_support::connect;
use crate::traffic_support::read_request;
use crate::traffic_support::read_response;
use crate::traffic_support::start_entry;
use crate::traffic_support::target;
use crate::traffic_support::view;

const PART: usize = 20_000;
const CASES: u32 = 5;

/// One request: a filing sent in parts, answered by a download in parts.
#[derive(Clone, Copy, Debug)]
struct Work {
    sent_parts: usize,
    answered_parts: usize,
    pause_ms: u64,
}

fn work() -> impl Strategy<Value = Work> {
    (0..4_usize, 1..5_usize, 100..500_u64).prop_map(|(sent_parts, answered_parts, pause_ms)| Work {
        sent_parts,
        answered_parts,
        pause_ms,
    })
}

/// Answers with as many parts as the path names, each after the pause that it names.
fn slow_target() -> SocketAddr {
    target(|mut conn, _| {
        while let Some(request) = read_request(&mut conn) {
            let path = request.head.split(' ').nth(1).unwrap_or_default();
            let numbers: Vec<usize> = path.split('/').filter_map(|s| s.parse().ok()).collect();
            let (parts, pause) = (numbers[0], Duration::from_millis(numbers[1] as u64));
            let length = parts * PART;
            let sent = request.body.len();
            let head =
                format!("HTTP/1.1 200 OK\r\nx-sent: {sent}\r\ncontent-length: {length}\r\n\r\n");
            let _ = conn.get_mut().write_all(head.as_bytes());
            for part in 0..parts {
                thread::sleep(pause);
                let _ = conn.get_mut().write_all(&vec![part as u8; PART]);
            }
        }
    })
}

/// Sends one request; returns whether its own whole answer came.
fn call(entry: SocketAddr, work: Work) -> bool {
    let length = work.sent_parts * PART;
    let (parts, pause) = (work.answered_parts, work.pause_ms);
    let head =
        format!("POST /{parts}/{pause} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    let mut conn = connect(entry);
    let mut sent = conn.get_mut().write_all(head.as_bytes());
    for _ in 0..work.sent_parts {
        thread::sleep(Duration::from_millis(pause));
        sent = sent.and_then(|()| conn.get_mut().write_all(&vec![7; PART]));
    }
    let expected: Vec<u8> = (0..parts).flat_map(|part| vec![part as u8; PART]).collect();
    let arrived = format!("x-sent: {length}\r\n");
    let answer = read_response(&mut conn);
    sent.is_ok() && answer.is_some_and(|(head, body)| head.contains(&arrived) && body == expected)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn a_graceful_shutdown_cuts_nothing(
        works in prop::collection::vec(work(), 1..6),
        delay_ms in 0..200_u64,
    ) {
        let entry = start_entry(view(&[slow_target()]));
        let address = entry.address();
        let call = |work: &Work| {
            let work = *work;
            thread::spawn(move || call(address, work))
        };
        let calls: Vec<JoinHandle<bool>> = works.iter().map(call).collect();
        thread::sleep(Duration::from_millis(delay_ms));
        entry.drain();
        for call in calls {
            prop_assert!(call.join().unwrap_or(false), "an answer was cut");
        }
    }
}
