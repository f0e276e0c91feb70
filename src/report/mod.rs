//! The burn report: gathered from the entries, judged by service and data centre, written for
//! people and programs.

mod chart;
mod gather;
mod summary;
mod text;

pub use chart::ChartError;
pub use chart::write_chart;
pub use gather::gather;
pub use summary::Line;
pub use summary::Missing;
pub use summary::Report;
pub use summary::Series;
pub use summary::WindowBurn;
pub use text::write_text;
