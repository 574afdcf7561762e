//! A measured quantity at several sizes.

use crate::fit::Fit;

/// Points of one metric of one bench, with the curve through them.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Bench that measured it.
    pub bench: &'static str,
    /// Name of the metric.
    pub metric: &'static str,
    /// What it is, with its unit.
    pub title: &'static str,
    /// What the size counts.
    pub size_title: &'static str,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
    /// Size to which the curve is drawn out.
    pub target: f64,
    /// The curve.
    pub fit: Fit,
}

impl Series {
    /// Returns the value of the curve at the target.
    pub fn value_at_target(&self) -> f64 {
        self.fit.value_at(self.target)
    }

    /// Returns the name of the plot's file.
    pub fn file_name(&self) -> String {
        format!("{}-{}.svg", self.bench, self.metric.replace('_', "-"))
    }
}
