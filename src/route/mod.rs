//! Routing: which target runs a request, within its limits, and what follows from a failure.

mod admit;
mod budget;
mod call;
mod choice;
mod crash;
mod hot;
mod lane;
mod load;
mod prefix;
mod queue;
mod router;
mod share;
mod stats;
mod table;

pub use call::AttemptEnd;
pub use call::Call;
pub use call::Next;
pub use call::Refusal;
pub use call::RequestInfo;
pub use call::Step;
pub use crash::CRASH_MEMORY;
pub use crash::CRASH_SETTLING;
pub use crash::CRASH_SPAN;
pub use crash::CrashFact;
pub use crash::CrashKind;
pub use crash::CrashReport;
pub(crate) use crash::Crashes;
pub use crash::QUARANTINE;
pub use hot::ServiceLoads;
pub use lane::Lane;
pub use load::LOAD_LIFE;
pub use load::LoadReport;
pub use load::TargetLoad;
pub use router::Router;
pub use router::RouterConfig;
pub use share::EntryRank;
