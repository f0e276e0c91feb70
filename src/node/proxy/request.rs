//! Determines the service of a caller's request and the limits that apply to it.

use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::ServiceId;
use crate::memory::Body;
use crate::node::proxy::dispatch::RoutedRequest;
use crate::node::proxy::headers::MAX_ATTEMPTS;
use crate::node::proxy::headers::RULES;
use crate::node::proxy::headers::SERVICE;
use crate::node::proxy::respond::LocalResponse;
use crate::node::proxy::serve::Origin;
use crate::node::rules::Router;
use crate::node::state::State;
use crate::traffic::head::HeadError;
use crate::traffic::head::RequestHead;

/// Subtracted from the caller's timeout: the network delay of the request and the response.
const NETWORK_DELAY: Duration = Duration::from_millis(15);

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

pub(super) fn fingerprint(head: &RequestHead, body: &Body) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(head.method.as_bytes());
    hasher.update(b" ");
    hasher.update(head.path.as_bytes());
    hasher.update(b"\n");
    body.segments().for_each(|segment| hasher.update(segment));
    hasher.digest()
}
