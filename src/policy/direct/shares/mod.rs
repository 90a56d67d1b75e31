//! Fair shares of client accounts: which accounts have used up their max-min share of the tokens
//! that all replicas produce, over the whole fleet and a sliding window of some seconds.

mod account_share;
mod account_usage;
mod fair_allocation;
mod fair_level;
mod placement_rate;
mod recent_allocations;
mod reported_usage;
mod retry_window;
mod share_status;
mod share_tracker;

pub use {
    account_share::AccountShare, account_usage::AccountUsage, fair_allocation::FairAllocation,
    fair_level::fair_level, placement_rate::PlacementRate, recent_allocations::RecentAllocations,
    reported_usage::ReportedUsage, retry_window::RetryWindow, share_status::ShareStatus,
    share_tracker::ShareTracker,
};
