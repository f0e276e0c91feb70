//! A caller's connection from its first request to its last.

use std::pin::Pin;
use std::task::Poll;
use std::time::Instant;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use futures::FutureExt;
use futures::future::Either;
use futures::future::select;

use crate::metrics;
use crate::route::AttemptEnd;
use crate::route::Call;
use crate::route::Lane;
use crate::route::Next;
use crate::route::Refusal;
use crate::route::Step;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::Framing;
use crate::traffic::caller;
use crate::traffic::caller::Caller;
use crate::traffic::caller::KEPT_BODY_BYTES;
use crate::traffic::drain::Stage;
use crate::traffic::ending::Ending;
use crate::traffic::ending::Outcome;
use crate::traffic::exchange::End;
use crate::traffic::exchange::Request;
use crate::traffic::exchange::exchange;
use crate::traffic::head::RequestHead;
use crate::traffic::refuse;
use crate::traffic::relay::RelayError;
use crate::traffic::request::classify;
use crate::traffic::stats::Stats;
use crate::traffic::worker::CallerState;
use crate::traffic::worker::Worker;

/// What is to happen with a caller's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum After {
    /// The next request may follow.
    Keep,
    /// The connection ends in good order.
    Close,
    /// The connection breaks, so that what was sent does not look whole.
    Break,
}

/// Serves a caller until its connection ends.
pub async fn serve(worker: &Worker, state: &CallerState, stream: TcpStream) {
    let mut caller = Caller::new(stream);
    loop {
        state.set_idle(caller.reader.data().is_empty());
        let more = caller.wait(&worker.timers).await;
        state.set_idle(false);
        if !more {
            return;
        }
        let in_flight = worker.shared.drain.begin();
        let after = serve_one(worker, state, &mut caller).await;
        state.set_work(None);
        drop(in_flight);
        match after {
            After::Keep => {}
            After::Close => return caller.linger(&worker.timers).await,
            After::Break => return,
        }
    }
}

async fn serve_one(worker: &Worker, state: &CallerState, caller: &mut Caller) -> After {
    let stats = &worker.shared.stats;
    let head = match caller.read_head(&worker.timers).await {
        Ok(Some(head)) => head,
        Ok(None) => return After::Break,
        Err(error) => {
            Stats::count(&stats.malformed);
            let mut out = Vec::new();
            refuse::bad_head(&mut out, error);
            return send(caller, &out, After::Close).await;
        }
    };
    Stats::count(&stats.requests);
    let now = Instant::now();
    let routed = match worker.shared.is_stale() {
        true => Err(Refusal::NoTarget),
        false => classify(&worker.shared.router, &head, now),
    };
    let routed = match routed {
        Ok(routed) => routed,
        Err(refusal) => {
            count_refused(worker, &head, refusal, now);
            return refuse(worker, caller, &head, refusal, false).await;
        }
    };
    state.set_work(Some((routed.info.service.clone(), now)));
    let mut ending = Ending::new(&worker.shared, &routed.info.service, now);
    if head.expects && head.framing != Framing::Empty && !caller.send_continue().await {
        return After::Break;
    }
    let mut request = Request {
        kept: Vec::new(),
        rest: BodyDecoder::new(head.framing),
        consumed: false,
        answered: None,
        head,
        routed,
    };
    match keep_body(worker, caller, &mut request).await {
        Ok(()) => route(worker, caller, request, &mut ending).await,
        Err(after) => {
            if after != After::Break {
                ending.end(Outcome::Malformed);
            }
            after
        }
    }
}

/// Counts a refusal against the service that the path belongs to, unless the caller is at fault.
fn count_refused(worker: &Worker, head: &RequestHead, refusal: Refusal, now: Instant) {
    if matches!(refusal, Refusal::NoService | Refusal::NoKey) {
        return;
    }
    if let Some(service) = worker.shared.router.service_of(&head.path) {
        Ending::new(&worker.shared, &service, now).refused(refusal);
    }
}

async fn keep_body(
    worker: &Worker,
    caller: &mut Caller,
    request: &mut Request,
) -> Result<(), After> {
    let large = matches!(request.head.framing, Framing::Length(n) if n > KEPT_BODY_BYTES as u64);
    if large {
        return Ok(());
    }
    match caller.keep_body(&worker.timers, &mut request.rest).await {
        Ok(kept) => {
            request.kept = kept;
            Ok(())
        }
        Err(RelayError::Malformed(error)) => Err(bad_body(worker, caller, &error).await),
        Err(_) => {
            Stats::count(&worker.shared.stats.gone);
            Err(After::Break)
        }
    }
}

