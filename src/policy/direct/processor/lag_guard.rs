use std::time::Duration;

/// A process whose timers fire later than this refuses requests, as it would relay them late
/// and place them by outdated figures. A fifth of the shortest usual target latency (300 ms),
/// so that refusals come quickly.
pub const MAX_LAG: Duration = Duration::from_millis(60);

/// Accounts that are served less than this part of what the best served account gets are not
/// refused for lag: whose connections reach a router that lags must not decide what accounts get.
const MIN_SERVED_FRACTION: f32 = 0.5;

/// Lag beyond which every request is refused: callers would have left before it is sent.
const MAX_BEARABLE_LAG: Duration = Duration::from_millis(500);

/// Whether a router whose timers fire this late takes a request of an account. `served_fraction` is
/// what the account is served over the whole fleet, as a part of what the best served one gets. The
/// greater the lag, the less an account must be served for its requests to be taken.
pub fn admits_despite_lag(
    lag: Duration,
    served_fraction: f32,
) -> bool {
    if lag <= MAX_LAG {
        return true;
    }
    let permitted = (MAX_LAG.as_secs_f32() / lag.as_secs_f32()).max(MIN_SERVED_FRACTION);
    lag <= MAX_BEARABLE_LAG && served_fraction < permitted
}
