//! The rate at which permits for a cold target are issued.

use std::time::Duration;

/// How long after it was asked for a permit may be used. Requests that are sent in one second were
/// permitted within that second and this time before it.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(200);
/// Number of issuers that must not exceed the bound together, when nodes disagree about the members.
const MAX_ISSUERS: f64 = 2.0;
/// Burst of an issuer, as a time at its rate and at least.
const BURST_TIME: Duration = Duration::from_millis(250);
const MIN_BURST: f64 = 1.0;
/// Lower bound, as a fraction of the tolerated rate. Without it, a bound that leaves no room for two
/// bursts would keep cold targets from any request.
const MIN_FRACTION: f64 = 0.25;

/// Returns the rate at which permits are issued for a cold target that tolerates `rate` requests per
/// second and may get up to `rate * factor + slack` in any one second.
pub fn issue_rate(rate: f64, factor: f64, slack: f64) -> f64 {
    let bound = (rate * factor + slack) / MAX_ISSUERS;
    let span = 1.0 + PERMIT_LIFETIME.as_secs_f64();
    let by_burst_time = bound / (span + BURST_TIME.as_secs_f64());
    let by_min_burst = (bound - MIN_BURST) / span;
    let allowed = by_burst_time.min(by_min_burst);
    allowed.clamp(rate * MIN_FRACTION, rate)
}
