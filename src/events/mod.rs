//! The numbered events of the log, catalogued in `docs/EVENTS.md`.

mod init;

use std::fmt;

use log::Level;
use strum::EnumIter;
use strum::IntoStaticStr;

pub use init::LogError;
pub use init::init;

/// All events that the programs log, by number: 100 processes and settings, 200 tickets,
/// 300 ownership, 400 membership and state synchronisation, 500 routing and traffic,
/// 600 the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum Event {
    /// A program started.
    Started = 100,
    /// A program began a graceful shutdown.
    Draining = 101,
    /// A program ended.
    Stopped = 102,
    /// An operator's request had no valid token.
    TokenRefused = 103,
    /// The metrics could not be encoded as text.
    MetricsFailed = 104,
    /// The settings file changed.
    SettingsReloaded = 105,
    /// A VM applied a newer ticket.
    TicketInForce = 200,
    /// A ticket was accepted.
    TicketAccepted = 201,
    /// A ticket that was already accepted was filed again.
    TicketRepeated = 202,
    /// A ticket was refused.
    TicketRefused = 203,
    /// The outcome of filing a ticket is unknown: it may have been accepted.
    TicketUnresolved = 204,
    /// A node applied newer rules.
    RulesInForce = 205,
    /// A VM became the holder of a group.
    GroupTaken = 300,
    /// Another VM became the holder of a group that this VM held.
    GroupLost = 301,
    /// A target does not respond; its shards move to other targets when its lease has expired.
    TargetLost = 302,
    /// A target's process was replaced by a new one, which gets the shards back when the lease of
    /// the previous process has expired.
    TargetRestarted = 303,
    /// More targets are unresponsive than may be declared lost at once; the shards of the
    /// remaining unresponsive targets are not reassigned for now.
    LossSpared = 304,
    /// Shards were assigned to new owners in one write to the table.
    ShardsPlaced = 305,
    /// Planned moves of shards started.
    MovesStarted = 306,
    /// A target refused a grant because it already released that fence; the fence is raised.
    GrantDenied = 307,
    /// A row of the table cannot be decoded.
    RowMalformed = 308,
    /// Keys were assigned to another owner, or their owner confirmed that it holds them.
    KeysMoved = 309,
    /// An order to a target failed or was not confirmed.
    OrderFailed = 310,
    /// A leader continues in a new term after a restore of the table.
    GroupKept = 311,
    /// A link to a peer was lost.
    LinkLost = 400,
    /// The first heartbeat of a node was received.
    PeerSeen = 401,
    /// No heartbeat of a node was received for longer than the timeout.
    PeerLost = 402,
    /// A node found that it reaches no target, or that it reaches targets again.
    LinksChanged = 403,
    /// A node began to believe that it does not reach a target, or ceased to.
    ReachChanged = 404,
    /// A request was refused.
    RequestRefused = 500,
    /// A graceful shutdown reached its time limit and aborted requests in flight.
    WorkCut = 501,
    /// An entry's view was not confirmed for longer than the stale limit.
    ViewStale = 502,
    /// Handling a request panicked; its connection was closed, other connections continue.
    RequestFailed = 503,
    /// A target's response to a request was missing, incomplete or invalid.
    AttemptFailed = 504,
    /// A response was cut while its body was sent to the caller.
    ResponseCut = 505,
    /// A request was not sent, or not sent again, because its caller had disconnected.
    SendSkipped = 506,
    /// A request was refused because the account of held bytes is short.
    MemoryShort = 507,
    /// Similar requests crashed several targets and are refused temporarily.
    RequestQuarantined = 510,
    /// A target failed repeatedly and gets no requests temporarily.
    TargetEjected = 511,
    /// A target joined, is leaving or was removed.
    TargetChanged = 512,
    /// A target announced in a response that it is shutting down, before the list showed it.
    LeavingAnnounced = 513,
    /// A target named a limit on its requests, another one, or none any more.
    LimitChanged = 514,
    /// A header field of a target's response has an invalid value and was ignored.
    FieldInvalid = 515,
    /// A target asked for a pause in a 503 response, or its pause has ended.
    TargetPaused = 516,
    /// An evacuation of a data centre began or ended, or its keyed requests did.
    EvacuationChanged = 517,
    /// A target is cold, or for longer than was known, and gets only a limited rate of requests.
    TargetCold = 518,
    /// The table service does not respond.
    TableDown = 600,
    /// The table service responds again.
    TableUp = 601,
    /// A write of a row failed, or its outcome is unknown.
    TableWriteFailed = 602,
    /// The table was restored from an older copy; the list of targets is read and leases are written
    /// again.
    TableRestored = 603,
}

impl Event {
    /// Returns the event's number in the catalogue.
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
            Self::WorkCut | Self::ViewStale | Self::MemoryShort => Level::Warn,
            Self::RequestFailed => Level::Error,
            Self::RequestQuarantined | Self::TargetEjected => Level::Warn,
            Self::RequestRefused | Self::SendSkipped => Level::Debug,
            Self::FieldInvalid | Self::LinksChanged | Self::ReachChanged => Level::Warn,
            Self::TableDown | Self::TableWriteFailed | Self::TableRestored => Level::Warn,
            Self::OrderFailed | Self::PeerLost => Level::Warn,
            _ => Level::Info,
        }
    }
}

/// Logs an event as its number, name and `details`, usually `key=value` pairs.
pub fn record(event: Event, details: fmt::Arguments<'_>) {
    let name: &str = event.into();
    log::log!(event.level(), "{} {name} {details}", event.number());
}
