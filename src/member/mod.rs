//! Membership of our own VMs: which are presumed alive, and which are candidates to control a
//! group.

mod members;
mod rank;

pub use members::FIRST_BACKOFF;
pub use members::MAX_BACKOFF;
pub use members::Members;
pub use members::VmDirectory;
pub use rank::candidates;
pub use rank::ranked;
pub use rank::score;
