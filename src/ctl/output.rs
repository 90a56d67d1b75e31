use {
    comfy_table::{Table, presets::NOTHING},
    serde::Serialize,
};

/// Formats a table with a header, for people.
pub fn table(
    head: &[&str],
    rows: impl IntoIterator<Item = Vec<String>>,
) -> String {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(head);
    for row in rows {
        table.add_row(row);
    }
    format!("{table}\n")
}

/// Formats a value as JSON, for programs.
pub fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}
