//! Which client accounts have had their share of what all replicas make, over
//! the whole fleet and the last seconds.

mod account_share;
mod account_usage;
mod division;
mod fair_level;
mod given_lately;
mod retry_window;
mod room_evidence;
mod share_book;
mod standing;
mod told_usage;

pub use {
    account_share::AccountShare, account_usage::AccountUsage, division::Division,
    fair_level::fair_level, given_lately::GivenLately, retry_window::RetryWindow,
    room_evidence::RoomEvidence, share_book::ShareBook, standing::Standing, told_usage::ToldUsage,
};
