//! What a request and an answer look like on the other side of the entry.

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

const OWN_PREFIX: &str = "x-gooseberryloft-";

/// What the entry adds to a request.
#[derive(Clone, Debug)]
pub struct Added<'a> {
    /// The group of a keyed request.
    pub group: Option<&'a GroupId>,
    /// The shard and fence of a keyed request.
    pub shard: Option<ShardFence>,
    /// The time left to answer.
    pub left: Duration,
    /// Drawn anew for each attempt; a target that echoes it proves which request it answers.
    pub id: u64,
}

/// Writes the head that a target gets.
pub fn request_head(out: &mut Vec<u8>, head: &RequestHead, framing: Framing, added: &Added<'_>) {
    put(
        out,
        format_args!("{} {} HTTP/1.1\r\n", head.method, head.path),
    );
    for (name, value) in head.fields.iter() {
        if !is_own(name) && !is_hop(&head.fields, name) {
            put_field(out, name, value);
        }
    }
    if let Some(group) = added.group {
        put(out, format_args!("{GROUP_HEADER}: {group}\r\n"));
    }
    if let Some(at) = added.shard {
        put(out, format_args!("{SHARD_HEADER}: {}\r\n", at.shard));
        put(out, format_args!("{FENCE_HEADER}: {}\r\n", at.fence));
    }
    let left_ms = added.left.as_millis();
    put(out, format_args!("{DEADLINE_HEADER}: {left_ms}\r\n"));
    put(out, format_args!("{REQUEST_HEADER}: {:016x}\r\n", added.id));
    put_framing(out, framing);
    out.extend_from_slice(b"\r\n");
}

/// Writes the head that a target gets, but for the framing and the fields in `skip`, and without
/// the empty line at its end.
pub fn plain_request_head(out: &mut Vec<u8>, head: &RequestHead, skip: &[&str]) {
    put(
        out,
        format_args!("{} {} HTTP/1.1\r\n", head.method, head.path),
    );
    for (name, value) in head.fields.iter() {
        let skipped = skip.iter().any(|skip| name.eq_ignore_ascii_case(skip));
        if !skipped && !is_hop(&head.fields, name) {
            put_field(out, name, value);
        }
    }
}

/// Writes the head that a caller gets, but for the framing and the empty line at its end.
pub fn plain_response_head(out: &mut Vec<u8>, head: &ResponseHead) {
    put(
        out,
        format_args!("HTTP/1.1 {} {}\r\n", head.status, head.reason),
    );
    for (name, value) in head.fields.iter() {
        if !is_hop(&head.fields, name) {
            put_field(out, name, value);
        }
    }
}

/// Writes the framing of a whole body, if there is to be one, as the last field of a head.
pub fn complete_body_framing(out: &mut Vec<u8>, head: &ResponseHead, length: usize) {
    match head.framing {
        Framing::Empty => put_announced(out, head),
        _ => put_framing(out, Framing::Length(length as u64)),
    }
}

/// Writes the head that a caller gets.
pub fn response_head(out: &mut Vec<u8>, head: &ResponseHead, close: bool) {
    put(
        out,
        format_args!("HTTP/1.1 {} {}\r\n", head.status, head.reason),
    );
    for (name, value) in head.fields.iter() {
        let own = is_own(name) && !name.eq_ignore_ascii_case(OUTCOME_HEADER);
        if !own && !is_hop(&head.fields, name) {
            put_field(out, name, value);
        }
    }
    match head.framing {
        Framing::Empty => put_announced(out, head),
        framing => put_framing(out, framing),
    }
    if close {
        out.extend_from_slice(b"connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// Writes formatted text.
pub fn put(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    out.write_fmt(text).expect("writing to memory cannot fail");
}

fn put_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Writes the field that tells how a body ends.
pub fn put_framing(out: &mut Vec<u8>, framing: Framing) {
    match framing {
        Framing::Empty | Framing::UntilClose => {}
        Framing::Length(length) => put(out, format_args!("content-length: {length}\r\n")),
        Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
    }
}

/// Writes the length that an answer without a body announces: to HEAD, or with 304.
fn put_announced(out: &mut Vec<u8>, head: &ResponseHead) {
    if matches!(head.status, 100..=199 | 204) {
        return;
    }
    if let Some(length) = head.fields.only("content-length") {
        put_field(out, "content-length", length);
    }
}

fn is_own(name: &str) -> bool {
    name.len() >= OWN_PREFIX.len()
        && name.as_bytes()[..OWN_PREFIX.len()].eq_ignore_ascii_case(OWN_PREFIX.as_bytes())
}

/// Returns whether a field concerns one connection alone.
fn is_hop(fields: &Fields, name: &str) -> bool {
    const HOP: [&str; 11] = [
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
    let fixed = HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop));
    fixed || !name.eq_ignore_ascii_case("host") && fields.has_token("connection", name)
}
