//! Callers never receive the response to another request, whatever targets send: late, duplicate or
//! truncated responses, or bytes after the response.

mod traffic_support;

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use proptest::prelude::*;

use crate::traffic_support::ReceivedRequest;
use crate::traffic_support::connect;
use crate::traffic_support::read_request;
use crate::traffic_support::read_response;
use crate::traffic_support::service;
use crate::traffic_support::start_entry;
use crate::traffic_support::target;
use crate::traffic_support::view_of;

const DEADLINE_MS: u64 = 60;

/// How a target responds to one request.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Normal,
    DuplicateResponse,
    DelayedDuplicate,
    TrailingBytes,
    LateResponse,
    TruncatedResponse,
    CloseWithoutResponse,
    Unresponsive,
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    prop_oneof![
        3 => Just(Behaviour::Normal),
        1 => Just(Behaviour::DuplicateResponse),
        1 => Just(Behaviour::DelayedDuplicate),
        1 => Just(Behaviour::TrailingBytes),
        1 => Just(Behaviour::LateResponse),
        1 => Just(Behaviour::TruncatedResponse),
        1 => Just(Behaviour::CloseWithoutResponse),
        1 => Just(Behaviour::Unresponsive),
    ]
}

fn encode_response(request: &ReceivedRequest) -> Vec<u8> {
    let id = request
        .field("x-gooseberryloft-request")
        .unwrap_or_default();
    let body = request.head.lines().next().unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-gooseberryloft-request: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn respond(
    conn: &mut BufReader<TcpStream>,
    request: &ReceivedRequest,
    behaviour: Behaviour,
) -> std::io::Result<bool> {
    let response = encode_response(request);
    let mut writer = conn.get_ref().try_clone()?;
    match behaviour {
        Behaviour::Normal => writer.write_all(&response)?,
        Behaviour::DuplicateResponse => writer.write_all(&[&response[..], &response].concat())?,
        Behaviour::DelayedDuplicate => {
            writer.write_all(&response)?;
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(2));
                let _ = writer.write_all(&response);
            });
        }
        Behaviour::TrailingBytes => writer.write_all(&[&response[..], b"\r\nx"].concat())?,
        Behaviour::LateResponse => {
            thread::sleep(Duration::from_millis(DEADLINE_MS + 20));
            writer.write_all(&response)?;
        }
        Behaviour::TruncatedResponse => {
            writer.write_all(&response[..response.len() - 1])?;
            // Otherwise a later response could be taken for the missing byte.
            writer.shutdown(Shutdown::Both)?;
            return Ok(false);
        }
        Behaviour::CloseWithoutResponse => return Ok(false),
        Behaviour::Unresponsive => {
            conn.read_to_end(&mut Vec::new())?;
        }
    }
    Ok(true)
}

fn scripted_target(behaviours: Vec<Behaviour>) -> SocketAddr {
    let behaviours = Arc::new(Mutex::new(behaviours.into_iter()));
    target(move |mut conn, _| {
        while let Some(request) = read_request(&mut conn) {
            let behaviour = behaviours
                .lock()
                .unwrap()
                .next()
                .unwrap_or(Behaviour::Normal);
            if !respond(&mut conn, &request, behaviour).unwrap_or(false) {
                return;
            }
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn every_complete_response_belongs_to_its_request(
        behaviours in prop::collection::vec(behaviour(), 1..10),
        posts in prop::collection::vec(any::<bool>(), 8),
    ) {
        let mut short_deadline = service("/", &[scripted_target(behaviours)]);
        short_deadline.deadline_ms = DEADLINE_MS;
        let entry = start_entry(view_of(short_deadline));
        let mut conn = connect(entry.address());
        for (n, post) in posts.iter().enumerate() {
            let method = if *post { "POST" } else { "GET" };
            let line = format!("{method} /{n} HTTP/1.1");
            let request = format!("{line}\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
            conn.get_mut().write_all(request.as_bytes()).unwrap();
            match read_response(&mut conn) {
                Some((head, body)) if head.starts_with("HTTP/1.1 200 ") => {
                    prop_assert_eq!(String::from_utf8_lossy(&body), line);
                }
                Some((head, _)) => prop_assert!(head.contains("x-gooseberryloft-outcome: ")),
                None => conn = connect(entry.address()),
            }
        }
    }
}
