//! Sends a request to a target, and streams the part of its body that is not buffered.

use std::cell::Cell;
use std::time::Instant;

use async_std::io::WriteExt;
use async_std::net::TcpStream;

use crate::route::Attempt;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::BodyError;
use crate::traffic::body::Framing;
use crate::traffic::caller;
use crate::traffic::forward;
use crate::traffic::forward::RoutingHeaders;
use crate::traffic::head::RequestHead;
use crate::traffic::reader::Reader;
use crate::traffic::relay::RelayError;
use crate::traffic::relay::Sink;
use crate::traffic::relay::relay;
use crate::traffic::request::RoutedRequest;

/// A request and the start of its body.
#[derive(Debug)]
pub struct Request {
    /// The head as the caller sent it.
    pub head: RequestHead,
    /// Service and key of the request.
    pub routed: RoutedRequest,
    /// The start of the body, without chunk framing.
    pub buffered: Vec<u8>,
    /// Decoder of the part of the body that is not in `buffered`.
    pub unread_body: BodyDecoder,
    /// Whether part of the body was sent that is not in `buffered`, so that the request can't be
    /// sent again.
    pub body_consumed: bool,
}

/// How much of the request and the response of an attempt was transferred.
#[derive(Debug, Default)]
pub struct Progress {
    /// Whether any byte of the request was sent.
    pub sent: Cell<bool>,
    /// Whether part of the body was sent that is not buffered.
    pub body_consumed: Cell<bool>,
    /// Whether the whole request was sent.
    pub uploaded: Cell<bool>,
    /// Whether the response is being sent to the caller.
    pub responding: Cell<bool>,
}

/// The reason why an upload ended without a response to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadEnd {
    /// The caller disconnected.
    CallerGone,
    /// The caller's body is malformed.
    MalformedBody(BodyError),
}

/// Returns the encoded head and the buffered part of the body, and whether the rest must be sent in
/// the chunked coding.
pub fn encode_start(request: &Request, attempt: &Attempt, request_id: u64) -> (Vec<u8>, bool) {
    let whole = request.unread_body.is_done();
    let framing = match request.head.framing {
        Framing::Chunked if whole => Framing::Length(request.buffered.len() as u64),
        framing => framing,
    };
    let headers = RoutingHeaders {
        group: request.routed.group.as_ref(),
        shard: attempt.shard,
        remaining: attempt.deadline.saturating_duration_since(Instant::now()),
        request_id,
    };
    let mut out = Vec::with_capacity(1024 + request.buffered.len());
    forward::request_head(&mut out, &request.head, framing, &headers);
    let chunked = framing == Framing::Chunked;
    if chunked && !request.buffered.is_empty() {
        forward::put(&mut out, format_args!("{:x}\r\n", request.buffered.len()));
    }
    out.extend_from_slice(&request.buffered);
    if chunked && !request.buffered.is_empty() {
        out.extend_from_slice(b"\r\n");
    }
    (out, chunked)
}

/// Sends the request, then waits for the caller to disconnect.
///
/// Returns only if the request can't be completed because of the caller. It stays pending if the
/// target can't be written to, because the target may have sent a response before.
pub async fn upload(
    reader: &mut Reader,
    stream: &TcpStream,
    unread_body: &mut BodyDecoder,
    to: &Sink<'_>,
    out: &[u8],
    progress: &Progress,
) -> UploadEnd {
    let mut target = to.stream;
    let Ok(count) = target.write(out).await else {
        return std::future::pending().await;
    };
    progress.sent.set(true);
    if to.write(&out[count..]).await.is_err() {
        return std::future::pending().await;
    }
    if !unread_body.is_done() {
        progress.body_consumed.set(true);
        match relay(reader, unread_body, to, Vec::new()).await {
            Ok(()) => {}
            Err(RelayError::Truncated) => return UploadEnd::CallerGone,
            Err(RelayError::Malformed(error)) => return UploadEnd::MalformedBody(error),
            // The target may have sent a response before it stopped reading.
            Err(RelayError::WriteFailed) => return std::future::pending().await,
        }
    }
    progress.uploaded.set(true);
    let may_probe = || !progress.responding.get();
    caller::wait_for_disconnect(reader, stream, to.timers, may_probe).await;
    UploadEnd::CallerGone
}
