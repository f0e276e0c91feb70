//! The life of a node, from its start to its graceful shutdown.

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
use tokio::time::timeout;

use crate::events::Event;
use crate::ids::ServiceId;
use crate::node::control::group;
use crate::node::control::group::GroupMessage;
use crate::node::control::group::Groups;
use crate::node::control::peers::Peers;
use crate::node::control::rows;
use crate::node::control::rows::NodeRow;
use crate::node::control::watch;
use crate::node::counters::Counter;
use crate::node::platform::Platform;
use crate::node::proxy::conn::Conn;
use crate::node::proxy::serve::serve;
use crate::node::state::ShutdownStage;
use crate::node::state::State;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::platform::WriteId;
use crate::traffic::forward::put;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_request;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause when no descriptor is left for another caller.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Part of the descriptors that callers may use; the rest is for targets and the platform.
const CALLER_PART: f64 = 0.5;
/// How often small chores are done: log lines written, groups started.
const CHORE_PERIOD: Duration = Duration::from_millis(200);
/// Every how many chore periods idle connections are looked through.
const SWEEP_PERIODS: u64 = 5;
/// Part of the grace for which callers still come in: the balancer needs two missed questions, a
/// second apart, to stop sending them.
const LEAVING_PART: f64 = 0.5;
/// Left of the grace at the forced end.
const GRACE_MARGIN: Duration = Duration::from_millis(350);
/// How long the end of the last connections is awaited.
const LAST_WAIT: Duration = Duration::from_millis(100);
/// Pause between two tries to write the node's row, doubled each time.
const ROW_PAUSE: Duration = Duration::from_millis(200);
const ROW_DOUBLINGS: u32 = 4;
/// How often the rows of nodes are read while some of them are silent.
const ROWS_PERIOD: Duration = Duration::from_secs(20);
/// How long a question on the ready address may take.
const READY_LIMIT: Duration = Duration::from_secs(2);

/// Where a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether the node is ready, and for metrics.
    pub ready: SocketAddr,
    /// For metrics at a fixed port, if one is wanted.
    pub metrics: Option<SocketAddr>,
    /// For datagrams of other nodes.
    pub peers: SocketAddr,
}

/// Runs a node until it has shut down; `reload` is called when the settings may have changed.
///
/// # Errors
///
/// When an address cannot be listened on, or signals cannot be received.
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
    let hint = peers.rules_hint.clone();
    spawn(watch::rules(state.clone(), platform.clone(), hint));
    spawn(watch::targets(
        state.clone(),
        platform.clone(),
        peers.clone(),
    ));
    spawn(peers.clone().receive());
    spawn(peers.clone().send());
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
    let accepting = spawn(accept(state.clone(), callers));
    let mut groups = Groups::new();
    let mut chores = 0u64;
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = hangup.recv() => reload(),
            () = tokio::time::sleep(CHORE_PERIOD) => {
                chores += 1;
                start_groups(&state, &peers, &table, &platform, &mut groups);
                watch::expire_targets(&state);
                if chores.is_multiple_of(SWEEP_PERIODS) {
                    state.pool.sweep(Instant::now());
                    reload();
                }
                state.log.flush();
            }
        }
    }
    shut_down(&state, &groups, accepting).await;
    Ok(())
}

