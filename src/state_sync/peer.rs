//! What one VM knows about the other end of a link.

use std::time::Duration;
use std::time::Instant;

use crate::ids::DataCentre;
use crate::ids::TicketNumber;
use crate::ids::VmId;
use crate::link::Hello;
use crate::link::Role;
use crate::state_sync::Census;
use crate::state_sync::Feed;
use crate::state_sync::Summary;

/// How often a view is summed up to children and entries.
const NEAR_INTERVAL: Duration = Duration::from_secs(1);
/// How often a view is summed up to relays.
const MESH_INTERVAL: Duration = Duration::from_secs(5);
/// Intervals after which a summary that does not come is missed.
const MISSED: u32 = 3;

/// Where a change came from; decides who is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A parent.
    Above,
    /// A relay.
    Mesh,
    /// A child or an entry.
    Below,
    /// This VM's own control of a group.
    Local,
    /// The table.
    Table,
}

/// How a change is told to one end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    /// The whole change at once.
    Whole,
    /// A summary soon.
    Short,
    /// Not at all.
    Nothing,
}

/// The other end of a link.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its VM.
    pub vm: VmId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// What it is.
    pub role: Role,
    /// Whether this side opened the link.
    pub dialled: bool,
    /// What this side asked to be sent.
    pub up: Feed,
    /// When this side asked last.
    pub asked: Instant,
    /// What the other side asked to be sent.
    pub down: Feed,
    /// What it held when the link was opened.
    pub hello: Hello,
    /// Its last summary, and when it came.
    pub summary: Option<(Instant, Summary)>,
    /// When a summary is due to it.
    pub due: Instant,
    /// Since when its summary differs from what is held here.
    pub doubt: Option<Instant>,
    /// The number in force that an entry told last.
    pub number: Option<TicketNumber>,
    /// Its last count, and when it came.
    pub census: Option<(Instant, Census)>,
    /// The last count sent to it, and when.
    pub counted: Option<(Instant, Census)>,
    /// When it asked for the counts of all data centres.
    pub curious: Option<Instant>,
}

impl Peer {
    /// Starts with what the other end said of itself.
    pub fn new(now: Instant, hello: Hello, dialled: bool) -> Self {
        let down = match hello.role {
            Role::Entry => Feed::Eager,
            Role::Controller => Feed::Off,
        };
        Self {
            vm: hello.vm.clone(),
            data_centre: hello.data_centre.clone(),
            role: hello.role,
            dialled,
            up: Feed::Off,
            asked: now,
            down,
            hello,
            summary: None,
            due: now,
            doubt: None,
            number: None,
            census: None,
            counted: None,
            curious: None,
        }
    }

    /// Returns whether either side is a relay to the other.
    pub fn is_mesh(&self) -> bool {
        self.up == Feed::Mesh || self.down == Feed::Mesh
    }

    /// Returns whether this side takes state from the other as a child.
    pub fn is_parent(&self) -> bool {
        matches!(self.up, Feed::Eager | Feed::Lazy)
    }

    /// Returns whether the other side takes state from this one as a child or an entry.
    pub fn is_child(&self) -> bool {
        matches!(self.down, Feed::Eager | Feed::Lazy)
    }

    /// Returns whether to ask for a feed: another one than before, or one that does not come.
    pub fn is_to_ask(&self, now: Instant, feed: Feed) -> bool {
        let waited = now.saturating_duration_since(self.asked) >= self.interval() * MISSED;
        self.up != feed || (waited && self.recent_summary(now).is_none())
    }

    /// Returns what a change from this end counts as.
    pub fn source(&self) -> Source {
        if self.is_parent() {
            Source::Above
        } else if self.is_mesh() {
            Source::Mesh
        } else {
            Source::Below
        }
    }

    /// Returns how a change is told to this end.
    ///
    /// Relays read the changes of tickets from the table, so a summary will do for them.
    pub fn telling(&self, source: Source, own: &DataCentre, ticket: bool) -> Telling {
        let rises = matches!(source, Source::Below | Source::Local);
        match (self.down, source) {
            (Feed::Eager, _) => Telling::Whole,
            (Feed::Lazy, _) => Telling::Short,
            _ if self.is_parent() && rises => Telling::Whole,
            _ if self.is_mesh() && rises && ticket => Telling::Short,
            _ if self.is_mesh() && rises => Telling::Whole,
            _ if self.is_mesh() && source == Source::Table => Telling::Short,
            _ if self.is_mesh() && self.data_centre == *own => Telling::Short,
            _ => Telling::Nothing,
        }
    }

    /// Returns how often views are summed up over this link.
    pub fn interval(&self) -> Duration {
        match self.is_mesh() {
            true => MESH_INTERVAL,
            false => NEAR_INTERVAL,
        }
    }

    /// Returns its last summary and when it came, unless it is old.
    pub fn recent_summary(&self, now: Instant) -> Option<(Instant, Summary)> {
        let (at, summary) = self.summary?;
        let limit = self.interval() * MISSED;
        (now.saturating_duration_since(at) < limit).then_some((at, summary))
    }

    /// Takes a summary of the other end; `held` is this side's.
    pub fn summed_up(&mut self, now: Instant, theirs: Summary, held: &Summary) {
        self.summary = Some((now, theirs));
        if theirs.matches(held) {
            self.doubt = None;
        } else {
            self.doubt.get_or_insert(now);
        }
    }

    /// Returns whether the other end has differed for so long that it should be asked.
    pub fn is_doubtful(&self, now: Instant, held: &Summary, wait: Duration) -> bool {
        let differs = self
            .summary
            .is_some_and(|(_, theirs)| !theirs.matches(held));
        let waited = |since| now.saturating_duration_since(since) >= wait;
        differs && self.doubt.is_some_and(waited)
    }
}
