use rand::Rng;

/// Draws the number of tokens of a request from a lognormal distribution with this
/// median, limited to ten times the median. `spread` is the standard deviation of the
/// logarithm.
pub fn token_cost(
    random: &mut impl Rng,
    median: f64,
    spread: f64,
) -> u32 {
    let normal = standard_normal(random);
    let tokens = median * (spread * normal).exp();
    tokens.clamp(1.0, median * 10.0) as u32
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn standard_normal(random: &mut impl Rng) -> f64 {
    let radius = (-2.0 * random.random_range(f64::EPSILON..1.0).ln()).sqrt();
    let angle = random.random_range(0.0..std::f64::consts::TAU);
    radius * angle.cos()
}
