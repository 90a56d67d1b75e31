use {crate::codes::Ran, crate::policy::RouterExchange};

/// Whether a request ran, as far as all attempts at it tell.
///
/// A "not run" concerns its own attempt only: an earlier one with an unknown outcome may still
/// have run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Attempts {
    count: u32,
    may_have_run: bool,
}

impl Attempts {
    /// The number of attempts that have ended.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Records how an attempt ended.
    pub fn ended(
        &mut self,
        state: RouterExchange,
    ) {
        self.count += 1;
        if !matches!(state, RouterExchange::Ended(Ran::No, _)) {
            self.may_have_run = true;
        }
    }

    /// What the caller is to know, given the result of the last attempt.
    pub fn ran(
        &self,
        last: Ran,
    ) -> Ran {
        if self.may_have_run && last == Ran::No {
            Ran::Unknown
        } else {
            last
        }
    }
}
