//! The burn report: collects request counts from the entries, computes the burn rates and alerts
//! of each service and data centre, and writes them as text, JSON or SVG.

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
