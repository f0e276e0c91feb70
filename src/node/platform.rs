//! What a node needs from the platform that it runs on, besides the table.

use std::future::Future;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::node::fleet::TargetEntry;
use crate::node::fleet::TargetUpdate;
use crate::node::keys::leader::Order;
use crate::node::keys::leader::OrderOutcome;
use crate::node::rules::Rules;

/// How far a reader has come in the platform's history of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cursor(pub u64);

/// What changed in the list of targets.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetListUpdate {
    /// The whole list.
    Whole(Vec<TargetEntry>),
    /// What changed since the cursor given.
    Changes(Vec<TargetUpdate>),
}

/// Why something could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The platform did not answer, or refused.
    #[error("the platform does not answer ({0}); look whether it is up and reachable")]
    Unavailable(String),
    /// The platform has dropped the history after the cursor.
    #[error("the history is no longer available; read the whole again")]
    HistoryDropped,
}

/// The platform.
pub trait Platform: 'static {
    /// Waits for rules that are newer than the cursor; without a cursor, reads those in force.
    fn rules(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<(Cursor, Option<Rules>), PlatformError>>;

    /// Waits for changes of the targets after the cursor; without a cursor, reads them all.
    fn targets(
        &self,
        after: Option<Cursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<(Cursor, TargetListUpdate), PlatformError>>;

    /// Sends an order to a target.
    fn order(&self, order: &Order) -> impl Future<Output = OrderOutcome>;
}
