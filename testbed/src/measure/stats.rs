use {hdrhistogram::Histogram, std::time::Duration};

/// The quantile `share` (0 to 1) of the times, in milliseconds.
pub fn percentile(
    times: &[Duration],
    share: f64,
) -> f64 {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
    histogram.auto(true);
    for time in times {
        histogram
            .record(time.as_micros() as u64)
            .expect("the histogram grows");
    }
    histogram.value_at_quantile(share) as f64 / 1_000.0
}

/// The median, in milliseconds.
pub fn median(times: &[Duration]) -> f64 {
    percentile(times, 0.5)
}
