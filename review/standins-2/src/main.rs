//! The scripts of the second review: `review-case-2 NUMBER ROOT RECORD TROUBLE`. Ends with 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run.

mod case_memory;
mod case_restart;
mod case_upload;
mod http;
mod record;
mod replica;
mod router;
mod store;

use std::{env, path::PathBuf, process::exit};

/// What a case is run with.
pub struct Run {
    pub root: PathBuf,   // of the repository
    pub folder: PathBuf, // a temporary one
    pub record: record::Record,
    pub has_trouble: bool,
}

/// How a case ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, record, folder, trouble] = &arguments[..] else {
        eprintln!("usage: review-case-2 NAME ROOT RECORD FOLDER TROUBLE");
        exit(2);
    };
    let run = Run {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        record: record::Record::create(record.as_ref()),
        has_trouble: trouble != "0",
    };
    let verdict = match case.as_str() {
        "memory" => case_memory::play(&run),
        "restart" => case_restart::play(&run),
        "upload" => case_upload::play(&run),
        _ => Verdict::NotRun,
    };
    run.record.line(format!("verdict: {verdict:?}"));
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}
