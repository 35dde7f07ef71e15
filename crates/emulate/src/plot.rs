//! SVG plot of credit over time.

use std::path::Path;

use eyre::WrapErr;
use plotters::prelude::*;

use crate::tally::Tally;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (960, 540);

/// Writes an SVG file with the credit ratio per second for each policy.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn plot(title: &str, tallies: &[(String, Tally)], path: &Path) -> eyre::Result<()> {
    draw(title, tallies, path).wrap_err_with(|| format!("cannot write plot {}", path.display()))
}

fn draw(title: &str, tallies: &[(String, Tally)], path: &Path) -> eyre::Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = tallies.iter().map(|(_, tally)| tally.seconds.len());
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("Credit by second: {title}"), ("sans-serif", 20))
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..seconds.max().unwrap_or(1), 0.0..1.0)?;
    chart.configure_mesh().draw()?;
    for (index, (name, tally)) in tallies.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = tally.seconds.iter().map(|second| second.ratio());
        chart
            .draw_series(LineSeries::new(points.enumerate(), color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
