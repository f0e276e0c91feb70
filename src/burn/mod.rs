//! Service-level burn: how fast the requests that were not answered in time use up what the
//! objective allows.

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
