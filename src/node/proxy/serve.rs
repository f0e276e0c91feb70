//! Serves the requests on a caller's connection until it is closed.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::events::Event;
use crate::ids::VmId;
use crate::memory::Held;
use crate::memory::Share;
use crate::node::connections::OpenConnection;
use crate::node::connections::Waiting;
use crate::node::counters::Counter;
use crate::node::fleet::Target;
use crate::node::log::Line;
use crate::node::proxy::attempt::Request;
use crate::node::proxy::attempt::ResponseStream;
use crate::node::proxy::conn::CallerStatus;
use crate::node::proxy::conn::Conn;
use crate::node::proxy::conn::READ_BYTES;
use crate::node::proxy::conn::ReadBuffer;
use crate::node::proxy::conn::write_parts;
use crate::node::proxy::dispatch::Outcome;
use crate::node::proxy::dispatch::Refusal;
use crate::node::proxy::dispatch::RoutedRequest;
use crate::node::proxy::dispatch::dispatch;
use crate::node::proxy::read::BodyReader;
use crate::node::proxy::read::HeadFailure;
use crate::node::proxy::read::head_refused;
use crate::node::proxy::read::read_head;
use crate::node::proxy::request::fingerprint;
use crate::node::proxy::request::head_error;
use crate::node::proxy::request::route;
use crate::node::proxy::request::source;
use crate::node::proxy::respond;
use crate::node::proxy::respond::Echo;
use crate::node::proxy::respond::LAST_CHUNK;
use crate::node::proxy::respond::LocalResponse;
use crate::node::proxy::respond::MAX_RETRY_AFTER;
use crate::node::proxy::respond::retry_after;
use crate::node::queues::Resource;
use crate::node::rules::Limits;
use crate::node::state::ShutdownStage;
use crate::node::state::State;
use crate::traffic::body::Framing;
use crate::traffic::head::RequestHead;

/// Limits for callers before the first rules are loaded.
const DEFAULT_LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};
/// `Retry-After` while no rules are loaded.
const NO_RULES_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum number of bytes of pipelined requests that are buffered while a request is served.
const MAX_PIPELINED_BYTES: usize = 32 << 10;
/// How often the caller's connection is checked while that buffer is full.
const CALLER_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long a connection that was accepted late in a graceful shutdown waits for its first request,
/// which may still be in transit.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(400);
/// How long a connection that the node closes is drained until the caller closes its side.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for writing a response, or one part of a streamed response, to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How to proceed with a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    KeepOpen,
    Close,
    Abort,
}

/// Who sends requests over a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another node, which does not reach the target.
    Node,
}

/// A connection of a caller or another node.
struct Caller {
    conn: Conn,
    origin: Origin,
    connection: OpenConnection,
    /// Counts the read buffer and the head of the request that is served.
    held: Held,
}

impl Caller {
    /// Records that the connection waits for a request. Connections of other nodes are not closed in
    /// favour of new ones.
    fn set_idle(&self) {
        let waiting = match self.origin {
            Origin::Caller => Some(Waiting::Request),
            Origin::Node => None,
        };
        self.connection.set_waiting(waiting);
    }
}

/// Counts a request as being served until dropped.
struct RequestGuard<'a>(&'a State);

impl<'a> RequestGuard<'a> {
    fn new(state: &'a State) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self(state)
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Counts a caller's connection as open until dropped.
struct ConnectionGuard<'a>(&'a State);

impl<'a> ConnectionGuard<'a> {
    fn new(state: &'a State) -> Self {
        state.callers.set(state.callers.get() + 1);
        Self(state)
    }
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get() - 1);
        if self.0.stage() > ShutdownStage::Serving {
            self.0.stage_changed.notify_waiters();
        }
    }
}

