//! Reports of demonstrations, as text for the terminal and as an HTML page with plots.

mod demo_report;
mod html_page;
mod plot;

pub use demo_report::{DemoReport, DemoRun};
