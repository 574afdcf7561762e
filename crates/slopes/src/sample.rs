//! Values measured by one run at one size, and their text form for passing between processes.

use std::collections::BTreeMap;

/// Measured values by metric name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sample {
    values: BTreeMap<String, f64>,
}

impl Sample {
    /// Records a value.
    pub fn set(&mut self, metric: &str, value: f64) {
        self.values.insert(metric.to_owned(), value);
    }

    /// Returns a value, if it was measured.
    pub fn get(&self, metric: &str) -> Option<f64> {
        self.values.get(metric).copied()
    }

    /// Formats one line for each value.
    pub fn to_lines(&self) -> String {
        let lines = self.values.iter().map(|(name, v)| format!("{name} {v}\n"));
        lines.collect()
    }

    /// Parses the output of [`Self::to_lines`]; other lines are ignored.
    ///
    /// ```
    /// use sedgeridge_slopes::sample::Sample;
    ///
    /// let mut sample = Sample::default();
    /// sample.set("bytes", 12.5);
    /// assert_eq!(Sample::from_lines(&sample.to_lines()), sample);
    /// ```
    pub fn from_lines(text: &str) -> Self {
        let mut sample = Self::default();
        for line in text.lines() {
            if let Some((name, value)) = line.split_once(' ')
                && let Ok(value) = value.parse()
            {
                sample.set(name, value);
            }
        }
        sample
    }
}
