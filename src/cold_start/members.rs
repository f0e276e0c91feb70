//! Which nodes issue permits for cold targets.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;

/// A node counts as alive for this long after its last heartbeat.
pub const ALIVE_TIME: Duration = Duration::from_millis(3_500);
/// How much longer an unresponsive node keeps another one from issuing permits in its place. It is longer than
/// the time between heartbeats to other data centres, which is the difference between the times at
/// which the two sides of a partition notice it.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Longest time between two heartbeats that is not taken for a partition: one of two lost to another data
/// centre. With a longer one, a node could regain its majority after it had ceased to wait for the issuer.
const MAX_GAP: Duration = Duration::from_millis(4_000);
/// How long others may still ask an unresponsive node for permits.
const ASKED_TIME: Duration = ALIVE_TIME.saturating_add(SETTLE_TIME);
/// How long an unresponsive node counts as a member; longer than usual partitions.
const MEMORY: Duration = Duration::from_secs(120);

/// When a node last sent heartbeats.
#[derive(Clone, Copy, Debug)]
struct Member {
    heartbeat: Option<Instant>,
    /// Since when its heartbeats have come without a gap of [`MAX_GAP`].
    since: Instant,
    /// When it was first listed or last sent a heartbeat.
    known: Instant,
}

/// The other nodes, unresponsive ones included. None is removed: one that is listed again would count as new,
/// and the rows of nodes, which bound their number, are not removed either.
#[derive(Debug, Default)]
pub struct Members(BTreeMap<VmId, Member>);

impl Members {
    /// Records that a node is listed. Being listed again does not show that it is alive.
    pub fn record_listed(&mut self, node: &VmId, now: Instant) {
        if !self.0.contains_key(node) {
            let member = Member {
                heartbeat: None,
                since: now,
                known: now,
            };
            self.0.insert(node.clone(), member);
        }
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, node: &VmId, now: Instant) {
        self.record_listed(node, now);
        if let Some(member) = self.0.get_mut(node) {
            if !member.is_alive(MAX_GAP, now) {
                member.since = now;
            }
            (member.heartbeat, member.known) = (Some(now), now);
        }
    }

    /// Returns true if the node `own` has received heartbeats of more than half of the members for some time. Of exactly
    /// half, the side with the first name counts, so that one of two nodes can go on without the other.
    ///
    /// When a partition ends, the first heartbeats arrive one after the other. Without the time, a node that has
    /// those of half of the others but not of the issuer would issue permits beside it.
    fn is_majority(&self, own: &VmId, now: Instant) -> bool {
        let (mut known, mut alive) = (1, 1);
        let (mut first, mut first_alive) = (own, true);
        for (name, member) in &self.0 {
            if now.saturating_duration_since(member.known) >= MEMORY {
                continue;
            }
            let is_settled = now.saturating_duration_since(member.since) >= ASKED_TIME;
            let is_alive = is_settled && member.is_alive(ALIVE_TIME, now);
            known += 1;
            alive += usize::from(is_alive);
            if name < first {
                (first, first_alive) = (name, is_alive);
            }
        }
        2 * alive > known || 2 * alive == known && first_alive
    }

    /// Returns true if the node `own` may issue permits for a cold target: a majority is alive for it, and no
    /// node that others may still ask has a higher `rank` for the target.
    pub fn may_issue(&self, own: &VmId, rank: impl Fn(&VmId) -> u64, now: Instant) -> bool {
        let own_rank = rank(own);
        let is_asked = |member: &Member| now.saturating_duration_since(member.known) < ASKED_TIME;
        let mut asked = self.0.iter().filter(|(_, member)| is_asked(member));
        asked.all(|(name, _)| rank(name) < own_rank) && self.is_majority(own, now)
    }
}

impl Member {
    fn is_alive(&self, time: Duration, now: Instant) -> bool {
        self.heartbeat
            .is_some_and(|at| now.saturating_duration_since(at) < time)
    }
}
