/// How many routers choose by the same reports, this one too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    pub in_zone: usize, // of the own availability zone
    pub in_all: usize,
}

impl Default for FleetSize {
    fn default() -> Self {
        Self {
            in_zone: 1,
            in_all: 1,
        }
    }
}
