//! A caller's connection from its first request to its last.

use std::time::Duration;
use std::time::Instant;

use async_std::io::WriteExt;
use async_std::net::TcpStream;

use crate::events::Event;
use crate::events::record;
use crate::ids::ServiceId;
use crate::metrics;
use crate::route::AttemptOutcome;
use crate::route::Call;
use crate::route::NextAction;
use crate::route::Refusal;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::Framing;
use crate::traffic::caller::Caller;
use crate::traffic::caller::KEPT_BODY_BYTES;
use crate::traffic::choose::next_step;
use crate::traffic::drain::Stage;
use crate::traffic::exchange::End;
use crate::traffic::exchange::exchange;
use crate::traffic::head::RequestHead;
use crate::traffic::refuse;
use crate::traffic::relay::RelayError;
use crate::traffic::request::Routed;
use crate::traffic::request::classify;
use crate::traffic::stats;
use crate::traffic::stats::InFlight;
use crate::traffic::stats::Outcome;
use crate::traffic::upload::Request;
use crate::traffic::worker::CallerState;
use crate::traffic::worker::Shared;
use crate::traffic::worker::Worker;

/// The lowest status with which a target says that it failed.
const SERVER_ERROR: u16 = 500;

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

/// How a request ended.
#[derive(Clone, Copy, Debug)]
struct Served {
    outcome: Outcome,
    after: After,
    answered: Instant,
    status: u16,
}

impl Served {
    fn new(outcome: Outcome, after: After) -> Self {
        Self {
            outcome,
            after,
            answered: Instant::now(),
            status: 0,
        }
    }
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
    let shared = &worker.shared;
    let head = match caller.read_head(&worker.timers).await {
        Ok(Some(head)) => head,
        Ok(None) => return After::Break,
        Err(error) => {
            shared.stats.record_outcome(Outcome::Malformed);
            let mut out = Vec::new();
            refuse::bad_head(&mut out, error);
            return send(caller, &out, After::Close).await;
        }
    };
    let started = Instant::now();
    let routed = match shared.is_stale() {
        true => Err(Refusal::NoTarget),
        false => classify(&shared.router, &head, started),
    };
    let routed = match routed {
        Ok(routed) => routed,
        Err(refusal) => {
            let served = refuse(worker, caller, &head, refusal, false).await;
            shared.stats.record_outcome(served.outcome);
            burn_refused(shared, &head, refusal);
            return served.after;
        }
    };
    let service = routed.info.service.clone();
    state.set_work(Some((service.clone(), started)));
    let in_flight = InFlight::begin(&service);
    let served = run(worker, caller, head, routed).await;
    drop(in_flight);
    shared.stats.record_outcome(served.outcome);
    let latency = served.answered.saturating_duration_since(started);
    stats::record_request(&service, &shared.data_centre, served.outcome, latency);
    burn(shared, &service, &served, latency);
    served.after
}

/// Counts a request for the burn report; one that the caller broke off or sent malformed says
/// nothing about the service.
fn burn(shared: &Shared, service: &ServiceId, served: &Served, latency: Duration) {
    let took = match served.outcome {
        Outcome::Gone | Outcome::Malformed => return,
        Outcome::Whole if served.status < SERVER_ERROR => Some(latency),
        _ => None,
    };
    shared.burn.record(service, took, Instant::now());
}

/// Counts a refusal against the service that the path belongs to, unless the caller is at fault.
fn burn_refused(shared: &Shared, head: &RequestHead, refusal: Refusal) {
    if matches!(refusal, Refusal::NoService | Refusal::NoKey) {
        return;
    }
    if let Some(service) = shared.router.service_of(&head.path) {
        shared.burn.record(&service, None, Instant::now());
    }
}

