//! Idle connections to targets, shared by the traffic threads.
//!
//! A connection is opened only when no idle one is left, and the router bounds the lanes to a
//! target by the entry's share of its connections; so idle and busy ones together stay within it.

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

/// An idle connection is used again for work that may be repeated.
const REUSE_LIMIT: Duration = Duration::from_secs(10);
/// An idle connection is used again for work that must not be repeated.
const CAUTIOUS_REUSE_LIMIT: Duration = Duration::from_secs(1);

/// One connection to a target.
#[derive(Debug)]
pub struct TargetConn {
    /// The target's address.
    pub address: SocketAddr,
    /// The connection.
    pub reader: Reader,
    /// Whether it carried a request before.
    pub reused: bool,
}

/// The idle connections.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    reader: Reader,
    since: Instant,
}

impl Pool {
    /// Takes the connection that was used last, if one is fit for use; unfit ones are closed.
    pub fn take(&self, address: SocketAddr, repeatable: bool, now: Instant) -> Option<TargetConn> {
        let limit = match repeatable {
            true => REUSE_LIMIT,
            false => CAUTIOUS_REUSE_LIMIT,
        };
        while let Some(mut last) = self.pop(address) {
            let fresh = now.saturating_duration_since(last.since) < limit;
            // Bytes that nobody asked for: a late or doubled answer, or the end.
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

    /// Keeps a connection whose last answer was whole.
    pub fn put(&self, mut conn: TargetConn, now: Instant) {
        conn.reader.shrink();
        let idle = Idle {
            reader: conn.reader,
            since: now,
        };
        self.lock().entry(conn.address).or_default().push(idle);
    }

    /// Closes every idle connection to a target.
    pub fn drop_idle(&self, address: SocketAddr) {
        let dropped = self.lock().remove(&address);
        drop(dropped);
    }

    /// Closes the connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        self.lock().retain(|_, list| {
            list.retain(|idle| now.saturating_duration_since(idle.since) < REUSE_LIMIT);
            !list.is_empty()
        });
    }

    fn pop(&self, address: SocketAddr) -> Option<Idle> {
        self.lock().get_mut(&address)?.pop()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
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
