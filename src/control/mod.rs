//! The controller process: one control thread that owns the state, and the adapters that send events
//! to it.

mod actions;
mod event;
mod groups;
mod handle;
mod links;
mod remote_calls;
mod run;
mod state_reader;
mod status;
mod thread;

pub use handle::ControlRequest;
pub use handle::DataCentreStatus;
pub use handle::GroupStatus;
pub use handle::Handle;
pub use handle::KeyOwner;
pub use handle::OwnerCount;
pub use handle::Status;
pub use handle::Stopped;
pub use run::run;
