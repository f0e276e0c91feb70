//! Tickets: parsing, checking and filing the operators' changes.

pub mod check;
mod file;
mod filer;
mod load;
mod model;
mod outcome;
mod parse;
mod rows;
mod write;

pub use file::Action;
pub use file::Filing;
pub use file::Input;
pub use filer::file;
pub use filer::load;
pub use load::LoadError;
pub use load::Snapshot;
pub use model::InForce;
pub use model::KeySource;
pub use model::Keying;
pub use model::Service;
pub use model::Target;
pub use model::TargetState;
pub use model::Ticket;
pub use outcome::Outcome;
pub use parse::MAX_TICKET_BYTES;
pub use parse::TicketErrors;
pub use parse::parse;
pub use rows::IN_FORCE_KEY;
pub use rows::SERVICE_PREFIX;
pub use rows::service_key;
pub use rows::ticket_key;
pub use write::write;
