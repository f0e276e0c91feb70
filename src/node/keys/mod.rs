//! Exclusive ownership of keys: which target owns which keys of a service, and how keys move.
//!
//! One node leads a service at a time, elected through a lease row in the platform's table. Only
//! the leader sends orders to targets, renews their grants and moves keys. [`leader`] makes these
//! decisions without performing I/O; every node routes requests by its [`view`].

pub mod election;
pub mod key_load;
pub mod leader;
pub mod map;
pub mod plan;
pub mod recovery;
mod refused;
mod stored_map;
pub mod table_health;
pub mod tenure;
pub mod view;
