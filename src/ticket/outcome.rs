//! The result of filing a ticket.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TicketNumber;
use crate::ticket::TicketErrors;

/// The result of filing a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// This filing stored the ticket.
    Accepted {
        /// The number of the filed ticket.
        number: TicketNumber,
    },
    /// An earlier filing stored the same ticket; nothing was changed.
    AlreadyAccepted {
        /// The number of the filed ticket.
        number: TicketNumber,
        /// The number of the ticket in force.
        in_force: TicketNumber,
    },
    /// Refused: the base is not the state in force; nothing was changed.
    BaseReplaced {
        /// The base of the ticket.
        base: TicketNumber,
        /// The number of the ticket in force.
        in_force: TicketNumber,
    },
    /// Refused: another ticket was accepted under this number; nothing was changed.
    NumberTaken {
        /// The number of the filed ticket.
        number: TicketNumber,
        /// The number of the ticket in force.
        in_force: TicketNumber,
    },
    /// Refused: the ticket is invalid; nothing was changed.
    Invalid {
        /// All errors found in the ticket.
        errors: TicketErrors,
    },
    /// Unknown: the table service did not confirm in time whether the ticket was stored.
    Unresolved {
        /// The number of the filed ticket.
        number: TicketNumber,
        /// Why the last attempt failed.
        reason: String,
    },
}

impl Outcome {
    /// Returns true if this filing or an earlier one stored the ticket.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::AlreadyAccepted { .. })
    }

    /// Returns true if the ticket was refused; false if the outcome is unknown.
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
