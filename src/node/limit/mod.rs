//! Limits that targets name in their responses: the requests per second that a target accepts from
//! all nodes together, for as long as its responses name one.
//!
//! A node that knows of a limit asks for a permit before each request to the target. The node that
//! issues the permits for a target is found by a hash, so that all nodes with the same members agree
//! on it. While it does not answer, a node uses its share of the limit.
//!
//! Cold targets are limited in the same way, by a rate that the rules contain. The sum over all nodes
//! must not exceed it in any one second, so that there are no shares of it, and only a node that
//! receives heartbeats of a majority issues permits (`crate::cold_start`).

mod evidence;
mod permits;
mod state;

pub use evidence::Evidence;
pub use evidence::InvalidRate;
pub use evidence::RequestRate;
pub use evidence::TargetLimit;
pub use permits::Permits;
pub use permits::ProcessTag;
pub use permits::Verdict;
pub use permits::issue_rate;
pub use permits::issuer;
pub use permits::issuer_rank;
pub use state::ColdLimit;
pub use state::LimitState;
pub use state::PERMIT_TIMEOUT;
pub use state::Permit;
pub use state::QueuedRequest;
pub use state::obtain_permit;
