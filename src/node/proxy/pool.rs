//! Idle connections to targets.

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

/// How long an idle connection is kept when the target does not say.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Targets close a little earlier than they say, and a request is on its way meanwhile.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// An idle connection is used for work that must not be repeated up to this part of its time.
const NON_IDEMPOTENT_FRACTION: f64 = 0.5;
/// How long opening a connection may take: links take milliseconds, a lost packet a second, after
/// which another target is the better way.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection to a target.
#[derive(Debug)]
pub struct TargetConn {
    /// The connection.
    pub conn: Conn,
    /// Whether it carried a request before.
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

/// The idle connections by target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<(TargetId, SocketAddr), Vec<IdleConn>>>,
}

impl Pool {
    /// Takes the connection to a target that was used last, if one is fit.
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

    /// Keeps a connection after a whole answer; `limit` is what the target says of idle ones.
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

    /// Closes the idle connections to a target.
    pub fn remove_target(&self, target: &Target) {
        self.idle.borrow_mut().remove(&pool_key(target));
    }

    /// Closes connections that are too old, or whose target is leaving.
    pub fn sweep(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| {
                let age = now.saturating_duration_since(idle.idle_since);
                age < idle.idle_timeout && !idle.connection.open_guard.0.leaving.get()
            });
            !list.is_empty()
        });
    }

    /// Opens a connection to a target.
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
