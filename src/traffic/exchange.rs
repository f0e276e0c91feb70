//! Executes one attempt: sends the request to a target and relays the response to the caller.

use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpStream;
use futures::future::Either;
use futures::future::select;

use crate::route::Attempt;
use crate::route::AttemptOutcome;
use crate::route::RequestInfo;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::BodyError;
use crate::traffic::body::Framing;
use crate::traffic::caller::Caller;
use crate::traffic::drain::Stage;
use crate::traffic::forward;
use crate::traffic::head::ResponseHead;
use crate::traffic::pool;
use crate::traffic::pool::TargetConn;
use crate::traffic::reader::Reader;
use crate::traffic::relay::RelayError;
use crate::traffic::relay::Sink;
use crate::traffic::relay::relay;
use crate::traffic::response::belongs_to_attempt;
use crate::traffic::response::discard_buffered_body;
use crate::traffic::response::read_response_start;
use crate::traffic::response::reports_not_run;
use crate::traffic::upload::Progress;
use crate::traffic::upload::Request;
use crate::traffic::upload::UploadEnd;
use crate::traffic::upload::encode_start;
use crate::traffic::upload::upload;
use crate::traffic::worker::Worker;

/// How often an attempt checks whether its key has a new owner.
const OWNER_CHECK_PERIOD: Duration = Duration::from_millis(25);

/// The result of an attempt, as far as the caller's connection is concerned.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// The attempt failed before any part of a response was sent to the caller.
    Failed(AttemptOutcome),
    /// The complete response was sent to the caller.
    Delivered {
        /// Status code of the response.
        status: u16,
        /// Whether the caller's connection must be closed after the response.
        close: bool,
        /// When the head of the response was received from the target.
        received_at: Instant,
    },
    /// The response was truncated after part of it was sent to the caller.
    Truncated,
    /// The caller disconnected.
    CallerGone,
    /// The caller's body is malformed.
    MalformedBody(BodyError),
}

/// Sends the request to the target of `attempt` and relays the response to the caller.
///
/// A request that may be repeated is first sent on an idle connection, with half of the remaining
/// time. If that times out, it is sent again on a new connection, subject to the retry budget.
pub async fn exchange(
    worker: &Worker,
    caller: &mut Caller,
    request: &mut Request,
    attempt: &Attempt,
) -> ExchangeOutcome {
    let now = Instant::now();
    let repeatable = request.routed.info.idempotent;
    let Some(conn) = worker.shared.pool.take(attempt.address, repeatable, now) else {
        return exchange_fresh(worker, caller, request, attempt).await;
    };
    if !repeatable || !request.unread_body.is_done() {
        return exchange_on(worker, caller, request, attempt, conn, attempt.deadline).await;
    }
    // A firewall or NAT device may have dropped the state of an idle connection; what is sent on it
    // is then lost without an error.
    let half = now + attempt.deadline.saturating_duration_since(now) / 2;
    let first = exchange_on(worker, caller, request, attempt, conn, half).await;
    let timed_out = matches!(first, ExchangeOutcome::Failed(AttemptOutcome::TimedOut));
    // A slow target causes the same timeout, so the second try is charged to the retry budget.
    if !timed_out || !attempt.may_retry() {
        return first;
    }
    match exchange_fresh(worker, caller, request, attempt).await {
        ExchangeOutcome::Failed(AttemptOutcome::NotSent | AttemptOutcome::NotRun) => first,
        second => second,
    }
}

async fn exchange_fresh(
    worker: &Worker,
    caller: &mut Caller,
    request: &mut Request,
    attempt: &Attempt,
) -> ExchangeOutcome {
    let left = attempt.deadline.saturating_duration_since(Instant::now());
    let connect = pool::connect(attempt.address);
    match worker.timers.within(left, connect).await {
        Ok(Ok(conn)) => exchange_on(worker, caller, request, attempt, conn, attempt.deadline).await,
        _ => ExchangeOutcome::Failed(AttemptOutcome::NotSent),
    }
}

