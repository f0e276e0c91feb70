//! Targets that answer late, twice, short, or with bytes nobody asked for.

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

/// What a target does with one request.
#[derive(Clone, Copy, Debug)]
enum Act {
    Plain,
    TwoAnswers,
    SecondAnswerLater,
    ExtraBytes,
    TooLate,
    Cut,
    NoAnswer,
    Swallow,
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        3 => Just(Act::Plain),
        1 => Just(Act::TwoAnswers),
        1 => Just(Act::SecondAnswerLater),
        1 => Just(Act::ExtraBytes),
        1 => Just(Act::TooLate),
        1 => Just(Act::Cut),
        1 => Just(Act::NoAnswer),
        1 => Just(Act::Swallow),
    ]
}

fn answer(request: &ReceivedRequest) -> Vec<u8> {
    let id = request
        .field("x-gooseberryloft-request")
        .unwrap_or_default();
    let body = request.head.lines().next().unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nx-gooseberryloft-request: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn play(
    conn: &mut BufReader<TcpStream>,
    request: &ReceivedRequest,
    act: Act,
) -> std::io::Result<bool> {
    let whole = answer(request);
    let mut wtr = conn.get_ref().try_clone()?;
    match act {
        Act::Plain => wtr.write_all(&whole)?,
        Act::TwoAnswers => wtr.write_all(&[&whole[..], &whole].concat())?,
        Act::SecondAnswerLater => {
            wtr.write_all(&whole)?;
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(2));
                let _ = wtr.write_all(&whole);
            });
        }
        Act::ExtraBytes => wtr.write_all(&[&whole[..], b"\r\nx"].concat())?,
        Act::TooLate => {
            thread::sleep(Duration::from_millis(DEADLINE_MS + 20));
            wtr.write_all(&whole)?;
        }
        Act::Cut => {
            wtr.write_all(&whole[..whole.len() - 1])?;
            // No later answer may fill the gap.
            wtr.shutdown(Shutdown::Both)?;
            return Ok(false);
        }
        Act::NoAnswer => return Ok(false),
        Act::Swallow => {
            conn.read_to_end(&mut Vec::new())?;
        }
    }
    Ok(true)
}

fn playing(acts: Vec<Act>) -> SocketAddr {
    let acts = Arc::new(Mutex::new(acts.into_iter()));
    target(move |mut conn, _| {
        while let Some(request) = read_request(&mut conn) {
            let act = acts.lock().unwrap().next().unwrap_or(Act::Plain);
            if !play(&mut conn, &request, act).unwrap_or(false) {
                return;
            }
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn every_whole_answer_belongs_to_its_request(
        acts in prop::collection::vec(act(), 1..10),
        posts in prop::collection::vec(any::<bool>(), 8),
    ) {
        let mut quick = service("/", &[playing(acts)]);
        quick.deadline_ms = DEADLINE_MS;
        let entry = start_entry(view_of(quick));
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
