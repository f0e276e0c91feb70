//! The metrics of a process, in the text format of Prometheus.

mod instruments;
mod render;

pub use instruments::Instruments;
pub use render::instruments;
pub use render::render;
