use {crate::policy::Moment, std::time::Duration};

/// What was seen this long ago counts for a third: longer than a clump of requests lasts,
/// and shorter than the time in which accounts are compared.
const FADES: Duration = Duration::from_secs(1);

/// As many requests as this are taken to have found room: a few refusals say little.
const USUAL: f32 = 3.0;

/// How many requests of accounts that were not over their share found room of late.
#[derive(Debug, Default)]
pub struct RoomEvidence {
    counted: Moment,
    requests: f32,
    placed: f32,
}

impl RoomEvidence {
    /// A request was placed, or refused for want of room.
    pub fn count(
        &mut self,
        now: Moment,
        is_placed: bool,
    ) {
        let fade = self.fade(now);
        self.requests = self.requests * fade + 1.0;
        self.placed = self.placed * fade + if is_placed { 1.0 } else { 0.0 };
        self.counted = now;
    }

    /// 1 where all requests find room; 0 where half of them or fewer do.
    pub fn spare(
        &self,
        now: Moment,
    ) -> f32 {
        let fade = self.fade(now);
        let placed = (self.placed * fade + USUAL) / (self.requests * fade + USUAL);
        (placed * 2.0 - 1.0).max(0.0)
    }

    fn fade(
        &self,
        now: Moment,
    ) -> f32 {
        let age = now.saturating_sub(self.counted);
        (-age.as_secs_f32() / FADES.as_secs_f32()).exp()
    }
}
