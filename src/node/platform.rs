//! The interface between a node and the platform that it runs on, except for the table store.
//! The trait keeps the platform's wire formats out of this crate.

use std::future::Future;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::evacuation::Position;
use crate::evacuation::Rows;
use crate::node::fleet::TargetEntry;
use crate::node::fleet::TargetUpdate;
use crate::node::identity::Identity;
use crate::node::keys::leader::Order;
use crate::node::keys::leader::OrderOutcome;
use crate::node::limit::InvalidRate;
use crate::node::limit::RequestRate;
use crate::node::rules::Rules;
use crate::platform::Generation;

/// Position of a reader in the platform's change history. Positions are ordered by generation first:
/// restored data gives out versions again, so that they are comparable only within a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor {
    /// The generation of the data that was read.
    #[serde(rename = "g")]
    pub generation: Generation,
    /// The version up to which changes have been read.
    #[serde(rename = "v")]
    pub version: u64,
}

impl From<Cursor> for Position {
    fn from(cursor: Cursor) -> Self {
        Self {
            generation: cursor.generation,
            version: cursor.version,
        }
    }
}

/// The result of reading what the operators have written.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorRows {
    /// The rules; `None` if there are no new ones, or the reason why they cannot be used.
    pub rules: Result<Option<Rules>, PlatformError>,
    /// The evacuations of data centres, which apply also if the rules cannot be used.
    pub evacuations: Rows,
}

/// The result of reading the list of targets.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetListUpdate {
    /// The complete list.
    Whole(Vec<TargetEntry>),
    /// The changes since the given cursor.
    Changes(Vec<TargetUpdate>),
}

/// Why a read from the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The platform did not respond, refused the call or sent malformed data; contains the cause.
    #[error("the platform did not respond ({0}); check that it is up and reachable")]
    Unavailable(String),
    /// The platform does not have the changes after the cursor, because its history was truncated or
    /// its data restored from an older copy; the complete list must be read.
    #[error("the change history is no longer available; read the complete list again")]
    HistoryDropped,
}

/// What an order resulted in.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderAnswer {
    /// The outcome of the order.
    pub outcome: OrderOutcome,
    /// Whether the target announced in its reply that it is shutting down.
    pub target_leaving: bool,
    /// The limit on its requests that the target named in its reply, if it named one.
    pub limit: Option<Result<RequestRate, InvalidRate>>,
}

impl From<OrderOutcome> for OrderAnswer {
    /// Creates the answer of a target that is not shutting down, or that sent no reply.
    fn from(outcome: OrderOutcome) -> Self {
        Self {
            outcome,
            target_leaving: false,
            limit: None,
        }
    }
}

/// A source of rules and targets, and the channel for orders to targets.
pub trait Platform: 'static {
    /// Waits up to `wait` for rules and evacuations newer than the cursor; returns none if there are
    /// none. Without a cursor, returns those in force immediately.
    fn rules(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<(Cursor, OperatorRows), PlatformError>>;

    /// Waits up to `wait` for target changes after the cursor. Without a cursor, returns the
    /// complete list immediately.
    fn targets(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<(Cursor, TargetListUpdate), PlatformError>>;

    /// Sends a grant or release order to a target and waits for its reply. Nothing is sent to a process
    /// of another target.
    fn order(&self, order: &Order, identity: Identity<'_>) -> impl Future<Output = OrderAnswer>;
}
