//! Serves the requests of a caller's connection one after the other.

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
use crate::traffic::caller::MAX_REPLAY_BYTES;
use crate::traffic::choose::next_step;
use crate::traffic::drain::Stage;
use crate::traffic::exchange::ExchangeOutcome;
use crate::traffic::exchange::exchange;
use crate::traffic::head::RequestHead;
use crate::traffic::refuse;
use crate::traffic::relay::RelayError;
use crate::traffic::request::RoutedRequest;
use crate::traffic::request::classify;
use crate::traffic::stats;
use crate::traffic::stats::InFlight;
use crate::traffic::stats::Outcome;
use crate::traffic::upload::Request;
use crate::traffic::worker::CallerState;
use crate::traffic::worker::Shared;
use crate::traffic::worker::Worker;

/// Lowest HTTP status code that counts as a failure of the service.
const MIN_SERVER_ERROR: u16 = 500;

/// What to do with a caller's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionAction {
    /// Wait for the next request.
    KeepAlive,
    /// Close gracefully, so that the caller receives the complete response.
    Close,
    /// Close at once, so that the caller detects an incomplete response.
    Abort,
}

/// The result of serving one request.
#[derive(Clone, Copy, Debug)]
struct Served {
    outcome: Outcome,
    action: ConnectionAction,
    responded_at: Instant,
    status: u16,
}

impl Served {
    fn new(outcome: Outcome, action: ConnectionAction) -> Self {
        Self {
            outcome,
            action,
            responded_at: Instant::now(),
            status: 0,
        }
    }
}

/// Serves requests until the caller's connection ends.
pub async fn serve(worker: &Worker, state: &CallerState, stream: TcpStream) {
    let mut caller = Caller::new(stream);
    loop {
        state.set_idle(caller.reader.data().is_empty());
        let has_request = caller.wait_for_request(&worker.timers).await;
        state.set_idle(false);
        if !has_request {
            return;
        }
        let in_flight = worker.shared.drain.begin();
        let action = serve_one(worker, state, &mut caller).await;
        state.set_current_request(None);
        drop(in_flight);
        match action {
            ConnectionAction::KeepAlive => {}
            ConnectionAction::Close => return caller.linger(&worker.timers).await,
            ConnectionAction::Abort => return,
        }
    }
}

async fn serve_one(worker: &Worker, state: &CallerState, caller: &mut Caller) -> ConnectionAction {
    let shared = &worker.shared;
    let head = match caller.read_head(&worker.timers).await {
        Ok(Some(head)) => head,
        Ok(None) => return ConnectionAction::Abort,
        Err(error) => {
            shared.stats.record_outcome(Outcome::Malformed);
            let mut out = Vec::new();
            refuse::bad_head(&mut out, error);
            return send(caller, &out, ConnectionAction::Close).await;
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
            record_refused_burn(shared, &head, refusal);
            return served.action;
        }
    };
    let service = routed.info.service.clone();
    state.set_current_request(Some((service.clone(), started)));
    let in_flight = InFlight::begin(&service);
    let served = run(worker, caller, head, routed).await;
    drop(in_flight);
    shared.stats.record_outcome(served.outcome);
    let latency = served.responded_at.saturating_duration_since(started);
    stats::record_request(&service, &shared.data_centre, served.outcome, latency);
    record_burn(shared, &service, &served, latency);
    served.action
}

/// Records a request for the burn report. Requests of callers that disconnected or sent a malformed
/// request are left out, because they are no failures of the service.
fn record_burn(shared: &Shared, service: &ServiceId, served: &Served, latency: Duration) {
    let success_latency = match served.outcome {
        Outcome::Gone | Outcome::Malformed => return,
        Outcome::Whole if served.status < MIN_SERVER_ERROR => Some(latency),
        _ => None,
    };
    shared.burn.record(service, success_latency, Instant::now());
}

/// Records a refused request as a failure of the service of its path, unless the request itself was
/// wrong.
fn record_refused_burn(shared: &Shared, head: &RequestHead, refusal: Refusal) {
    if matches!(refusal, Refusal::NoService | Refusal::NoKey) {
        return;
    }
    if let Some(service) = shared.router.service_of(&head.path) {
        shared.burn.record(&service, None, Instant::now());
    }
}

