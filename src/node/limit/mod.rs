//! Limits that targets name in their responses: the requests per second that a target accepts from
//! all nodes together, for as long as its responses name one.

mod evidence;

pub use evidence::Evidence;
pub use evidence::InvalidRate;
pub use evidence::RequestRate;
pub use evidence::TargetLimit;
