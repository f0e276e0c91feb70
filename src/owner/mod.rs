//! Ownership: which target serves each shard, and the leases that keep it exclusive.

pub mod assignment;
pub mod grants;
pub mod order;
