//! Reading a caller's request, and what serves it.

use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::ServiceId;
use crate::node::proxy::conn::Conn;
use crate::node::proxy::dispatch::Task;
use crate::node::proxy::respond::Own;
use crate::node::rules::Limits;
use crate::node::rules::Router;
use crate::node::state::State;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::Framing;
use crate::traffic::head::HeadError;
use crate::traffic::head::RequestHead;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_request;

/// Time taken off what the caller says it waits: the way of the request and of the answer.
const WAY: Duration = Duration::from_millis(15);
/// Part of the process's memory that bodies of requests may fill.
const BODY_MEMORY_PART: u64 = 4;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

pub(super) async fn read_head(
    conn: &mut Conn,
    limits: &Limits,
) -> Result<Option<RequestHead>, HeadError> {
    let length = loop {
        match head_length(conn.data())? {
            Some(length) if length > limits.head_bytes => return Err(HeadError::TooLong),
            Some(length) => break length,
            None if conn.data().len() > limits.head_bytes => return Err(HeadError::TooLong),
            None => {}
        }
        if !matches!(conn.fill().await, Ok(1..)) {
            return Ok(None);
        }
    };
    let head = parse_request(&conn.data()[..length]);
    conn.consume(length);
    head.map(Some)
}

pub(super) fn bad_head(error: HeadError) -> Own {
    match error {
        HeadError::TooLong | HeadError::TooManyFields => {
            Own::fault(431, "the head is too long; send fewer or shorter fields")
        }
        HeadError::Version => Own::fault(505, "only HTTP/1.1 is served; ask with HTTP/1.1"),
        HeadError::Host => Own::fault(400, "exactly one host field is needed; send one"),
        HeadError::Length => Own::fault(400, "the length of the body is ambiguous; send one"),
        HeadError::LineEnding | HeadError::Syntax | HeadError::Path => {
            Own::fault(400, "the head is malformed; send it as RFC 9112 has it")
        }
    }
}

/// Finds what serves a request; the fingerprint is still to come.
pub(super) fn route(
    state: &State,
    router: &Router,
    head: &RequestHead,
    started: Instant,
) -> Result<Task, Own> {
    let host = head.fields.only("host").unwrap_or_default();
    let host = std::str::from_utf8(host).unwrap_or_default();
    let path = head.path.split('?').next().unwrap_or_default();
    let index = router.find(host, path);
    let index = index.ok_or(Own::fault(404, "no route has this host and path"))?;
    let route = &router.rules().routes[index];
    let service = router.next_service(index).cloned();
    let service = service.ok_or(Own::fault(404, "the route leads to no service"))?;
    let waits = number(head, state.conf.headers.deadline_ms).map(Duration::from_millis);
    let waits = waits.map_or(route.timeout, |waits| waits.saturating_sub(WAY));
    Ok(Task {
        key: key(state, router, &service, head)?,
        service,
        kind: route.kind,
        objective: route.objective,
        max_attempts: route.max_attempts,
        started,
        limit: started + waits.min(route.timeout),
        fingerprint: 0,
    })
}

fn key(
    state: &State,
    router: &Router,
    service: &ServiceId,
    head: &RequestHead,
) -> Result<Option<u16>, Own> {
    let rule = router.rules().services.get(service);
    if !rule.is_some_and(|rule| rule.keyed) {
        return Ok(None);
    }
    let key = number(head, state.conf.headers.key).and_then(|key| u16::try_from(key).ok());
    let key = key.ok_or(Own::fault(400, "the request carries no key; send one"))?;
    state.count_key(service, key);
    Ok(Some(key))
}

fn number(head: &RequestHead, name: &str) -> Option<u64> {
    let text = std::str::from_utf8(head.fields.only(name)?).ok()?;
    text.trim().parse().ok()
}

/// Reads the whole body; an error without an answer means that the caller is gone.
pub(super) async fn read_body(
    state: &State,
    conn: &mut Conn,
    head: &RequestHead,
    limits: &Limits,
    limit: Instant,
) -> Result<Vec<u8>, Option<Own>> {
    const TOO_LONG: Own = Own {
        status: 413,
        text: "the body is too long; send a shorter one",
        retry_after: None,
    };
    let most = limits
        .body_bytes
        .min(state.conf.memory_bytes / BODY_MEMORY_PART);
    if matches!(head.framing, Framing::Length(length) if length > most) {
        return Err(Some(TOO_LONG));
    }
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    if head.expects && !decoder.is_done() {
        let (_, mut write, _) = conn.split();
        write.write_all(CONTINUE).await.map_err(|_| None)?;
    }
    loop {
        while !decoder.is_done() && !conn.data().is_empty() {
            let piece = decoder.decode(conn.data());
            let malformed = Own::fault(400, "the body is malformed; send it as RFC 9112 has it");
            let piece = piece.map_err(|_| Some(malformed))?;
            body.extend_from_slice(&conn.data()[piece.skip..piece.used()]);
            conn.consume(piece.used());
        }
        if decoder.is_done() {
            return Ok(body);
        }
        if body.len() as u64 > most {
            return Err(Some(TOO_LONG));
        }
        let filled = timeout_at(limit.into(), conn.fill()).await;
        let late = Own::fault(408, "the body did not come in time; send it again");
        if !matches!(filled.map_err(|_| Some(late))?, Ok(1..)) {
            return Err(None);
        }
    }
}

pub(super) fn fingerprint(head: &RequestHead, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(head.method.as_bytes());
    hasher.update(b" ");
    hasher.update(head.path.as_bytes());
    hasher.update(b"\n");
    hasher.update(body);
    hasher.digest()
}
