//! Slopes of what the product's processes cost, and the capacity page that is
//! worked out from them.

mod accounts;
mod bounds;
mod fit;
mod load;
mod page;
mod peers;
mod series;
mod size;
mod slopes;

pub use {
    page::capacity_page,
    series::Series,
    slopes::{Slopes, measure_accounts, measure_slopes},
};
