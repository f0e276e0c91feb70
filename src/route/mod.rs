//! Routing: which target runs a request, within its limits, and what follows from a failure.

mod call;
mod router;

pub use call::AttemptEnd;
pub use call::Call;
pub use call::Next;
pub use call::Refusal;
pub use call::RequestInfo;
pub use call::Step;
pub use router::Lane;
pub use router::Router;
