use {crate::policy::Moment, std::time::Duration};

/// A moment that another router may have reported: in milliseconds by this process's clock,
/// negative before its start, so that the order of earlier events is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SignedMoment(i64);

impl SignedMoment {
    /// The moment `ago_ms` before `now`.
    pub fn before(
        now: Moment,
        ago_ms: u32,
    ) -> Self {
        Self(now.as_millis() as i64 - i64::from(ago_ms))
    }

    /// How long ago it was, in milliseconds; 0 if it is still to come.
    pub fn ago_ms(
        self,
        now: Moment,
    ) -> u32 {
        let ago = now.as_millis() as i64 - self.0;
        ago.clamp(0, u32::MAX.into()) as u32
    }

    /// The moment `time` later.
    pub fn plus(
        self,
        time: Duration,
    ) -> Self {
        Self(self.0 + time.as_millis() as i64)
    }

    /// The time until this moment; zero once it has passed.
    pub fn remaining(
        self,
        now: Moment,
    ) -> Duration {
        let remaining_ms = self.0 - now.as_millis() as i64;
        Duration::from_millis(remaining_ms.max(0) as u64)
    }
}

impl From<Moment> for SignedMoment {
    fn from(moment: Moment) -> Self {
        Self(moment.as_millis() as i64)
    }
}
