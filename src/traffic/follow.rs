//! Receives the routing state from one controller at a time, and switches to the next on failure.
//!
//! This is a state machine without I/O: each event returns the [`Action`]s that the caller must
//! execute.

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

/// The link is considered lost if nothing is received for this long.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two pings to the controller.
pub const PING_PERIOD: Duration = Duration::from_millis(500);
/// Time between two reports to the controller.
pub const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time between two reports that include request rates and the hottest keys.
pub const HOT_KEYS_PERIOD: Duration = Duration::from_secs(5);
/// How long opening a link may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const MAX_REPORTED_KEYS: usize = 32;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// An action that the caller of [`Follower`] must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a link to this address, then call [`Follower::opened`] or [`Follower::lost`].
    Open(SocketAddr),
    /// Close the link.
    Drop,
    /// Send a message on the open link.
    Send(Message),
    /// Use this view for routing from now on.
    Publish(Arc<View>),
    /// Merge a report of requests that crash targets into that of the router.
    Crashes(CrashReport),
    /// Set the entry's rank, which determines its share of each target's connections.
    Rank(EntryRank),
}

/// Identity of the entry, sent to each controller when a link opens.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the VM.
    pub vm: VmId,
    /// Random ID of this process start.
    pub boot: BootId,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentre,
}

/// State machine that keeps a [`View`] up to date from one controller at a time.
#[derive(Debug)]
pub struct Follower {
    identity: Identity,
    controllers: Vec<SocketAddr>,
    stale_limit: Duration,
    view: View,
    link: LinkState,
    controller_index: usize,
    retry_delay: Duration,
    last_confirmed: Option<Instant>,
    last_key_report: Instant,
    ping_count: u64,
}

#[derive(Debug)]
enum LinkState {
    Down { retry: Instant },
    Connecting { since: Instant },
    Up(UpLink),
}

#[derive(Debug)]
struct UpLink {
    /// Whether the controller reported on this link that its own view was confirmed.
    trusted: bool,
    last_received: Instant,
    last_ping: Instant,
    last_report: Instant,
}

