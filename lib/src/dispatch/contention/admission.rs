//! Whether an arriving job is admitted, waits or is refused, by the forecast of its start and the time it can
//! wait.
//!
//! A caller whose job cannot start in time gains from an immediate refusal: it can go elsewhere, or retry
//! when there is room. A job that is refused although it would have been served is lost to its caller, so a
//! job is refused only if the forecast exceeds its time by a margin, and forecasts use only recent reports.

use super::release::Forecast;
use crate::dispatch::policy::Contention;
use crate::prelude::*;

/// What happens to an arriving job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// There may be room for the job now.
    Admit,
    /// The job waits for room.
    Wait,
    /// The job would start too late and is refused.
    Refuse,
}

/// Decides about a job that can wait for `slack` from now.
pub fn decide_admission(
    forecast: &Forecast,
    slack: Duration,
    policy: &Contention,
) -> AdmissionDecision {
    if forecast.free >= forecast.need {
        return AdmissionDecision::Admit;
    }
    let max_wait = slack.mul_f64(policy.refuse_margin) + policy.refuse_after;
    if forecast.wait() > max_wait {
        AdmissionDecision::Refuse
    } else {
        AdmissionDecision::Wait
    }
}