/// Serves a caller's connection until it is closed.
pub async fn serve(
    state: Rc<State>,
    stream: TcpStream,
    origin: Origin,
    connection: OpenConnection,
) {
    let Ok(conn) = Conn::new(stream) else {
        return;
    };
    let held = state.memory.hold(Share::Small);
    let mut caller = Caller {
        conn,
        origin,
        connection,
        held,
    };
    let _connection_guard = ConnectionGuard::new(&state);
    let mut grace = FIRST_REQUEST_GRACE;
    // An idle connection is closed without reading on: a request that arrives from now on stays
    // unread, so the kernel resets the connection and the caller may send it again elsewhere.
    while wait_for_request(&state, &mut caller, grace).await {
        grace = Duration::ZERO;
        let request_guard = RequestGuard::new(&state);
        let next_step = serve_request(&state, &mut caller).await;
        drop(request_guard);
        caller.held.shrink(caller.conn.buffer_memory());
        match next_step {
            NextStep::KeepOpen => {}
            NextStep::Close => return close_gracefully(caller.conn).await,
            NextStep::Abort => return,
        }
    }
}

/// Waits for a request; returns false if the connection should be closed.
///
/// `grace` is how long to wait once the node closes its connections in a shutdown.
async fn wait_for_request(state: &State, caller: &mut Caller, grace: Duration) -> bool {
    caller.set_idle();
    let Caller {
        conn, connection, ..
    } = caller;
    if !conn.data().is_empty() {
        return true;
    }
    let idle = limits(state).idle_time;
    let mut deadline = Instant::now() + idle;
    loop {
        let stage_changed = state.stage_changed.notified();
        if state.stage() >= ShutdownStage::Closing {
            deadline = deadline.min(Instant::now() + grace);
        }
        if Instant::now() >= deadline {
            // A request may have arrived that the runtime has not reported yet.
            return conn.has_unread_data() && matches!(conn.fill().await, Ok(1..));
        }
        tokio::select! {
            biased;
            read = conn.fill() => return matches!(read, Ok(1..)),
            () = connection.closing() => return false,
            () = stage_changed => {}
            () = tokio::time::sleep_until(deadline.into()) => {}
        }
    }
}

/// Closes a connection after a response, so that the response arrives even if the caller has sent
/// more data, which would otherwise cause a reset.
async fn close_gracefully(mut conn: Conn) {
    let (_, mut write, _) = conn.split();
    if write.shutdown().await.is_err() {
        return;
    }
    let drain = async {
        while let Ok(1..) = conn.fill().await {
            conn.consume(conn.data().len());
        }
    };
    // The response has been sent; a timeout here has no consequence.
    let _ = timeout(DRAIN_TIMEOUT, drain).await;
}

fn limits(state: &State) -> Limits {
    let router = state.router();
    router.map_or(DEFAULT_LIMITS, |router| router.rules().limits.clone())
}

async fn serve_request(state: &Rc<State>, caller: &mut Caller) -> NextStep {
    let started = Instant::now();
    let limits = limits(state);
    let Caller {
        conn,
        origin,
        connection,
        held,
    } = caller;
    let origin = *origin;
    let reading = read_head(conn, connection, &limits, held);
    let head = match timeout(limits.head_time, reading).await {
        Ok(Ok(head)) => head,
        Ok(Err(HeadFailure::Invalid(error))) => {
            return send_error(state, conn, origin, head_error(error), None, true).await;
        }
        Ok(Err(HeadFailure::MemoryShort)) => {
            return send_error(state, conn, origin, head_refused(state), None, true).await;
        }
        Ok(Err(HeadFailure::Closed)) | Err(_) => return NextStep::Abort,
    };
    let close = !head.keep_alive || state.stage() > ShutdownStage::Serving;
    let Some(router) = state.router().filter(|_| state.fleet.borrow().is_loaded()) else {
        let response = LocalResponse::not_run(
            "no rules are in force here yet; come back later",
            NO_RULES_RETRY_AFTER,
        );
        // The body is not read, so the connection cannot be reused.
        let close = close || head.framing != Framing::Empty;
        return send_error(state, conn, origin, response, Some(&head), close).await;
    };
    let routed = match route(state, &router, &head, started, origin) {
        Ok(routed) => routed,
        Err(response) => {
            let close = close || head.framing != Framing::Empty;
            return send_error(state, conn, origin, response, Some(&head), close).await;
        }
    };
    let arrival = Arrival {
        head,
        limits,
        routed,
        close,
    };
    serve_routed(state, caller, arrival).await
}

/// A request with its route, whose body has not been read.
struct Arrival {
    head: RequestHead,
    limits: Limits,
    routed: RoutedRequest,
    close: bool,
}

