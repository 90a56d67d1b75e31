//! Reports of experiments: text for the terminal, a page with plots.

mod demo_report;
mod html_page;
mod plot;

pub use demo_report::{DemoReport, DemoRun};
