use super::{DemoReport, plot::line_plot};

/// An HTML page with the report's text, a plot of the fairness gaps and a table of each
/// run's service by account.
pub fn html_page(report: &DemoReport) -> String {
    let gaps: Vec<_> = report
        .runs
        .iter()
        .map(|run| (format!("order = {}", run.order), run.result.gaps.clone()))
        .collect();
    let plot = line_plot("Fairness gap over time", "tokens per share", &gaps)
        .unwrap_or_else(|error| format!("<p>no plot: {error}</p>"));
    let tables: String = report.runs.iter().map(service_table).collect();
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>archmast: {name}</title>\
         <style>body{{font-family:sans-serif;max-width:60em;margin:2em auto}}\
         td,th{{padding:0 1em 0 0;text-align:left}}</style></head>\n\
         <body><h1>archmast: {name}</h1>\n<pre>{text}</pre>\n{plot}\n{tables}</body></html>\n",
        name = report.deployment,
        text = report.text(),
    )
}

fn service_table(run: &super::DemoRun) -> String {
    let rows: String = run
        .result
        .service
        .iter()
        .map(|(account, service)| format!("<tr><td>{account}</td><td>{service:.0}</td></tr>"))
        .collect();
    format!(
        "<h2>Tokens per share, order = {}</h2>\
         <table><tr><th>account</th><th>tokens per share</th></tr>{rows}</table>\n",
        run.order
    )
}
