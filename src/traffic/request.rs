//! What the router has to know of a request.

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

/// A request that belongs to a service.
#[derive(Clone, Debug)]
pub struct Routed {
    /// What the router has to know.
    pub info: RequestInfo,
    /// The group of a keyed request.
    pub group: Option<GroupId>,
}

/// Finds the service and key of a request.
pub fn classify(router: &Router, head: &RequestHead, now: Instant) -> Result<Routed, Refusal> {
    let path = head.path.split('?').next().unwrap_or_default();
    let name = router.service_of(path).ok_or(Refusal::NoService)?;
    let view = router.view();
    let service = view.state.services.get(&name).ok_or(Refusal::NoService)?;
    let key = match &service.keying {
        Some(keying) => Some((keying, hash_of(keying, service, head, path)?)),
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
    Ok(Routed { info, group })
}

/// Returns the hash of the key, in the one spelling that all escapes of it stand for.
fn hash_of(
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
