//! Runs a node: starts its tasks, does periodic maintenance, and shuts down gracefully.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::events::Event;
use crate::ids::ServiceId;
use crate::node::connections::Connections;
use crate::node::connections::Waiting;
use crate::node::control::group;
use crate::node::control::group::GroupMessage;
use crate::node::control::group::Groups;
use crate::node::control::peers::Peers;
use crate::node::control::reach::check_links;
use crate::node::control::rows;
use crate::node::control::rows::NodeRow;
use crate::node::control::watch;
use crate::node::counters::Counter;
use crate::node::counters::render_account;
use crate::node::evacuations;
use crate::node::notices::end_pauses;
use crate::node::platform::Platform;
use crate::node::proxy::conn::Conn;
use crate::node::proxy::serve::Origin;
use crate::node::proxy::serve::serve;
use crate::node::state::ShutdownStage;
use crate::node::state::State;
use crate::platform::Generation;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::platform::WriteId;
use crate::traffic::forward::put;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_request;

/// Length of the accept queue of each listening socket.
const LISTEN_BACKLOG: u32 = 1_024;
/// Pause before the next accept when an accept failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often the log is flushed, missing groups are started and expired targets are removed.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(200);
/// Maintenance periods between two sweeps of idle connections and reloads of the settings.
const SWEEP_PERIODS: u64 = 5;
/// Share of the grace period in which connections are still accepted: the load balancer stops
/// sending callers after two failed health checks, which are a second apart.
const LEAVING_SHARE: f64 = 0.5;
/// Maximum time in which connections are still accepted. A request accepted later has less of the
/// grace period left, however long that is, and the load balancer needs no more.
const MAX_LEAVING_TIME: Duration = Duration::from_secs(3);
/// How long before the end of the grace period the remaining requests are aborted.
const GRACE_MARGIN: Duration = Duration::from_millis(350);
/// Time for the last connections to close after the remaining requests are aborted.
const FINAL_CLOSE_DELAY: Duration = Duration::from_millis(100);
/// Backoff after the first failed read or write of node rows; it doubles with each further failure.
const INITIAL_ROW_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum number of doublings of that backoff.
const MAX_ROW_DOUBLINGS: u32 = 4;
/// How often the rows of nodes are read while some nodes send no heartbeats.
const NODE_ROWS_PERIOD: Duration = Duration::from_secs(20);
/// How often a node checks whether its row may have been lost in a restore of the table's data.
const RESTORE_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Time over which the nodes spread their reads after a restore, for each node and at least, so that
/// all of them together stay below the table's limit of calls per second.
const RESTORE_SPREAD_PER_NODE: Duration = Duration::from_millis(5);
const MIN_RESTORE_SPREAD: Duration = Duration::from_millis(500);
/// How long a connection to the ready or the metrics address may last.
const READY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections to the ready or the metrics address; the load balancer and the
/// operators use a few.
const MAX_READY_CONNECTIONS: usize = 64;
/// They use at most the sockets of the process divided by this.
const READY_SOCKET_DIVISOR: usize = 8;
/// How long such a connection remains open at least when a new one arrives at the limit. A response
/// takes a few milliseconds.
const MIN_READY_WAIT: Duration = Duration::from_millis(50);

/// The addresses on which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP requests of callers.
    pub callers: SocketAddr,
    /// Health checks of the load balancer, and metrics.
    pub ready: SocketAddr,
    /// Metrics at a fixed port, if configured.
    pub metrics: Option<SocketAddr>,
    /// Datagrams of other nodes, and the requests that they pass on.
    pub peers: SocketAddr,
}

