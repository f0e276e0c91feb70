//! The controller's process: one control thread, and the adapters that feed it.

mod carry;
mod event;
mod groups;
mod handle;
mod links;
mod outside;
mod run;
mod state;
mod status;
mod thread;

pub use handle::Ask;
pub use handle::DataCentreStatus;
pub use handle::GroupStatus;
pub use handle::Handle;
pub use handle::KeyOwner;
pub use handle::OwnerCount;
pub use handle::Status;
pub use handle::Stopped;
pub use run::run;
