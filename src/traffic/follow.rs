//! Following a controller: which one, whether it is alive, and what it sends.
//!
//! A state machine without sockets: each event returns what the adapter is to do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::TicketNumber;
use crate::ids::VmId;
use crate::link::EntryReport;
use crate::link::Hello;
use crate::link::HotKey;
use crate::link::Message;
use crate::link::Role;
use crate::route::CrashReport;
use crate::route::EntryRank;
use crate::route::ServiceLoads;
use crate::state_sync::Summary;
use crate::view::View;
use crate::view::ViewChange;
use crate::view::ViewDigest;

/// How long a link may stay silent.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1500);
/// The time between pings.
pub const PING_PERIOD: Duration = Duration::from_millis(500);
/// The time between reports.
pub const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// The time between reports that tell the hottest keys.
pub const HOT_KEYS_PERIOD: Duration = Duration::from_secs(5);
/// How long opening a link may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const MAX_REPORTED_KEYS: usize = 32;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What the adapter is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a link; report [`Follower::opened`] or [`Follower::lost`].
    Open(SocketAddr),
    /// Drop the link.
    Drop,
    /// Send a message on the link.
    Send(Message),
    /// Route by this view.
    Publish(Arc<View>),
    /// Learn of requests that crash targets.
    Crashes(CrashReport),
    /// Hold to the shares of this position.
    Rank(EntryRank),
}

/// Who follows.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The VM.
    pub vm: VmId,
    /// The process.
    pub boot: BootId,
    /// Where the VM runs.
    pub data_centre: DataCentre,
}

/// Follows one controller at a time.
#[derive(Debug)]
pub struct Follower {
    identity: Identity,
    controllers: Vec<SocketAddr>,
    stale_limit: Duration,
    view: View,
    link: LinkState,
    current: usize,
    pause: Duration,
    confirmed: Option<Instant>,
    counted: Instant,
    pings: u64,
}

#[derive(Debug)]
enum LinkState {
    Down { retry: Instant },
    Opening { since: Instant },
    Up(UpLink),
}

#[derive(Debug)]
struct UpLink {
    /// Whether the controller said that it was itself confirmed.
    trusted: bool,
    heard: Instant,
    pinged: Instant,
    reported: Instant,
}

impl Follower {
    /// Starts without a view; `controllers` are in order of preference.
    pub fn new(
        identity: Identity,
        controllers: Vec<SocketAddr>,
        stale_limit: Duration,
        now: Instant,
    ) -> Self {
        Self {
            identity,
            controllers,
            stale_limit,
            view: View::default(),
            link: LinkState::Down { retry: now },
            current: 0,
            pause: MIN_RETRY_DELAY,
            confirmed: None,
            counted: now,
            pings: 0,
        }
    }

    /// Returns the controller that is followed or tried.
    pub fn controller(&self) -> SocketAddr {
        self.controllers[self.current % self.controllers.len()]
    }