/// Runs a node until it has shut down; calls `reload` on SIGHUP and periodically, as the settings
/// may have changed.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or signal handlers cannot be installed.
pub async fn run<T, P>(
    state: Rc<State>,
    addresses: Addresses,
    table: Rc<T>,
    platform: Rc<P>,
    reload: impl Fn() + 'static,
) -> io::Result<()>
where
    T: Table + 'static,
    P: Platform,
{
    let callers = listen(addresses.callers)?;
    let nodes = listen(addresses.peers)?;
    let ready = listen(addresses.ready)?;
    let metrics = addresses.metrics.map(listen).transpose()?;
    let socket = UdpSocket::bind(addresses.peers).await?;
    let peers = Rc::new(Peers::new(state.clone(), socket));
    let mut stop = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    state.log.record(Event::Started, |line| {
        line.show("callers", addresses.callers);
        line.number("boot", state.boot.0);
    });
    spawn(watch::rules(state.clone(), platform.clone(), peers.clone()));
    spawn(watch::targets(
        state.clone(),
        platform.clone(),
        peers.clone(),
    ));
    spawn(peers.clone().receive());
    spawn(peers.clone().send());
    spawn(peers.clone().forward_permit_requests());
    spawn(check_links(state.clone(), peers.clone()));
    spawn(serve_ready(state.clone(), ready));
    if let Some(metrics) = metrics {
        spawn(serve_ready(state.clone(), metrics));
    }
    spawn(register(
        state.clone(),
        table.clone(),
        peers.clone(),
        addresses.peers,
    ));
    let accepting = start_accepting(&state, callers, nodes);
    let mut groups = Groups::new();
    let mut maintenance_runs = 0u64;
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = hangup.recv() => reload(),
            () = tokio::time::sleep(MAINTENANCE_PERIOD) => {
                maintenance_runs += 1;
                start_groups(&state, &peers, &table, &platform, &mut groups);
                watch::expire_targets(&state);
                evacuations::expire(&state, Instant::now());
                end_pauses(&state, Instant::now());
                if maintenance_runs.is_multiple_of(SWEEP_PERIODS) {
                    let now = Instant::now();
                    state.pool.sweep(now);
                    state.limits.expire(now);
                    reload();
                }
                state.log.flush();
            }
        }
    }
    shut_down(&state, &groups, accepting).await;
    Ok(())
}

fn spawn<F: Future + 'static>(task: F) -> JoinHandle<F::Output> {
    tokio::task::spawn_local(task)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts connections of callers and of other nodes, up to a common limit.
fn start_accepting(
    state: &Rc<State>,
    callers: TcpListener,
    nodes: TcpListener,
) -> [JoinHandle<()>; 2] {
    [(callers, Origin::Caller), (nodes, Origin::Node)]
        .map(|(listener, origin)| spawn(accept(state.clone(), listener, origin)))
}

/// Accepts connections; at the limit, one that waits for a request is closed in favour of a new one.
async fn accept(state: Rc<State>, listener: TcpListener, origin: Origin) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = state.connections.admit().await;
                spawn(serve(state.clone(), stream, origin, connection));
            }
            // No descriptor is left, or the caller disconnected before it was accepted.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Starts a group for each keyed service that has none yet.
fn start_groups<T: Table + 'static, P: Platform>(
    state: &Rc<State>,
    peers: &Rc<Peers>,
    table: &Rc<T>,
    platform: &Rc<P>,
    groups: &mut Groups,
) {
    let Some(router) = state.router() else {
        return;
    };
    let keyed = router
        .rules()
        .services
        .iter()
        .filter(|(_, rule)| rule.keyed);
    let missing: Vec<ServiceId> = keyed
        .map(|(service, _)| service.clone())
        .filter(|service| !groups.contains_key(service))
        .collect();
    for service in missing {
        let handle = group::start(&service, state, peers, table, platform);
        peers.add_group(&service, handle.clone());
        groups.insert(service, handle);
    }
}

