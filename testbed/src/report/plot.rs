use {
    plotters::prelude::{
        ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
        WHITE,
    },
    std::error::Error,
};

/// A line of a plot: its name and its points (x, y).
pub type Line = (String, Vec<(f64, f64)>);

/// Draws lines over time in seconds, as SVG.
pub fn line_plot(
    title: &str,
    y_name: &str,
    lines: &[Line],
) -> Result<String, Box<dyn Error>> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let last = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let highest = points().map(|(_, y)| *y).fold(1.0, f64::max) * 1.1;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (800, 320)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..last, 0.0..highest)?;
        chart.configure_mesh().x_desc("s").y_desc(y_name).draw()?;
        for (index, (name, points)) in lines.iter().enumerate() {
            let colour = Palette99::pick(index);
            chart
                .draw_series(LineSeries::new(points.iter().copied(), &colour))?
                .label(name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 20, y)], Palette99::pick(index))
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}
