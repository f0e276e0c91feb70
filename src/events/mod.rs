//! The numbered events of the log; `docs/EVENTS.md` is their catalogue.

use std::fmt;

use log::Level;
use strum::EnumIter;
use strum::IntoStaticStr;

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
    /// A VM took a newer ticket into force.
    TicketInForce = 200,
    /// A VM became the holder of a group.
    GroupTaken = 300,
    /// A link to a peer was lost.
    LinkLost = 400,
    /// A request was refused.
    RequestRefused = 500,
    /// Requests alike crashed several targets and are refused for a while.
    RequestQuarantined = 501,
    /// A target failed repeatedly and gets no requests for a while.
    TargetEjected = 502,
    /// The table service does not answer.
    TableDown = 600,
}

impl Event {
    /// Returns the event's number.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the level that the event is logged at.
    pub fn level(self) -> Level {
        match self {
            Self::TableDown | Self::LinkLost | Self::RequestQuarantined | Self::TargetEjected => {
                Level::Warn
            }
            Self::RequestRefused => Level::Debug,
            _ => Level::Info,
        }
    }
}

/// Logs an event with its details.
pub fn record(event: Event, details: fmt::Arguments<'_>) {
    let name: &str = event.into();
    log::log!(event.level(), "{} {name} {details}", event.number());
}
