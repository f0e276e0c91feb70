//! Draws the report as an SVG file with one chart per service and one line per data centre.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;
use thiserror::Error;

use crate::ids::ServiceId;
use crate::report::Line;
use crate::report::Report;

const WIDTH_PX: u32 = 900;
const HEIGHT_PX: u32 = 260;
const MARGIN_PX: u32 = 12;
const AXIS_LABEL_PX: u32 = 44;
/// The upper end of the y axis, as a multiple of the highest rate.
const Y_AXIS_FACTOR: f64 = 1.05;
const SECONDS_PER_MINUTE: f64 = 60.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// The error of a chart that could not be written, with its path and cause.
#[derive(Debug, Error)]
#[error("cannot write {path} ({cause}); check the path and its permissions")]
pub struct ChartError {
    path: String,
    cause: String,
}

/// Writes a chart of the burn rates over time to `path` as SVG.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_chart(path: &Path, report: &Report) -> Result<(), ChartError> {
    draw(path, report).map_err(|error| ChartError {
        path: path.display().to_string(),
        cause: error.to_string(),
    })
}

fn draw(path: &Path, report: &Report) -> Result<(), Box<dyn std::error::Error>> {
    let mut services: BTreeMap<&ServiceId, Vec<&Line>> = BTreeMap::new();
    for line in &report.lines {
        services.entry(&line.service).or_default().push(line);
    }
    let rows = services.len().max(1);
    let root = SVGBackend::new(path, (WIDTH_PX, HEIGHT_PX * rows as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((rows, 1));
    for (area, (service, lines)) in areas.iter().zip(&services) {
        draw_service(area, service, lines)?;
    }
    root.present()?;
    Ok(())
}

fn draw_service(
    area: &Area<'_>,
    service: &ServiceId,
    lines: &[&Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let (oldest_min, max_rate) = axis_limits(lines);
    let mut chart = ChartBuilder::on(area)
        .caption(format!("burn rate of {service}"), ("sans-serif", 16))
        .margin(MARGIN_PX)
        .x_label_area_size(AXIS_LABEL_PX)
        .y_label_area_size(AXIS_LABEL_PX)
        .build_cartesian_2d(-oldest_min..0.0, 0.0..max_rate)?;
    chart
        .configure_mesh()
        .x_desc("minutes from now")
        .y_desc("rate")
        .draw()?;
    for (i, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points(line), &colour))?
            .label(line.data_centre.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

// Returns the age of the oldest point, in minutes, and the upper end of the rate axis.
fn axis_limits(lines: &[&Line]) -> (f64, f64) {
    let ages = lines.iter().map(|line| minutes_ago(line, 0));
    let rates = lines.iter().flat_map(|line| &line.course.rates);
    let max_rate = rates.copied().fold(1.0, f64::max);
    (ages.fold(1.0, f64::max), max_rate * Y_AXIS_FACTOR)
}

fn points(line: &Line) -> impl Iterator<Item = (f64, f64)> {
    let rates = line.course.rates.iter().enumerate();
    rates.map(|(index, &rate)| (-minutes_ago(line, index), rate))
}

fn minutes_ago(line: &Line, index: usize) -> f64 {
    let points = line.course.rates.len().saturating_sub(index + 1);
    points as f64 * line.course.point_s / SECONDS_PER_MINUTE
}
