//! A straight line through measured points, and how far they are from it.

use serde_json::{Value, json};

/// One measured point.
#[derive(Debug, Clone, Copy)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The figure at that size.
    pub value: f64,
}

/// Returns slope, value at size zero and the largest distance from the line, by least squares.
pub fn line(points: &[Point]) -> Value {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    let common: f64 =
        points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let slope = common / spread;
    let base = mean_value - slope * mean_size;
    let off = |point: &Point| (point.value - base - slope * point.size).abs();
    let residual = points.iter().map(off).fold(0.0, f64::max);
    json!({ "slope": short(slope), "base": short(base), "largest_residual": short(residual) })
}

/// Returns `value` with four significant digits.
pub fn short(value: f64) -> f64 {
    if value == 0.0 {
        return 0.0;
    }
    let scale = 10_f64.powi(3 - value.abs().log10().floor() as i32);
    (value * scale).round() / scale
}
