//! A target: takes grants, runs requests in slots, keeps a ledger, and misbehaves on demand.

mod ledger;
mod serve;
mod work;

pub use ledger::Effect;
pub use ledger::Ledger;
pub use serve::download_byte;
pub use serve::serve;
pub use work::Behaviour;
pub use work::Conf;
pub use work::Keyed;
pub use work::Running;
pub use work::Target;

/// Request header that makes the target's process exit before it answers.
pub const CRASH_HEADER: &str = "x-crash";
/// Request header that sets this request's working time, in milliseconds.
pub const WORK_HEADER: &str = "x-work-ms";
/// Request header whose value the body of the answer echoes.
pub const ID_HEADER: &str = "x-request-id";
/// Request header that names a booking in the ledger.
pub const BOOKING_HEADER: &str = "idempotency-key";
