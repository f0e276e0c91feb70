//! Idle connections to targets, kept by one traffic thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpStream;

use crate::traffic::reader::Reader;

/// An idle connection is used again for work that may be repeated.
const REUSE_LIMIT: Duration = Duration::from_secs(10);
/// An idle connection is used again for work that must not be repeated.
const CAUTIOUS_REUSE_LIMIT: Duration = Duration::from_secs(1);
/// Idle connections kept to one target.
const IDLE_PER_TARGET: usize = 8;

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
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    reader: Reader,
    since: Instant,
}

impl Pool {
    /// Takes the connection that was used last, if one is fit for use.
    pub fn take(&self, address: SocketAddr, repeatable: bool, now: Instant) -> Option<TargetConn> {
        let limit = match repeatable {
            true => REUSE_LIMIT,
            false => CAUTIOUS_REUSE_LIMIT,
        };
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        while let Some(mut last) = list.pop() {
            let fresh = now.saturating_duration_since(last.since) < limit;
            if !fresh {
                list.push(last);
                return None;
            }
            // Bytes that nobody asked for: a late or doubled answer, or the end.
            if last.reader.is_idle() {
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
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(conn.address).or_default();
        if list.len() < IDLE_PER_TARGET {
            list.push(Idle {
                reader: conn.reader,
                since: now,
            });
        }
    }

    /// Closes every idle connection to a target.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes the connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| now.saturating_duration_since(idle.since) < REUSE_LIMIT);
            !list.is_empty()
        });
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
