//! Responses that the entry generates itself: refusals and errors.

use crate::owner::order::OUTCOME_HEADER;
use crate::route::Refusal;
use crate::traffic::forward::put;
use crate::traffic::head::HeadError;

/// Writes the response to a request that the router refuses.
pub fn refusal(out: &mut Vec<u8>, refusal: Refusal, close: bool) {
    let text = format!("{refusal}: {}\n", remedy(refusal));
    write_response(out, refusal.status(), refusal.outcome(), &text, close);
}

/// Writes the 400 response to a malformed request.
pub fn bad_request(out: &mut Vec<u8>, error: &dyn std::error::Error) {
    write_response(
        out,
        400,
        "not-run",
        &format!("bad-request: {error}\n"),
        true,
    );
}

/// Writes the response to a request whose head is rejected: 505 for an unsupported HTTP version,
/// else 400.
pub fn bad_head(out: &mut Vec<u8>, error: HeadError) {
    match error {
        HeadError::Version => write_response(
            out,
            505,
            "not-run",
            &format!("bad-request: {error}\n"),
            true,
        ),
        _ => bad_request(out, &error),
    }
}

fn write_response(out: &mut Vec<u8>, status: u16, outcome: &str, text: &str, close: bool) {
    let reason = reason(status);
    put(out, format_args!("HTTP/1.1 {status} {reason}\r\n"));
    put(out, format_args!("{OUTCOME_HEADER}: {outcome}\r\n"));
    put(out, format_args!("content-type: text/plain\r\n"));
    put(out, format_args!("content-length: {}\r\n", text.len()));
    if status == 503 {
        put(out, format_args!("retry-after: 1\r\n"));
    }
    if close {
        put(out, format_args!("connection: close\r\n"));
    }
    put(out, format_args!("\r\n{text}"));
}

fn remedy(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::NoService => {
            "no service has this path; check the path against the ticket in force"
        }
        Refusal::NoKey => "the request carries no key; send the key where the service expects it",
        Refusal::Overloaded => "all targets are busy; it did not run, send it again after a pause",
        Refusal::NoTarget => "no target can take it now; it did not run, send it again",
        Refusal::Expired => "its time passed before it was sent; it did not run, send it again",
        Refusal::Quarantined => "requests like it crashed several targets; do not send it again",
        Refusal::Unknown => "its answer was lost; it may have run, look before sending it again",
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        404 => "Not Found",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Refused",
    }
}
