//! State of one open link: the subscriptions in both directions and what the peer last reported.

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

/// Interval between two summaries to children and entries.
const TREE_SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two summaries to relays.
const MESH_SUMMARY_INTERVAL: Duration = Duration::from_secs(5);
/// Summary intervals after which the last summary received has expired.
const MAX_SUMMARY_AGE_INTERVALS: u32 = 3;

/// Where a change came from, which decides to whom it is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A parent in the tree.
    Parent,
    /// Another relay.
    Mesh,
    /// A child in the tree or an entry.
    Child,
    /// The controller of a group on this VM, or a read of the table by a VM that is no relay.
    Local,
    /// A read of the table by this relay.
    Table,
}

/// How a change is forwarded over one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarding {
    /// Sends the full change now.
    Change,
    /// Sends a summary soon.
    Summary,
    /// Sends nothing before the next periodic summary.
    Nothing,
}

/// State of one open link.
#[derive(Clone, Debug)]
pub struct Peer {
    /// VM at the other end.
    pub vm: VmId,
    /// Data centre of that VM.
    pub data_centre: DataCentre,
    /// Kind of process at the other end.
    pub role: Role,
    /// Whether this side opened the link.
    pub dialled: bool,
    /// Feed that this side last subscribed to.
    pub received_feed: Feed,
    /// When this side last subscribed.
    pub subscribed_at: Instant,
    /// Feed that the peer subscribed to.
    pub sent_feed: Feed,
    /// Hello received when the link opened.
    pub hello: Hello,
    /// Last summary received, and when it was received.
    pub summary: Option<(Instant, Summary)>,
    /// When the next summary to the peer is due.
    pub summary_due: Instant,
    /// When a summary received first differed from this side's view; `None` while they match.
    pub mismatch_since: Option<Instant>,
    /// Ticket number last reported by the peer, if it is an entry.
    pub entry_number: Option<TicketNumber>,
    /// Last census received, and when it was received.
    pub census: Option<(Instant, Census)>,
    /// Last census sent to the peer, and when it was sent.
    pub census_sent: Option<(Instant, Census)>,
    /// When the peer last queried the census of all data centres.
    pub census_queried_at: Option<Instant>,
}

impl Peer {
    /// Creates the state of a new link from the hello received over it.
    pub fn new(now: Instant, hello: Hello, dialled: bool) -> Self {
        let sent_feed = match hello.role {
            Role::Entry => Feed::Eager,
            Role::Controller => Feed::Off,
        };
        Self {
            vm: hello.vm.clone(),
            data_centre: hello.data_centre.clone(),
            role: hello.role,
            dialled,
            received_feed: Feed::Off,
            subscribed_at: now,
            sent_feed,
            hello,
            summary: None,
            summary_due: now,
            mismatch_since: None,
            entry_number: None,
            census: None,
            census_sent: None,
            census_queried_at: None,
        }
    }

    /// Returns true if either side subscribes to the other as a relay.
    pub fn is_mesh(&self) -> bool {
        self.received_feed == Feed::Mesh || self.sent_feed == Feed::Mesh
    }

    /// Returns true if the peer is a parent of this VM in the tree.
    pub fn is_parent(&self) -> bool {
        matches!(self.received_feed, Feed::Eager | Feed::Lazy)
    }

    /// Returns true if the peer is a child of this VM in the tree, or an entry.
    pub fn is_child(&self) -> bool {
        matches!(self.sent_feed, Feed::Eager | Feed::Lazy)
    }

    /// Returns true if this side must subscribe to the feed: it differs from the last one, or the
    /// last subscription had no effect, since no recent summary was received.
    pub fn needs_subscription(&self, now: Instant, feed: Feed) -> bool {
        let timeout = self.summary_interval() * MAX_SUMMARY_AGE_INTERVALS;
        let timed_out = now.saturating_duration_since(self.subscribed_at) >= timeout;
        self.received_feed != feed || (timed_out && self.recent_summary(now).is_none())
    }

    /// Returns the source of changes received over this link.
    pub fn source(&self) -> Source {
        if self.is_parent() {
            Source::Parent
        } else if self.is_mesh() {
            Source::Mesh
        } else {
            Source::Child
        }
    }

    /// Returns how a change from `source` is forwarded over this link.
    ///
    /// Relays read changes made by tickets from the table, so they only get a summary of these.
    pub fn forwarding(&self, source: Source, own: &DataCentre, ticket: bool) -> Forwarding {
        let from_subtree = matches!(source, Source::Child | Source::Local);
        match (self.sent_feed, source) {
            (Feed::Eager, _) => Forwarding::Change,
            (Feed::Lazy, _) => Forwarding::Summary,
            _ if self.is_parent() && from_subtree => Forwarding::Change,
            _ if self.is_mesh() && from_subtree && ticket => Forwarding::Summary,
            _ if self.is_mesh() && from_subtree => Forwarding::Change,
            _ if self.is_mesh() && source == Source::Table => Forwarding::Summary,
            _ if self.is_mesh() && self.data_centre == *own => Forwarding::Summary,
            _ => Forwarding::Nothing,
        }
    }

    /// Returns the interval between two summaries over this link.
    pub fn summary_interval(&self) -> Duration {
        match self.is_mesh() {
            true => MESH_SUMMARY_INTERVAL,
            false => TREE_SUMMARY_INTERVAL,
        }
    }

    /// Returns the last summary received and when, unless it expired.
    pub fn recent_summary(&self, now: Instant) -> Option<(Instant, Summary)> {
        let (at, summary) = self.summary?;
        let limit = self.summary_interval() * MAX_SUMMARY_AGE_INTERVALS;
        (now.saturating_duration_since(at) < limit).then_some((at, summary))
    }

    /// Records a summary received from the peer; `held` is this side's own.
    pub fn record_summary(&mut self, now: Instant, theirs: Summary, held: &Summary) {
        self.summary = Some((now, theirs));
        if theirs.matches(held) {
            self.mismatch_since = None;
        } else {
            self.mismatch_since.get_or_insert(now);
        }
    }

    /// Returns true if the peer's summaries have differed from this side's view for `timeout` or
    /// longer.
    pub fn mismatch_timed_out(&self, now: Instant, held: &Summary, timeout: Duration) -> bool {
        let differs = self
            .summary
            .is_some_and(|(_, theirs)| !theirs.matches(held));
        let timed_out = |since| now.saturating_duration_since(since) >= timeout;
        differs && self.mismatch_since.is_some_and(timed_out)
    }
}