impl Follower {
    /// Creates a follower with an empty view. `controllers` are tried in this order; the view is
    /// stale if no controller confirmed it for longer than `stale_limit`.
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
            controller_index: 0,
            retry_delay: MIN_RETRY_DELAY,
            last_confirmed: None,
            last_key_report: now,
            ping_count: 0,
        }
    }

    /// Returns the address of the controller that is connected or tried next.
    pub fn controller(&self) -> SocketAddr {
        self.controllers[self.controller_index % self.controllers.len()]
    }

    /// Returns true if a controller confirmed the view within the stale limit.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.last_confirmed
            .is_some_and(|at| age(at) <= self.stale_limit)
    }

    /// Handles a link that was opened; returns the hello message to send.
    pub fn opened(&mut self, now: Instant) -> Vec<Action> {
        self.link = LinkState::Up(UpLink {
            trusted: false,
            last_received: now,
            last_ping: now,
            last_report: now,
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

    /// Handles a link that broke or could not be opened; the next controller is tried later.
    pub fn lost(&mut self, now: Instant) -> Vec<Action> {
        if !matches!(self.link, LinkState::Down { .. }) {
            self.controller_index = (self.controller_index + 1) % self.controllers.len();
            let retry = now + self.retry_delay;
            self.link = LinkState::Down { retry };
            self.retry_delay = MAX_RETRY_DELAY.min(self.retry_delay * 2);
        }
        vec![Action::Drop]
    }

    /// Handles a message from the controller.
    pub fn received(&mut self, message: Message, now: Instant) -> Vec<Action> {
        let LinkState::Up(up) = &mut self.link else {
            return Vec::new();
        };
        up.last_received = now;
        self.retry_delay = MIN_RETRY_DELAY;
        match message {
            Message::Changes(changes) => self.apply(changes, now),
            Message::Ping(number) => vec![Action::Send(Message::Pong(number))],
            Message::Digest(remote) => self.apply_digest(&remote),
            Message::Crashes(report) => vec![Action::Crashes(report)],
            Message::Rank(rank) => vec![Action::Rank(rank)],
            Message::Summary(remote) => self.apply_summary(&remote, now),
            _ => Vec::new(),
        }
    }

    /// Handles the passing of time: opens links, detects timeouts, and sends pings and reports.
    ///
    /// `key_loads` is called when a report of request rates is due. Its argument is the time since
    /// the previous one.
    pub fn tick(
        &mut self,
        now: Instant,
        key_loads: impl FnOnce(Duration) -> Vec<ServiceLoads>,
    ) -> Vec<Action> {
        match &mut self.link {
            LinkState::Down { retry } if now >= *retry => {
                self.link = LinkState::Connecting { since: now };
                vec![Action::Open(self.controller())]
            }
            LinkState::Down { .. } => Vec::new(),
            LinkState::Connecting { since } if now >= *since + CONNECT_TIMEOUT => self.lost(now),
            LinkState::Connecting { .. } => Vec::new(),
            LinkState::Up(up) if now >= up.last_received + LINK_TIMEOUT => self.lost(now),
            LinkState::Up(up) => {
                let mut actions = Vec::new();
                if now >= up.last_ping + PING_PERIOD {
                    up.last_ping = now;
                    self.ping_count += 1;
                    actions.push(Action::Send(Message::Ping(self.ping_count)));
                }
                if now >= up.last_report + REPORT_PERIOD {
                    up.last_report = now;
                    let elapsed = now.saturating_duration_since(self.last_key_report);
                    let mut report = EntryReport {
                        number: self.view.state.number,
                        ..EntryReport::default()
                    };
                    if elapsed >= HOT_KEYS_PERIOD {
                        self.last_key_report = now;
                        add_key_loads(&mut report, key_loads(elapsed));
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
        // A controller whose changes raise the ticket number has at least the state that the entry
        // has now, so its confirmation covers the view.
        let raised = digest.number > before.number;
        if raised && !gap && self.is_trusted() {
            self.last_confirmed = Some(now);
        }
        if gap {
            actions.push(Action::Send(Message::Digest(digest)));
        }
        actions
    }

    fn is_trusted(&self) -> bool {
        matches!(&self.link, LinkState::Up(up) if up.trusted)
    }

    /// Sends the changes that the controller lacks, and requests those that the entry lacks.
    fn apply_digest(&self, remote: &ViewDigest) -> Vec<Action> {
        let mut actions = Vec::new();
        let changes = self.view.changes_since(remote);
        if !changes.is_empty() {
            actions.push(Action::Send(Message::Changes(changes)));
        }
        let digest = self.view.digest();
        let mut versions = remote.groups.iter();
        let lacks = versions.any(|(group, version)| digest.groups.get(group) < Some(version));
        if lacks || remote.number > digest.number {
            actions.push(Action::Send(Message::Digest(digest)));
        }
        actions
    }

    /// Treats the view as confirmed if the controller's view is confirmed and has the same ticket
    /// number; requests the differences if the summaries differ.
    fn apply_summary(&mut self, remote: &Summary, now: Instant) -> Vec<Action> {
        let local = Summary::of(&self.view, None);
        if let LinkState::Up(up) = &mut self.link {
            up.trusted |= remote.age_ms.is_some();
        }
        let is_confirmed = local.number > TicketNumber(0) && remote.age_ms.is_some();
        if is_confirmed && remote.number == local.number {
            self.last_confirmed = Some(now);
        }
        if remote.matches(&local) {
            return Vec::new();
        }
        vec![Action::Send(Message::Digest(self.view.digest()))]
    }
}

fn add_key_loads(report: &mut EntryReport, loads: Vec<ServiceLoads>) {
    for ServiceLoads { service, loads } in loads {
        let hottest = loads.keys.iter().take(MAX_REPORTED_KEYS).map(|key| HotKey {
            service: service.clone(),
            hash: key.hash,
            rate: key.rate,
        });
        report.hot_keys.extend(hottest);
        report.rates.insert(service, loads.total);
    }
}
