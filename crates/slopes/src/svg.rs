//! Draws a series as SVG: axes, points, the fitted curve and the residuals under it.

use std::fmt::Write;

use crate::series::Series;

const WIDTH: f64 = 640.0;
const HEIGHT: f64 = 420.0;
const PLOT_LEFT: f64 = 80.0;
const RIGHT_MARGIN: f64 = 20.0;
const PLOT_TOP: f64 = 40.0;
/// Lower edge of the value plot.
const PLOT_BOTTOM: f64 = 270.0;
/// Zero line of the residual plot.
const RESIDUAL_MIDDLE: f64 = 340.0;
/// Drawn height of the largest residual.
const RESIDUAL_HEIGHT: f64 = 25.0;
/// Straight segments that approximate the curve.
const CURVE_SEGMENTS: u32 = 60;
const TICK_COUNT: u32 = 4;

/// Draws a series.
pub fn draw(series: &Series) -> String {
    let scales = Scales::of(series);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>\n"
    );
    text(&mut svg, WIDTH / 2.0, 20.0, "middle", series.title);
    let size_title = format!("{} (residuals above)", series.size_title);
    text(&mut svg, WIDTH / 2.0, HEIGHT - 10.0, "middle", &size_title);
    axes(&mut svg, &scales);
    curve(&mut svg, &scales, series);
    points(&mut svg, &scales, series);
    residuals(&mut svg, &scales, series);
    svg.push_str("</svg>\n");
    svg
}

/// Mapping from sizes and values to coordinates.
struct Scales {
    largest_size: f64,
    largest_value: f64,
}

impl Scales {
    fn of(series: &Series) -> Self {
        let sizes = series.points.iter().map(|point| point.0);
        let values = series.points.iter().map(|point| point.1);
        Self {
            largest_size: sizes.fold(series.target, f64::max),
            largest_value: values
                .fold(series.value_at_target(), f64::max)
                .max(f64::MIN_POSITIVE),
        }
    }

    fn x(&self, size: f64) -> f64 {
        PLOT_LEFT + size / self.largest_size * (WIDTH - PLOT_LEFT - RIGHT_MARGIN)
    }

    fn y(&self, value: f64) -> f64 {
        PLOT_BOTTOM - value.max(0.0) / self.largest_value * (PLOT_BOTTOM - PLOT_TOP)
    }
}

fn axes(svg: &mut String, scales: &Scales) {
    line(
        svg,
        (PLOT_LEFT, PLOT_TOP),
        (PLOT_LEFT, PLOT_BOTTOM),
        "black",
    );
    line(
        svg,
        (PLOT_LEFT, PLOT_BOTTOM),
        (WIDTH - RIGHT_MARGIN, PLOT_BOTTOM),
        "black",
    );
    for tick in 0..=TICK_COUNT {
        let part = f64::from(tick) / f64::from(TICK_COUNT);
        let size = scales.largest_size * part;
        let value = scales.largest_value * part;
        text(
            svg,
            scales.x(size),
            PLOT_BOTTOM + 15.0,
            "middle",
            &format_short(size),
        );
        text(
            svg,
            PLOT_LEFT - 6.0,
            scales.y(value) + 4.0,
            "end",
            &format_short(value),
        );
    }
}

fn curve(svg: &mut String, scales: &Scales, series: &Series) {
    let sizes = (0..=CURVE_SEGMENTS)
        .map(|n| scales.largest_size * f64::from(n) / f64::from(CURVE_SEGMENTS));
    let places = sizes.map(|size| {
        let value = series.fit.value_at(size);
        format!("{:.1},{:.1}", scales.x(size), scales.y(value))
    });
    let places: Vec<String> = places.collect();
    let _ = writeln!(
        svg,
        "<polyline fill=\"none\" stroke=\"steelblue\" points=\"{}\"/>",
        places.join(" ")
    );
    let label = format!(
        "{}, largest residual {:.1}%",
        series.fit.formula(format_short),
        series.fit.largest_residual * 100.0
    );
    text(svg, PLOT_LEFT + 10.0, PLOT_TOP, "start", &label);
}

fn points(svg: &mut String, scales: &Scales, series: &Series) {
    for (size, value) in &series.points {
        let (x, y) = (scales.x(*size), scales.y(*value));
        let _ = writeln!(svg, "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3.5\"/>");
    }
}

fn residuals(svg: &mut String, scales: &Scales, series: &Series) {
    let middle = RESIDUAL_MIDDLE;
    line(
        svg,
        (PLOT_LEFT, middle),
        (WIDTH - RIGHT_MARGIN, middle),
        "grey",
    );
    let residual = |(size, value): &(f64, f64)| value - series.fit.value_at(*size);
    let sizes = series.points.iter().map(|point| residual(point).abs());
    let largest = sizes.fold(f64::MIN_POSITIVE, f64::max);
    let label = format!("+-{}", format_short(largest));
    text(svg, PLOT_LEFT - 6.0, middle + 4.0, "end", &label);
    for point in &series.points {
        let x = scales.x(point.0);
        let y = middle - residual(point) / largest * RESIDUAL_HEIGHT;
        line(svg, (x, middle), (x, y), "firebrick");
    }
}

fn line(svg: &mut String, from: (f64, f64), to: (f64, f64), colour: &str) {
    let _ = writeln!(
        svg,
        "<line x1=\"{:.1}\" y1=\"{:.1}\" x2=\"{:.1}\" y2=\"{:.1}\" stroke=\"{colour}\"/>",
        from.0, from.1, to.0, to.1
    );
}

fn text(svg: &mut String, x: f64, y: f64, anchor: &str, words: &str) {
    let words = words.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(
        svg,
        "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{words}</text>"
    );
}

/// Formats a number with about three significant digits.
pub fn format_short(value: f64) -> String {
    let size = value.abs();
    if size >= 999_500.0 {
        return format!("{:.2}M", value / 1e6);
    }
    if size >= 100.0 {
        return format!("{value:.0}");
    }
    if size >= 10.0 {
        return format!("{value:.1}");
    }
    if size >= 0.1 {
        return format!("{value:.2}");
    }
    if size >= 0.001 {
        return format!("{value:.3}");
    }
    if size >= 0.000_01 {
        return format!("{value:.5}");
    }
    "0".to_owned()
}
