//! Clients of the platform's services: the transactional table, the object store and the list of VMs.

pub mod client;
pub mod http;
mod table;
mod vms;

pub use http::HttpPlatform;
pub use table::Condition;
pub use table::Generation;
pub use table::Mutation;
pub use table::ObjectStore;
pub use table::Row;
pub use table::Table;
pub use table::TableError;
pub use table::Transaction;
pub use table::WriteId;
pub use vms::VmEntry;
pub use vms::VmList;
pub use vms::VmState;
