//! The request on its way to a target.

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
use crate::traffic::forward::Added;
use crate::traffic::head::RequestHead;
use crate::traffic::reader::Reader;
use crate::traffic::relay::RelayError;
use crate::traffic::relay::Sink;
use crate::traffic::relay::relay;
use crate::traffic::request::Routed;

/// A request with as much of its body as is kept.
#[derive(Debug)]
pub struct Request {
    /// The head as the caller sent it.
    pub head: RequestHead,
    /// Its service and key.
    pub routed: Routed,
    /// The start of the body.
    pub kept: Vec<u8>,
    /// The part of the body that is still to come.
    pub rest: BodyDecoder,
    /// Whether part of the body was passed on that is not kept.
    pub consumed: bool,
}

/// How far an attempt has come.
#[derive(Debug, Default)]
pub struct Progress {
    /// Whether part of the request was sent.
    pub sent: Cell<bool>,
    /// Whether part of the body went out that is not kept.
    pub consumed: Cell<bool>,
    /// Whether the whole request was sent.
    pub uploaded: Cell<bool>,
    /// Whether part of the answer went to the caller.
    pub answering: Cell<bool>,
}

/// Why there is nobody to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upload {
    /// The caller went away.
    Gone,
    /// The caller's body is malformed.
    Bad(BodyError),
}

/// Returns what is sent first, and whether the rest follows in chunks.
pub fn opening(request: &Request, attempt: &Attempt, id: u64) -> (Vec<u8>, bool) {
    let whole = request.rest.is_done();
    let framing = match request.head.framing {
        Framing::Chunked if whole => Framing::Length(request.kept.len() as u64),
        framing => framing,
    };
    let added = Added {
        group: request.routed.group.as_ref(),
        shard: attempt.shard,
        left: attempt.deadline.saturating_duration_since(Instant::now()),
        id,
    };
    let mut out = Vec::with_capacity(1024 + request.kept.len());
    forward::request_head(&mut out, &request.head, framing, &added);
    let chunked = framing == Framing::Chunked;
    if chunked && !request.kept.is_empty() {
        forward::put(&mut out, format_args!("{:x}\r\n", request.kept.len()));
    }
    out.extend_from_slice(&request.kept);
    if chunked && !request.kept.is_empty() {
        out.extend_from_slice(b"\r\n");
    }
    (out, chunked)
}

/// Sends the request, then watches the caller. It returns only when there is nobody to answer.
pub async fn upload(
    reader: &mut Reader,
    stream: &TcpStream,
    rest: &mut BodyDecoder,
    to: &Sink<'_>,
    out: &[u8],
    progress: &Progress,
) -> Upload {
    let mut target = to.stream;
    let Ok(count) = target.write(out).await else {
        return std::future::pending().await;
    };
    progress.sent.set(true);
    if to.write(&out[count..]).await.is_err() {
        return std::future::pending().await;
    }
    if !rest.is_done() {
        progress.consumed.set(true);
        match relay(reader, rest, to, Vec::new()).await {
            Ok(()) => {}
            Err(RelayError::Cut) => return Upload::Gone,
            Err(RelayError::Malformed(error)) => return Upload::Bad(error),
            // The target may have answered before it stopped reading.
            Err(RelayError::Sink) => return std::future::pending().await,
        }
    }
    progress.uploaded.set(true);
    let may_probe = || !progress.answering.get();
    caller::watch(reader, stream, to.timers, may_probe).await;
    Upload::Gone
}
