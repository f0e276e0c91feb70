//! One attempt: the request to a target, and its answer to the caller.

use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpStream;
use futures::future::Either;
use futures::future::select;

use crate::route::Attempt;
use crate::route::AttemptOutcome;
use crate::route::RequestInfo;
use crate::traffic::answer::is_not_run;
use crate::traffic::answer::is_own_answer;
use crate::traffic::answer::read_short_answer;
use crate::traffic::answer::skip_body;
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
use crate::traffic::upload::Progress;
use crate::traffic::upload::Request;
use crate::traffic::upload::Upload;
use crate::traffic::upload::opening;
use crate::traffic::upload::upload;
use crate::traffic::worker::Worker;

/// How often an attempt looks whether its key has another owner by now.
const OWNER_CHECK: Duration = Duration::from_millis(25);

/// What became of an attempt.
#[derive(Debug)]
pub enum End {
    /// Nothing went to the caller.
    Failed(AttemptOutcome),
    /// The whole answer went to the caller.
    Whole {
        /// The status of the answer.
        status: u16,
        /// Whether the caller's connection ends with it.
        close: bool,
        /// When its head had arrived.
        answered: Instant,
    },
    /// The answer broke off after its head went to the caller.
    Cut,
    /// The caller went away.
    Gone,
    /// The caller's body is malformed.
    BadBody(BodyError),
}

/// Sends an attempt's request to its target and the answer to the caller.
pub async fn exchange(
    worker: &Worker,
    caller: &mut Caller,
    request: &mut Request,
    attempt: &Attempt,
) -> End {
    let now = Instant::now();
    let repeatable = request.routed.info.idempotent;
    let Some(conn) = worker.shared.pool.take(attempt.address, repeatable, now) else {
        return exchange_fresh(worker, caller, request, attempt).await;
    };
    if !repeatable || !request.rest.is_done() {
        return exchange_on(worker, caller, request, attempt, conn, attempt.deadline).await;
    }
    // A connection that something on the way has lost track of swallows what is sent on it.
    let half = now + attempt.deadline.saturating_duration_since(now) / 2;
    let first = exchange_on(worker, caller, request, attempt, conn, half).await;
    let silent = matches!(first, End::Failed(AttemptOutcome::TimedOut));
    // A slow target looks the same, so the second try is paid for as a retry.
    if !silent || !attempt.may_retry() {
        return first;
    }
    match exchange_fresh(worker, caller, request, attempt).await {
        End::Failed(AttemptOutcome::NotSent | AttemptOutcome::NotRun) => first,
        second => second,
    }
}

async fn exchange_fresh(
    worker: &Worker,
    caller: &mut Caller,
    request: &mut Request,
    attempt: &Attempt,
) -> End {
    let left = attempt.deadline.saturating_duration_since(Instant::now());
    let connect = pool::connect(attempt.address);
    match worker.timers.within(left, connect).await {
        Ok(Ok(conn)) => exchange_on(worker, caller, request, attempt, conn, attempt.deadline).await,
        _ => End::Failed(AttemptOutcome::NotSent),
    }
}

