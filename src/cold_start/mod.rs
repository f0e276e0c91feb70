//! Decisions about cold targets, which have just started and tolerate only a limited rate of requests:
//! until when a target is cold, at which rate permits for it are issued, which node may issue them,
//! and how long they are reported to other nodes.

mod cold_time;
mod members;
mod rate;
mod reports;

pub use cold_time::ColdTime;
pub use cold_time::MAX_COLD_TIME;
pub use cold_time::Source;
pub use cold_time::left_from_field;
pub use members::ALIVE_TIME;
pub use members::Members;
pub use members::SETTLE_TIME;
pub use rate::PERMIT_LIFETIME;
pub use rate::issue_rate;
pub use reports::Audience;
pub use reports::ColdReports;
