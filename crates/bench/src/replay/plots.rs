//! Plots of replays.

use std::path::Path;

use plotters::prelude::*;

use super::{ReplayError, Run, Scenario};

const SIZE_PIXELS: (u32, u32) = (900, 420);

/// Draws the mean time to the first token of each second, one line for each placement.
///
/// # Errors
///
/// Fails if the file can't be drawn.
pub fn draw(path: &Path, title: &str, runs: &[Run], scenario: Scenario) -> Result<(), ReplayError> {
    let shown: Vec<&Run> = runs.iter().filter(|run| run.scenario == scenario).take(5).collect();
    draw_lines(path, title, &shown).map_err(|error| ReplayError::Plot(error.to_string()))
}

fn draw_lines(path: &Path, title: &str, runs: &[&Run]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = runs.iter().map(|run| run.outcome.mean_by_second_ms().len()).max().unwrap_or(1);
    // Lines of placements that fall behind without bound leave the plot at its top.
    const TOP_MS: f64 = 3_000.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0..seconds, 0.0..TOP_MS)?;
    chart
        .configure_mesh()
        .x_desc("second of arrival")
        .y_desc("mean time to first token, ms")
        .draw()?;
    for (index, run) in runs.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let means = run.outcome.mean_by_second_ms();
        let points = means.into_iter().enumerate().map(|(second, ms)| (second, ms.min(TOP_MS)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(1)))?
            .label(run.placement)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
