//! Replacements for the platform and for targets, for tests and trials on one machine.

pub mod platform;
pub mod store;
pub mod target;

pub use store::FakeTable;
pub use store::Faults;
