//! Chooses the node that reads rules and targets from the platform for its data centre.
//!
//! The others learn of changes from its heartbeats and messages, so the number of calls while nothing
//! changes depends on the number of data centres, not on the number of nodes.

use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;

/// A node without a heartbeat for this long is not expected to read for the others. A node that has
/// just started waits as long before it assumes that no other node reads.
pub const READER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Another node of the data centre.
#[derive(Clone, Copy, Debug)]
pub struct Neighbour<'a> {
    /// Its name.
    pub name: &'a VmId,
    /// When its last heartbeat arrived.
    pub last_heartbeat: Option<Instant>,
    /// Whether its calls to the table fail, by its last heartbeat.
    pub table_fails: bool,
}

/// Returns true if the node `own`, whose process began at `started`, reads for its data centre: it
/// has the lowest name among the nodes that are alive and reach the table.
pub fn is_reader<'a>(
    own: &VmId,
    started: Instant,
    mut neighbours: impl Iterator<Item = Neighbour<'a>>,
    now: Instant,
) -> bool {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < READER_TIMEOUT;
    let reads_before = |other: Neighbour<'_>| {
        other.name < own && !other.table_fails && other.last_heartbeat.is_some_and(is_recent)
    };
    !is_recent(started) && !neighbours.any(reads_before)
}
