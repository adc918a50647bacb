//! Histograms of latencies, with the same buckets in every process so that they can be added up.

use prometheus_client::metrics::{
    family::Family,
    histogram::{Histogram, exponential_buckets},
};

/// Smallest bucket, in seconds: a call on one host takes about that.
const FIRST_BUCKET: f64 = 0.0005;

/// Factor between two buckets.
const BUCKET_FACTOR: f64 = 2.0;

/// Number of buckets; the largest is about 16 s, longer than any caller waits.
const BUCKETS: u16 = 16;

/// Latencies in seconds by their labels.
pub type LatencyHistograms<L> = Family<L, Histogram>;

/// Returns an empty family of histograms.
pub fn latency_histograms<L: Clone + std::hash::Hash + Eq>() -> LatencyHistograms<L> {
    let histogram: fn() -> Histogram =
        || Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS));
    Family::new_with_constructor(histogram)
}
