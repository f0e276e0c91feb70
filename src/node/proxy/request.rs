//! Reads a caller's request and determines the service and the limits that apply to it.

use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::ServiceId;
use crate::node::proxy::conn::Conn;
use crate::node::proxy::dispatch::RoutedRequest;
use crate::node::proxy::headers::MAX_ATTEMPTS;
use crate::node::proxy::headers::RULES;
use crate::node::proxy::headers::SERVICE;
use crate::node::proxy::respond::LocalResponse;
use crate::node::proxy::serve::Origin;
use crate::node::rules::Limits;
use crate::node::rules::Router;
use crate::node::state::State;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::Framing;
use crate::traffic::head::HeadError;
use crate::traffic::head::RequestHead;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_request;

/// Subtracted from the caller's timeout: the network delay of the request and the response.
const NETWORK_DELAY: Duration = Duration::from_millis(15);
/// A request body may take at most the process's memory limit divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

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

pub(super) fn head_error(error: HeadError) -> LocalResponse {
    match error {
        HeadError::TooLong | HeadError::TooManyFields => {
            LocalResponse::error(431, "the head is too long; send fewer or shorter fields")
        }
        HeadError::Version => {
            LocalResponse::error(505, "only HTTP/1.1 is served; ask with HTTP/1.1")
        }
        HeadError::Host => LocalResponse::error(400, "exactly one host field is needed; send one"),
        HeadError::Length => {
            LocalResponse::error(400, "the length of the body is ambiguous; send one")
        }
        HeadError::LineEnding | HeadError::Syntax | HeadError::Path => {
            LocalResponse::error(400, "the head is malformed; send it as RFC 9112 has it")
        }
    }
}

/// Matches a request to a route; the fingerprint and the source are set later, when the body has been read.
pub(super) fn route(
    state: &State,
    router: &Router,
    head: &RequestHead,
    started: Instant,
    origin: Origin,
) -> Result<RoutedRequest, LocalResponse> {
    let rules = router.rules().version;
    if origin == Origin::Node && numeric_field(head, RULES) != Some(rules) {
        return Err(LocalResponse::error(
            421,
            "this node has other rules; ask another one",
        ));
    }
    let host = head.fields.only("host").unwrap_or_default();
    let host = std::str::from_utf8(host).unwrap_or_default();
    let path = head.path.split('?').next().unwrap_or_default();
    let index = router.find(host, path);
    let index = index.ok_or(LocalResponse::error(404, "no route has this host and path"))?;
    let route = &router.rules().routes[index];
    let service = match origin {
        Origin::Caller => router.next_service(index).cloned(),
        Origin::Node => passed_service(head),
    };
    let service = service.ok_or(LocalResponse::error(404, "the route leads to no service"))?;
    let timeout = numeric_field(head, state.conf.headers.deadline_ms).map(Duration::from_millis);
    let timeout = timeout.map_or(route.timeout, |given| given.saturating_sub(NETWORK_DELAY));
    Ok(RoutedRequest {
        key: read_key(state, router, &service, head)?,
        service,
        kind: route.kind,
        objective: route.objective,
        priority: route.priority,
        max_attempts: match origin {
            Origin::Caller => route.max_attempts,
            Origin::Node => passed_attempts(head, route.max_attempts),
        },
        rules,
        started,
        deadline: started + timeout.min(route.timeout),
        fingerprint: 0,
        source: 0,
        origin,
    })
}

fn read_key(
    state: &State,
    router: &Router,
    service: &ServiceId,
    head: &RequestHead,
) -> Result<Option<u16>, LocalResponse> {
    let rule = router.rules().services.get(service);
    if !rule.is_some_and(|rule| rule.keyed) {
        return Ok(None);
    }
    let key = numeric_field(head, state.conf.headers.key).and_then(|key| u16::try_from(key).ok());
    let key = key.ok_or(LocalResponse::error(
        400,
        "the request carries no key; send one",
    ))?;
    Ok(Some(key))
}

/// Returns how many targets may run a request that another node passed on.
fn passed_attempts(head: &RequestHead, max_attempts: u32) -> u32 {
    let passed = numeric_field(head, MAX_ATTEMPTS).and_then(|count| u32::try_from(count).ok());
    passed.map_or(1, |passed| passed.min(max_attempts))
}

/// Returns the service that another node has chosen for a request that it passed on.
fn passed_service(head: &RequestHead) -> Option<ServiceId> {
    let name = std::str::from_utf8(head.fields.only(SERVICE)?).ok()?;
    Some(ServiceId::from(name))
}

fn numeric_field(head: &RequestHead, name: &str) -> Option<u64> {
    let text = std::str::from_utf8(head.fields.only(name)?).ok()?;
    text.trim().parse().ok()
}

/// Reads the whole body. `Err(None)` means that the caller has disconnected.
pub(super) async fn read_body(
    state: &State,
    conn: &mut Conn,
    head: &RequestHead,
    limits: &Limits,
    deadline: Instant,
) -> Result<Vec<u8>, Option<LocalResponse>> {
    const TOO_LONG: LocalResponse = LocalResponse {
        status: 413,
        text: "the body is too long; send a shorter one",
        retry_after: None,
    };
    let max_body_bytes = limits
        .body_bytes
        .min(state.conf.memory_bytes / BODY_MEMORY_DIVISOR);
    if matches!(head.framing, Framing::Length(length) if length > max_body_bytes) {
        return Err(Some(TOO_LONG));
    }
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    if head.expects_continue && !decoder.is_done() {
        let (_, mut write, _) = conn.split();
        write.write_all(CONTINUE_RESPONSE).await.map_err(|_| None)?;
    }
    loop {
        while !decoder.is_done() && !conn.data().is_empty() {
            let piece = decoder.decode(conn.data());
            let malformed =
                LocalResponse::error(400, "the body is malformed; send it as RFC 9112 has it");
            let piece = piece.map_err(|_| Some(malformed))?;
            body.extend_from_slice(&conn.data()[piece.skip..piece.used()]);
            conn.consume(piece.used());
        }
        if decoder.is_done() {
            return Ok(body);
        }
        if body.len() as u64 > max_body_bytes {
            return Err(Some(TOO_LONG));
        }
        let filled = timeout_at(deadline.into(), conn.fill()).await;
        let timed_out = LocalResponse::error(408, "the body did not come in time; send it again");
        if !matches!(filled.map_err(|_| Some(timed_out))?, Ok(1..)) {
            return Err(None);
        }
    }
}

/// Returns the hash of a request and the address that it came from, with the key that it names.
pub(super) fn source(fingerprint: u64, key: Option<u16>, caller: Option<IpAddr>) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&fingerprint.to_le_bytes());
    if let Some(key) = key {
        hasher.update(&key.to_le_bytes());
    }
    match caller {
        Some(IpAddr::V4(address)) => hasher.update(&address.octets()),
        Some(IpAddr::V6(address)) => hasher.update(&address.octets()),
        None => {}
    }
    hasher.digest()
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
