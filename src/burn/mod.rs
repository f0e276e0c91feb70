//! Counts requests per service for the burn rate: how fast bad requests use up the error budget
//! of the service-level objective.

mod counts;
mod message;
mod recorder;
mod ring;

pub use counts::Counts;
pub use message::EntryBurn;
pub use message::ServiceBurn;
pub use message::WindowCounts;
pub use recorder::Recorder;
pub use ring::Ring;