/// Publishes the node's own row, and reads the rows of other nodes while some send no heartbeats.
async fn register<T: Table>(state: Rc<State>, table: Rc<T>, peers: Rc<Peers>, address: SocketAddr) {
    let key = rows::node_key(&state.conf.name);
    let row = NodeRow {
        address,
        data_centre: state.conf.data_centre.clone(),
    };
    // When all nodes start together, a scan before the own row is written may miss rows of others.
    if state.conf.first_start {
        write_row(&state, &*table, &key, &row).await;
    }
    let mut attempt = 0;
    let mut scans = 0;
    let mut generation = table.generation();
    while state.stage() < ShutdownStage::Ended {
        state.counters.add(Counter::TableCalls);
        match table.scan(rows::NODE_PREFIX).await {
            Ok(listed) => {
                attempt = 0;
                peers.add_rows(&listed, Instant::now());
                let own = listed.iter().find(|listed| listed.key == key);
                if own.and_then(|own| rows::decode(&own.value)).as_ref() != Some(&row) {
                    write_row(&state, &*table, &key, &row).await;
                    continue;
                }
            }
            Err(error) => {
                log_row_failure(&state, &error);
                back_off(attempt).await;
                attempt += 1;
                continue;
            }
        }
        if generation == Generation::default() {
            generation = table.generation();
        }
        let mut next_scan = Instant::now() + scan_period(&state, scans);
        scans += 1;
        let mut is_restored = false;
        loop {
            tokio::time::sleep(RESTORE_CHECK_PERIOD).await;
            let newest = table.generation().max(state.generation.get());
            if newest > generation {
                let delay = max_restore_delay(state.nodes.get());
                tokio::time::sleep(delay.mul_f64(rand::random())).await;
                restore_row(&state, &*table, &key, &row).await;
                generation = newest;
                // A node that started before the rows were written again knows none of the others.
                next_scan = Instant::now() + delay + delay.mul_f64(rand::random());
                is_restored = true;
            }
            let now = Instant::now();
            if now < next_scan {
                continue;
            }
            if is_restored || !peers.all_alive(now) {
                break;
            }
            next_scan = now + NODE_ROWS_PERIOD;
        }
    }
}

/// Returns the time over which the nodes spread their reads after a restore.
fn max_restore_delay(nodes: usize) -> Duration {
    let spread = RESTORE_SPREAD_PER_NODE.saturating_mul(nodes as u32);
    spread.max(MIN_RESTORE_SPREAD)
}

/// Returns how long after a read of the rows of nodes they are read again: soon at first on a node
/// that knows no other node.
fn scan_period(state: &State, scans: u32) -> Duration {
    if state.nodes.get() > 1 {
        return NODE_ROWS_PERIOD;
    }
    let period = RESTORE_CHECK_PERIOD.saturating_mul(2u32.saturating_pow(scans));
    period.min(NODE_ROWS_PERIOD)
}

/// Writes the node's own row if it is missing in the restored data; retries until that is known.
async fn restore_row<T: Table>(state: &State, table: &T, key: &str, row: &NodeRow) {
    for attempt in 0.. {
        state.counters.add(Counter::TableCalls);
        match table.get(key).await {
            Ok(found) => {
                let found = found.and_then(|found| rows::decode(&found.value));
                if found.as_ref() != Some(row) {
                    write_row(state, table, key, row).await;
                }
                return;
            }
            Err(error) => log_row_failure(state, &error),
        }
        back_off(attempt).await;
    }
}

/// Writes the node's own row; retries until a write succeeds.
async fn write_row<T: Table>(state: &State, table: &T, key: &str, row: &NodeRow) {
    let tx = Transaction {
        id: WriteId(rand::random()),
        conditions: Vec::new(),
        mutations: vec![rows::put(key.to_owned(), row)],
    };
    let mut attempt = 0;
    loop {
        state.counters.add(Counter::TableCalls);
        // The write is idempotent, so it may be repeated when its outcome is unknown.
        match table.commit(&tx).await {
            Ok(()) => return,
            Err(error) => log_row_failure(state, &error),
        }
        back_off(attempt).await;
        attempt += 1;
    }
}

