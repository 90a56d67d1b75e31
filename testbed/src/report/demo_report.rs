use {
    super::html_page::html_page,
    crate::{load::ReplayResult, measure::LatencyResult},
    std::fmt::Write,
};

/// How a row of the report reads its value.
type Value = fn(&ReplayResult) -> String;

/// A deployment replayed under one order.
pub struct DemoRun {
    pub order: &'static str,
    pub result: ReplayResult,
}

/// What a demonstration shows.
pub struct DemoReport {
    pub deployment: &'static str,
    pub latency: LatencyResult,
    pub runs: Vec<DemoRun>, // the product's order first, then its baseline
}

impl DemoReport {
    /// The report for a terminal.
    pub fn text(&self) -> String {
        let mut text = format!("deployment {}\n\n", self.deployment);
        let mut line = |words: std::fmt::Arguments| {
            writeln!(text, "{words}").expect("a string takes all");
        };
        line(format_args!(
            "{:<34}{}",
            "",
            self.each(|run| format!("order = {}", run.order))
        ));
        for class in self.runs[0].result.classes.keys() {
            let row = self.each(|run| {
                let class = &run.result.classes[class];
                format!("{} of {}", class.in_patience, class.requests)
            });
            line(format_args!(
                "{:<34}{row}",
                format!("{class}: whole, in patience")
            ));
        }
        let rows: [(&str, Value); 7] = [
            ("told not run", |r| total(r, |c| c.not_run)),
            ("cut or unknown", |r| total(r, |c| c.other)),
            ("wrong answers", |r| total(r, |c| c.wrong)),
            ("ran twice", |r| r.doubled.to_string()),
            ("fairness gap, tokens per share", |r| {
                format!("{:.0}", r.worst_gap)
            }),
            ("utilisation while work waits", |r| {
                format!("{:.3}", r.utilisation)
            }),
            ("control B/s, router / sidecar", |r| {
                format!("{:.0} / {:.0}", r.router_control, r.sidecar_control)
            }),
        ];
        for (name, value) in rows {
            line(format_args!(
                "{name:<34}{}",
                self.each(|run| value(&run.result))
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

    /// The report as a page with plots.
    pub fn html(&self) -> String {
        html_page(self)
    }

    fn each(
        &self,
        word: impl Fn(&DemoRun) -> String,
    ) -> String {
        self.runs
            .iter()
            .map(|run| format!("{:<20}", word(run)))
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
