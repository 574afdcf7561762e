//! A measured quantity at several sizes.

use crate::fit::Fit;

/// Points of one metric of one bench, with the fitted curve.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Bench that measured it.
    pub bench: &'static str,
    /// Name of the metric.
    pub metric: &'static str,
    /// Description of the metric with its unit, as printed in the table and the plot.
    pub title: &'static str,
    /// Description of what the size counts.
    pub size_title: &'static str,
    /// Measured points, each a size and a value.
    pub points: Vec<(f64, f64)>,
    /// Size to which the curve is extrapolated.
    pub target: f64,
    /// Curve fitted to the points.
    pub fit: Fit,
}

impl Series {
    /// Returns the value of the curve at the target.
    pub fn value_at_target(&self) -> f64 {
        self.fit.value_at(self.target)
    }

    /// Returns the file name of the plot.
    pub fn file_name(&self) -> String {
        format!("{}-{}.svg", self.bench, self.metric.replace('_', "-"))
    }
}