/// Sleeps for the backoff of a failed attempt, with jitter: nodes whose calls failed at the same
/// time must not retry at the same time.
async fn back_off(attempt: u32) {
    let backoff = INITIAL_ROW_BACKOFF * 2u32.pow(attempt.min(MAX_ROW_DOUBLINGS));
    tokio::time::sleep(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
}

fn log_row_failure(state: &State, error: &crate::platform::TableError) {
    state.counters.add(Counter::TableFailures);
    state.log.record(Event::TableWriteFailed, |line| {
        line.text("row", rows::NODE_PREFIX);
        line.show("error", error);
    });
}

/// Returns how long a node that is asked to stop accepts connections and new requests, of its whole
/// `grace` period.
pub fn accepting_time(grace: Duration) -> Duration {
    grace.mul_f64(LEAVING_SHARE).min(MAX_LEAVING_TIME)
}

async fn shut_down(state: &Rc<State>, groups: &Groups, accepting: [JoinHandle<()>; 2]) {
    let started = Instant::now();
    state.log.record(Event::Draining, |line| {
        line.number("in_flight", state.in_flight.get() as u64);
    });
    state.log.flush();
    let grace = state.reloadable().shutdown_grace;
    let deadline = started + grace.saturating_sub(GRACE_MARGIN);
    state.set_abort_time(deadline);
    state.advance_to(ShutdownStage::Leaving);
    for group in groups.values() {
        group.send(GroupMessage::Resign);
    }
    tokio::time::sleep(accepting_time(grace)).await;
    accepting.iter().for_each(JoinHandle::abort);
    state.advance_to(ShutdownStage::Closing);
    while state.callers.get() > 0 {
        let turned = state.stage_changed.notified();
        let timed_out = tokio::time::timeout_at(deadline.into(), turned)
            .await
            .is_err();
        if timed_out {
            break;
        }
    }
    let unfinished = state.in_flight.get() as u64;
    if unfinished > 0 {
        state
            .log
            .record(Event::WorkCut, |line| line.number("requests", unfinished));
    }
    state.advance_to(ShutdownStage::Ended);
    tokio::time::sleep(FINAL_CLOSE_DELAY).await;
    state.log.record(Event::Stopped, |line| {
        line.number("took_ms", started.elapsed().as_millis() as u64);
    });
    state.log.flush();
}

/// Serves `/ready` to the load balancer and `/metrics` to operators.
async fn serve_ready(state: Rc<State>, listener: TcpListener) {
    let max = (state.conf.max_sockets / READY_SOCKET_DIVISOR).min(MAX_READY_CONNECTIONS);
    let connections = Rc::new(Connections::new(max, MIN_READY_WAIT));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                let connection = connections.admit().await;
                connection.set_waiting(Some(Waiting::Request));
                spawn(async move {
                    // The load balancer treats a missing response as a failed health check, so
                    // errors need no handling.
                    let responding = timeout(READY_TIMEOUT, respond_ready(&state, stream));
                    tokio::select! {
                        _ = responding => {}
                        () = connection.closing() => {}
                    }
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn respond_ready(state: &State, stream: TcpStream) -> io::Result<()> {
    let mut conn = Conn::new(stream)?;
    loop {
        let length = loop {
            match head_length(conn.data()) {
                Ok(Some(length)) => break length,
                Ok(None) if conn.fill().await? > 0 => {}
                _ => return Ok(()),
            }
        };
        let Ok(head) = parse_request(&conn.data()[..length]) else {
            return Ok(());
        };
        conn.consume(length);
        let (status, text) = match head.path.as_str() {
            "/ready" if state.is_ready() => ("200 OK", "ready\n".to_owned()),
            "/ready" => ("503 Service Unavailable", "not ready\n".to_owned()),
            "/metrics" => {
                state
                    .counters
                    .set(Counter::LogLinesDropped, state.log.dropped());
                let text = state.counters.render() + &state.queues.render();
                ("200 OK", text + &render_account(&state.memory))
            }
            _ => ("404 Not Found", "ask for /ready or /metrics\n".to_owned()),
        };
        let mut out = Vec::new();
        put(&mut out, format_args!("HTTP/1.1 {status}\r\n"));
        put(&mut out, format_args!("Content-Type: text/plain\r\n"));
        put(
            &mut out,
            format_args!("Content-Length: {}\r\n\r\n{text}", text.len()),
        );
        let (_, mut write, _) = conn.split();
        write.write_all(&out).await?;
        if !head.keep_alive {
            return Ok(());
        }
    }
}
