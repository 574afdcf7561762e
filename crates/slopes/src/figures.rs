//! All measured series, and values derived from them.

use crate::roles;
use crate::roles::Bench;
use crate::series::Series;

/// Series of one run of the command.
#[derive(Debug, Default)]
pub struct Figures {
    series: Vec<Series>,
}

impl Figures {
    /// Adds the series of a bench.
    pub fn extend(&mut self, series: Vec<Series>) {
        self.series.extend(series);
    }

    /// Returns all series, in the order of the benches.
    pub fn series(&self) -> &[Series] {
        &self.series
    }

    /// Returns the fitted value of a metric at the bench's target size, or NaN if not measured.
    pub fn at_target(&self, bench: &Bench, metric: &str) -> f64 {
        self.find(bench, metric)
            .map_or(f64::NAN, Series::value_at_target)
    }

    /// Returns the growth of a metric from the target size to one more, or NaN if not measured.
    pub fn slope_at_target(&self, bench: &Bench, metric: &str) -> f64 {
        let series = self.find(bench, metric);
        series.map_or(f64::NAN, |s| {
            s.fit.value_at(s.target + 1.0) - s.fit.value_at(s.target)
        })
    }

    /// Returns the smallest and the largest measured value.
    pub fn measured_range(&self, bench: &Bench, metric: &str) -> (f64, f64) {
        let values = self.find(bench, metric).map_or(&[][..], |s| &s.points);
        values.iter().fold((f64::MAX, f64::MIN), |(low, high), p| {
            (low.min(p.1), high.max(p.1))
        })
    }

    /// Tells whether every bench has run, which rewriting the page requires.
    pub fn is_complete(&self) -> bool {
        let has = |bench: &&&Bench| self.series.iter().any(|s| s.bench == bench.name);
        roles::BENCHES.iter().filter(has).count() == roles::BENCHES.len()
    }

    fn find(&self, bench: &Bench, metric: &str) -> Option<&Series> {
        let mut series = self.series.iter();
        series.find(|s| s.bench == bench.name && s.metric == metric)
    }
}
