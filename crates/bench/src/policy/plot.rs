//! Plots the shares of teams over time.

use {
    super::{measure::PolicyFigures, mix::WorkMix},
    anyhow::{Result, anyhow},
    plotters::prelude::{
        BLACK, ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, PathElement, RGBColor,
        SVGBackend, SeriesLabelPosition, WHITE,
    },
    std::path::Path,
};

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (1_000, 480);

/// Colours of the teams.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];

/// Plots the share of each team as a thick line and its entitlement as a thin line of that colour.
pub(super) fn shares(mix: &WorkMix, figures: &PolicyFigures, path: &Path) -> Result<()> {
    draw(mix, figures, path).map_err(|error| anyhow!("cannot draw {}: {error}", path.display()))
}

fn draw(
    mix: &WorkMix,
    figures: &PolicyFigures,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    #[allow(clippy::cast_precision_loss)]
    let end_s = mix.run_ms as f64 / 1_000.0;
    let title = "dominant share by team (thick) and entitlement (thin), percent of the cell";
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16).into_font())
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end_s, 0.0..100.0)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (team, row) in mix.teams.iter().enumerate() {
        let colour = COLOURS[team % COLOURS.len()];
        #[allow(clippy::cast_precision_loss)]
        let at = |sample: &super::measure::CellSample| sample.at_ms as f64 / 1_000.0;
        let share = figures.samples.iter().map(|row| (at(row), row.shares[team] * 100.0));
        let entitled = figures.samples.iter().map(|row| (at(row), row.entitled[team] * 100.0));
        chart
            .draw_series(LineSeries::new(share, plotters::style::Color::stroke_width(&colour, 2)))?
            .label(row.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
        let thin = plotters::style::Color::mix(&colour, 0.45);
        chart.draw_series(LineSeries::new(entitled, thin))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
