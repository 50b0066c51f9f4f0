//! The worker's health, derived from the ends and progress of its runs and not from its own reports.
//!
//! Each end and each sample of progress updates the failure count and the pace. A suspect worker gets tasks
//! on trial only.

use std::collections::VecDeque;

use super::Executor;
use super::RunState;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::dispatch::policy::Health as HealthPolicy;
use crate::event::Kind;
use crate::prelude::*;

/// Readings are clamped to this ratio. Higher ones carry no more information: the worker is very slow.
const MAX_RATIO: f64 = 20.0;

/// The time of a run, measured at its end or projected from its progress, relative to its estimate.
#[derive(Clone, Copy, Debug)]
struct PaceReading {
    job: JobNumber,
    ratio: f64,
    at: Mono,
}

/// Returns the median; 0 if there are no numbers. For an even count it is the lower of the two middle ones,
/// so that half of the readings alone do not make a worker slow.
fn lower_median(numbers: impl Iterator<Item = f64>) -> f64 {
    let mut numbers: Vec<f64> = numbers.collect();
    numbers.sort_by(f64::total_cmp);
    let at = numbers.len().saturating_sub(1) / 2;
    numbers.get(at).copied().unwrap_or(0.0)
}

/// The recent outcomes of the worker's runs.
#[derive(Debug)]
pub(super) struct Health {
    policy: HealthPolicy,
    /// The newest reading of each job, the oldest first.
    readings: VecDeque<PaceReading>,
    /// The median of the readings; 0 if unknown.
    pace: f64,
    /// Consecutive failures; repeated ones of the same job count once.
    failures: u32,
    last_failed: Option<JobNumber>,
    /// When the last trial task was admitted.
    last_trial: Option<Mono>,
    /// The minimum time between trials.
    trial_gap: Duration,
    suspect: bool,
}

impl Health {
    /// Creates the state of a worker of which nothing is known.
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

    /// Records a completed run, which clears suspicion.
    pub fn record_success(&mut self, now: Mono, job: JobNumber, ratio: Option<f64>) {
        self.failures = 0;
        self.last_failed = None;
        self.suspect = false;
        self.trial_gap = self.policy.trial_first;
        if let Some(ratio) = ratio {
            self.record_pace(now, job, ratio);
        }
    }

    /// Records a failed run, or a start that the worker refused because it is unhealthy.
    pub fn record_failure(&mut self, now: Mono, job: JobNumber) {
        if self.last_failed != Some(job) {
            self.failures += 1;
        }
        self.last_failed = Some(job);
        if self.failures >= self.policy.failures {
            self.mark_suspect(now);
        }
    }

    /// Marks the worker as suspect; each time while it is suspect the gap between trials doubles.
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

    /// Records a run without progress. Several that stall at the same time count once.
    pub fn record_stall(&mut self, now: Mono) {
        let repeated = self.suspect
            && self
                .last_trial
                .is_some_and(|at| now.since(at) < self.policy.trial_first / 4);
        if !repeated {
            self.mark_suspect(now);
        }
    }

    /// Records that a run of a job takes `ratio` times its estimate.
    pub fn record_pace(&mut self, now: Mono, job: JobNumber, ratio: f64) {
        let (max_jobs, age) = (self.policy.pace_jobs as usize, self.policy.pace_age);
        self.readings
            .retain(|r| r.job != job && now.since(r.at) < age);
        if self.readings.len() >= max_jobs {
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

    /// Returns the pace in percent of the estimates; 0 if unknown.
    pub fn pace_percent(&self) -> u32 {
        (self.pace * 100.0) as u32
    }

    /// Returns whether the worker gets tasks on trial only.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }

    /// Returns whether a suspect worker may get a trial task now, and records the trial if so.
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
    /// Stops runs without progress, so that they can run elsewhere.
    pub(super) fn stop_stalled(&mut self, now: Mono) {
        let responsive = self.worker.as_ref().is_some_and(|w| w.responsive);
        if !responsive {
            return;
        }
        let stall = self.setup.policy.health.stall;
        let is_stalled = |run: &super::runs::Run| {
            let bound = stall + run.estimate / 10;
            run.state == RunState::Running
                && now.since(run.progressed_at) >= bound
                && run.percent < 100
        };
        let names = self.runs.iter().filter(|(_, r)| is_stalled(r));
        let names: Vec<TaskName> = names.map(|(t, _)| *t).collect();
        for name in names {
            self.health.record_stall(now);
            self.log(Kind::RunStalled, name.to_string());
            self.stop_run(now, name, EndKind::Stalled);
        }
    }
}
