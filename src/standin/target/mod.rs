//! A replacement for a target: accepts grants, runs requests in slots, records what it ran, and
//! injects faults on request.

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

/// Request header that makes the target's process exit without a response.
pub const CRASH_HEADER: &str = "x-crash";
/// Request header that sets this request's working time, in milliseconds.
pub const WORK_HEADER: &str = "x-work-ms";
/// Request header whose value is returned in the response body.
pub const ID_HEADER: &str = "x-request-id";
/// Request header with the id under which a booking is recorded in the ledger.
pub const BOOKING_HEADER: &str = "idempotency-key";
