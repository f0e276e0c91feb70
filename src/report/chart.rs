//! The report as an SVG picture: one chart a service, one line a data centre.

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
const LABEL_PX: u32 = 44;
/// Room above the highest rate.
const HEADROOM: f64 = 1.05;
const SECONDS_PER_MINUTE: f64 = 60.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Why the picture could not be written.
#[derive(Debug, Error)]
#[error("cannot write {path} ({cause}); check the path and its permissions")]
pub struct ChartError {
    path: String,
    cause: String,
}

/// Writes the burn rates over time as an SVG file.
///
/// # Errors
///
/// When the file cannot be written.
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
    let (oldest, highest) = extent(lines);
    let mut chart = ChartBuilder::on(area)
        .caption(format!("burn rate of {service}"), ("sans-serif", 16))
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_PX)
        .y_label_area_size(LABEL_PX)
        .build_cartesian_2d(-oldest..0.0, 0.0..highest)?;
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

fn extent(lines: &[&Line]) -> (f64, f64) {
    let starts = lines.iter().map(|line| minutes_ago(line, 0));
    let rates = lines.iter().flat_map(|line| &line.course.rates);
    let highest = rates.copied().fold(1.0, f64::max);
    (starts.fold(1.0, f64::max), highest * HEADROOM)
}

fn points(line: &Line) -> impl Iterator<Item = (f64, f64)> {
    let rates = line.course.rates.iter().enumerate();
    rates.map(|(at, &rate)| (-minutes_ago(line, at), rate))
}

fn minutes_ago(line: &Line, at: usize) -> f64 {
    let points = line.course.rates.len().saturating_sub(at + 1);
    points as f64 * line.course.point_s / SECONDS_PER_MINUTE
}
