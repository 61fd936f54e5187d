//! SVG charts of experiment results.

use crate::experiment::{Experiment, Row, Summary};
use crate::policy::Variant;
use plotters::coord::ranged1d::Ranged;
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (960, 420);
const COLOURS: [RGBColor; 5] = [
    RGBColor(0, 90, 181),
    RGBColor(220, 50, 32),
    RGBColor(90, 160, 60),
    RGBColor(230, 160, 0),
    RGBColor(130, 80, 160),
];

fn colour(experiment: &Experiment, variant: Variant) -> RGBColor {
    let place = experiment.variants.iter().position(|v| *v == variant).unwrap_or(0);
    COLOURS[place % COLOURS.len()]
}

pub fn draw(
    experiment: &Experiment,
    rows: &[Row],
    summaries: &[Summary],
    folder: &Path,
) -> Result<(), String> {
    for (scenario, _) in &experiment.scenarios {
        let these: Vec<&Row> = rows.iter().filter(|r| r.scenario == scenario.name).collect();
        let faults = scenario.fault.iter().map(|f| (f.at_s, f.at_s + f.for_s)).collect::<Vec<_>>();
        course(experiment, &these, &faults, &folder.join(format!("{}-course.svg", scenario.name)))
            .and_then(|()| times(experiment, &these, &folder.join(format!("{}-times.svg", scenario.name))))
            .map_err(|e| format!("{}: {e}", scenario.name))?;
    }
    comparison(experiment, summaries, &folder.join("comparison.svg")).map_err(|e| format!("comparison: {e}"))
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

/// Plots the service over time, as a mean over three seconds and all seeds, with the time of each fault shaded.
fn course(experiment: &Experiment, rows: &[&Row], faults: &[(f64, f64)], path: &Path) -> Drawn {
    let length = rows.iter().map(|r| r.service_by_second.len()).max().unwrap_or(1);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("service by the second (mean of all seeds, over three seconds)", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..length as f64, 0.0..1.02)?;
    chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("s").draw()?;
    chart.draw_series(faults.iter().map(|(from, to)| {
        let corners = [(*from, 0.0), (to.min(length as f64), 1.02)];
        Rectangle::new(corners, RGBColor(200, 200, 200).mix(0.25).filled())
    }))?;
    lines(experiment, rows, &mut chart, |these| {
        let at = |second: usize| {
            let near = second.saturating_sub(1)..(second + 2).min(length);
            let part = these.iter().flat_map(|r| &r.service_by_second[near.clone()]);
            let (served, offered) =
                part.fold((0.0, 0.0), |(s, o), (served, offered)| (s + served, o + offered));
            (second as f64 + 0.5, if offered > 0.0 { served / offered } else { 1.0 })
        };
        (0..length).map(at).collect()
    })?;
    legend(&mut chart)?;
    root.present()?;
    Ok(())
}

/// Plots the latency percentiles, as a mean over all seeds.
fn times(experiment: &Experiment, rows: &[&Row], path: &Path) -> Drawn {
    let most = rows.iter().flat_map(|r| &r.latency_percentiles).map(|(_, ms)| *ms).fold(1.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("time to the answer, by percentile (mean of all seeds)", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..100.0, (1.0..most * 1.05).log_scale())?;
    chart.configure_mesh().light_line_style(TRANSPARENT).x_desc("percentile").y_desc("ms").draw()?;
    lines(experiment, rows, &mut chart, |these| {
        let points = these.first().map_or(0, |r| r.latency_percentiles.len());
        let mean = |n: usize| {
            let sum: f64 = these.iter().map(|r| r.latency_percentiles[n].1).sum();
            (these[0].latency_percentiles[n].0, (sum / these.len() as f64).max(1.0))
        };
        (0..points).map(mean).collect()
    })?;
    legend(&mut chart)?;
    root.present()?;
    Ok(())
}

/// Plots the service of each variant on each scenario with its confidence interval.
fn comparison(experiment: &Experiment, summaries: &[Summary], path: &Path) -> Drawn {
    let names: Vec<&str> = experiment.scenarios.iter().map(|(s, _)| s.name.as_str()).collect();
    let root = SVGBackend::new(path, (SIZE.0.max(140 * names.len() as u32), SIZE.1)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("service by scenario, with 95% intervals", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..names.len() as f64, 0.0..1.02)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .x_labels(2 * names.len() + 1)
        .x_label_formatter(&|x| {
            let middle = (x.fract() - 0.5).abs() < 0.01;
            if middle {
                names.get(*x as usize).map_or(String::new(), |n| (*n).to_owned())
            } else {
                String::new()
            }
        })
        .draw()?;
    let count = experiment.variants.len() as f64;
    for (n, variant) in experiment.variants.iter().enumerate() {
        let shade = colour(experiment, *variant);
        let bars: Vec<(f64, f64, f64)> = summaries
            .iter()
            .filter(|s| s.variant == *variant)
            .filter_map(|s| {
                let place = names.iter().position(|name| *name == s.scenario)? as f64;
                let half = if s.service.half_width.is_finite() { s.service.half_width } else { 0.0 };
                Some((place + 0.1 + 0.8 * n as f64 / count, s.service.mean, half))
            })
            .collect();
        let width = 0.7 / count;
        let series =
            bars.iter().map(|(x, y, _)| Rectangle::new([(*x, 0.0), (x + width, *y)], shade.filled()));
        chart
            .draw_series(series)?
            .label(variant.name())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 18, y + 5)], shade.filled()));
        chart.draw_series(bars.iter().map(|(x, y, half)| {
            let middle = x + width / 2.0;
            PathElement::new([(middle, y - half), (middle, (y + half).min(1.02))], BLACK.stroke_width(1))
        }))?;
    }
    legend(&mut chart)?;
    root.present()?;
    Ok(())
}

/// Draws a line for each variant through the points computed from its rows.
fn lines<'a, X, Y>(
    experiment: &Experiment,
    rows: &[&Row],
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>,
    points: impl Fn(&[&Row]) -> Vec<(f64, f64)>,
) -> Drawn
where
    X: Ranged<ValueType = f64>,
    Y: Ranged<ValueType = f64>,
{
    for variant in &experiment.variants {
        let these: Vec<&Row> = rows.iter().filter(|r| r.variant == *variant).copied().collect();
        let style = colour(experiment, *variant).stroke_width(2);
        chart
            .draw_series(LineSeries::new(points(&these), style))?
            .label(variant.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    Ok(())
}

fn legend<'a, C>(chart: &mut ChartContext<'a, SVGBackend<'a>, C>) -> Drawn
where
    C: CoordTranslate,
{
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.2))
        .draw()?;
    Ok(())
}