async fn route(
    worker: &Worker,
    caller: &mut Caller,
    mut request: Request,
    ending: &mut Ending<'_>,
) -> After {
    let router = &worker.shared.router;
    let stats = &worker.shared.stats;
    let service = &request.routed.info.service.clone();
    let mut call = Call::new(request.routed.info.clone());
    loop {
        let lane = match next_step(worker, caller, &mut call).await {
            Some(Ok(lane)) => lane,
            Some(Err(refusal)) => {
                ending.refused(refusal);
                let whole = request.rest.is_done();
                return refuse(worker, caller, &request.head, refusal, whole).await;
            }
            None => {
                Stats::count(&stats.gone);
                return After::Break;
            }
        };
        let end = exchange(worker, caller, &mut request, &lane).await;
        if request.consumed {
            call.consumed();
        }
        let ended = attempt_end(&end);
        let next = call.ended(router, Instant::now(), lane, ended);
        match end {
            End::Failed(_) if next == Next::Again => metrics::instruments().retry(service),
            End::Failed(_) => {
                let refusal = match next {
                    Next::Refuse(refusal) => refusal,
                    _ => Refusal::Unknown,
                };
                ending.refused(refusal);
                let whole = request.rest.is_done();
                return refuse(worker, caller, &request.head, refusal, whole).await;
            }
            End::Whole { status, close } => {
                ending.whole(status, request.answered);
                Stats::count(&stats.whole);
                return if close { After::Close } else { After::Keep };
            }
            End::Cut => {
                ending.end(Outcome::Cut);
                Stats::count(&stats.cut);
                return After::Break;
            }
            End::Gone => {
                Stats::count(&stats.gone);
                return After::Break;
            }
            End::BadBody(error) => {
                ending.end(Outcome::Malformed);
                return bad_body(worker, caller, &error).await;
            }
        }
    }
}

/// Waits for a lane or a refusal; `None` when the caller went away.
async fn next_step(
    worker: &Worker,
    caller: &mut Caller,
    call: &mut Call,
) -> Option<Result<Lane, Refusal>> {
    let router = &worker.shared.router;
    let mut sleep = None;
    let step = std::future::poll_fn(|cx| {
        match call.step(router, Instant::now(), cx.waker()) {
            Step::Send(lane) => return Poll::Ready(Ok(lane)),
            Step::Refuse(refusal) => return Poll::Ready(Err(refusal)),
            Step::Wait(until) => sleep = Some(worker.timers.sleep_until(until)),
        }
        let due = sleep
            .as_mut()
            .is_some_and(|sleep| Pin::new(sleep).poll_unpin(cx).is_ready());
        if due {
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    });
    let Caller { reader, stream } = caller;
    let watch = caller::watch(reader, stream, &worker.timers, || true);
    match select(step, std::pin::pin!(watch)).await {
        Either::Left((step, _)) => Some(step),
        Either::Right(_) => None,
    }
}

fn attempt_end(end: &End) -> AttemptEnd {
    match end {
        End::Failed(end) => *end,
        End::Whole { status, .. } => AttemptEnd::Answered { status: *status },
        End::Cut => AttemptEnd::Broken,
        End::Gone | End::BadBody(_) => AttemptEnd::Cancelled,
    }
}

async fn refuse(
    worker: &Worker,
    caller: &mut Caller,
    head: &RequestHead,
    refusal: Refusal,
    body_read: bool,
) -> After {
    let stats = &worker.shared.stats;
    Stats::count(match refusal {
        Refusal::Unknown => &stats.unknown,
        _ => &stats.not_run,
    });
    let draining = worker.shared.drain.stage() > Stage::Serving;
    let body_read = body_read || head.framing == Framing::Empty;
    let close = draining || !head.keep_alive || !body_read;
    let mut out = Vec::new();
    refuse::refusal(&mut out, refusal, close);
    let after = if close { After::Close } else { After::Keep };
    send(caller, &out, after).await
}

async fn bad_body(worker: &Worker, caller: &Caller, error: &dyn std::error::Error) -> After {
    Stats::count(&worker.shared.stats.malformed);
    let mut out = Vec::new();
    refuse::bad_request(&mut out, error);
    send(caller, &out, After::Close).await
}

async fn send(caller: &Caller, out: &[u8], after: After) -> After {
    let mut stream = &caller.stream;
    match stream.write_all(out).await {
        Ok(()) => after,
        Err(_) => After::Break,
    }
}