fn spawn<F: Future + 'static>(task: F) -> tokio::task::JoinHandle<F::Output> {
    tokio::task::spawn_local(task)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept(state: Rc<State>, listener: TcpListener) {
    let most = (state.conf.max_sockets as f64 * CALLER_PART) as usize;
    let open = Rc::new(());
    loop {
        if Rc::strong_count(&open) > most {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let (state, open) = (state.clone(), open.clone());
                spawn(async move {
                    serve(state, stream).await;
                    drop(open);
                });
            }
            // Out of descriptors, or a caller that left in the queue.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Starts the groups of services that are divided by key.
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

/// Makes the node known to the others, and learns of them.
async fn register<T: Table>(state: Rc<State>, table: Rc<T>, peers: Rc<Peers>, address: SocketAddr) {
    let key = rows::node_key(&state.conf.name);
    let row = NodeRow {
        address,
        data_centre: state.conf.data_centre.clone(),
    };
    // When all start at once, rows that are read before one's own is written may lack others'.
    if state.conf.first_start {
        write_row(&state, &*table, &key, &row).await;
    }
    let mut tries = 0;
    while state.stage() < ShutdownStage::Ended {
        state.counters.add(Counter::TableCalls);
        match table.scan(rows::NODE_PREFIX).await {
            Ok(listed) => {
                tries = 0;
                peers.learn_rows(&listed, Instant::now());
                let own = listed.iter().find(|listed| listed.key == key);
                if own.and_then(|own| rows::decode(&own.value)).as_ref() != Some(&row) {
                    write_row(&state, &*table, &key, &row).await;
                    continue;
                }
            }
            Err(error) => {
                tell_row_failure(&state, &error);
                pause(tries).await;
                tries += 1;
                continue;
            }
        }
        tokio::time::sleep(ROWS_PERIOD).await;
        while peers.all_heard(Instant::now()) {
            tokio::time::sleep(ROWS_PERIOD).await;
        }
    }
}

/// Writes the node's row, however long it takes.
async fn write_row<T: Table>(state: &State, table: &T, key: &str, row: &NodeRow) {
    let tx = Transaction {
        id: WriteId(rand::random()),
        conditions: Vec::new(),
        mutations: vec![rows::put(key.to_owned(), row)],
    };
    let mut tries = 0;
    loop {
        state.counters.add(Counter::TableCalls);
        // A row written twice is the same row.
        match table.commit(&tx).await {
            Ok(()) => return,
            Err(error) => tell_row_failure(state, &error),
        }
        pause(tries).await;
        tries += 1;
    }
}

/// Nodes that failed together must not come back together.
async fn pause(tries: u32) {
    let pause = ROW_PAUSE * 2u32.pow(tries.min(ROW_DOUBLINGS));
    tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
}

fn tell_row_failure(state: &State, error: &crate::platform::TableError) {
    state.counters.add(Counter::TableFailures);
    state.log.record(Event::TableWriteFailed, |line| {
        line.text("row", rows::NODE_PREFIX);
        line.show("error", error);
    });
}

async fn shut_down(state: &Rc<State>, groups: &Groups, accepting: tokio::task::JoinHandle<()>) {
    let begun = Instant::now();
    state.log.record(Event::Draining, |line| {
        line.number("in_flight", state.in_flight.get() as u64);
    });
    state.log.flush();
    state.advance_to(ShutdownStage::Leaving);
    for group in groups.values() {
        group.post(GroupMessage::Resign);
    }
    let grace = state.reloadable().shutdown_grace;
    tokio::time::sleep(grace.mul_f64(LEAVING_PART)).await;
    accepting.abort();
    state.advance_to(ShutdownStage::Closing);
    let end = begun + grace.saturating_sub(GRACE_MARGIN);
    while state.callers.get() > 0 {
        let turned = state.stage_changed.notified();
        let late = tokio::time::timeout_at(end.into(), turned).await.is_err();
        if late {
            break;
        }
    }
    let cut = state.in_flight.get() as u64;
    if cut > 0 {
        state
            .log
            .record(Event::WorkCut, |line| line.number("requests", cut));
    }
    state.advance_to(ShutdownStage::Ended);
    tokio::time::sleep(LAST_WAIT).await;
    state.log.record(Event::Stopped, |line| {
        line.number("took_ms", begun.elapsed().as_millis() as u64);
    });
    state.log.flush();
}

/// Answers the balancer's question, and shows the counters.
async fn serve_ready(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                spawn(async move {
                    // A question that is not answered counts as a no, which is what it is.
                    let _ = timeout(READY_LIMIT, answer_ready(&state, stream)).await;
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn answer_ready(state: &State, stream: TcpStream) -> io::Result<()> {
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
                ("200 OK", state.counters.render())
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
