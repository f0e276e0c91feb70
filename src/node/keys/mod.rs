//! Exclusive ownership of keys: who holds which keys of a service, and how they move.
//!
//! One node leads a service at a time, by a lease row in the platform's table. It alone gives
//! orders to targets, renews their grants and moves keys. [`leader`] decides, without input or
//! output; [`view`] is what every node routes by.

pub mod election;
pub mod key_load;
pub mod leader;
pub mod map;
pub mod plan;
pub mod table_health;
pub mod view;
