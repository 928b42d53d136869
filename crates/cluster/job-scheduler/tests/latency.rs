//! The latency histograms of the metrics.
use spanlead_job_scheduler::LatencyHistogram;

#[test]
fn empty_histogram_has_count_and_quantile_zero() {
    let histogram = LatencyHistogram::default();
    assert_eq!((histogram.count(), histogram.quantile_ms(0.5)), (0, 0));
}

#[test]
fn quantiles_are_the_upper_bounds_of_their_buckets() {
    let mut histogram = LatencyHistogram::default();
    for ms in [0, 1, 4, 5, 18, 19, 90, 95, 150, 5_000] {
        histogram.record(ms);
    }
    assert_eq!(histogram.count(), 10);
    assert_eq!(histogram.quantile_ms(0.2), 1);
    assert_eq!(histogram.quantile_ms(0.4), 5);
    assert_eq!(histogram.quantile_ms(0.5), 20);
    assert_eq!(histogram.quantile_ms(0.8), 100);
    assert_eq!(histogram.quantile_ms(0.9), 200);
    assert_eq!(histogram.quantile_ms(1.0), 10_000, "the bound of the overflow bucket");
}
