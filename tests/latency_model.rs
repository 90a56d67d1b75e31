//! The time of engines to a first token is estimated, whatever their speed.

use {
    archmast::policy::placement::{
        EngineLatency, FirstToken, LatencyModel, LatencyModels, LatencyReport,
    },
    proptest::prelude::*,
    std::{sync::Arc, time::Duration},
};

/// A simulated engine.
#[derive(Debug, Clone, Copy)]
struct Engine {
    fixed_ms: f64,
    tokens_per_ms: f64,
}

impl Engine {
    fn first_token(
        self,
        tokens: u32,
        noise_ms: f64,
    ) -> FirstToken {
        let ms = self.fixed_ms + f64::from(tokens) / self.tokens_per_ms + noise_ms;
        FirstToken {
            tokens,
            queue_ms: 0.0,
            took: Duration::from_secs_f64(ms.max(0.1) / 1000.0),
        }
    }
}

/// The model after `samples` first tokens of prompts of several lengths.
fn model_after(
    engine: Engine,
    samples: u32,
    noise_ms: f64,
) -> LatencyModel {
    let mut model = LatencyModel::default();
    for sample in 0..samples {
        let tokens = 200 + (sample * 2953) % 9000;
        let sign = f64::from(sample % 3) - 1.0;
        model.record(engine.first_token(tokens, sign * noise_ms));
    }
    model
}

fn is_near(
    estimate: f64,
    actual: f64,
) -> bool {
    (estimate - actual).abs() <= actual * 0.15
}

proptest! {
    #[test]
    fn the_model_fits_any_engine_within_two_hundred_first_tokens(
        speed in 5.0..500.0f64,
        fixed_ms in 20.0..100.0f64,
    ) {
        let engine = Engine { fixed_ms, tokens_per_ms: speed };
        let times = model_after(engine, 200, 5.0).times();
        let estimated_ms = times.fixed_ms + times.prefill_ms(8000);
        prop_assert!(is_near(estimated_ms, fixed_ms + 8000.0 / speed), "{times:?}");
        let estimated_short_ms = times.fixed_ms + times.prefill_ms(500);
        prop_assert!((estimated_short_ms - fixed_ms - 500.0 / speed).abs() < 20.0, "{times:?}");
    }

    #[test]
    fn the_model_adapts_to_an_engine_that_changes(
        before in 5.0..500.0f64,
        after in 5.0..500.0f64,
    ) {
        let engine = |tokens_per_ms| Engine { fixed_ms: 50.0, tokens_per_ms };
        let mut model = model_after(engine(before), 1000, 5.0);
        for sample in 0..3000 {
            model.record(engine(after).first_token(200 + (sample * 2953) % 9000, 0.0));
        }
        let times = model.times();
        let estimated_ms = times.fixed_ms + times.prefill_ms(8000);
        prop_assert!(is_near(estimated_ms, 50.0 + 8000.0 / after), "{times:?}");
    }
}

#[test]
fn a_few_first_tokens_replace_the_initial_estimate() {
    for tokens_per_ms in [20.0, 38.0, 112.0, 300.0] {
        let engine = Engine {
            fixed_ms: 50.0,
            tokens_per_ms,
        };
        let times = model_after(engine, 12, 0.0).times();
        let estimated_ms = times.fixed_ms + times.prefill_ms(8000);
        assert!(
            is_near(estimated_ms, 50.0 + 8000.0 / tokens_per_ms),
            "{times:?}"
        );
    }
}

#[test]
fn one_outlier_changes_little() {
    let engine = Engine {
        fixed_ms: 50.0,
        tokens_per_ms: 40.0,
    };
    let mut model = model_after(engine, 300, 2.0);
    let before = model.times();
    model.record(engine.first_token(5000, 20_000.0));
    let after = model.times();
    assert!(!after.differs(&before, 0.05), "{before:?} {after:?}");
}

#[test]
fn time_in_the_queue_does_not_count_as_prefill() {
    let engine = Engine {
        fixed_ms: 50.0,
        tokens_per_ms: 40.0,
    };
    let mut model = LatencyModel::default();
    for sample in 0..300 {
        let queue_ms = f64::from(sample % 4) * 60.0;
        let tokens = 200 + (sample * 2953) % 9000;
        model.record(FirstToken {
            queue_ms,
            ..engine.first_token(tokens, queue_ms)
        });
    }
    assert!(is_near(1.0 / model.times().token_ms, 40.0));
}

#[test]
fn prompts_of_equal_length_give_a_finite_estimate() {
    let engine = Engine {
        fixed_ms: 50.0,
        tokens_per_ms: 40.0,
    };
    let mut model = LatencyModel::default();
    for _ in 0..5000 {
        model.record(engine.first_token(1000, 0.0));
    }
    let times = model.times();
    let estimated_ms = times.fixed_ms + times.prefill_ms(1000);
    assert!(is_near(estimated_ms, 75.0), "{times:?}");
}

#[test]
fn a_router_that_starts_uses_the_latency_reports_of_peers() {
    let service: Arc<str> = "model".into();
    let mut models = LatencyModels::default();
    let report = LatencyReport {
        service_hash: 1,
        times: EngineLatency {
            fixed_ms: 60.0,
            token_ms: 0.01,
            residual_ms: 12.0,
        },
        samples: 5000,
    };
    assert!(models.reports().is_empty(), "no samples, no report");
    models.apply_report(&service, &report);
    assert!(!models.times("model").differs(&report.times, 0.01));
    // Its own first tokens change the estimate as if it had seen all samples of the report.
    let engine = Engine {
        fixed_ms: 60.0,
        tokens_per_ms: 50.0,
    };
    for sample in 0..400 {
        models.record(
            &service,
            engine.first_token(200 + (sample * 2953) % 9000, 0.0),
        );
    }
    assert!(is_near(1.0 / models.times("model").token_ms, 50.0));
    // A router with enough samples of its own ignores reports.
    models.apply_report(&service, &report);
    assert!(models.times("model").token_ms > 0.015);
}

#[test]
fn a_change_of_the_estimate_is_returned_when_it_exceeds_a_fifth() {
    let service: Arc<str> = "model".into();
    let engine = Engine {
        fixed_ms: 50.0,
        tokens_per_ms: 40.0,
    };
    let mut models = LatencyModels::default();
    let changes = (0..2000).filter(|sample| {
        let first_token = engine.first_token(200 + (sample * 2953) % 9000, 0.0);
        models.record(&service, first_token).is_some()
    });
    assert!((1..=12).contains(&changes.count()));
}

/// In the first second of a fleet no router knows what others send, and first tokens come late,
/// here ten by 400 ms. The residual is subtracted from the time available to every later request:
/// it must not grow with these, even though the initial estimate is far off.
#[test]
fn late_first_tokens_at_the_start_do_not_inflate_the_residual() {
    let initial = LatencyModel::default().times().residual_ms;
    let mut model = LatencyModel::default();
    for _ in 0..10 {
        model.record(FirstToken {
            tokens: 4000,
            queue_ms: 100.0,
            took: Duration::from_millis(600),
        });
    }
    let residual = model.times().residual_ms;
    assert!(residual < initial * 2.0, "{residual}");
}
