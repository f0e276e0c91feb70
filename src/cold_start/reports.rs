//! Repeats to other nodes that targets are cold, since datagrams get lost and the digest of the list,
//! by which nodes notice other losses, does not contain it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Rounds in which a report is sent first.
const FIRST_ROUNDS: u32 = 4;
/// Rounds between two later reports, until the target is warm.
const LATER_ROUNDS: u32 = 4;

/// The nodes that get a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// The nodes of this data centre, since other data centres read the list themselves.
    DataCentre,
    /// All nodes.
    All,
}

/// A cold target that is reported to other nodes.
#[derive(Clone, Copy, Debug)]
struct Report {
    until: Instant,
    audience: Audience,
    rounds: u32,
}

/// The targets that are reported to other nodes.
#[derive(Debug)]
pub struct ColdReports<K>(BTreeMap<K, Report>);

impl<K> Default for ColdReports<K> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Copy + Ord> ColdReports<K> {
    /// Adds a target that is cold until `until`.
    pub fn add(&mut self, target: K, until: Instant, audience: Audience) {
        let before = self.0.get(&target).map(|report| report.audience);
        let report = Report {
            until,
            audience: before.map_or(audience, |before| before.max(audience)),
            rounds: 0,
        };
        self.0.insert(target, report);
    }

    /// Returns the targets that are reported in this round, with the time that they stay cold.
    pub fn take_round(&mut self, now: Instant) -> Vec<(K, Duration, Audience)> {
        self.0.retain(|_, report| report.until > now);
        let mut due = Vec::new();
        for (target, report) in &mut self.0 {
            report.rounds += 1;
            if report.rounds <= FIRST_ROUNDS || report.rounds.is_multiple_of(LATER_ROUNDS) {
                due.push((*target, report.until - now, report.audience));
            }
        }
        due
    }
}
