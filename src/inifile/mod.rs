//! INI files of settings and tickets: read whole, with every fault found at once.

mod diagnostic;
mod document;
mod lines;
mod section;
mod value_format;

pub use diagnostic::Diagnostic;
pub use diagnostic::Diagnostics;
pub use document::Document;
pub use section::Section;
pub use value_format::ValueFormat;

pub mod formats;
