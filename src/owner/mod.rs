//! Shard ownership: assigns each shard to a target, with leases that make the ownership exclusive.

pub mod assignment;
pub mod authority;
pub mod grants;
pub mod group;
pub mod hot_keys;
pub mod lease_bounds;
pub mod loads;
pub mod message;
pub mod moves;
pub mod order;
pub mod plan;
pub mod revocation;
pub mod rows;
pub mod sketch;
