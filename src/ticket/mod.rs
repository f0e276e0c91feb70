//! Tickets: parsing, checking and filing the operators' changes.

mod model;

pub use model::InForce;
pub use model::KeySource;
pub use model::Keying;
pub use model::Service;
pub use model::Target;
pub use model::TargetState;
pub use model::Ticket;
