use {super::live_answer::LiveAnswer, crate::ops::ENDLESS_ANSWERS};

/// Lets through what of an answer had arrived by its deadline, and no more: the bytes of a replica
/// that sends without an end are always ready.
#[derive(Default)]
pub struct LateBytes {
    left: Option<usize>, // `None` before the deadline
}

impl LateBytes {
    /// Whether bytes that were read from `answer` after its deadline had arrived by then, as far as
    /// is known. Counts the answer if they had not.
    pub fn admit(
        &mut self,
        answer: &LiveAnswer,
        bytes: usize,
    ) -> bool {
        let left = self.left.unwrap_or_else(|| answer.arrived_bytes() + bytes);
        let Some(left) = left.checked_sub(bytes) else {
            metrics::counter!(ENDLESS_ANSWERS).increment(1);
            return false;
        };
        self.left = Some(left);
        true
    }
}
