//! Synchronisation of state between our own VMs.
//!
//! Two relays per data centre read the table; all other VMs receive changes through a tree of VMs
//! below the relays. Every VM has two parents: one sends full changes, the other sends summaries,
//! by which the VM detects missing changes. The loss of a VM or a message therefore delays a change
//! but does not stop it.

mod census;
mod changes;
mod confirm;
mod crashes;
mod io;
mod links;
mod message;
mod peer;
mod rank;
mod readiness;
mod recent;
mod state_machine;
mod topology;

pub use io::Action;
pub use io::Input;
pub use io::LinkId;
pub use io::StateRead;
pub use io::StateSyncConf;
pub use message::Census;
pub use message::Feed;
pub use message::Summary;
pub use message::VmTicketNumber;
pub use readiness::Readiness;
pub use state_machine::StateSync;
pub use state_machine::vm_list_interval;
pub use topology::FAN_OUT;
pub use topology::RELAYS_PER_DATA_CENTRE;
pub use topology::Topology;
