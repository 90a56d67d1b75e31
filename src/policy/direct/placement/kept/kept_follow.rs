/// Where the events of a replica's memory go on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KeptFollow {
    pub epoch: Option<u32>, // none was heard of
    pub next: u64,          // number of the first event that is not known
}
