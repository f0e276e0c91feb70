//! A caller's connection from its first request to its last.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::events::Event;
use crate::node::counters::Counter;
use crate::node::log::Line;
use crate::node::proxy::attempt::Request;
use crate::node::proxy::attempt::Rest;
use crate::node::proxy::conn::Conn;
use crate::node::proxy::dispatch::Outcome;
use crate::node::proxy::dispatch::Task;
use crate::node::proxy::dispatch::dispatch;
use crate::node::proxy::request::bad_head;
use crate::node::proxy::request::fingerprint;
use crate::node::proxy::request::read_body;
use crate::node::proxy::request::read_head;
use crate::node::proxy::request::route;
use crate::node::proxy::respond;
use crate::node::proxy::respond::LAST_CHUNK;
use crate::node::proxy::respond::Own;
use crate::node::rules::Limits;
use crate::node::state::ShutdownStage;
use crate::node::state::State;
use crate::traffic::body::Framing;
use crate::traffic::head::RequestHead;

/// What a caller may send before the rules are known.
const FIRST_LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};
/// How long a caller without rules to route by is asked to wait.
const START_WAIT: Duration = Duration::from_millis(1_200);
/// Bytes of further requests that are read ahead while one is served.
const MOST_AHEAD: usize = 32 << 10;
/// How long a connection that was accepted late in a graceful shutdown waits for its first
/// request, which is on its way.
const FIRST_PATIENCE: Duration = Duration::from_millis(400);
/// How long the end of a connection waits for the caller's.
const LINGER: Duration = Duration::from_millis(500);
/// How long a caller may take no bytes of an answer.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// What happens with a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum After {
    Keep,
    Close,
    Break,
}

/// Counts a request as being served.
struct Serving<'a>(&'a State);

impl<'a> Serving<'a> {
    fn new(state: &'a State) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self(state)
    }
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Counts a caller's connection as open.
struct Open<'a>(&'a State);

impl<'a> Open<'a> {
    fn new(state: &'a State) -> Self {
        state.callers.set(state.callers.get() + 1);
        Self(state)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get() - 1);
        if self.0.stage() > ShutdownStage::Serving {
            self.0.stage_changed.notify_waiters();
        }
    }
}

/// Serves a caller until the connection ends.
pub async fn serve(state: Rc<State>, stream: TcpStream) {
    let Ok(mut conn) = Conn::new(stream) else {
        return;
    };
    let _open = Open::new(&state);
    let mut patience = FIRST_PATIENCE;
    while wait(&state, &mut conn, patience).await {
        patience = Duration::ZERO;
        let serving = Serving::new(&state);
        let after = serve_one(&state, &mut conn).await;
        drop(serving);
        match after {
            After::Keep => {}
            After::Close => break,
            After::Break => return,
        }
    }
    linger(conn).await;
}

/// Waits for a request; returns false when the connection is to end.
///
/// Once the node closes, `patience` is how long the request may still take to come.
async fn wait(state: &State, conn: &mut Conn, patience: Duration) -> bool {
    if !conn.data().is_empty() {
        return true;
    }
    let idle = limits(state).idle_time;
    let mut deadline = Instant::now() + idle;
    loop {
        let turned = state.stage_changed.notified();
        if state.stage() >= ShutdownStage::Closing {
            deadline = deadline.min(Instant::now() + patience);
        }
        if Instant::now() >= deadline {
            // A request may have arrived that the runtime has not told of yet.
            return conn.has_arrived() && matches!(conn.fill().await, Ok(1..));
        }
        tokio::select! {
            biased;
            read = conn.fill() => return matches!(read, Ok(1..)),
            () = turned => {}
            () = tokio::time::sleep_until(deadline.into()) => {}
        }
    }
}

/// Ends a connection so that what was sent arrives, even if the caller sent more.
async fn linger(mut conn: Conn) {
    let (_, mut write, _) = conn.split();
    if write.shutdown().await.is_err() {
        return;
    }
    let drain = async {
        while let Ok(1..) = conn.fill().await {
            conn.consume(conn.data().len());
        }
    };
    // The caller has had its answer; whether it closes in time does not matter.
    let _ = timeout(LINGER, drain).await;
}

fn limits(state: &State) -> Limits {
    let router = state.router();
    router.map_or(FIRST_LIMITS, |router| router.rules().limits.clone())
}

async fn serve_one(state: &Rc<State>, conn: &mut Conn) -> After {
    let started = Instant::now();
    let limits = limits(state);
    let reading = read_head(conn, &limits);
    let head = match timeout(limits.head_time, reading).await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return After::Break,
        Ok(Err(error)) => return refuse(state, conn, bad_head(error), None, true).await,
        Err(_) => return After::Break,
    };
    let close = !head.keep_alive || state.stage() > ShutdownStage::Serving;
    let Some(router) = state.router().filter(|_| state.fleet.borrow().is_loaded()) else {
        let own = Own::not_run(
            "no rules are in force here yet; come back later",
            START_WAIT,
        );
        // The body is not read, so the connection cannot go on.
        let close = close || head.framing != Framing::Empty;
        return refuse(state, conn, own, Some(&head), close).await;
    };
    let routed = match route(state, &router, &head, started) {
        Ok(routed) => routed,
        Err(own) => {
            let close = close || head.framing != Framing::Empty;
            return refuse(state, conn, own, Some(&head), close).await;
        }
    };
    let body = match read_body(state, conn, &head, &limits, routed.limit).await {
        Ok(body) => body,
        Err(Some(own)) => return refuse(state, conn, own, Some(&head), true).await,
        Err(None) => return After::Break,
    };
    let id = head.fields.only(state.conf.headers.request_id);
    let Some(id) = id.map(<[u8]>::to_vec) else {
        let own = Own::fault(400, "a request needs one id; send one");
        return refuse(state, conn, own, Some(&head), close).await;
    };
    let task = Task {
        fingerprint: fingerprint(&head, &body),
        ..routed
    };
    let request = Request { head, body, id };
    run(state, conn, &task, &request, close).await
}