async fn exchange_on(
    worker: &Worker,
    caller: &mut Caller,
    request: &mut Request,
    attempt: &Attempt,
    mut conn: TargetConn,
    deadline: Instant,
) -> ExchangeOutcome {
    let id = rand::random();
    let progress = Progress::default();
    let (out, chunked) = encode_start(request, attempt, id);
    let target = conn.reader.stream().clone();
    let sink = Sink {
        stream: &target,
        chunked,
        timers: &worker.timers,
    };
    let Caller { reader, stream } = caller;
    let upload = upload(
        reader,
        stream,
        &mut request.unread_body,
        &sink,
        &out,
        &progress,
    );
    let mut upload = std::pin::pin!(upload);
    let method = &request.head.method;
    let head = await_head(worker, &mut conn.reader, method, deadline, upload.as_mut());
    let superseded = std::pin::pin!(superseded(worker, &request.routed.info, attempt));
    let head = match select(std::pin::pin!(head), superseded).await {
        Either::Left((head, _)) => head,
        Either::Right(_) => Err(ExchangeOutcome::Failed(AttemptOutcome::Superseded)),
    };
    request.body_consumed |= progress.body_consumed.get();
    let head = match head {
        Ok(head) => head,
        Err(outcome) => return handle_failure(worker, &conn, outcome, &progress),
    };
    // The response to a request that was not sent yet belongs to an earlier request.
    let stale = conn.reused && !progress.sent.get();
    if stale || !belongs_to_attempt(&head, id) {
        return ExchangeOutcome::Failed(AttemptOutcome::Broken);
    }
    let uploaded = progress.uploaded.get();
    if reports_not_run(&head) {
        return_to_pool(worker, conn, &head, uploaded);
        return ExchangeOutcome::Failed(AttemptOutcome::NotRun);
    }
    let received_at = Instant::now();
    progress.responding.set(true);
    let draining = worker.shared.drain.stage() > Stage::Serving;
    let close = draining || !request.head.keep_alive || !uploaded;
    match deliver(worker, &mut conn.reader, &head, stream, close, upload).await {
        Ok(()) => {
            return_to_pool(worker, conn, &head, progress.uploaded.get());
            let status = head.status;
            ExchangeOutcome::Delivered {
                status,
                close,
                received_at,
            }
        }
        Err(RelayError::WriteFailed) => ExchangeOutcome::CallerGone,
        Err(_) => ExchangeOutcome::Truncated,
    }
}

/// Waits for the head of the response while the request is being sent.
async fn await_head(
    worker: &Worker,
    reader: &mut Reader,
    method: &str,
    deadline: Instant,
    upload: impl Future<Output = UploadEnd> + Unpin,
) -> Result<ResponseHead, ExchangeOutcome> {
    let head = std::pin::pin!(read_response_start(reader, method));
    let timed = select(head, worker.timers.sleep_until(deadline));
    match select(upload, timed).await {
        Either::Left((UploadEnd::CallerGone, _)) => Err(ExchangeOutcome::CallerGone),
        Either::Left((UploadEnd::MalformedBody(error), _)) => {
            Err(ExchangeOutcome::MalformedBody(error))
        }
        Either::Right((Either::Left((Some(head), _)), _)) => Ok(head),
        Either::Right((Either::Left((None, _)), _)) => {
            Err(ExchangeOutcome::Failed(AttemptOutcome::Broken))
        }
        Either::Right((Either::Right(_), _)) => {
            Err(ExchangeOutcome::Failed(AttemptOutcome::TimedOut))
        }
    }
}

/// Completes when the key of `info` has a new owner; never completes for requests without a key or
/// that must not be sent again.
async fn superseded(worker: &Worker, info: &RequestInfo, attempt: &Attempt) {
    let can_move = info.key_hash.is_some() && info.idempotent && info.replayable;
    if !can_move {
        std::future::pending().await
    }
    while !worker.shared.router.is_superseded(info, attempt) {
        let next = Instant::now() + OWNER_CHECK_PERIOD;
        worker.timers.sleep_until(next).await;
    }
}

/// Relays the response to the caller while the rest of the request may still be sent.
async fn deliver(
    worker: &Worker,
    reader: &mut Reader,
    head: &ResponseHead,
    stream: &TcpStream,
    close: bool,
    upload: impl Future<Output = UploadEnd> + Unpin,
) -> Result<(), RelayError> {
    let mut out = Vec::with_capacity(1024);
    forward::response_head(&mut out, head, close);
    let mut decoder = BodyDecoder::new(head.framing);
    let sink = Sink {
        stream,
        chunked: head.framing == Framing::Chunked,
        timers: &worker.timers,
    };
    let response = std::pin::pin!(relay(reader, &mut decoder, &sink, out));
    match select(response, upload).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(RelayError::WriteFailed),
    }
}

/// Returns a connection to the pool if the request and the response were complete and no further
/// bytes were received.
fn return_to_pool(worker: &Worker, mut conn: TargetConn, head: &ResponseHead, uploaded: bool) {
    if !head.keep_alive || !uploaded {
        return;
    }
    if reports_not_run(head) && !discard_buffered_body(&mut conn.reader, head) {
        return;
    }
    if conn.reader.data().is_empty() {
        worker.shared.pool.put(conn, Instant::now());
    }
}

fn handle_failure(
    worker: &Worker,
    conn: &TargetConn,
    outcome: ExchangeOutcome,
    progress: &Progress,
) -> ExchangeOutcome {
    if matches!(outcome, ExchangeOutcome::Failed(AttemptOutcome::TimedOut)) {
        worker.shared.stats.record_timeout();
        worker.shared.pool.close_idle(conn.address);
    }
    match outcome {
        ExchangeOutcome::Failed(_) if !progress.sent.get() => {
            ExchangeOutcome::Failed(AttemptOutcome::NotSent)
        }
        outcome => outcome,
    }
}
