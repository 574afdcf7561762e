//! What one run at one size measured, and its form between two processes.

use std::collections::BTreeMap;

/// Values by name of the metric.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sample {
    values: BTreeMap<String, f64>,
}

impl Sample {
    /// Notes a value.
    pub fn set(&mut self, metric: &str, value: f64) {
        self.values.insert(metric.to_owned(), value);
    }

    /// Returns a value, if it was measured.
    pub fn get(&self, metric: &str) -> Option<f64> {
        self.values.get(metric).copied()
    }

    /// Writes one line for each value.
    pub fn to_lines(&self) -> String {
        let lines = self.values.iter().map(|(name, v)| format!("{name} {v}\n"));
        lines.collect()
    }

    /// Reads what [`Self::to_lines`] wrote; other lines are left out.
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
