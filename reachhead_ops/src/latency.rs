//! Latency histograms with the same buckets in every process, so that they can be aggregated.

use prometheus_client::metrics::{
    family::Family,
    histogram::{Histogram, exponential_buckets},
};

/// Upper bound of the smallest bucket in seconds; about the duration of a call within one host.
const FIRST_BUCKET: f64 = 0.0005;

/// Ratio of the bounds of two adjacent buckets.
const BUCKET_FACTOR: f64 = 2.0;

/// Number of buckets; the largest bound is about 16 s, longer than any caller waits.
const BUCKET_COUNT: u16 = 16;

/// Latency histograms in seconds, by labels.
pub type LatencyHistograms<L> = Family<L, Histogram>;

/// Returns an empty family of latency histograms.
pub fn latency_histograms<L: Clone + std::hash::Hash + Eq>() -> LatencyHistograms<L> {
    let histogram: fn() -> Histogram =
        || Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKET_COUNT));
    Family::new_with_constructor(histogram)
}
