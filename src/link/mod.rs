//! Links between controllers and entries: CBOR messages over WebSocket connections.

mod message;
mod pump;
mod socket;

pub use message::EntryReport;
pub use message::Hello;
pub use message::HotKey;
pub use message::Message;
pub use message::Role;
pub use pump::Frame;
pub use pump::LINK_TIMEOUT;
pub use pump::Outbox;
pub use pump::PING_AFTER;
pub use pump::run;
pub use socket::Link;
pub use socket::LinkError;
pub use socket::LinkReceiver;
pub use socket::LinkSender;
pub use socket::TOKEN_HEADER;
pub use socket::accept;
pub use socket::connect;
pub use socket::decode;
pub use socket::encode;
