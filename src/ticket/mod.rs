//! Tickets, the numbered configuration changes that operators file: parsing, validation and
//! storing in the table.

pub mod check;
mod driver;
mod filing;
mod model;
mod outcome;
mod parse;
mod rows;
mod snapshot;
mod to_ini;

pub use driver::file;
pub use driver::load;
pub use filing::Action;
pub use filing::Filing;
pub use filing::Input;
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
pub use snapshot::LoadError;
pub use snapshot::Snapshot;
pub use to_ini::to_ini;
