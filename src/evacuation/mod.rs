//! Which data centres the operators have evacuated, since when this node knows, and which requests
//! may still be sent there.
//!
//! The state is learned from reads of the operators' table and from other nodes. Both carry the
//! position in the table's history at which the rows were read, and the newest position applies.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use strum::IntoStaticStr;

use crate::ids::DataCentre;
use crate::platform::Generation;

/// Fraction of the bound, counted from when this node learned of an evacuation, for which keyed
/// requests still go to the owners there.
const KEYED_FRACTION: f64 = 0.5;
/// The same, counted from when this node's state was last known to be current: an evacuation cannot
/// have been acknowledged earlier. The rest is for requests that are in transit at the end.
const CONFIRMED_FRACTION: f64 = 0.9;
/// How long an evacuation that is missing after the table was restored from an older copy stays in
/// force. The operators write lost rows again, as targets do with their entries, which are withheld
/// for the same time.
const RESTORE_GRACE: Duration = Duration::from_secs(4);
/// Upper limit of the bound, so that it can be added to the clock.
const MAX_BOUND: Duration = Duration::from_secs(3_600);
/// How long a change is also reported to other data centres, which usually have read it themselves.
const REPORTED_TIME: Duration = Duration::from_secs(30);
/// Maximum size of the names in a report, in bytes, so that heartbeats stay within a datagram.
const MAX_REPORTED_BYTES: usize = 256;
/// Size of a name in a report in addition to its text, in bytes.
const NAME_OVERHEAD: usize = 2;

/// Position in the history of the operators' table. Restored data gives out versions again, so that
/// positions are ordered by generation first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The generation of the data.
    #[serde(rename = "g")]
    pub generation: Generation,
    /// The version up to which the rows are current.
    #[serde(rename = "v")]
    pub version: u64,
}

/// The evacuation rows that a read of the operators' table returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rows {
    /// All rows: exactly these data centres are evacuated.
    Whole(BTreeSet<DataCentre>),
    /// The rows that changed since the previous read, by data centre; `false` stands for a row that
    /// was removed.
    Changed(BTreeMap<DataCentre, bool>),
}

/// What a node reports to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The position at which the rows were read.
    #[serde(rename = "p")]
    pub position: Position,
    /// Time since the position was last known to be the newest, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// The evacuated data centres; `None` if there are too many for a datagram.
    #[serde(rename = "d")]
    pub data_centres: Option<Vec<DataCentre>>,
}

/// What became of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Merged {
    /// The report is not newer than this node's state.
    Known,
    /// The report is newer and replaced this node's state, which changed the evacuations like this.
    Applied(Vec<Change>),
    /// The report is newer, but does not contain the list: the table has to be read.
    Incomplete,
}

/// A change of one evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The data centre.
    pub data_centre: DataCentre,
    /// What happened.
    pub kind: ChangeKind,
}

/// What happened to an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeKind {
    /// This node learned of the evacuation.
    Begins,
    /// Keyed requests are no longer sent to the data centre.
    KeyedEnds,
    /// The evacuation has ended.
    Ends,
}

/// Which requests may be sent to the targets of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// All requests.
    All,
    /// Only keyed requests, whose keys have not moved yet.
    Keyed,
    /// No requests.
    None,
}

/// One evacuation.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// When keyed requests end.
    keyed_until: Instant,
    /// Whether the end of keyed requests was returned as a change.
    keyed_ended: bool,
    /// When the evacuation ends unless its row is written again; set if the row is missing after a
    /// restore.
    lost_until: Option<Instant>,
}

/// The evacuations that a node knows.
#[derive(Debug)]
pub struct Evacuations {
    /// How long after the acknowledgement requests may still reach a data centre; `None` if the
    /// function is off.
    bound: Option<Duration>,
    position: Option<Position>,
    /// When this state was last known to be the newest one.
    confirmed: Option<Instant>,
    /// When an evacuation last began or ended.
    changed: Option<Instant>,
    current: BTreeMap<DataCentre, Evacuation>,
}

