//! Links between our processes: CBOR messages over WebSocket.

mod message;
mod socket;

pub use message::EntryReport;
pub use message::Hello;
pub use message::HotKey;
pub use message::Message;
pub use message::Role;
pub use socket::Link;
pub use socket::LinkError;
pub use socket::accept;
pub use socket::connect;
