//! SVG plots of reports.

use std::path::Path;
use std::path::PathBuf;

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use plotters::prelude::*;

use crate::Report;
use crate::Series;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 500);

/// Colours of the curves; an experiment compares at most seven policies.
const COLOURS: [RGBColor; 7] = [
    RED,
    BLUE,
    GREEN,
    MAGENTA,
    CYAN,
    BLACK,
    RGBColor(200, 130, 0),
];

/// Writes each plot of the report as an SVG file into `directory` and returns the paths.
///
/// # Errors
///
/// Returns [`ResultCode::OutputUnwritable`] if a file can't be written.
pub fn write_plots(report: &Report, directory: impl AsRef<Path>) -> Result<Vec<PathBuf>> {
    let suffix = format!("{}-{}", report.profile, report.seed);
    write_series(&report.series, &suffix, directory)
}

/// Writes each plot of the curves as an SVG file into `directory` and returns the paths. The name of
/// a file is that of the plot, followed by `suffix`.
///
/// # Errors
///
/// Returns [`ResultCode::OutputUnwritable`] if a file can't be written.
pub fn write_series(
    series: &[Series],
    suffix: &str,
    directory: impl AsRef<Path>,
) -> Result<Vec<PathBuf>> {
    let directory = directory.as_ref();
    std::fs::create_dir_all(directory).map_err(|source| {
        let detail = format!("can't create the directory {}", directory.display());
        Error::io(ResultCode::OutputUnwritable, detail, source)
    })?;
    let mut names: Vec<&str> = series.iter().map(|series| series.plot).collect();
    names.dedup();
    let mut paths = Vec::new();
    for name in names {
        let path = directory.join(format!("{name}-{suffix}.svg"));
        let curves: Vec<&Series> = series.iter().filter(|s| s.plot == name).collect();
        draw(&path, name, &curves).map_err(|e| {
            let detail = format!("can't write the plot {}: {e}", path.display());
            Error::coded(ResultCode::OutputUnwritable, detail)
        })?;
        paths.push(path);
    }
    Ok(paths)
}

fn draw(path: &Path, name: &str, curves: &[&Series]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || curves.iter().flat_map(|c| &c.points);
    let max = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0_f64, f64::max);
    let min_x = points().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let max_x = max(&mut points().map(|p| p.0));
    let max_y = max(&mut points().map(|p| p.1)).max(1e-9);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(name, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(min_x..max_x, 0.0..max_y * 1.05)?;
    let first = curves.first();
    chart
        .configure_mesh()
        .x_desc(first.map_or("", |c| c.x_label))
        .y_desc(first.map_or("", |c| c.y_label))
        .draw()?;
    for (index, curve) in curves.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(curve.points.iter().copied(), colour))?
            .label(&curve.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