impl Evacuations {
    /// Creates an instance that knows of no evacuation; without a bound, it never will.
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            bound: bound.map(|bound| bound.min(MAX_BOUND)),
            position: None,
            confirmed: None,
            changed: None,
            current: BTreeMap::new(),
        }
    }

    /// Returns which requests may be sent to the targets of a data centre.
    pub fn access(&self, data_centre: &DataCentre, now: Instant) -> Access {
        match self.current.get(data_centre) {
            None => Access::All,
            Some(evacuation) if now < evacuation.keyed_until => Access::Keyed,
            Some(_) => Access::None,
        }
    }

    /// Returns true if no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// Applies the rows that this node read at a position.
    pub fn record_rows(&mut self, position: Position, rows: Rows, now: Instant) -> Vec<Change> {
        let Some(bound) = self.bound else {
            return Vec::new();
        };
        let is_newer = self.position.is_none_or(|known| position > known);
        let mut changes = Vec::new();
        if is_newer {
            let mut listed = BTreeSet::new();
            match rows {
                Rows::Whole(all) => listed = all,
                Rows::Changed(changed) => {
                    listed.extend(self.listed().cloned());
                    for (data_centre, is_requested) in changed {
                        if is_requested {
                            listed.insert(data_centre);
                        } else {
                            listed.remove(&data_centre);
                            changes.extend(self.end(&data_centre));
                        }
                    }
                }
            }
            changes.extend(self.replace(position, listed, bound, now));
        }
        // The answer to a delayed call shows an older position.
        if self.position == Some(position) {
            self.confirmed = Some(now);
        }
        self.record_changes(&changes, now);
        changes
    }

    /// Applies what another node reported.
    pub fn merge(&mut self, report: &Report, now: Instant) -> Merged {
        let Some(bound) = self.bound else {
            return Merged::Known;
        };
        let is_newer = self.position.is_none_or(|known| report.position > known);
        let mut merged = Merged::Known;
        if is_newer {
            let Some(listed) = &report.data_centres else {
                return Merged::Incomplete;
            };
            let listed = listed.iter().cloned().collect();
            let changes = self.replace(report.position, listed, bound, now);
            self.record_changes(&changes, now);
            merged = Merged::Applied(changes);
        }
        // No row has changed between the reported position and the time of its confirmation, so this
        // node's state, which is not older, was the newest then, too.
        let generation = report.position.generation;
        if self
            .position
            .is_some_and(|known| known.generation == generation)
        {
            let age = Duration::from_millis(report.age_ms.into());
            self.confirmed = self.confirmed.max(now.checked_sub(age));
        }
        merged
    }

    /// Returns what to report to the nodes of the same data centre.
    pub fn report(&self, now: Instant) -> Option<Report> {
        let position = self.position?;
        let age = now.saturating_duration_since(self.confirmed?).as_millis();
        let size = |data_centre: &DataCentre| data_centre.as_str().len() + NAME_OVERHEAD;
        let fits = self.listed().map(size).sum::<usize>() <= MAX_REPORTED_BYTES;
        Some(Report {
            position,
            age_ms: age.min(u32::MAX.into()) as u32,
            data_centres: fits.then(|| self.listed().cloned().collect()),
        })
    }

    /// Returns what to report to nodes of other data centres, whose traffic is billed: nothing unless a
    /// data centre is evacuated or was until recently.
    pub fn remote_report(&self, now: Instant) -> Option<Report> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORTED_TIME;
        let is_due = !self.current.is_empty() || self.changed.is_some_and(is_recent);
        is_due.then(|| self.report(now)).flatten()
    }

    /// Returns the changes that are due by time.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let is_lost = |evacuation: &Evacuation| evacuation.lost_until.is_some_and(|at| now >= at);
        let lost = self
            .current
            .iter()
            .filter(|(_, evacuation)| is_lost(evacuation));
        let lost: Vec<_> = lost.map(|(data_centre, _)| data_centre.clone()).collect();
        let mut changes: Vec<_> = lost.iter().filter_map(|lost| self.end(lost)).collect();
        self.record_changes(&changes, now);
        for (data_centre, evacuation) in &mut self.current {
            if now >= evacuation.keyed_until && !evacuation.keyed_ended {
                evacuation.keyed_ended = true;
                changes.push(Change {
                    data_centre: data_centre.clone(),
                    kind: ChangeKind::KeyedEnds,
                });
            }
        }
        changes
    }

    /// Returns the data centres whose rows the table contains.
    fn listed(&self) -> impl Iterator<Item = &DataCentre> {
        let listed = self
            .current
            .iter()
            .filter(|(_, evacuation)| evacuation.lost_until.is_none());
        listed.map(|(data_centre, _)| data_centre)
    }

    /// Replaces the state by that at a newer position.
    fn replace(
        &mut self,
        position: Position,
        listed: BTreeSet<DataCentre>,
        bound: Duration,
        now: Instant,
    ) -> Vec<Change> {
        let known = self.position.replace(position);
        let is_restored = known.is_some_and(|known| known.generation < position.generation);
        let mut changes = Vec::new();
        let missing = self.current.keys().filter(|known| !listed.contains(*known));
        for data_centre in missing.cloned().collect::<Vec<_>>() {
            let Some(evacuation) = self.current.get_mut(&data_centre) else {
                continue;
            };
            if is_restored {
                evacuation.lost_until.get_or_insert(now + RESTORE_GRACE);
            } else if evacuation.lost_until.is_none() {
                changes.extend(self.end(&data_centre));
            }
        }
        let keyed_until = self.confirmed.map_or(now, |confirmed| {
            let by_confirmed = confirmed + bound.mul_f64(CONFIRMED_FRACTION);
            by_confirmed.min(now + bound.mul_f64(KEYED_FRACTION))
        });
        for data_centre in listed {
            if let Some(evacuation) = self.current.get_mut(&data_centre) {
                evacuation.lost_until = None;
                continue;
            }
            let evacuation = Evacuation {
                keyed_until,
                keyed_ended: false,
                lost_until: None,
            };
            self.current.insert(data_centre.clone(), evacuation);
            changes.push(Change {
                data_centre,
                kind: ChangeKind::Begins,
            });
        }
        changes
    }

    fn end(&mut self, data_centre: &DataCentre) -> Option<Change> {
        self.current.remove(data_centre)?;
        Some(Change {
            data_centre: data_centre.clone(),
            kind: ChangeKind::Ends,
        })
    }

    fn record_changes(&mut self, changes: &[Change], now: Instant) {
        if !changes.is_empty() {
            self.changed = Some(now);
        }
    }
}