/// Reads the body of a request, and sends it to a target.
async fn serve_routed(state: &Rc<State>, caller: &mut Caller, arrival: Arrival) -> NextStep {
    let Caller {
        conn,
        origin,
        connection,
        held,
    } = caller;
    let Arrival {
        head,
        limits,
        routed,
        close,
    } = arrival;
    let origin = *origin;
    let body_reader = BodyReader {
        state,
        connection,
        head: &head,
        limits: &limits,
        routed: &routed,
    };
    let body = match body_reader.read(conn).await {
        Ok(body) => body,
        Err(Some(response)) => {
            return send_error(state, conn, origin, response, Some(&head), true).await;
        }
        Err(None) => return NextStep::Abort,
    };
    let id = head.fields.only(state.conf.headers.request_id);
    let Some(id) = id.map(<[u8]>::to_vec) else {
        let response = LocalResponse::error(400, "a request needs one id; send one");
        return send_error(state, conn, origin, response, Some(&head), close).await;
    };
    let fingerprint = fingerprint(&head, &body);
    let routed = RoutedRequest {
        fingerprint,
        source: source(fingerprint, routed.key, conn.peer_ip()),
        ..routed
    };
    let request = Request { head, body, id };
    dispatch_request(state, conn, held, &routed, request, close).await
}

async fn dispatch_request(
    state: &Rc<State>,
    conn: &mut Conn,
    held: &mut Held,
    routed: &RoutedRequest,
    request: Request,
    close: bool,
) -> NextStep {
    let (mut read, write, buffer) = conn.split();
    let caller = CallerStatus::new(&write);
    let outcome = tokio::select! {
        biased;
        // Polled first, since the caller may have disconnected before its request was read.
        () = caller_disconnected(&mut read, buffer, held, caller) => Outcome::CallerLeft,
        outcome = dispatch(state, routed, &request, caller) => outcome,
    };
    // Gives the bytes of the body back before a response is sent to a caller that may read slowly.
    let Request { head, body, id } = request;
    drop(body);
    let close = close || state.stage() > ShutdownStage::Serving;
    match outcome {
        Outcome::Response(response) => {
            count_request(state, routed, "answered");
            let head = respond::encode_response_head(&response, close);
            send(conn, &[&head, &response.body], close).await
        }
        Outcome::Stream(response, body_stream) => {
            count_request(state, routed, "streamed");
            let (out, chunked) = respond::encode_response_start(&response, close);
            let start = (out, response.into_held());
            match stream_response(
                state,
                conn,
                held,
                start,
                body_stream,
                chunked,
                routed.deadline,
            )
            .await
            {
                Ok(()) if close => NextStep::Close,
                Ok(()) => NextStep::KeepOpen,
                Err(reason) => {
                    state.log.record(Event::ResponseCut, |line| {
                        line.text("id", &String::from_utf8_lossy(&id));
                        line.text("service", routed.service.as_str());
                        line.text("why", reason);
                        line.number("age_ms", routed.started.elapsed().as_millis() as u64);
                    });
                    NextStep::Abort
                }
            }
        }
        Outcome::CallerLeft => {
            count_request(state, routed, "caller-gone");
            state.counters.add(Counter::CallersGone);
            NextStep::Abort
        }
        Outcome::Refused(refusal) => {
            refuse(state, conn, routed, (&head, &id), refusal, close).await
        }
    }
}

/// Sends the node's own response to a request that received none from a target.
async fn refuse(
    state: &State,
    conn: &mut Conn,
    routed: &RoutedRequest,
    (head, id): (&RequestHead, &[u8]),
    refusal: Refusal,
    close: bool,
) -> NextStep {
    let reason: &'static str = refusal.into();
    count_request(state, routed, reason);
    state.log.record(Event::RequestRefused, |line| {
        line.text("id", &String::from_utf8_lossy(id));
        line.text("service", routed.service.as_str());
        line.text("why", reason);
        log_refusal_state(state, routed, line);
    });
    let time_left = routed.deadline.saturating_duration_since(Instant::now());
    let mut pause = retry_after(time_left, routed.objective);
    match refusal {
        Refusal::Busy => pause = after_queue(state, routed, time_left).unwrap_or(pause),
        Refusal::RateLimited => pause = pause.max(next_opening(state, routed)),
        Refusal::Unheld => pause = pause.max(next_send(state, routed)),
        _ => {}
    }
    let out = LocalResponse::refusal(refusal, pause);
    let echo = echo(state, routed.origin, Some(id));
    let out = out.encode(&head.method, close, echo);
    send(conn, &[&out], close).await
}

