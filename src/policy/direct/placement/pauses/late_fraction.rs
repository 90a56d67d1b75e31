/// Expected fraction, from 0 to 1, of the streams running at a replica whose pause exceeds the
/// target while the replica spends `block_ms` on prefill.
///
/// A quadratic ramp rather than a step at the target, since the replica's current speed is not
/// known exactly. It starts at 0, since short blocks in succession add up to a long pause.
pub fn late_fraction(
    block_ms: f64,
    target_ms: f64,
) -> f64 {
    (block_ms / target_ms).clamp(0.0, 1.0).powi(2)
}
