//! The metrics of a process, exported in the Prometheus text format.

mod instruments;
mod render;

pub use instruments::Instruments;
pub use render::instruments;
pub use render::render;
