//! INI files of settings and tickets: read whole, with every fault found at once.

mod document;
mod fault;
mod kind;
mod lines;
mod section;

pub use document::Document;
pub use fault::Fault;
pub use fault::Faults;
pub use kind::Kind;
pub use section::Section;

pub mod kinds;
