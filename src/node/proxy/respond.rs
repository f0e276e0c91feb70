//! What callers get: targets' answers unchanged, and the node's own.

use std::time::Duration;

use crate::node::proxy::attempt::Response;
use crate::node::proxy::dispatch::Refusal;
use crate::traffic::body::Framing;
use crate::traffic::forward;
use crate::traffic::forward::put;

/// Part of the caller's time left after which it is asked to come back; callers accept up to a
/// third.
const RETRY_AFTER_FRACTION: f64 = 0.25;
/// The shortest and longest pause that callers are asked for.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Returns a target's whole answer.
pub fn encode_response(response: &Response, close: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + response.body.len());
    forward::plain_answer_head(&mut out, &response.head);
    forward::whole_body(&mut out, &response.head, response.body.len());
    end_head(&mut out, close);
    out.extend_from_slice(&response.body);
    out
}

/// Returns the start of a target's long answer, and whether the rest goes in chunks.
pub fn encode_response_start(response: &Response, close: bool) -> (Vec<u8>, bool) {
    let mut out = Vec::with_capacity(512 + response.body.len());
    forward::plain_answer_head(&mut out, &response.head);
    let framing = match response.head.framing {
        Framing::Length(length) => Framing::Length(length),
        _ => Framing::Chunked,
    };
    let chunked = framing == Framing::Chunked;
    forward::put_framing(&mut out, framing);
    end_head(&mut out, close);
    append_body(&mut out, &response.body, chunked);
    (out, chunked)
}

/// Writes a piece of a body.
pub fn append_body(out: &mut Vec<u8>, body: &[u8], chunked: bool) {
    if body.is_empty() {
        return;
    }
    if chunked {
        put(out, format_args!("{:x}\r\n", body.len()));
    }
    out.extend_from_slice(body);
    if chunked {
        out.extend_from_slice(b"\r\n");
    }
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// An answer of the node's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalResponse {
    /// The status.
    pub status: u16,
    /// What went wrong and what to do.
    pub text: &'static str,
    /// When the caller may come back, if the request has not run.
    pub retry_after: Option<Duration>,
}

impl LocalResponse {
    /// Returns an answer that says what is wrong with the request.
    pub fn error(status: u16, text: &'static str) -> Self {
        Self {
            status,
            text,
            retry_after: None,
        }
    }

    /// Returns an answer that says that a request has not run, for a caller with this time left.
    pub fn not_run(text: &'static str, time_left: Duration) -> Self {
        let pause = time_left
            .mul_f64(RETRY_AFTER_FRACTION)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Self {
            status: 503,
            text,
            retry_after: Some(pause),
        }
    }

    /// Returns the answer to a request that got no target's answer.
    pub fn refusal(refusal: Refusal, time_left: Duration) -> Self {
        match refusal {
            Refusal::NoTarget => {
                Self::not_run("no target is in service; come back later", time_left)
            }
            Refusal::Busy | Refusal::Shed => {
                Self::not_run("all targets are busy; come back later", time_left)
            }
            Refusal::NoOwner => Self::not_run("the key is on the move; come back later", time_left),
            Refusal::Quarantined => Self {
                status: 503,
                text: "requests like this one crashed targets; do not send it again",
                retry_after: None,
            },
            Refusal::Lost => Self::error(502, "the answer was lost; the request may have run"),
            Refusal::Late => Self::error(504, "no answer in time; the request may still run"),
        }
    }

    /// Returns the bytes of the answer.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(256);
        let (status, reason) = (self.status, reason(self.status));
        put(&mut out, format_args!("HTTP/1.1 {status} {reason}\r\n"));
        if let Some(pause) = self.retry_after {
            let seconds = pause.as_secs_f64();
            put(&mut out, format_args!("Retry-After: {seconds:.3}\r\n"));
        }
        let length = self.text.len() + 1;
        put(&mut out, format_args!("Content-Type: text/plain\r\n"));
        put(&mut out, format_args!("Content-Length: {length}\r\n"));
        end_head(&mut out, close);
        put(&mut out, format_args!("{}\n", self.text));
        out
    }
}

fn end_head(out: &mut Vec<u8>, close: bool) {
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

fn reason(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        404 => "Not Found",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Refused",
    }
}
