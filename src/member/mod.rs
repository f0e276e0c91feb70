//! Which of our own VMs run, and which of them control a group.

mod members;
mod rank;

pub use members::FIRST_PAUSE;
pub use members::LONGEST_PAUSE;
pub use members::Members;
pub use members::VmTable;
pub use rank::candidates;
pub use rank::ranked;
pub use rank::score;
