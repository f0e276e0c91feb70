//! Which of our own VMs run, and which of them control a group.

mod members;
mod rank;

pub use members::Members;
pub use members::SUSPECT_TIME;
pub use members::VmTable;
pub use rank::candidates;
pub use rank::ranked;
pub use rank::score;
