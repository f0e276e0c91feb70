//! Writes the report as a text table for terminals.

use std::io;
use std::io::Write;
use std::time::Duration;

use crate::inifile::formats;
use crate::report::Line;
use crate::report::Report;
use crate::report::WindowBurn;

/// Writes the report as a text table with one row per service, data centre and pair of windows.
pub fn write_text(wtr: &mut impl Write, report: &Report) -> io::Result<()> {
    let objective = report.objective;
    writeln!(
        wtr,
        "objective {objective} %, from {} entries",
        report.entries
    )?;
    for missing in &report.missing {
        writeln!(wtr, "without {}: {}", missing.entry, missing.reason)?;
    }
    writeln!(
        wtr,
        "\n{:<20} {:<16} {:>15} {:>12} {:>10} {:>10} {:>10}  verdict",
        "service", "data centre", "windows", "requests", "short", "long", "threshold"
    )?;
    for line in &report.lines {
        for window in &line.windows {
            write_window(wtr, line, window)?;
        }
    }
    Ok(())
}

fn write_window(wtr: &mut impl Write, line: &Line, window: &WindowBurn) -> io::Result<()> {
    let windows = format!(
        "{}/{}",
        window_text(window.short_ms),
        window_text(window.long_ms)
    );
    let verdict = if window.alert { "ALERT" } else { "ok" };
    writeln!(
        wtr,
        "{:<20} {:<16} {windows:>15} {:>12} {:>10.2} {:>10.2} {:>10.2}  {verdict}",
        line.service.as_str(),
        line.data_centre.as_str(),
        window.counts.total,
        window.short_rate,
        window.long_rate,
        window.threshold
    )
}

fn window_text(ms: u64) -> String {
    formats::format_duration(Duration::from_millis(ms))
}
