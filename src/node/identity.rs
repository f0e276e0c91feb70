//! Identifies the process that listens at a target's address. The list of targets may be outdated, and
//! the address of a target that has ended may belong to another one.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use crate::clock::Clock;
use crate::ids::TargetId;
use crate::node::state::BootClock;

/// The process that a connection has to lead to, and what is known of it.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// The target's id, by which its process names itself.
    pub id: &'a TargetId,
    /// The path of the call to which the process responds with its id; `None` if there is none.
    pub path: Option<&'a str>,
    /// The header field of the response that contains the id.
    pub field: &'a str,
    /// The header field of the response that says how much longer the target is cold.
    pub cold_field: &'a str,
    /// Set to the time that the response says.
    pub cold_left: &'a Cell<Option<Duration>>,
    /// When the last exchange began in which the process responded under its id, on `clock`.
    pub proven_at: Option<Instant>,
    /// How long after the end of a process its address is not given to another target.
    pub reuse_after: Duration,
    /// The clock, which has to continue while the machine is suspended.
    pub clock: BootClock,
}

impl Identity<'_> {
    /// Returns true if no other target can have the address yet.
    pub fn is_certain(&self) -> bool {
        let now = self.clock.now();
        self.proven_at
            .is_some_and(|at| now.saturating_duration_since(at) < self.reuse_after)
    }

    /// Returns the identity after an exchange that began at `begun` and proved it.
    #[must_use]
    pub fn proven(self, begun: Instant) -> Self {
        Self {
            proven_at: self.proven_at.max(Some(begun)),
            ..self
        }
    }
}
