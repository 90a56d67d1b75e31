/// Number of routers that choose replicas by the same reports, this one included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    pub in_zone: usize, // in this router's availability zone
    pub total: usize,   // in all zones
}

impl Default for FleetSize {
    fn default() -> Self {
        Self {
            in_zone: 1,
            total: 1,
        }
    }
}
