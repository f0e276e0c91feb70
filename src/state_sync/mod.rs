//! Spreading of state between our own VMs.
//!
//! Relays, two per data centre, read the table; everybody else is told along a tree. Whole changes
//! go down one path and summaries down a second one, so a lost VM or message delays a change but
//! does not stop it.

mod changes;
mod confirm;
mod count;
mod crashes;
mod io;
mod links;
mod message;
mod peer;
mod rank;
mod ready;
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
pub use ready::Readiness;
pub use state_machine::StateSync;
pub use state_machine::vm_list_interval;
pub use topology::FAN_OUT;
pub use topology::RELAYS_PER_DATA_CENTRE;
pub use topology::Topology;
