//! The capacity page says what the committed results say.

use archmast_testbed::slopes::{Slopes, capacity_page};

#[test]
fn the_page_is_worked_out_from_the_committed_results() {
    let json = include_str!("../../docs/capacity/slopes.json");
    let slopes: Slopes = serde_json::from_str(json).expect("slopes");
    let page = include_str!("../../docs/CAPACITY.md");
    assert!(
        page == capacity_page(&slopes),
        "run: archmast-testbed capacity"
    );
}

#[test]
fn every_series_has_at_least_four_points() {
    let json = include_str!("../../docs/capacity/slopes.json");
    let slopes: Slopes = serde_json::from_str(json).expect("slopes");
    for series in &slopes.series {
        assert!(series.x.len() >= 4, "{}", series.name);
        assert_eq!(series.x.len(), series.y.len(), "{}", series.name);
    }
}
