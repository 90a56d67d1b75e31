/// A straight line through points, by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    pub slope: f64,
    pub intercept: f64,
    pub residual: f64, // largest distance from the line, by the largest y
}

impl Fit {
    /// The line of least squares.
    pub fn through(
        xs: &[f64],
        ys: &[f64],
    ) -> Self {
        let count = xs.len() as f64;
        let mean = |values: &[f64]| values.iter().sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(xs), mean(ys));
        let covariance: f64 = xs
            .iter()
            .zip(ys)
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = xs.iter().map(|x| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        let intercept = mean_y - slope * mean_x;
        let largest = ys.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        let off = xs
            .iter()
            .zip(ys)
            .map(|(x, y)| (y - intercept - slope * x).abs())
            .fold(0.0, f64::max);
        Self {
            slope,
            intercept,
            residual: off / largest,
        }
    }
}
