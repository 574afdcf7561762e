//! Draws a series as SVG: axes, points, the fitted curve and the residuals under it.

use std::fmt::Write;

use crate::series::Series;

const WIDTH: f64 = 640.0;
const HEIGHT: f64 = 420.0;
const LEFT: f64 = 80.0;
const RIGHT: f64 = 20.0;
const TOP: f64 = 40.0;
/// Lower edge of the plot of values.
const BOTTOM: f64 = 270.0;
/// Middle of the plot of residuals.
const RESIDUAL_MIDDLE: f64 = 340.0;
/// Height of the largest residual.
const RESIDUAL_HEIGHT: f64 = 25.0;
/// Straight pieces of which the curve is made.
const PIECES: u32 = 60;
const TICKS: u32 = 4;

/// Draws a series.
pub fn draw(series: &Series) -> String {
    let frame = Frame::of(series);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>\n"
    );
    text(&mut svg, WIDTH / 2.0, 20.0, "middle", series.title);
    let size_title = format!("{} (residuals above)", series.size_title);
    text(&mut svg, WIDTH / 2.0, HEIGHT - 10.0, "middle", &size_title);
    axes(&mut svg, &frame);
    curve(&mut svg, &frame, series);
    points(&mut svg, &frame, series);
    residuals(&mut svg, &frame, series);
    svg.push_str("</svg>\n");
    svg
}

/// How sizes and values become places.
struct Frame {
    largest_size: f64,
    largest_value: f64,
}

impl Frame {
    fn of(series: &Series) -> Self {
        let sizes = series.points.iter().map(|point| point.0);
        let values = series.points.iter().map(|point| point.1);
        Self {
            largest_size: sizes.fold(series.target, f64::max),
            largest_value: values
                .fold(series.at_target(), f64::max)
                .max(f64::MIN_POSITIVE),
        }
    }

    fn x(&self, size: f64) -> f64 {
        LEFT + size / self.largest_size * (WIDTH - LEFT - RIGHT)
    }

    fn y(&self, value: f64) -> f64 {
        BOTTOM - value.max(0.0) / self.largest_value * (BOTTOM - TOP)
    }
}

fn axes(svg: &mut String, frame: &Frame) {
    line(svg, (LEFT, TOP), (LEFT, BOTTOM), "black");
    line(svg, (LEFT, BOTTOM), (WIDTH - RIGHT, BOTTOM), "black");
    for tick in 0..=TICKS {
        let part = f64::from(tick) / f64::from(TICKS);
        let size = frame.largest_size * part;
        let value = frame.largest_value * part;
        text(svg, frame.x(size), BOTTOM + 15.0, "middle", &short(size));
        text(svg, LEFT - 6.0, frame.y(value) + 4.0, "end", &short(value));
    }
}

fn curve(svg: &mut String, frame: &Frame, series: &Series) {
    let sizes = (0..=PIECES).map(|n| frame.largest_size * f64::from(n) / f64::from(PIECES));
    let places = sizes.map(|size| {
        let value = series.fit.at(size);
        format!("{:.1},{:.1}", frame.x(size), frame.y(value))
    });
    let places: Vec<String> = places.collect();
    let _ = writeln!(
        svg,
        "<polyline fill=\"none\" stroke=\"steelblue\" points=\"{}\"/>",
        places.join(" ")
    );
    let label = format!(
        "{}, largest residual {:.1}%",
        series.fit.formula(short),
        series.fit.largest_residual * 100.0
    );
    text(svg, LEFT + 10.0, TOP, "start", &label);
}

fn points(svg: &mut String, frame: &Frame, series: &Series) {
    for (size, value) in &series.points {
        let (x, y) = (frame.x(*size), frame.y(*value));
        let _ = writeln!(svg, "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3.5\"/>");
    }
}

fn residuals(svg: &mut String, frame: &Frame, series: &Series) {
    let middle = RESIDUAL_MIDDLE;
    line(svg, (LEFT, middle), (WIDTH - RIGHT, middle), "grey");
    let residual = |(size, value): &(f64, f64)| value - series.fit.at(*size);
    let sizes = series.points.iter().map(|point| residual(point).abs());
    let largest = sizes.fold(f64::MIN_POSITIVE, f64::max);
    let label = format!("+-{}", short(largest));
    text(svg, LEFT - 6.0, middle + 4.0, "end", &label);
    for point in &series.points {
        let x = frame.x(point.0);
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

/// Writes a number with three digits that count.
pub fn short(value: f64) -> String {
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
