/// Which part of the streams that run at a replica pause for too long under a block of
/// reading of this length, 0 to 1. A ramp, since how quick a replica is at a moment is not
/// known well; steeper near the aim; from nothing on, since blocks that follow each other
/// break what each alone would not.
pub fn broken_share(
    block_ms: f64,
    aim_ms: f64,
) -> f64 {
    (block_ms / aim_ms).clamp(0.0, 1.0).powi(2)
}
