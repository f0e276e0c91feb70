//! A reader for the INI files of settings and tickets. It reports all errors of a file at once, each
//! with its line and a remedy.

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