async fn run(
    state: &Rc<State>,
    conn: &mut Conn,
    task: &Task,
    request: &Request,
    close: bool,
) -> After {
    let outcome = tokio::select! {
        biased;
        // First, since a request that was read late may have lost its caller meanwhile.
        () = gone(conn) => {
            ended(state, task, "caller-gone");
            state.counters.add(Counter::CallersGone);
            return After::Break;
        }
        outcome = dispatch(state, task, request) => outcome,
    };
    let close = close || state.stage() > ShutdownStage::Serving;
    match outcome {
        Outcome::Answer(answer) => {
            ended(state, task, "answered");
            let out = respond::whole(&answer, close);
            send(conn, &out, close).await
        }
        Outcome::Stream(answer, rest) => {
            ended(state, task, "streamed");
            let (out, chunked) = respond::beginning(&answer, close);
            stream(state, conn, out, rest, chunked, close).await
        }
        Outcome::Refused(refusal) => {
            let why: &'static str = refusal.into();
            ended(state, task, why);
            state.log.record(Event::RequestRefused, |line| {
                line.text("id", &String::from_utf8_lossy(&request.id));
                line.text("service", task.service.as_str());
                line.text("why", why);
                tell_inputs(state, task, line);
            });
            let left = task.limit.saturating_duration_since(Instant::now());
            let out = Own::refusal(refusal, left).encode(close);
            send(conn, &out, close).await
        }
    }
}

/// Adds what a refusal was decided by.
fn tell_inputs(state: &State, task: &Task, line: &mut Line) {
    let now = Instant::now();
    line.number("age_ms", task.started.elapsed().as_millis() as u64);
    line.number("rules", state.rules_version());
    let list = state.list_schedule.borrow().position(now);
    line.number("list", list.cursor.0);
    line.number("list_age_ms", list.age_ms.into());
    let fleet = state.fleet.borrow();
    let Some(key) = task.key else {
        let open = fleet
            .of(&task.service)
            .iter()
            .filter(|t| !t.is_ejected(now));
        line.number("open_targets", open.count() as u64);
        return;
    };
    line.number("key", key.into());
    let views = state.views.borrow();
    let Some(view) = views.get(&task.service) else {
        return;
    };
    line.number("term", view.sequence().term);
    line.number("sequence", view.sequence().number);
    let Some(place) = view.find(key) else {
        return;
    };
    line.text("held", if place.pending { "no" } else { "yes" });
    if let Some(owner) = place.owner.as_ref().and_then(|id| fleet.get(id)) {
        line.text("owner", owner.entry.id.as_str());
        line.number("load", owner.load().into());
        line.number("slots", owner.entry.slots.into());
    }
}

fn ended(state: &State, task: &Task, outcome: &'static str) {
    state
        .counters
        .request(&task.service, outcome, task.started.elapsed());
}

/// Ends when the caller has closed its connection.
async fn gone(conn: &mut Conn) {
    while conn.data().len() < MOST_AHEAD {
        if !matches!(conn.fill().await, Ok(1..)) {
            return;
        }
    }
    std::future::pending().await
}

async fn refuse(
    state: &State,
    conn: &mut Conn,
    own: Own,
    head: Option<&RequestHead>,
    close: bool,
) -> After {
    state.log.record(Event::RequestRefused, |line| {
        let id = head.and_then(|head| head.fields.only(state.conf.headers.request_id));
        line.text("id", &String::from_utf8_lossy(id.unwrap_or_default()));
        line.number("status", own.status.into());
        line.text("why", own.text);
        line.number("rules", state.rules_version());
    });
    send(conn, &own.encode(close), close).await
}

async fn send(conn: &mut Conn, out: &[u8], close: bool) -> After {
    let (_, mut write, _) = conn.split();
    match timeout(WRITE_LIMIT, write.write_all(out)).await {
        Ok(Ok(())) if close => After::Close,
        Ok(Ok(())) => After::Keep,
        _ => After::Break,
    }
}

/// Passes a long answer on.
async fn stream(
    state: &State,
    conn: &mut Conn,
    mut out: Vec<u8>,
    mut rest: Box<Rest>,
    chunked: bool,
    close: bool,
) -> After {
    loop {
        if send(conn, &out, false).await == After::Break {
            return After::Break;
        }
        out.clear();
        let next = tokio::select! {
            biased;
            next = rest.next() => next,
            () = gone(conn) => return After::Break,
        };
        match next {
            Ok(Some(body)) => respond::piece(&mut out, &body, chunked),
            Ok(None) => break,
            // The caller must not take what it has for the whole answer.
            Err(_) => return After::Break,
        }
    }
    rest.finish(&state.pool);
    if chunked && send(conn, LAST_CHUNK, false).await == After::Break {
        return After::Break;
    }
    if close { After::Close } else { After::Keep }
}