async fn exchange_on(
    worker: &Worker,
    caller: &mut Caller,
    request: &mut Request,
    attempt: &Attempt,
    mut conn: TargetConn,
    until: Instant,
) -> End {
    let id = rand::random();
    let progress = Progress::default();
    let (out, chunked) = opening(request, attempt, id);
    let target = conn.reader.stream().clone();
    let sink = Sink {
        stream: &target,
        chunked,
        timers: &worker.timers,
    };
    let Caller { reader, stream } = caller;
    let upload = upload(reader, stream, &mut request.rest, &sink, &out, &progress);
    let mut upload = std::pin::pin!(upload);
    let method = &request.head.method;
    let head = await_head(worker, &mut conn.reader, method, until, upload.as_mut());
    let superseded = std::pin::pin!(superseded(worker, &request.routed.info, attempt));
    let head = match select(std::pin::pin!(head), superseded).await {
        Either::Left((head, _)) => head,
        Either::Right(_) => Err(End::Failed(AttemptOutcome::Superseded)),
    };
    request.consumed |= progress.consumed.get();
    let head = match head {
        Ok(head) => head,
        Err(end) => return failed(worker, &conn, end, &progress),
    };
    let early = conn.reused && !progress.sent.get();
    if early || !is_own_answer(&head, id) {
        return End::Failed(AttemptOutcome::Broken);
    }
    let uploaded = progress.uploaded.get();
    if is_not_run(&head) {
        keep(worker, conn, &head, uploaded);
        return End::Failed(AttemptOutcome::NotRun);
    }
    let answered = Instant::now();
    progress.answering.set(true);
    let draining = worker.shared.drain.stage() > Stage::Serving;
    let close = draining || !request.head.keep_alive || !uploaded;
    match deliver(worker, &mut conn.reader, &head, stream, close, upload).await {
        Ok(()) => {
            keep(worker, conn, &head, progress.uploaded.get());
            let status = head.status;
            End::Whole {
                status,
                close,
                answered,
            }
        }
        Err(RelayError::Sink) => End::Gone,
        Err(_) => End::Cut,
    }
}

/// Waits for the head of the answer while the request goes out.
async fn await_head(
    worker: &Worker,
    reader: &mut Reader,
    method: &str,
    until: Instant,
    upload: impl Future<Output = Upload> + Unpin,
) -> Result<ResponseHead, End> {
    let head = std::pin::pin!(read_short_answer(reader, method));
    let timed = select(head, worker.timers.sleep_until(until));
    match select(upload, timed).await {
        Either::Left((Upload::Gone, _)) => Err(End::Gone),
        Either::Left((Upload::Bad(error), _)) => Err(End::BadBody(error)),
        Either::Right((Either::Left((Some(head), _)), _)) => Ok(head),
        Either::Right((Either::Left((None, _)), _)) => Err(End::Failed(AttemptOutcome::Broken)),
        Either::Right((Either::Right(_), _)) => Err(End::Failed(AttemptOutcome::TimedOut)),
    }
}

/// Ends when another target owns the key of a request that may be sent again.
async fn superseded(worker: &Worker, info: &RequestInfo, attempt: &Attempt) {
    let repeatable = info.key_hash.is_some() && info.idempotent && info.replayable;
    if !repeatable {
        std::future::pending().await
    }
    while !worker.shared.router.is_superseded(info, attempt) {
        let next = Instant::now() + OWNER_CHECK;
        worker.timers.sleep_until(next).await;
    }
}

/// Passes the answer on while the rest of the request may still go out.
async fn deliver(
    worker: &Worker,
    reader: &mut Reader,
    head: &ResponseHead,
    stream: &TcpStream,
    close: bool,
    upload: impl Future<Output = Upload> + Unpin,
) -> Result<(), RelayError> {
    let mut out = Vec::with_capacity(1024);
    forward::response_head(&mut out, head, close);
    let mut decoder = BodyDecoder::new(head.framing);
    let sink = Sink {
        stream,
        chunked: head.framing == Framing::Chunked,
        timers: &worker.timers,
    };
    let answer = std::pin::pin!(relay(reader, &mut decoder, &sink, out));
    match select(answer, upload).await {
        Either::Left((answered, _)) => answered,
        Either::Right(_) => Err(RelayError::Sink),
    }
}

/// Keeps a target's connection if there is no doubt about its state.
fn keep(worker: &Worker, mut conn: TargetConn, head: &ResponseHead, uploaded: bool) {
    if !head.keep_alive || !uploaded {
        return;
    }
    if is_not_run(head) && !skip_body(&mut conn.reader, head) {
        return;
    }
    if conn.reader.data().is_empty() {
        worker.shared.pool.put(conn, Instant::now());
    }
}

fn failed(worker: &Worker, conn: &TargetConn, end: End, progress: &Progress) -> End {
    if matches!(end, End::Failed(AttemptOutcome::TimedOut)) {
        worker.shared.stats.record_timeout();
        worker.shared.pool.drop_idle(conn.address);
    }
    match end {
        End::Failed(_) if !progress.sent.get() => End::Failed(AttemptOutcome::NotSent),
        end => end,
    }
}
