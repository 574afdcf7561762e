//! Least-squares fit of measured points: a line, or another curve if it fits clearly better.

/// Growth of a measured quantity with the size `n`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// `a + b n`.
    Linear,
    /// `a + b n log2 n`.
    LogLinear,
    /// `a + b n²`.
    Quadratic,
    /// `a + b log2 n`.
    Logarithmic,
    /// `a + b √n`.
    SquareRoot,
}

/// Shapes in order of preference.
const SHAPES: [Shape; 5] = [
    Shape::Linear,
    Shape::LogLinear,
    Shape::Logarithmic,
    Shape::SquareRoot,
    Shape::Quadratic,
];
/// Largest residual up to which the line is kept without trying other shapes. Above it, another
/// shape wins only if its largest residual is less than half.
const ACCEPTED_LINE_RESIDUAL: f64 = 0.05;

impl Shape {
    /// Returns the term that the factor `b` multiplies.
    pub fn term(self, n: f64) -> f64 {
        let log = n.max(1.0).log2();
        match self {
            Self::Linear => n,
            Self::LogLinear => n * log,
            Self::Logarithmic => log,
            Self::SquareRoot => n.sqrt(),
            Self::Quadratic => n * n,
        }
    }

    /// Returns the term as text.
    pub fn formula(self) -> &'static str {
        match self {
            Self::Linear => "n",
            Self::LogLinear => "n log2 n",
            Self::Logarithmic => "log2 n",
            Self::SquareRoot => "sqrt n",
            Self::Quadratic => "n^2",
        }
    }
}

/// A curve fitted to points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Shape of the curve.
    pub shape: Shape,
    /// Value where the term is zero.
    pub intercept: f64,
    /// Factor of the term.
    pub slope: f64,
    /// Largest distance of a point from the curve, as a fraction of the mean value.
    pub largest_residual: f64,
}

impl Fit {
    /// Fits a line, and returns another shape only if it is clearly better.
    ///
    /// ```
    /// use sedgeridge_slopes::fit::{Fit, Shape};
    ///
    /// let fit = Fit::best(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0), (8.0, 17.0)]);
    /// assert_eq!(fit.shape, Shape::Linear);
    /// assert!((fit.value_at(100.0) - 201.0).abs() < 1e-6);
    /// ```
    pub fn best(points: &[(f64, f64)]) -> Self {
        let line = Self::with_shape(Shape::Linear, points);
        if line.largest_residual <= ACCEPTED_LINE_RESIDUAL {
            return line;
        }
        let fits = SHAPES.iter().map(|shape| Self::with_shape(*shape, points));
        fits.fold(line, |best, fit| {
            let clearly_better = fit.largest_residual < best.largest_residual / 2.0;
            if clearly_better { fit } else { best }
        })
    }

    /// Fits one shape.
    pub fn with_shape(shape: Shape, points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let terms = || points.iter().map(|(n, _)| shape.term(*n));
        let mean_term = terms().sum::<f64>() / count;
        let mean = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let squared_deviations: f64 = terms().map(|term| (term - mean_term).powi(2)).sum();
        let deviation_products: f64 = terms()
            .zip(points)
            .map(|(term, (_, value))| (term - mean_term) * (value - mean))
            .sum();
        let slope = if squared_deviations > 0.0 {
            deviation_products / squared_deviations
        } else {
            0.0
        };
        let mut fit = Self {
            shape,
            intercept: mean - slope * mean_term,
            slope,
            largest_residual: 0.0,
        };
        let residuals = points
            .iter()
            .map(|(n, value)| (value - fit.value_at(*n)).abs());
        let scale = mean.abs().max(f64::MIN_POSITIVE);
        fit.largest_residual = residuals.fold(0.0, f64::max) / scale;
        fit
    }

    /// Formats the curve as a formula, with its numbers formatted by `number`.
    pub fn formula(&self, number: impl Fn(f64) -> String) -> String {
        let sign = if self.slope < 0.0 { '-' } else { '+' };
        let (intercept, slope) = (number(self.intercept), number(self.slope.abs()));
        format!("{intercept} {sign} {slope} x {}", self.shape.formula())
    }

    /// Returns the value of the curve at a size.
    pub fn value_at(&self, n: f64) -> f64 {
        self.intercept + self.slope * self.shape.term(n)
    }
}