/// Returns when a caller that found no free slot should come back; `None` if no other request waits.
fn after_queue(state: &State, routed: &RoutedRequest, time_left: Duration) -> Option<Duration> {
    let now = Instant::now();
    let resource = resource(state, routed)?;
    let queues = &state.queues;
    let pause = queues.retry_after(&resource, time_left, routed.objective, now)?;
    queues.record_refusal(routed.source, now + pause);
    Some(pause)
}

/// Returns what the request waits for; `None` if its key has no owner.
fn resource(state: &State, routed: &RoutedRequest) -> Option<Resource> {
    let Some(key) = routed.key else {
        return Some(Resource::Service(routed.service.clone()));
    };
    let views = state.views.borrow();
    let owner = views.get(&routed.service)?.find(key)?.owner.clone();
    owner.map(Resource::Owner)
}

/// Returns when a target of the request is expected to take requests again, spread over as much time
/// again, since others who were refused return as well.
fn next_opening(state: &State, routed: &RoutedRequest) -> Duration {
    let now = Instant::now();
    let fleet = state.fleet.borrow();
    let views = state.views.borrow();
    let owner = routed.key.and_then(|key| {
        let view = views.get(&routed.service)?;
        view.find(key)?.owner.as_ref()
    });
    let is_able = |target: &&Rc<Target>| owner.is_none_or(|owner| target.entry.id == *owner);
    let able = fleet.of(&routed.service).iter().filter(is_able);
    let next = able.filter_map(|target| target.withheld_until(now)).min();
    spread(next, now)
}

/// Returns when the owner of the request's key is asked again whether it holds the key, spread over
/// as much time again.
fn next_send(state: &State, routed: &RoutedRequest) -> Duration {
    let views = state.views.borrow();
    let view = views.get(&routed.service);
    let next = routed.key.and_then(|key| view?.next_send(key));
    spread(next, Instant::now())
}

/// Returns a random time of once to twice the time until `next`, within the bounds of `Retry-After`.
fn spread(next: Option<Instant>, now: Instant) -> Duration {
    let wait = next.map_or(Duration::ZERO, |next| next.saturating_duration_since(now));
    let factor = 1.0 + rand::random::<f64>();
    wait.mul_f64(factor).min(MAX_RETRY_AFTER)
}

/// Logs the state on which a refusal was based.
fn log_refusal_state(state: &State, routed: &RoutedRequest, line: &mut Line) {
    let now = Instant::now();
    line.number("age_ms", routed.started.elapsed().as_millis() as u64);
    line.number("rules", state.rules_version());
    let list = state.list_schedule.borrow().position(now);
    line.number("list", list.cursor.version);
    line.number("generation", list.cursor.generation.0);
    line.number("list_age_ms", list.age_ms.into());
    line.number("priority", routed.priority.into());
    if let Some(resource) = resource(state, routed) {
        line.number("waiting", state.queues.waiting(&resource) as u64);
    }
    let fleet = state.fleet.borrow();
    let Some(key) = routed.key else {
        let open = fleet
            .of(&routed.service)
            .iter()
            .filter(|t| !t.is_ejected(now));
        line.number("open_targets", open.count() as u64);
        return;
    };
    line.number("key", key.into());
    let views = state.views.borrow();
    let Some(view) = views.get(&routed.service) else {
        return;
    };
    line.number("term", view.sequence().term);
    line.number("sequence", view.sequence().number);
    let Some(range) = view.find(key) else {
        return;
    };
    line.text("held", if range.pending { "no" } else { "yes" });
    if let Some(owner) = range.owner.as_ref().and_then(|id| fleet.get(id)) {
        line.text("owner", owner.entry.id.as_str());
        line.number("load", owner.load().into());
        line.number("slots", owner.entry.slots.into());
        if let Some(belief) = owner.link.belief(now) {
            let age = now.saturating_duration_since(belief.since);
            line.text("reached", "no");
            line.text("evidence", belief.evidence.into());
            line.number("unreached_ms", age.as_millis() as u64);
            let process = owner.process_tag();
            let is_able = |node: &VmId| !state.reach.is_reported(node, process, now);
            line.number("reaching_nodes", state.relays.count(is_able) as u64);
        }
        if let Some(limit) = owner.limit.rate() {
            line.show("limit", limit);
        }
    }
}

