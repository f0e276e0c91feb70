//! Which of our own VMs run, and which of them control a group.

mod members;
mod rank;

pub use members::FIRST_BACKOFF;
pub use members::MAX_BACKOFF;
pub use members::Members;
pub use members::VmDirectory;
pub use rank::candidates;
pub use rank::ranked;
pub use rank::score;