async fn run(worker: &Worker, caller: &mut Caller, head: RequestHead, routed: Routed) -> Served {
    if head.expects && head.framing != Framing::Empty && !caller.send_continue().await {
        return Served::new(Outcome::Gone, After::Break);
    }
    let mut request = Request {
        kept: Vec::new(),
        rest: BodyDecoder::new(head.framing),
        consumed: false,
        head,
        routed,
    };
    let large = matches!(request.head.framing, Framing::Length(n) if n > KEPT_BODY_BYTES as u64);
    if !large {
        match caller.keep_body(&worker.timers, &mut request.rest).await {
            Ok(kept) => request.kept = kept,
            Err(RelayError::Malformed(error)) => return bad_body(caller, &error).await,
            Err(_) => return Served::new(Outcome::Gone, After::Break),
        }
    }
    route(worker, caller, request).await
}

async fn route(worker: &Worker, caller: &mut Caller, mut request: Request) -> Served {
    let router = &worker.shared.router;
    let mut call = Call::new(request.routed.info.clone());
    let refusal = loop {
        let attempt = match next_step(worker, caller, &mut call).await {
            Some(Ok(attempt)) => attempt,
            Some(Err(refusal)) => break refusal,
            None => return Served::new(Outcome::Gone, After::Break),
        };
        let end = exchange(worker, caller, &mut request, &attempt).await;
        if request.consumed {
            call.mark_body_consumed();
        }
        match (
            call.finish_attempt(router, Instant::now(), attempt, attempt_outcome(&end)),
            end,
        ) {
            (NextAction::Retry, End::Failed(_)) => {
                metrics::instruments().retry(&request.routed.info.service);
            }
            (NextAction::Refuse(refusal), End::Failed(_)) => break refusal,
            (NextAction::Deliver, End::Failed(_)) => break Refusal::Unknown,
            (_, end) => return delivered(caller, end).await,
        }
    };
    let whole = request.rest.is_done();
    refuse(worker, caller, &request.head, refusal, whole).await
}

/// Returns what follows from an attempt whose answer, if any, went to the caller.
async fn delivered(caller: &Caller, end: End) -> Served {
    match end {
        End::Whole {
            status,
            close,
            answered,
        } => Served {
            outcome: Outcome::Whole,
            after: if close { After::Close } else { After::Keep },
            answered,
            status,
        },
        End::Cut => Served::new(Outcome::Cut, After::Break),
        End::BadBody(error) => bad_body(caller, &error).await,
        End::Gone | End::Failed(_) => Served::new(Outcome::Gone, After::Break),
    }
}

fn attempt_outcome(end: &End) -> AttemptOutcome {
    match end {
        End::Failed(end) => *end,
        End::Whole { status, .. } => AttemptOutcome::Responded { status: *status },
        End::Cut => AttemptOutcome::Broken,
        End::Gone | End::BadBody(_) => AttemptOutcome::Cancelled,
    }
}

async fn refuse(
    worker: &Worker,
    caller: &Caller,
    head: &RequestHead,
    refusal: Refusal,
    body_read: bool,
) -> Served {
    record(
        Event::RequestRefused,
        format_args!("{refusal}: {} {}", head.method, head.path),
    );
    let outcome = match refusal {
        Refusal::Unknown => Outcome::Unknown,
        _ => Outcome::NotRun,
    };
    let draining = worker.shared.drain.stage() > Stage::Serving;
    let body_read = body_read || head.framing == Framing::Empty;
    let close = draining || !head.keep_alive || !body_read;
    let mut out = Vec::new();
    refuse::refusal(&mut out, refusal, close);
    let after = if close { After::Close } else { After::Keep };
    Served::new(outcome, send(caller, &out, after).await)
}

async fn bad_body(caller: &Caller, error: &dyn std::error::Error) -> Served {
    let mut out = Vec::new();
    refuse::bad_request(&mut out, error);
    let after = send(caller, &out, After::Close).await;
    Served::new(Outcome::Malformed, after)
}

async fn send(caller: &Caller, out: &[u8], after: After) -> After {
    let mut stream = &caller.stream;
    match stream.write_all(out).await {
        Ok(()) => after,
        Err(_) => After::Break,
    }
}
