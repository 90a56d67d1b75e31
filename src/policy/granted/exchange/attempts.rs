use {crate::codes::Ran, crate::policy::RouterExchange};

/// What all attempts at one request together say about whether it ran.
///
/// A later "not run" speaks for its own attempt only: an earlier one with an
/// unknown outcome may have run all the same.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Attempts {
    count: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Attempts that have ended.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Takes in how an attempt ended.
    pub fn ended(
        &mut self,
        state: RouterExchange,
    ) {
        self.count += 1;
        if !matches!(state, RouterExchange::Ended(Ran::No, _)) {
            self.may_have_run = true;
        }
    }

    /// What the caller may be told, given what the last step says.
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
