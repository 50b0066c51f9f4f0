//! How well the worker does: told from ends and progress, not from what it says of itself.

use std::collections::VecDeque;

use super::Executor;
use super::RunState;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::dispatch::policy::Health as HealthPolicy;
use crate::event::Kind;
use crate::prelude::*;

/// Readings above this say no more than that the worker is very slow.
const MAX_RATIO: f64 = 20.0;

/// How long a run took, or takes by its progress, against its estimate.
#[derive(Clone, Copy, Debug)]
struct PaceReading {
    job: JobNumber,
    ratio: f64,
    at: Mono,
}

/// The middle of some numbers; 0 if there are none. Of an even count it is the lower one, so that
/// half of the readings alone do not make a worker slow.
fn lower_median(numbers: impl Iterator<Item = f64>) -> f64 {
    let mut numbers: Vec<f64> = numbers.collect();
    numbers.sort_by(f64::total_cmp);
    let at = numbers.len().saturating_sub(1) / 2;
    numbers.get(at).copied().unwrap_or(0.0)
}

/// The worker's recent history.
#[derive(Debug)]
pub(super) struct Health {
    policy: HealthPolicy,
    /// How long tasks took against their estimates, the newest reading of each job, the oldest
    /// first.
    readings: VecDeque<PaceReading>,
    /// The middle of the readings; 0 if not known.
    pace: f64,
    failures: u32,
    last_failed: Option<JobNumber>,
    /// When the last trial task was let through, while suspect.
    last_trial: Option<Mono>,
    trial_gap: Duration,
    suspect: bool,
}

impl Health {
    /// Nothing is known of the worker yet.
    pub fn new(policy: HealthPolicy) -> Health {
        Health {
            policy,
            readings: VecDeque::new(),
            pace: 0.0,
            failures: 0,
            last_failed: None,
            last_trial: None,
            trial_gap: Duration::ZERO,
            suspect: false,
        }
    }

    /// A run ended whole.
    pub fn record_success(&mut self, now: Mono, job: JobNumber, ratio: Option<f64>) {
        self.failures = 0;
        self.last_failed = None;
        self.suspect = false;
        self.trial_gap = self.policy.trial_first;
        if let Some(ratio) = ratio {
            self.record_pace(now, job, ratio);
        }
    }

    /// A run failed, or the worker turned a start away.
    pub fn record_failure(&mut self, now: Mono, job: JobNumber) {
        if self.last_failed != Some(job) {
            self.failures += 1;
        }
        self.last_failed = Some(job);
        if self.failures >= self.policy.failures {
            self.mark_suspect(now);
        }
    }

    fn mark_suspect(&mut self, now: Mono) {
        let next = if self.suspect {
            self.trial_gap * 2
        } else {
            self.policy.trial_first
        };
        self.trial_gap = next.clamp(self.policy.trial_first, self.policy.trial_last);
        self.suspect = true;
        self.last_trial = Some(now);
    }

    /// A run stood still.
    pub fn record_stall(&mut self, now: Mono) {
        let at_once = self.suspect
            && self
                .last_trial
                .is_some_and(|at| now.since(at) < self.policy.trial_first / 4);
        if !at_once {
            self.mark_suspect(now);
        }
    }

    /// A run of a job takes this many times its estimate.
    pub fn record_pace(&mut self, now: Mono, job: JobNumber, ratio: f64) {
        let (most, age) = (self.policy.pace_jobs as usize, self.policy.pace_age);
        self.readings
            .retain(|r| r.job != job && now.since(r.at) < age);
        if self.readings.len() >= most {
            self.readings.pop_front();
        }
        let ratio = ratio.min(MAX_RATIO);
        self.readings.push_back(PaceReading {
            job,
            ratio,
            at: now,
        });
        self.pace = lower_median(self.readings.iter().map(|r| r.ratio));
    }

    /// The pace, in percent of the estimates; 0 if not known.
    pub fn pace_percent(&self) -> u32 {
        (self.pace * 100.0) as u32
    }

    /// Whether the worker should get tasks on trial only.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Whether a suspect worker may be tried now. Counts as the trial if so.
    pub fn try_start_trial(&mut self, now: Mono) -> bool {
        let due = self
            .last_trial
            .is_none_or(|at| now.since(at) >= self.trial_gap);
        if due {
            self.last_trial = Some(now);
        }
        due
    }
}

impl Executor {
    /// Stops runs that stand still, so that they can run elsewhere.
    pub(super) fn stop_stalled(&mut self, now: Mono) {
        let responsive = self.worker.as_ref().is_some_and(|w| w.responsive);
        if !responsive {
            return;
        }
        let stall = self.setup.policy.health.stall;
        let still = |run: &super::runs::Run| {
            let bound = stall + run.estimate / 10;
            run.state == RunState::Running
                && now.since(run.progressed_at) >= bound
                && run.percent < 100
        };
        let names = self.runs.iter().filter(|(_, r)| still(r));
        let names: Vec<TaskName> = names.map(|(t, _)| *t).collect();
        for name in names {
            self.health.record_stall(now);
            self.log(Kind::RunStalled, name.to_string());
            self.stop_run(now, name, EndKind::Stalled);
        }
    }
}
