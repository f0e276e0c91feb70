//! A graceful shutdown at any moment aborts no request in flight.

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

const PART_BYTES: usize = 20_000;
const CASES: u32 = 5;

/// One request: its body is sent in parts with pauses, and so is the response.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    sent_parts: usize,
    response_parts: usize,
    pause_ms: u64,
}

fn exchange() -> impl Strategy<Value = Exchange> {
    (0..4_usize, 1..5_usize, 100..500_u64).prop_map(|(sent_parts, response_parts, pause_ms)| {
        Exchange {
            sent_parts,
            response_parts,
            pause_ms,
        }
    })
}

/// Starts a target for paths `/PARTS/PAUSE_MS`: it responds with that number of parts, and pauses
/// before each.
fn slow_target() -> SocketAddr {
    target(|mut conn, _| {
        while let Some(request) = read_request(&mut conn) {
            let path = request.head.split(' ').nth(1).unwrap_or_default();
            let numbers: Vec<usize> = path.split('/').filter_map(|s| s.parse().ok()).collect();
            let (parts, pause) = (numbers[0], Duration::from_millis(numbers[1] as u64));
            let length = parts * PART_BYTES;
            let sent = request.body.len();
            let head =
                format!("HTTP/1.1 200 OK\r\nx-sent: {sent}\r\ncontent-length: {length}\r\n\r\n");
            let _ = conn.get_mut().write_all(head.as_bytes());
            for part in 0..parts {
                thread::sleep(pause);
                let _ = conn.get_mut().write_all(&vec![part as u8; PART_BYTES]);
            }
        }
    })
}

/// Sends one request; returns true if its complete response was received.
fn call(entry: SocketAddr, exchange: Exchange) -> bool {
    let length = exchange.sent_parts * PART_BYTES;
    let (parts, pause) = (exchange.response_parts, exchange.pause_ms);
    let head =
        format!("POST /{parts}/{pause} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    let mut conn = connect(entry);
    let mut sent = conn.get_mut().write_all(head.as_bytes());
    for _ in 0..exchange.sent_parts {
        thread::sleep(Duration::from_millis(pause));
        sent = sent.and_then(|()| conn.get_mut().write_all(&vec![7; PART_BYTES]));
    }
    let expected: Vec<u8> = (0..parts)
        .flat_map(|part| vec![part as u8; PART_BYTES])
        .collect();
    let received_length = format!("x-sent: {length}\r\n");
    let response = read_response(&mut conn);
    sent.is_ok()
        && response.is_some_and(|(head, body)| head.contains(&received_length) && body == expected)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn a_graceful_shutdown_aborts_no_request(
        exchanges in prop::collection::vec(exchange(), 1..6),
        delay_ms in 0..200_u64,
    ) {
        let entry = start_entry(view(&[slow_target()]));
        let address = entry.address();
        let call = |exchange: &Exchange| {
            let exchange = *exchange;
            thread::spawn(move || call(address, exchange))
        };
        let calls: Vec<JoinHandle<bool>> = exchanges.iter().map(call).collect();
        thread::sleep(Duration::from_millis(delay_ms));
        entry.drain();
        for call in calls {
            prop_assert!(call.join().unwrap_or(false), "a response was truncated");
        }
    }
}
