//! Whether a job is taken or turned away as it comes.
//!
//! A caller whose job can't start in time is better off with a refusal at once than with one when its time has passed:
//! it can go elsewhere, or come back when there is room. A job that is refused though it would have been served is
//! lost for its caller, so the prediction has to be behind by a margin, and counts nothing that is not fresh.

use super::drain::Forecast;
use crate::dispatch::policy::Contention;
use crate::prelude::*;

/// What becomes of a job that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// There may be room for it now.
    Admit,
    /// It waits.
    Hold,
    /// It would start too late.
    Refuse,
}

/// Judges a job that can wait for `slack` from now.
pub fn decide_admission(
    forecast: &Forecast,
    slack: Duration,
    policy: &Contention,
) -> AdmissionDecision {
    if forecast.free >= forecast.need {
        return AdmissionDecision::Admit;
    }
    let bound = slack.mul_f64(policy.refuse_margin) + policy.refuse_after;
    if forecast.wait() > bound {
        AdmissionDecision::Refuse
    } else {
        AdmissionDecision::Hold
    }
}
