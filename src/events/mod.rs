//! The numbered events of the log; `docs/EVENTS.md` is their catalogue.

mod init;

use std::fmt;

use log::Level;
use strum::EnumIter;
use strum::IntoStaticStr;

pub use init::LogError;
pub use init::init;

/// Everything that the programs log. Numbers: 100 processes and settings, 200 tickets,
/// 300 ownership, 400 membership and spreading, 500 routing and traffic, 600 the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum Event {
    /// A program started.
    Started = 100,
    /// A program begins a graceful shutdown.
    Draining = 101,
    /// A program ended.
    Stopped = 102,
    /// An operator's request did not carry the token.
    TokenRefused = 103,
    /// The metrics could not be written.
    MetricsFailed = 104,
    /// The settings file changed.
    SettingsReloaded = 105,
    /// A VM took a newer ticket into force.
    TicketInForce = 200,
    /// A ticket was accepted.
    TicketAccepted = 201,
    /// A ticket was filed again after it had been accepted.
    TicketRepeated = 202,
    /// A ticket was refused.
    TicketRefused = 203,
    /// It is not known whether a filed ticket was accepted.
    TicketUnresolved = 204,
    /// A node took newer rules into force.
    RulesInForce = 205,
    /// A VM became the holder of a group.
    GroupTaken = 300,
    /// Another VM became the holder of a group that this VM held.
    GroupLost = 301,
    /// A target does not answer; its shards are given to others once its lease lapsed.
    TargetLost = 302,
    /// Another process answers in a target's place; it gets the shards back once the lease of the
    /// earlier one lapsed.
    TargetRestarted = 303,
    /// More targets are silent than may be given up at once; the shards of the others wait.
    LossSpared = 304,
    /// Shards get new owners, by one write to the table.
    ShardsPlaced = 305,
    /// Planned moves began.
    MovesStarted = 306,
    /// A target refuses a grant because it released the fence; the fence is raised.
    GrantDenied = 307,
    /// A row of the table cannot be read.
    RowMalformed = 308,
    /// Keys have another owner, or their owner holds them now.
    KeysMoved = 309,
    /// A target did not carry out an order, as far as known.
    OrderFailed = 310,
    /// A link to a peer was lost.
    LinkLost = 400,
    /// A node was heard for the first time.
    PeerSeen = 401,
    /// A node has been silent for long.
    PeerLost = 402,
    /// A request was refused.
    RequestRefused = 500,
    /// A graceful shutdown came to its limit and cut work in flight.
    WorkCut = 501,
    /// An entry's view was not confirmed for longer than the stale limit.
    ViewStale = 502,
    /// A request met a fault of the program; its connection was closed, the others go on.
    RequestFailed = 503,
    /// A target did not answer a request soundly.
    AttemptFailed = 504,
    /// Requests alike crashed several targets and are refused for a while.
    RequestQuarantined = 510,
    /// A target failed repeatedly and gets no requests for a while.
    TargetEjected = 511,
    /// A target joined, is leaving or is gone.
    TargetChanged = 512,
    /// The table service does not answer.
    TableDown = 600,
    /// The table service answers again.
    TableUp = 601,
    /// A row could not be written, or it is not known whether it was.
    TableWriteFailed = 602,
}

impl Event {
    /// Returns the event's number.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the level that the event is logged at.
    pub fn level(self) -> Level {
        match self {
            Self::TokenRefused | Self::MetricsFailed => Level::Warn,
            Self::TicketUnresolved => Level::Warn,
            Self::TargetLost | Self::LossSpared => Level::Warn,
            Self::RowMalformed => Level::Error,
            Self::LinkLost => Level::Warn,
            Self::WorkCut | Self::ViewStale => Level::Warn,
            Self::RequestFailed => Level::Error,
            Self::RequestQuarantined | Self::TargetEjected => Level::Warn,
            Self::RequestRefused => Level::Debug,
            Self::TableDown | Self::TableWriteFailed => Level::Warn,
            Self::OrderFailed | Self::PeerLost => Level::Warn,
            _ => Level::Info,
        }
    }
}

/// Logs an event with its details.
pub fn record(event: Event, details: fmt::Arguments<'_>) {
    let name: &str = event.into();
    log::log!(event.level(), "{} {name} {details}", event.number());
}
