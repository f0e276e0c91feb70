//! Idle connections to targets, shared by the traffic threads.
//!
//! A connection is opened only if no idle one is left, and the router limits the concurrent
//! attempts to a target to the entry's share of its connections. So idle and busy connections
//! together stay within the share.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpStream;

use crate::traffic::reader::Reader;

/// Idle connections are reused for idempotent requests, and kept, for this long.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// Idle connections are reused for non-idempotent requests for this long. It is shorter because
/// such a request can't be sent again if the target closed the connection meanwhile.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);

/// A connection to a target that is in use.
#[derive(Debug)]
pub struct TargetConn {
    /// The target's address.
    pub address: SocketAddr,
    /// Buffered read side of the connection.
    pub reader: Reader,
    /// Whether a request was sent on the connection before.
    pub reused: bool,
}

/// Idle connections by target address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConn>>>,
}

#[derive(Debug)]
struct IdleConn {
    reader: Reader,
    since: Instant,
}

impl Pool {
    /// Takes the most recently used connection that can be reused; closes those that can't.
    ///
    /// `idempotent` states whether the request may be sent again if the connection fails.
    pub fn take(&self, address: SocketAddr, idempotent: bool, now: Instant) -> Option<TargetConn> {
        let limit = match idempotent {
            true => MAX_IDLE,
            false => MAX_IDLE_NON_IDEMPOTENT,
        };
        while let Some(mut last) = self.pop(address) {
            let fresh = now.saturating_duration_since(last.since) < limit;
            // A connection that is readable while idle has received a late or duplicate response,
            // or was closed by the target.
            if fresh && last.reader.is_idle() {
                return Some(TargetConn {
                    address,
                    reader: last.reader,
                    reused: true,
                });
            }
        }
        None
    }

    /// Returns a connection to the pool; its last response must be complete.
    pub fn put(&self, mut conn: TargetConn, now: Instant) {
        conn.reader.shrink();
        let idle = IdleConn {
            reader: conn.reader,
            since: now,
        };
        self.lock().entry(conn.address).or_default().push(idle);
    }

    /// Closes all idle connections to a target.
    pub fn close_idle(&self, address: SocketAddr) {
        let dropped = self.lock().remove(&address);
        drop(dropped);
    }

    /// Closes connections that have been idle for `MAX_IDLE`.
    pub fn close_expired(&self, now: Instant) {
        self.lock().retain(|_, list| {
            list.retain(|idle| now.saturating_duration_since(idle.since) < MAX_IDLE);
            !list.is_empty()
        });
    }

    fn pop(&self, address: SocketAddr) -> Option<IdleConn> {
        self.lock().get_mut(&address)?.pop()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConn>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to a target.
pub async fn connect(address: SocketAddr) -> io::Result<TargetConn> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(TargetConn {
        address,
        reader: Reader::new(stream),
        reused: false,
    })
}
