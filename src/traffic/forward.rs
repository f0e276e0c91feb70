//! Encodes the heads that a proxy forwards: requests to targets and responses to callers.
//!
//! Hop-by-hop header fields are removed, and the framing is written anew.

use std::io::Write;
use std::time::Duration;

use crate::ids::GroupId;
use crate::owner::order::DEADLINE_HEADER;
use crate::owner::order::FENCE_HEADER;
use crate::owner::order::GROUP_HEADER;
use crate::owner::order::OUTCOME_HEADER;
use crate::owner::order::REQUEST_HEADER;
use crate::owner::order::SHARD_HEADER;
use crate::owner::order::ShardFence;
use crate::traffic::body::Framing;
use crate::traffic::head::Fields;
use crate::traffic::head::RequestHead;
use crate::traffic::head::ResponseHead;

const ROUTER_FIELD_PREFIX: &str = "x-gooseberryloft-";

/// The header fields that the entry adds to a request.
#[derive(Clone, Debug)]
pub struct RoutingHeaders<'a> {
    /// Group of the key's shard, for a request with a key.
    pub group: Option<&'a GroupId>,
    /// Shard and fencing token, for a request with a key.
    pub shard: Option<ShardFence>,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Random ID of the attempt. A target that echoes it shows which request its response is for.
    pub request_id: u64,
}

/// Writes the head of a request to a target.
pub fn request_head(
    out: &mut Vec<u8>,
    head: &RequestHead,
    framing: Framing,
    headers: &RoutingHeaders<'_>,
) {
    put(
        out,
        format_args!("{} {} HTTP/1.1\r\n", head.method, head.path),
    );
    for (name, value) in head.fields.iter() {
        if !is_router_field(name) && !is_hop_by_hop(&head.fields, name) {
            put_field(out, name, value);
        }
    }
    if let Some(group) = headers.group {
        put(out, format_args!("{GROUP_HEADER}: {group}\r\n"));
    }
    if let Some(owned) = headers.shard {
        put(out, format_args!("{SHARD_HEADER}: {}\r\n", owned.shard));
        put(out, format_args!("{FENCE_HEADER}: {}\r\n", owned.fence));
    }
    let left_ms = headers.remaining.as_millis();
    put(out, format_args!("{DEADLINE_HEADER}: {left_ms}\r\n"));
    put(
        out,
        format_args!("{REQUEST_HEADER}: {:016x}\r\n", headers.request_id),
    );
    put_framing(out, framing);
    out.extend_from_slice(b"\r\n");
}

/// Writes the head of a request to a target, without the framing, the fields in `skip` and the
/// empty line at the end.
pub fn plain_request_head(out: &mut Vec<u8>, head: &RequestHead, skip: &[&str]) {
    put(
        out,
        format_args!("{} {} HTTP/1.1\r\n", head.method, head.path),
    );
    for (name, value) in head.fields.iter() {
        let skipped = skip.iter().any(|skip| name.eq_ignore_ascii_case(skip));
        if !skipped && !is_hop_by_hop(&head.fields, name) {
            put_field(out, name, value);
        }
    }
}

/// Writes the head of a response to a caller, without the framing and the empty line at the end.
pub fn plain_response_head(out: &mut Vec<u8>, head: &ResponseHead) {
    put(
        out,
        format_args!("HTTP/1.1 {} {}\r\n", head.status, head.reason),
    );
    for (name, value) in head.fields.iter() {
        if !is_hop_by_hop(&head.fields, name) {
            put_field(out, name, value);
        }
    }
}

/// Writes the framing field for a complete body of `length` bytes. For a response without a body,
/// writes the `content-length` that the target declared, if any.
pub fn complete_body_framing(out: &mut Vec<u8>, head: &ResponseHead, length: usize) {
    match head.framing {
        Framing::Empty => put_declared_length(out, head),
        _ => put_framing(out, Framing::Length(length as u64)),
    }
}

/// Writes the complete head of a response to a caller. `close` adds `connection: close`.
pub fn response_head(out: &mut Vec<u8>, head: &ResponseHead, close: bool) {
    put(
        out,
        format_args!("HTTP/1.1 {} {}\r\n", head.status, head.reason),
    );
    for (name, value) in head.fields.iter() {
        let internal = is_router_field(name) && !name.eq_ignore_ascii_case(OUTCOME_HEADER);
        if !internal && !is_hop_by_hop(&head.fields, name) {
            put_field(out, name, value);
        }
    }
    match head.framing {
        Framing::Empty => put_declared_length(out, head),
        framing => put_framing(out, framing),
    }
    if close {
        out.extend_from_slice(b"connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// Appends formatted text to `out`.
pub fn put(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    out.write_fmt(text).expect("writing to memory cannot fail");
}

fn put_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Writes the header field that declares the framing of a body.
pub fn put_framing(out: &mut Vec<u8>, framing: Framing) {
    match framing {
        Framing::Empty | Framing::UntilClose => {}
        Framing::Length(length) => put(out, format_args!("content-length: {length}\r\n")),
        Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
    }
}

/// Writes the `content-length` that a response without a body declares (to HEAD, or with 304).
fn put_declared_length(out: &mut Vec<u8>, head: &ResponseHead) {
    if matches!(head.status, 100..=199 | 204) {
        return;
    }
    if let Some(length) = head.fields.only("content-length") {
        put_field(out, "content-length", length);
    }
}

fn is_router_field(name: &str) -> bool {
    name.len() >= ROUTER_FIELD_PREFIX.len()
        && name.as_bytes()[..ROUTER_FIELD_PREFIX.len()]
            .eq_ignore_ascii_case(ROUTER_FIELD_PREFIX.as_bytes())
}

/// Returns true if a field is hop-by-hop: it applies to a single connection and is not forwarded.
fn is_hop_by_hop(fields: &Fields, name: &str) -> bool {
    const HOP_BY_HOP: [&str; 11] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let always = HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop));
    always || !name.eq_ignore_ascii_case("host") && fields.has_token("connection", name)
}
