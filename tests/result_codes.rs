//! The table of result codes in the docs matches the code.

use archmast::codes::ResultCode;

#[test]
fn the_docs_list_every_code() {
    let docs = include_str!("../docs/RESULT-CODES.md");
    let rows: Vec<&str> = docs
        .lines()
        .filter(|l| l.starts_with("| ") && !l.contains("code |"))
        .collect();
    assert_eq!(rows.len(), ResultCode::ALL.len());
    for (row, code) in rows.iter().zip(ResultCode::ALL) {
        let status = match code.http_status() {
            0 => "-".to_owned(),
            status => status.to_string(),
        };
        let expected = format!(
            "| {} | {code:?} | {} | {status} | {} |",
            code.number(),
            code.ran(),
            code.meaning()
        );
        assert_eq!(*row, expected);
    }
}

#[test]
fn every_code_can_be_an_exit_code() {
    for code in ResultCode::ALL {
        assert!((3..126).contains(&code.number()), "{code:?}");
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
}
