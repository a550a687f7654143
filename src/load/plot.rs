//! Plots reports as SVG.

use plotters::prelude::*;

use super::report::Report;
use super::Result;
use crate::error::Error;

/// Width and height of a plot.
const SIZE_PIXELS: (u32, u32) = (900, 700);

/// Plots latency by percentile and calls per second over time, for one or more named reports.
pub fn draw(reports: &[(&str, &Report)], path: &str) -> Result<()> {
    let plot_error = |error: String| Error::Connection { reason: format!("cannot plot: {error}") };
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(|error| plot_error(error.to_string()))?;
    let panels = area.split_evenly((2, 1));
    draw_latency(&panels[0], reports).map_err(|error| plot_error(error.to_string()))?;
    draw_load(&panels[1], reports).map_err(|error| plot_error(error.to_string()))?;
    area.present().map_err(|error| plot_error(error.to_string()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw_latency(area: &Area<'_>, reports: &[(&str, &Report)]) -> DrawResult {
    let points = reports.iter().flat_map(|(_, report)| &report.curve);
    let max_y = points.map(|point| point.latency_ms).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("latency by percentile", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..4.2f64, 0.0..max_y * 1.05)?;
    chart.configure_mesh().x_desc("nines (1 = p90, 2 = p99, 3 = p99.9)").y_desc("ms").draw()?;
    for (index, (name, report)) in reports.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = report.curve.iter().map(|point| (nines(point.quantile), point.latency_ms));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}

fn draw_load(area: &Area<'_>, reports: &[(&str, &Report)]) -> DrawResult {
    let length = reports.iter().map(|(_, report)| report.seconds.len()).max().unwrap_or(1);
    let seconds = reports.iter().flat_map(|(_, report)| &report.seconds);
    let max_y = seconds.map(|second| second.arrived).max().unwrap_or(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .caption("load over time", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..length as f64, 0.0..max_y * 1.05)?;
    chart.configure_mesh().x_desc("s").y_desc("calls/s").draw()?;
    for (index, (name, report)) in reports.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let arrived = report.seconds.iter().enumerate();
        let arrived = arrived.map(|(second, count)| (second as f64, count.arrived as f64));
        chart.draw_series(LineSeries::new(arrived, color.stroke_width(1)))?;
        let answered = report.seconds.iter().enumerate();
        let answered = answered.map(|(second, count)| (second as f64, count.answered as f64));
        chart
            .draw_series(LineSeries::new(answered, color.stroke_width(3)))?
            .label(format!("{name}, answered"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}

/// The number of nines of a quantile: 1 for 0.9, 2 for 0.99.
fn nines(quantile: f64) -> f64 {
    -(1.0 - quantile).log10()
}
