//! What a node knows of the load of a target that states it in its responses.
//!
//! A statement counts the requests of all nodes, so it replaces what nodes assume of each other while it
//! is recent. The load changes with every request, and the pace of a machine several times a second, so
//! neither is trusted for long.

mod observed;
mod statement;

pub use observed::LOAD_VALIDITY;
pub use observed::ObservedLoad;
pub use observed::PACE_VALIDITY;
pub use statement::InvalidLoad;
pub use statement::StatedLoad;
