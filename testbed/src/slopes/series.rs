use {
    super::fit::Fit,
    serde::{Deserialize, Serialize},
};

/// One cost, measured at several sizes, with the line through it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub name: String,
    pub per: String,  // what x counts
    pub unit: String, // of y
    pub x: Vec<f64>,
    pub y: Vec<f64>,
    pub slope: f64,
    pub intercept: f64,
    pub residual: f64, // largest distance from the line, by the largest y
}

impl Series {
    /// Fits a line to measured points.
    pub fn new(
        name: &str,
        per: &str,
        unit: &str,
        points: &[(f64, f64)],
    ) -> Self {
        let (x, y): (Vec<f64>, Vec<f64>) = points.iter().copied().unzip();
        let fit = Fit::through(&x, &y);
        Self {
            name: name.to_owned(),
            per: per.to_owned(),
            unit: unit.to_owned(),
            x,
            y,
            slope: fit.slope,
            intercept: fit.intercept,
            residual: fit.residual,
        }
    }

    /// The line at `x`.
    pub fn at(
        &self,
        x: f64,
    ) -> f64 {
        self.intercept + self.slope * x
    }

    /// The largest size measured.
    pub fn largest(&self) -> f64 {
        self.x.iter().copied().fold(0.0, f64::max)
    }
}
