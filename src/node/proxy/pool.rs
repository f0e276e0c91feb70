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
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Targets close a little earlier than they say, and a request is on its way meanwhile.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// An idle connection is used for work that must not be repeated up to this part of its time.
const CAUTIOUS_PART: f64 = 0.5;
/// How long opening a connection may take: links take milliseconds, a lost packet a second, after
/// which another target is the better way.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// A connection to a target.
#[derive(Debug)]
pub struct TargetConn {
    /// The connection.
    pub conn: Conn,
    /// Whether it carried a request before.
    pub reused: bool,
    counted: Counted,
}

#[derive(Debug)]
struct Counted(Rc<Target>);

impl Drop for Counted {
    fn drop(&mut self) {
        let open = &self.0.connections;
        open.set(open.get().saturating_sub(1));
    }
}

#[derive(Debug)]
struct Idle {
    held: TargetConn,
    since: Instant,
    limit: Duration,
}

/// The idle connections by target.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<BTreeMap<(TargetId, SocketAddr), Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection to a target that was used last, if one is fit.
    pub fn take(&self, target: &Target, idempotent: bool, now: Instant) -> Option<TargetConn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&place(target))?;
        while let Some(last) = list.pop() {
            let part = if idempotent { 1.0 } else { CAUTIOUS_PART };
            let age = now.saturating_duration_since(last.since);
            if age < last.limit.mul_f64(part) && last.held.conn.is_idle() {
                return Some(last.held);
            }
        }
        None
    }

    /// Keeps a connection after a whole answer; `limit` is what the target says of idle ones.
    pub fn put(&self, mut held: TargetConn, limit: Option<Duration>, now: Instant) {
        if held.counted.0.leaving.get() {
            return;
        }
        held.reused = true;
        let key = place(&held.counted.0);
        let limit = limit.map_or(IDLE_LIMIT, |limit| limit.saturating_sub(IDLE_MARGIN));
        let idle = Idle {
            held,
            since: now,
            limit,
        };
        self.idle.borrow_mut().entry(key).or_default().push(idle);
    }

    /// Closes the idle connections to a target.
    pub fn forget(&self, target: &Target) {
        self.idle.borrow_mut().remove(&place(target));
    }

    /// Closes connections that are too old, or whose target is leaving.
    pub fn sweep(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| {
                let age = now.saturating_duration_since(idle.since);
                age < idle.limit && !idle.held.counted.0.leaving.get()
            });
            !list.is_empty()
        });
    }

    /// Opens a connection to a target.
    pub async fn open(&self, target: &Rc<Target>) -> io::Result<TargetConn> {
        let opening = Conn::open(target.entry.address);
        let conn = match timeout(CONNECT_LIMIT, opening).await {
            Ok(opened) => opened?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        target.connections.set(target.connections.get() + 1);
        Ok(TargetConn {
            conn,
            reused: false,
            counted: Counted(target.clone()),
        })
    }
}

fn place(target: &Target) -> (TargetId, SocketAddr) {
    (target.entry.id.clone(), target.entry.address)
}