async fn run(
    worker: &Worker,
    caller: &mut Caller,
    head: RequestHead,
    routed: RoutedRequest,
) -> Served {
    if head.expects_continue && head.framing != Framing::Empty && !caller.send_continue().await {
        return Served::new(Outcome::Gone, ConnectionAction::Abort);
    }
    let mut request = Request {
        buffered: Vec::new(),
        unread_body: BodyDecoder::new(head.framing),
        body_consumed: false,
        head,
        routed,
    };
    let large = matches!(request.head.framing, Framing::Length(n) if n > MAX_REPLAY_BYTES as u64);
    if !large {
        match caller
            .buffer_body(&worker.timers, &mut request.unread_body)
            .await
        {
            Ok(buffered) => request.buffered = buffered,
            Err(RelayError::Malformed(error)) => return bad_body(caller, &error).await,
            Err(_) => return Served::new(Outcome::Gone, ConnectionAction::Abort),
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
            None => return Served::new(Outcome::Gone, ConnectionAction::Abort),
        };
        let outcome = exchange(worker, caller, &mut request, &attempt).await;
        if request.body_consumed {
            call.mark_body_consumed();
        }
        match (
            call.finish_attempt(router, Instant::now(), attempt, attempt_outcome(&outcome)),
            outcome,
        ) {
            (NextAction::Retry, ExchangeOutcome::Failed(_)) => {
                metrics::instruments().retry(&request.routed.info.service);
            }
            (NextAction::Refuse(refusal), ExchangeOutcome::Failed(_)) => break refusal,
            (NextAction::Deliver, ExchangeOutcome::Failed(_)) => break Refusal::Unknown,
            (_, outcome) => return finish(caller, outcome).await,
        }
    };
    let body_read = request.unread_body.is_done();
    refuse(worker, caller, &request.head, refusal, body_read).await
}

/// Returns the result of a request after its last attempt.
async fn finish(caller: &Caller, outcome: ExchangeOutcome) -> Served {
    match outcome {
        ExchangeOutcome::Delivered {
            status,
            close,
            received_at,
        } => Served {
            outcome: Outcome::Whole,
            action: if close {
                ConnectionAction::Close
            } else {
                ConnectionAction::KeepAlive
            },
            responded_at: received_at,
            status,
        },
        ExchangeOutcome::Truncated => Served::new(Outcome::Cut, ConnectionAction::Abort),
        ExchangeOutcome::MalformedBody(error) => bad_body(caller, &error).await,
        ExchangeOutcome::CallerGone | ExchangeOutcome::Failed(_) => {
            Served::new(Outcome::Gone, ConnectionAction::Abort)
        }
    }
}

fn attempt_outcome(outcome: &ExchangeOutcome) -> AttemptOutcome {
    match outcome {
        ExchangeOutcome::Failed(outcome) => *outcome,
        ExchangeOutcome::Delivered { status, .. } => AttemptOutcome::Responded { status: *status },
        ExchangeOutcome::Truncated => AttemptOutcome::Broken,
        ExchangeOutcome::CallerGone | ExchangeOutcome::MalformedBody(_) => {
            AttemptOutcome::Cancelled
        }
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
    let action = if close {
        ConnectionAction::Close
    } else {
        ConnectionAction::KeepAlive
    };
    Served::new(outcome, send(caller, &out, action).await)
}

async fn bad_body(caller: &Caller, error: &dyn std::error::Error) -> Served {
    let mut out = Vec::new();
    refuse::bad_request(&mut out, error);
    let action = send(caller, &out, ConnectionAction::Close).await;
    Served::new(Outcome::Malformed, action)
}

async fn send(caller: &Caller, out: &[u8], action: ConnectionAction) -> ConnectionAction {
    let mut stream = &caller.stream;
    match stream.write_all(out).await {
        Ok(()) => action,
        Err(_) => ConnectionAction::Abort,
    }
}
