//! One account of the bytes that callers, targets and other nodes make a process hold.
//!
//! [`Account`] decides what fits, and which body is refused when the account is short. It performs no
//! I/O: the caller reads, refuses and closes connections. See `docs/design/memory.md`.

mod account;
mod body;
mod reading;

pub use account::Account;
pub use account::Held;
pub use account::SMALL_BYTES;
pub use account::Share;
pub use body::Body;
pub use reading::Reading;
pub use reading::Room;
