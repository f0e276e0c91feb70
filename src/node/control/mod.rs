//! Everything a node does apart from proxying requests: it watches the rules and the targets,
//! exchanges datagrams with other nodes, and takes part in the leader elections of keyed services.

pub mod group;
pub mod peers;
mod reach;
pub mod rows;
pub mod run;
pub mod watch;
