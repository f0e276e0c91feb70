//! Determines the service and the key of a request.

use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::GroupId;
use crate::ids::key_hash;
use crate::route::Refusal;
use crate::route::RequestInfo;
use crate::route::Router;
use crate::ticket::KeySource;
use crate::ticket::Keying;
use crate::ticket::Service;
use crate::traffic::head::RequestHead;
use crate::traffic::head::percent_decode;

/// Routing information of a request whose service is known.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The properties that the router needs.
    pub info: RequestInfo,
    /// The group of the key's shard; `None` if the service has no keys.
    pub group: Option<GroupId>,
}

/// Finds the service of a request by its path, and its key by the rules of the service.
pub fn classify(
    router: &Router,
    head: &RequestHead,
    now: Instant,
) -> Result<RoutedRequest, Refusal> {
    let path = head.path.split('?').next().unwrap_or_default();
    let name = router.service_of(path).ok_or(Refusal::NoService)?;
    let view = router.view();
    let service = view.state.services.get(&name).ok_or(Refusal::NoService)?;
    let key = match &service.keying {
        Some(keying) => Some((keying, hash_request_key(keying, service, head, path)?)),
        None => None,
    };
    let group = key.map(|(keying, hash)| GroupId {
        service: name.clone(),
        index: keying.group_of(keying.shard_of(hash)),
    });
    let info = RequestInfo {
        service: name,
        key_hash: key.map(|(_, hash)| hash),
        idempotent: service.idempotent.contains(&head.method),
        replayable: true,
        deadline: now + Duration::from_millis(service.deadline_ms),
        fingerprint: fingerprint(head),
    };
    Ok(RoutedRequest { info, group })
}

/// Returns the hash of the key; a key from the path is percent-decoded first, so that all spellings
/// of a key have the same hash.
fn hash_request_key(
    keying: &Keying,
    service: &Service,
    head: &RequestHead,
    path: &str,
) -> Result<u64, Refusal> {
    let key = match &keying.source {
        KeySource::Path => path_key(path, &service.prefix).and_then(percent_decode),
        KeySource::Header(name) => head.fields.only(name).map(<[u8]>::to_vec),
    };
    let key = key.filter(|key| !key.is_empty()).ok_or(Refusal::NoKey)?;
    Ok(key_hash(&key))
}

fn path_key<'a>(path: &'a str, prefix: &str) -> Option<&'a [u8]> {
    let rest = path.strip_prefix(prefix)?;
    let rest = rest.strip_prefix('/').unwrap_or(rest);
    rest.split('/').next().map(str::as_bytes)
}

fn fingerprint(head: &RequestHead) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(head.method.as_bytes());
    hasher.update(b" ");
    hasher.update(head.path.as_bytes());
    for key in head.fields.all("idempotency-key") {
        hasher.update(b"\n");
        hasher.update(key);
    }
    hasher.digest()
}
