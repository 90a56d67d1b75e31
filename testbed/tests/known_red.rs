//! `scripts/known-red-filter` builds the test filter of `scripts/test` from the list of known red
//! tests. A name that it does not understand must neither pass over other tests nor end the run
//! without saying why.

use std::{fs, path::Path, process::Command};

/// The filter for a list, or the error.
fn filter(list: &str) -> Result<String, String> {
    let name = format!("archmast-known-red-{:016x}.txt", rand::random::<u64>());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, list).expect("the list is written");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scripts/known-red-filter");
    let output = Command::new(script).arg(&path).output();
    fs::remove_file(&path).expect("the list is removed");
    let output = output.expect("the script runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text").trim().to_owned();
    match output.status.success() {
        true => Ok(text(output.stdout)),
        false => Err(text(output.stderr)),
    }
}

#[test]
fn tests_are_named_exactly() {
    let list = "a_stream_ends: (cargo nextest run) two of 7; seen: once\nother_2: x\n";
    let expected = "test(=a_stream_ends)|test(=other_2)";
    assert_eq!(filter(list).as_deref(), Ok(expected));
    assert_eq!(filter(list.trim_end()).as_deref(), Ok(expected));
}

#[test]
fn scripts_are_no_tests_of_cargo() {
    let scripts = "review/1/run.sh: fails always\n";
    assert_eq!(filter(scripts).as_deref(), Ok(""));
    let both = format!("{scripts}a_stream_ends: twice\n");
    assert_eq!(filter(&both).as_deref(), Ok("test(=a_stream_ends)"));
    assert_eq!(filter("").as_deref(), Ok(""));
}

#[test]
fn a_name_that_is_no_test_is_refused_with_its_line() {
    for name in [
        "",
        " ",
        "ends)|all(",
        "ends(1)",
        "two, three",
        "[ends]",
        "a stream ends",
        "ends\\",
        "*",
        "review/1/run.sh)",
        "/ends/",
    ] {
        let error = filter(&format!("a_stream_ends: twice\n{name}: once\n"));
        let error = error.expect_err(name);
        assert!(error.contains(":2: "), "{name}: {error}");
        assert!(error.contains(&format!("\"{name}\"")), "{name}: {error}");
    }
}

#[test]
fn an_entry_without_a_colon_or_an_empty_line_is_refused() {
    for list in ["a_stream_ends\n", "a_stream_ends: twice\n\nother: once\n"] {
        let error = filter(list).expect_err(list);
        assert!(error.contains("no colon"), "{error}");
    }
}
