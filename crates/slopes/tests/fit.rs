//! Tests of curve fitting.

use sedgeridge_slopes::fit::Fit;
use sedgeridge_slopes::fit::Shape;
use yare::parameterized;

const SIZES: [f64; 5] = [25.0, 50.0, 100.0, 200.0, 400.0];

#[parameterized(
    line = { Shape::Linear },
    n_log_n = { Shape::LogLinear },
    logarithm = { Shape::Logarithmic },
    square_root = { Shape::SquareRoot },
    square = { Shape::Quadratic },
)]
fn finds_the_shape_that_made_the_points(shape: Shape) {
    let points = SIZES.map(|n| (n, 10.0 + 3.0 * shape.term(n)));
    let fit = Fit::best(&points);
    assert!(fit.largest_residual < 0.05, "{fit:?}");
    let exact = Fit::with_shape(shape, &points);
    assert!(exact.largest_residual < 1e-9, "{exact:?}");
    assert!((exact.slope - 3.0).abs() < 1e-6, "{exact:?}");
}

#[test]
fn a_square_is_not_called_a_line() {
    let points = SIZES.map(|n| (n, n * n));
    assert_eq!(Fit::best(&points).shape, Shape::Quadratic);
}

#[test]
fn residuals_are_told_as_a_part_of_the_mean() {
    let points = [(1.0, 9.0), (2.0, 11.0), (3.0, 9.0), (4.0, 11.0)];
    let fit = Fit::with_shape(Shape::Linear, &points);
    assert!((fit.largest_residual - 0.12).abs() < 1e-9, "{fit:?}");
}

#[test]
fn a_quantity_that_does_not_grow_has_no_slope() {
    let points = SIZES.map(|n| (n, 7.0));
    let fit = Fit::best(&points);
    assert_eq!((fit.shape, fit.slope), (Shape::Linear, 0.0));
    assert!((fit.value_at(1e6) - 7.0).abs() < 1e-9);
}
