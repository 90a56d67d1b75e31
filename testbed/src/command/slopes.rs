use {
    crate::slopes::{Slopes, capacity_page, measure_accounts, measure_slopes},
    getopts::Matches,
    std::fs,
};

/// The committed results.
const SLOPES_FILE: &str = "docs/capacity/slopes.json";

/// The committed page.
const PAGE_FILE: &str = "docs/CAPACITY.md";

/// Measures the slopes, writes them and the page that follows from them.
///
/// With `--only accounts` it prints that part and writes nothing.
pub async fn slopes(matches: &Matches) {
    if matches.opt_str("only").as_deref() == Some("accounts") {
        let slopes = measure_accounts().await;
        let json = serde_json::to_string_pretty(&slopes).expect("slopes are JSON");
        return println!("{json}");
    }
    let slopes = measure_slopes().await;
    let json = serde_json::to_string_pretty(&slopes).expect("slopes are JSON");
    let file = matches.opt_str("out").unwrap_or(SLOPES_FILE.to_owned());
    fs::write(file, json + "\n").expect("the result file can be written");
    fs::write(PAGE_FILE, capacity_page(&slopes)).expect("the page can be written");
}

/// Writes the page anew from the committed results.
pub fn capacity() {
    let json = fs::read_to_string(SLOPES_FILE).expect("slopes were measured");
    let slopes: Slopes = serde_json::from_str(&json).expect("slopes are JSON");
    fs::write(PAGE_FILE, capacity_page(&slopes)).expect("the page can be written");
}
