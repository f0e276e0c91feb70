//! Pool of idle keep-alive connections to targets.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::time::timeout;

use crate::ids::TargetId;
use crate::node::fleet::Target;
use crate::node::proxy::conn::Conn;

/// Idle timeout for connections of targets that announce none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Subtracted from the announced idle timeout: targets close slightly early, and the next request
/// needs time to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Fraction of the idle timeout up to which a connection is reused for requests that must not be
/// repeated.
const NON_IDEMPOTENT_FRACTION: f64 = 0.5;
/// Timeout for opening a connection. Connecting takes milliseconds, but one second if a packet is
/// lost; sending the request to another target is faster then.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection to a target, counted in the target's open connections until it is dropped.
#[derive(Debug)]
pub struct TargetConn {
    /// The underlying connection.
    pub conn: Conn,
    /// True if the connection has carried a request before.
    pub reused: bool,
    open_guard: OpenGuard,
}

/// Decrements the target's connection count on drop.
#[derive(Debug)]
struct OpenGuard(Rc<Target>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let open = &self.0.connections;
        open.set(open.get().saturating_sub(1));
    }
}

#[derive(Debug)]
struct IdleConn {
    connection: TargetConn,
    idle_since: Instant,
    idle_timeout: Duration,
}

/// Idle connections by target ID and address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<(TargetId, SocketAddr), Vec<IdleConn>>>,
}

impl Pool {
    /// Removes and returns the most recently used connection to a target that can be reused;
    /// non-idempotent requests need a more recently used one.
    pub fn take(&self, target: &Target, idempotent: bool, now: Instant) -> Option<TargetConn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&pool_key(target))?;
        while let Some(last) = list.pop() {
            let fraction = if idempotent {
                1.0
            } else {
                NON_IDEMPOTENT_FRACTION
            };
            let age = now.saturating_duration_since(last.idle_since);
            if age < last.idle_timeout.mul_f64(fraction) && last.connection.conn.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds a connection on which no response is outstanding; `announced` is the idle timeout that
    /// the target announced.
    pub fn put(&self, mut connection: TargetConn, announced: Option<Duration>, now: Instant) {
        if connection.open_guard.0.leaving.get() {
            return;
        }
        connection.reused = true;
        let key = pool_key(&connection.open_guard.0);
        let idle_timeout = announced.map_or(IDLE_TIMEOUT, |time| time.saturating_sub(IDLE_MARGIN));
        let idle = IdleConn {
            connection,
            idle_since: now,
            idle_timeout,
        };
        self.idle.borrow_mut().entry(key).or_default().push(idle);
    }

    /// Returns true if there are idle connections to a target.
    pub fn has_idle(&self, target: &Target) -> bool {
        let idle = self.idle.borrow();
        idle.get(&pool_key(target))
            .is_some_and(|list| !list.is_empty())
    }

    /// Closes all idle connections to a target.
    pub fn remove_target(&self, target: &Target) {
        self.idle.borrow_mut().remove(&pool_key(target));
    }

    /// Closes connections that exceeded their idle timeout, whose target is leaving or on which bytes
    /// arrived that belong to no request.
    pub fn sweep(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| {
                let age = now.saturating_duration_since(idle.idle_since);
                let connection = &idle.connection;
                age < idle.idle_timeout
                    && !connection.open_guard.0.leaving.get()
                    && connection.conn.is_idle()
            });
            !list.is_empty()
        });
    }

    /// Opens a new connection to a target; fails if this exceeds the connect timeout.
    pub async fn open(&self, target: &Rc<Target>) -> io::Result<TargetConn> {
        let connecting = Conn::open(target.entry.address);
        let conn = match timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(opened) => opened?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        target.connections.set(target.connections.get() + 1);
        Ok(TargetConn {
            conn,
            reused: false,
            open_guard: OpenGuard(target.clone()),
        })
    }
}

fn pool_key(target: &Target) -> (TargetId, SocketAddr) {
    (target.entry.id.clone(), target.entry.address)
}
