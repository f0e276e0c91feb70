//! What became of a filed ticket.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TicketNumber;
use crate::ticket::TicketErrors;

/// What became of a filed ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// The ticket was accepted by this filing.
    Accepted {
        /// The ticket's number.
        number: TicketNumber,
    },
    /// The same ticket was accepted before; nothing was changed.
    AlreadyAccepted {
        /// The ticket's number.
        number: TicketNumber,
        /// The number in force.
        in_force: TicketNumber,
    },
    /// Refused: another ticket replaced the base; nothing was changed.
    BaseReplaced {
        /// The base that the ticket names.
        base: TicketNumber,
        /// The number in force.
        in_force: TicketNumber,
    },
    /// Refused: another ticket was accepted under this number; nothing was changed.
    NumberTaken {
        /// The ticket's number.
        number: TicketNumber,
        /// The number in force.
        in_force: TicketNumber,
    },
    /// Refused: the ticket has faults; nothing was changed.
    Invalid {
        /// All faults.
        errors: TicketErrors,
    },
    /// Not known: the table service did not say in time whether the ticket was accepted.
    Unresolved {
        /// The ticket's number.
        number: TicketNumber,
        /// What stood in the way last.
        reason: String,
    },
}

impl Outcome {
    /// Returns whether the ticket is accepted, by this filing or an earlier one.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::AlreadyAccepted { .. })
    }

    /// Returns whether the ticket was certainly refused.
    pub fn is_refused(&self) -> bool {
        !self.is_accepted() && !matches!(self, Self::Unresolved { .. })
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { number } => write!(f, "ticket {number} is accepted"),
            Self::AlreadyAccepted { number, in_force } => write!(
                f,
                "ticket {number} was accepted already, number {in_force} is in force"
            ),
            Self::BaseReplaced { base, in_force } => write!(
                f,
                "refused: the ticket builds on {base}, but {in_force} is in force; read it with \
                 `gooseberryloft-ctl show`, bring the ticket up to date, set `base = {in_force}` \
                 and a `number` above it, and file again"
            ),
            Self::NumberTaken { number, in_force } => write!(
                f,
                "refused: another ticket was accepted as {number}, and {in_force} is in force; \
                 read it with `gooseberryloft-ctl show`, bring the ticket up to date, set \
                 `base = {in_force}` and a `number` above it, and file again"
            ),
            Self::Invalid { errors } => write!(f, "refused, nothing was changed:\n{errors}"),
            Self::Unresolved { number, reason } => write!(
                f,
                "not known whether ticket {number} is accepted ({reason}); file the same file \
                 again, which is safe, until the answer is certain"
            ),
        }
    }
}
