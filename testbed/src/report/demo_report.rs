use {
    super::html_page::html_page,
    crate::{load::ReplayResult, measure::LatencyResult},
    std::fmt::Write,
};

/// Formats a row's value for one run.
type RowValue = fn(&ReplayResult) -> String;

/// A deployment's trace, replayed with one order in which sidecars grant requests.
pub struct DemoRun {
    pub order: &'static str, // value of the setting `fairness.order`
    pub result: ReplayResult,
}

/// The results of a demonstration.
pub struct DemoReport {
    pub deployment: &'static str,
    pub latency: LatencyResult,
    pub runs: Vec<DemoRun>, // fair order first, then the baseline
}

impl DemoReport {
    /// The report as a table for a terminal, with a column for each run.
    pub fn text(&self) -> String {
        let mut text = format!("deployment {}\n\n", self.deployment);
        let mut line = |arguments: std::fmt::Arguments| {
            writeln!(text, "{arguments}").expect("a string takes all");
        };
        line(format_args!(
            "{:<34}{}",
            "",
            self.columns(|run| format!("order = {}", run.order))
        ));
        for class in self.runs[0].result.classes.keys() {
            let row = self.columns(|run| {
                let class = &run.result.classes[class];
                format!("{} of {}", class.in_patience, class.requests)
            });
            line(format_args!(
                "{:<34}{row}",
                format!("{class}: complete in patience")
            ));
        }
        let rows: [(&str, RowValue); 7] = [
            ("refused, not run", |r| total(r, |c| c.not_run)),
            ("truncated or unknown", |r| total(r, |c| c.other)),
            ("wrong answers", |r| total(r, |c| c.wrong)),
            ("ran twice", |r| r.doubled.to_string()),
            ("fairness gap, tokens per share", |r| {
                format!("{:.0}", r.worst_gap)
            }),
            ("utilisation while requests wait", |r| {
                format!("{:.3}", r.utilisation)
            }),
            ("control B/s, router / sidecar", |r| {
                format!("{:.0} / {:.0}", r.router_control, r.sidecar_control)
            }),
        ];
        for (name, value) in rows {
            line(format_args!(
                "{name:<34}{}",
                self.columns(|run| value(&run.result))
            ));
        }
        line(format_args!(
            "{:<34}{:.2} ms ({:.2} through the fleet, {:.2} direct)",
            "added latency, median",
            self.latency.added_median,
            self.latency.through_median,
            self.latency.direct_median,
        ));
        text
    }

    /// The report as an HTML page with plots.
    pub fn html(&self) -> String {
        html_page(self)
    }

    /// One text per run, padded to the width of a column.
    fn columns(
        &self,
        text: impl Fn(&DemoRun) -> String,
    ) -> String {
        self.runs
            .iter()
            .map(|run| format!("{:<20}", text(run)))
            .collect()
    }
}

fn total(
    result: &ReplayResult,
    count: fn(&crate::load::ClassResult) -> u64,
) -> String {
    let sum: u64 = result.classes.values().map(count).sum();
    sum.to_string()
}