    /// Returns whether a view is held that a controller confirmed recently enough.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.confirmed.is_some_and(|at| age(at) <= self.stale_limit)
    }

    /// The link is open.
    pub fn opened(&mut self, now: Instant) -> Vec<Action> {
        self.link = LinkState::Up(UpLink {
            trusted: false,
            heard: now,
            pinged: now,
            reported: now,
        });
        let Identity {
            vm,
            boot,
            data_centre,
        } = self.identity.clone();
        let hello = Hello {
            vm,
            boot,
            data_centre,
            role: Role::Entry,
            digest: self.view.digest(),
        };
        vec![Action::Send(Message::Hello(hello))]
    }

    /// The link could not be opened, or broke.
    pub fn lost(&mut self, now: Instant) -> Vec<Action> {
        if !matches!(self.link, LinkState::Down { .. }) {
            self.current = (self.current + 1) % self.controllers.len();
            let retry = now + self.pause;
            self.link = LinkState::Down { retry };
            self.pause = MAX_RETRY_DELAY.min(self.pause * 2);
        }
        vec![Action::Drop]
    }

    /// A message came.
    pub fn received(&mut self, message: Message, now: Instant) -> Vec<Action> {
        let LinkState::Up(up) = &mut self.link else {
            return Vec::new();
        };
        up.heard = now;
        self.pause = MIN_RETRY_DELAY;
        match message {
            Message::Changes(changes) => self.apply(changes, now),
            Message::Ping(number) => vec![Action::Send(Message::Pong(number))],
            Message::Digest(theirs) => self.compare(&theirs),
            Message::Crashes(report) => vec![Action::Crashes(report)],
            Message::Rank(rank) => vec![Action::Rank(rank)],
            Message::Summary(theirs) => self.take_summary(&theirs, now),
            _ => Vec::new(),
        }
    }

    /// Time passed. `counts` is asked for the requests of the time given when they are due.
    pub fn tick(
        &mut self,
        now: Instant,
        counts: impl FnOnce(Duration) -> Vec<ServiceLoads>,
    ) -> Vec<Action> {
        match &mut self.link {
            LinkState::Down { retry } if now >= *retry => {
                self.link = LinkState::Opening { since: now };
                vec![Action::Open(self.controller())]
            }
            LinkState::Down { .. } => Vec::new(),
            LinkState::Opening { since } if now >= *since + CONNECT_TIMEOUT => self.lost(now),
            LinkState::Opening { .. } => Vec::new(),
            LinkState::Up(up) if now >= up.heard + LINK_TIMEOUT => self.lost(now),
            LinkState::Up(up) => {
                let mut actions = Vec::new();
                if now >= up.pinged + PING_PERIOD {
                    up.pinged = now;
                    self.pings += 1;
                    actions.push(Action::Send(Message::Ping(self.pings)));
                }
                if now >= up.reported + REPORT_PERIOD {
                    up.reported = now;
                    let passed = now.saturating_duration_since(self.counted);
                    let mut report = EntryReport {
                        number: self.view.state.number,
                        ..EntryReport::default()
                    };
                    if passed >= HOT_KEYS_PERIOD {
                        self.counted = now;
                        tell_keys(&mut report, counts(passed));
                    }
                    actions.push(Action::Send(Message::Report(report)));
                }
                actions
            }
        }
    }

    fn apply(&mut self, changes: Vec<ViewChange>, now: Instant) -> Vec<Action> {
        let before = self.view.digest();
        let mut gap = false;
        for change in changes {
            gap |= !self.view.apply(change);
        }
        let mut actions = Vec::new();
        let digest = self.view.digest();
        if digest != before {
            actions.push(Action::Publish(Arc::new(self.view.clone())));
        }
        // What raises the view comes from a controller that holds at least as much.
        let raised = digest.number > before.number;
        if raised && !gap && self.is_trusted() {
            self.confirmed = Some(now);
        }
        if gap {
            actions.push(Action::Send(Message::Digest(digest)));
        }
        actions
    }

    fn is_trusted(&self) -> bool {
        matches!(&self.link, LinkState::Up(up) if up.trusted)
    }

    /// Sends what the controller lacks, and asks for what the entry lacks.
    fn compare(&self, theirs: &ViewDigest) -> Vec<Action> {
        let mut actions = Vec::new();
        let changes = self.view.changes_since(theirs);
        if !changes.is_empty() {
            actions.push(Action::Send(Message::Changes(changes)));
        }
        let digest = self.view.digest();
        let mut versions = theirs.groups.iter();
        let lacks = versions.any(|(group, version)| digest.groups.get(group) < Some(version));
        if lacks || theirs.number > digest.number {
            actions.push(Action::Send(Message::Digest(digest)));
        }
        actions
    }

    /// A controller that was itself confirmed stands behind the number that it holds.
    fn take_summary(&mut self, theirs: &Summary, now: Instant) -> Vec<Action> {
        let held = Summary::of(&self.view, None);
        if let LinkState::Up(up) = &mut self.link {
            up.trusted |= theirs.age_ms.is_some();
        }
        let is_known = held.number > TicketNumber(0) && theirs.age_ms.is_some();
        if is_known && theirs.number == held.number {
            self.confirmed = Some(now);
        }
        if theirs.matches(&held) {
            return Vec::new();
        }
        vec![Action::Send(Message::Digest(self.view.digest()))]
    }
}

fn tell_keys(report: &mut EntryReport, counts: Vec<ServiceLoads>) {
    for ServiceLoads { service, loads } in counts {
        let hottest = loads.keys.iter().take(MAX_REPORTED_KEYS).map(|key| HotKey {
            service: service.clone(),
            hash: key.hash,
            rate: key.rate,
        });
        report.hot_keys.extend(hottest);
        report.rates.insert(service, loads.total);
    }
}
