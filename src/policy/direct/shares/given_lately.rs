use {
    super::{AccountUsage, Division},
    crate::policy::Moment,
    std::{collections::HashMap, time::Duration},
};

/// Over which part of a window of shares it fades: short, since an account that is shut out
/// waits for about this long.
const FADES: f32 = 1.0 / 3.0;

/// Less than this part of a share is not kept.
const NEGLIGIBLE: f32 = 0.001;

/// How each account is served now, as a part of its share: what it was given in the last
/// part of a window, where each token counts by the level at the time.
#[derive(Debug, Default)]
pub struct GivenLately {
    noted: Moment,
    accounts: HashMap<u32, Noted>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Noted {
    shares: f32,
    got: f32, // tokens over the fleet, up to which shares were worked out
}

impl GivenLately {
    /// Whether it was noted `age` ago, or longer.
    pub fn is_due(
        &self,
        now: Moment,
        age: Duration,
    ) -> bool {
        now.saturating_sub(self.noted) >= age
    }

    /// Counts what was given since the last time, at the level of now.
    pub fn note(
        &mut self,
        now: Moment,
        division: &Division,
    ) {
        let noted = division.usage().map(|(account, usage)| {
            let shares = self.shares(now, account, usage, division);
            (
                account,
                Noted {
                    shares,
                    got: usage.got,
                },
            )
        });
        let noted = noted
            .filter(|(_, noted)| noted.shares > NEGLIGIBLE || noted.got > 0.0)
            .collect();
        self.accounts = noted;
        self.noted = now;
    }

    /// What an account was given lately; 1 if it is just what it may have.
    pub fn shares(
        &self,
        now: Moment,
        account: u32,
        usage: AccountUsage,
        division: &Division,
    ) -> f32 {
        let known = self.accounts.get(&account).copied().unwrap_or_default();
        let windows = now.saturating_sub(self.noted).as_secs_f32() / division.window.as_secs_f32();
        let given = (usage.got - known.got * (-windows).exp()) / division.level.max(1.0);
        (known.shares * (-windows / FADES).exp() + given / FADES).max(0.0)
    }
}
