//! Tickets: parsing, checking and filing the operators' changes.

pub mod check;
mod model;
mod parse;

pub use model::InForce;
pub use model::KeySource;
pub use model::Keying;
pub use model::Service;
pub use model::Target;
pub use model::TargetState;
pub use model::Ticket;
pub use parse::MAX_TICKET_BYTES;
pub use parse::TicketErrors;
pub use parse::parse;