fn count_request(state: &State, routed: &RoutedRequest, outcome: &'static str) {
    state
        .counters
        .request(&routed.service, outcome, routed.started.elapsed());
}

/// Completes when the caller closes its connection; buffers pipelined requests meanwhile.
async fn caller_disconnected(
    read: &mut ReadHalf<'_>,
    buffer: &mut ReadBuffer,
    held: &mut Held,
    caller: CallerStatus<'_>,
) {
    let others = held.count();
    while buffer.data().len() < MAX_PIPELINED_BYTES
        && held.grow(others + buffer.data().len() + READ_BYTES)
    {
        if !matches!(buffer.fill(read).await, Ok(1..)) {
            return;
        }
    }
    // The end of the stream is behind bytes that are not read.
    while !caller.has_left() {
        sleep(CALLER_CHECK_PERIOD).await;
    }
}

async fn send_error(
    state: &State,
    conn: &mut Conn,
    origin: Origin,
    response: LocalResponse,
    head: Option<&RequestHead>,
    close: bool,
) -> NextStep {
    let id = head.and_then(|head| head.fields.only(state.conf.headers.request_id));
    state.log.record(Event::RequestRefused, |line| {
        line.text("id", &String::from_utf8_lossy(id.unwrap_or_default()));
        line.number("status", response.status.into());
        line.text("why", response.text);
        line.number("rules", state.rules_version());
    });
    // Without a head, the connection is closed after the response.
    let method = head.map_or("", |head| &head.method);
    let out = response.encode(method, close, echo(state, origin, id));
    send(conn, &[&out], close).await
}

fn echo<'a>(state: &'a State, origin: Origin, id: Option<&'a [u8]>) -> Option<Echo<'a>> {
    let names = &state.conf.headers;
    match origin {
        Origin::Caller => None,
        Origin::Node => id.map(|id| Echo { names, id }),
    }
}

async fn send(conn: &mut Conn, parts: &[&[u8]], close: bool) -> NextStep {
    let (_, mut write, _) = conn.split();
    let writing = write_parts(&mut write, parts.iter().copied());
    match timeout(WRITE_TIMEOUT, writing).await {
        Ok(Ok(())) if close => NextStep::Close,
        Ok(Ok(())) => NextStep::KeepOpen,
        _ => NextStep::Abort,
    }
}

/// Sends a streamed response to the caller; returns why it was cut, if it was. The connection must
/// then be aborted, so that the caller does not take the body for complete.
async fn stream_response(
    state: &State,
    conn: &mut Conn,
    pipelined: &mut Held,
    (start, held): (Vec<u8>, Held),
    mut body_stream: Box<ResponseStream>,
    chunked: bool,
    deadline: Instant,
) -> Result<(), &'static str> {
    if send(conn, &[&start], false).await == NextStep::Abort {
        return Err("the caller does not read");
    }
    drop((start, held));
    loop {
        let (mut read, write, buffer) = conn.split();
        let caller = CallerStatus::new(&write);
        let next = tokio::select! {
            biased;
            // Checked before each part: a target may send without end.
            () = tokio::time::sleep_until(deadline.into()) => {
                return Err("the body did not end in time");
            }
            next = body_stream.next() => next,
            () = caller_disconnected(&mut read, buffer, pipelined, caller) => return Err("the caller has disconnected"),
        };
        match next {
            Ok(Some(body)) => {
                let mut out = Vec::with_capacity(body.len() + 32);
                respond::append_body(&mut out, &body, chunked);
                if send(conn, &[&out], false).await == NextStep::Abort {
                    return Err("the caller does not read");
                }
            }
            Ok(None) => break,
            Err(_) => return Err("the target broke off or sent a malformed body"),
        }
    }
    body_stream.recycle(&state.pool);
    if chunked && send(conn, &[LAST_CHUNK], false).await == NextStep::Abort {
        return Err("the caller does not read");
    }
    Ok(())
}
