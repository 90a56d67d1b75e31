/// The part of a body's bytes that a younger one must hold to be refused in its place, so that
/// small bodies do not have to make room for long ones.
const COMPARABLE_DIVISOR: u64 = 2;

/// Which of the bodies that are being read is refused when there is no memory for what came of the
/// one numbered `own`: of those that hold about as much or more, the one that began last.
///
/// `bodies` are numbers, which grow with the time at which reading began, and bytes held.
pub fn choose_refused_upload(
    own: u64,
    own_bytes: u64,
    bodies: impl IntoIterator<Item = (u64, u64)>,
) -> u64 {
    let comparable = bodies
        .into_iter()
        .filter(|(_, bytes)| *bytes >= own_bytes / COMPARABLE_DIVISOR);
    let last = comparable.map(|(number, _)| number).max();
    last.map_or(own, |last| last.max(own))
}
