//! Which nodes issue permits for cold targets.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;

/// A node is heard for this long after its last heartbeat.
pub const HEARD_TIME: Duration = Duration::from_millis(3_500);
/// How much longer a silent node keeps another one from issuing permits in its place. It is longer than
/// the time between heartbeats to other data centres, which is the difference between the times at
/// which the two sides of a partition notice it.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// Longest time between two heartbeats that is not taken for a partition: one of two lost to another data
/// centre. With a longer one, a node could regain its majority after it had ceased to wait for the issuer.
const MAX_GAP: Duration = Duration::from_millis(4_000);
/// How long others may still ask a silent node for permits.
const ASKED_TIME: Duration = HEARD_TIME.saturating_add(SETTLE_TIME);
/// How long a silent node counts as a member; longer than usual partitions.
const MEMORY: Duration = Duration::from_secs(120);

/// When a node was last heard.
#[derive(Clone, Copy, Debug)]
struct Member {
    heard: Option<Instant>,
    /// Since when it has been heard without a gap of [`MAX_GAP`].
    since: Instant,
    /// When it was first listed or last heard.
    known: Instant,
}

/// The other nodes, silent ones included. None is removed: one that is listed again would count as new,
/// and the rows of nodes, which bound their number, are not removed either.
#[derive(Debug, Default)]
pub struct Members(BTreeMap<VmId, Member>);

impl Members {
    /// Records that a node is listed. Being listed again is no sign of life.
    pub fn record_listed(&mut self, node: &VmId, now: Instant) {
        if !self.0.contains_key(node) {
            let member = Member {
                heard: None,
                since: now,
                known: now,
            };
            self.0.insert(node.clone(), member);
        }
    }

    /// Records a heartbeat.
    pub fn record_heard(&mut self, node: &VmId, now: Instant) {
        self.record_listed(node, now);
        if let Some(member) = self.0.get_mut(node) {
            if !member.is_heard(MAX_GAP, now) {
                member.since = now;
            }
            (member.heard, member.known) = (Some(now), now);
        }
    }

    /// Returns true if the node `own` hears more than half of the members, and has for some time. Of exactly
    /// half, the side with the first name counts, so that one of two nodes can go on without the other.
    ///
    /// When a partition ends, nodes hear the others one after the other. Without the time, one that hears
    /// half of them but not the issuer yet would issue permits beside it.
    fn is_majority(&self, own: &VmId, now: Instant) -> bool {
        let (mut known, mut heard) = (1, 1);
        let (mut first, mut first_heard) = (own, true);
        for (name, member) in &self.0 {
            if now.saturating_duration_since(member.known) >= MEMORY {
                continue;
            }
            let is_settled = now.saturating_duration_since(member.since) >= ASKED_TIME;
            let is_heard = is_settled && member.is_heard(HEARD_TIME, now);
            known += 1;
            heard += usize::from(is_heard);
            if name < first {
                (first, first_heard) = (name, is_heard);
            }
        }
        2 * heard > known || 2 * heard == known && first_heard
    }

    /// Returns true if the node `own` may issue permits for a cold target: it hears a majority, and no
    /// node that others may still ask has a higher `rank` for the target.
    pub fn may_issue(&self, own: &VmId, rank: impl Fn(&VmId) -> u64, now: Instant) -> bool {
        let own_rank = rank(own);
        let is_asked = |member: &Member| now.saturating_duration_since(member.known) < ASKED_TIME;
        let mut asked = self.0.iter().filter(|(_, member)| is_asked(member));
        asked.all(|(name, _)| rank(name) < own_rank) && self.is_majority(own, now)
    }
}

impl Member {
    fn is_heard(&self, time: Duration, now: Instant) -> bool {
        self.heard
            .is_some_and(|at| now.saturating_duration_since(at) < time)
    }
}
