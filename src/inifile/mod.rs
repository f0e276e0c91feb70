//! INI files of settings and tickets: read whole, with every fault found at once.

mod document;
mod fault;
mod lines;
mod section;
mod value_format;

pub use document::Document;
pub use fault::Fault;
pub use fault::Faults;
pub use section::Section;
pub use value_format::ValueFormat;

pub mod formats;
