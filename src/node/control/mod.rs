//! What a node does besides serving callers: it follows the rules and the targets, talks with the
//! other nodes, and leads services.

pub mod group;
pub mod peers;
pub mod rows;
pub mod run;
pub mod watch;
