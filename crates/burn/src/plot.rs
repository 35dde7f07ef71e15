//! SVG plot of burn rates.

use std::path::Path;

use eyre::WrapErr;
use plotters::prelude::*;

use crate::report::Report;
use crate::window::WINDOWS;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (960, 540);

/// Maximum number of plotted rows.
const MAX_ROWS: usize = 8;

/// Plots the burn rates of the [`MAX_ROWS`] most urgent rows into an SVG file.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn plot(report: &Report, path: &Path) -> eyre::Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    draw(report, &area).wrap_err_with(|| format!("cannot plot to {}", path.display()))
}

fn draw(
    report: &Report,
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> eyre::Result<()> {
    area.fill(&WHITE).map_err(plot_error)?;
    let rows = &report.rows[..report.rows.len().min(MAX_ROWS)];
    let max_rate = rows.iter().map(crate::Row::max_rate).fold(1.0, f64::max);
    let last = WINDOWS.len() - 1;
    let mut chart = ChartBuilder::on(area)
        .caption(
            "Burn rate by window (1 uses up the error budget)",
            ("sans-serif", 20),
        )
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..last, 0.0..max_rate * 1.1)
        .map_err(plot_error)?;
    let window_name = |index: &usize| {
        WINDOWS
            .get(*index)
            .map_or("", |window| window.name)
            .to_owned()
    };
    chart
        .configure_mesh()
        .x_labels(WINDOWS.len())
        .x_label_formatter(&window_name)
        .draw()
        .map_err(plot_error)?;
    for (index, row) in rows.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = row.burns.iter().enumerate();
        let points = points.map(|(window, burn)| (window, burn.rate));
        let label = format!("{} {} {:?}", row.service, row.workspace, row.goal);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(plot_error)?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    if !rows.is_empty() {
        let mut labels = chart.configure_series_labels();
        labels.background_style(WHITE).border_style(BLACK);
        labels.draw().map_err(plot_error)?;
    }
    area.present().map_err(plot_error)
}

fn plot_error(error: impl std::fmt::Display) -> eyre::Report {
    eyre::eyre!("{error}")
}
