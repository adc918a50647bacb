//! Linear regression of measured points.

use serde_json::{Value, json};

/// One measured point.
#[derive(Debug, Clone, Copy)]
pub struct Point {
    /// Size of the measured system.
    pub size: f64,
    /// Measured value at that size.
    pub value: f64,
}

/// Returns the least-squares line: slope, value at size zero and largest residual.
pub fn fit_line(points: &[Point]) -> Value {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let squares: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    let products: f64 =
        points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let slope = products / squares;
    let base = mean_value - slope * mean_size;
    let distance = |point: &Point| (point.value - base - slope * point.size).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max);
    json!({
        "slope": round_significant(slope),
        "base": round_significant(base),
        "largest_residual": round_significant(residual),
    })
}

/// Rounds `value` to four significant digits.
pub fn round_significant(value: f64) -> f64 {
    if value == 0.0 {
        return 0.0;
    }
    let scale = 10_f64.powi(3 - value.abs().log10().floor() as i32);
    (value * scale).round() / scale
}
