//! Stand-ins of the independent review, and the cases that they play.

mod case_cut_by_stop;
mod case_endless_event;
mod case_surplus;
mod fleet;
mod http;
mod record;
mod replica;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = arguments.get(1).cloned().unwrap_or_default();
    let broken = match arguments.first().map(String::as_str) {
        Some("replica") => return replica::run(&arguments[1..]),
        Some("endless-event") => case_endless_event::run(&folder, has_trouble),
        Some("cut-by-stop") => case_cut_by_stop::run(&folder, has_trouble),
        Some("surplus") => case_surplus::run(&folder, has_trouble),
        _ => panic!("no such case"),
    };
    std::process::exit(i32::from(broken));
}
