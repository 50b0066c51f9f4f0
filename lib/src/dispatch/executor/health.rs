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
const MOST_RATIO: f64 = 20.0;

/// How long a run took, or takes by its progress, against its estimate.
#[derive(Clone, Copy, Debug)]
struct Reading {
    job: JobNumber,
    ratio: f64,
    at: Mono,
}

/// The middle of some numbers; 0 if there are none. Of an even count it is the lower one, so that
/// half of the readings alone do not make a worker slow.
fn middle(numbers: impl Iterator<Item = f64>) -> f64 {
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
    readings: VecDeque<Reading>,
    /// The middle of the readings; 0 if not known.
    pace: f64,
    failures: u32,
    last_failed: Option<JobNumber>,
    /// When the last trial task was let through, while suspect.
    trial: Option<Mono>,
    gap: Duration,
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
            trial: None,
            gap: Duration::ZERO,
            suspect: false,
        }
    }

    /// A run ended whole.
    pub fn done(&mut self, now: Mono, job: JobNumber, ratio: Option<f64>) {
        self.failures = 0;
        self.last_failed = None;
        self.suspect = false;
        self.gap = self.policy.trial_first;
        if let Some(ratio) = ratio {
            self.read_pace(now, job, ratio);
        }
    }

    /// A run failed, or the worker turned a start away.
    pub fn failed(&mut self, now: Mono, job: JobNumber) {
        if self.last_failed != Some(job) {
            self.failures += 1;
        }
        self.last_failed = Some(job);
        if self.failures >= self.policy.failures {
            self.suspected(now);
        }
    }

    fn suspected(&mut self, now: Mono) {
        let next = if self.suspect {
            self.gap * 2
        } else {
            self.policy.trial_first
        };
        self.gap = next.clamp(self.policy.trial_first, self.policy.trial_last);
        self.suspect = true;
        self.trial = Some(now);
    }

    /// A run stood still.
    pub fn stalled(&mut self, now: Mono) {
        let at_once = self.suspect
            && self
                .trial
                .is_some_and(|at| now.since(at) < self.policy.trial_first / 4);
        if !at_once {
            self.suspected(now);
        }
    }

    /// A run of a job takes this many times its estimate.
    pub fn read_pace(&mut self, now: Mono, job: JobNumber, ratio: f64) {
        let (most, age) = (self.policy.pace_jobs as usize, self.policy.pace_age);
        self.readings
            .retain(|r| r.job != job && now.since(r.at) < age);
        if self.readings.len() >= most {
            self.readings.pop_front();
        }
        let ratio = ratio.min(MOST_RATIO);
        self.readings.push_back(Reading {
            job,
            ratio,
            at: now,
        });
        self.pace = middle(self.readings.iter().map(|r| r.ratio));
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
    pub fn may_try(&mut self, now: Mono) -> bool {
        let due = self.trial.is_none_or(|at| now.since(at) >= self.gap);
        if due {
            self.trial = Some(now);
        }
        due
    }
}

impl Executor {
    /// Stops runs that stand still, so that they can run elsewhere.
    pub(super) fn stop_stalled(&mut self, now: Mono) {
        let answers = self.worker.as_ref().is_some_and(|w| w.answers);
        if !answers {
            return;
        }
        let stall = self.setup.policy.health.stall;
        let still = |run: &super::runs::Run| {
            let bound = stall + run.estimate / 10;
            run.state == RunState::Running && now.since(run.moved) >= bound && run.percent < 100
        };
        let names = self.runs.iter().filter(|(_, r)| still(r));
        let names: Vec<TaskName> = names.map(|(t, _)| *t).collect();
        for name in names {
            self.health.stalled(now);
            self.log(Kind::RunStalled, name.to_string());
            self.stop_run(now, name, EndKind::Stalled);
        }
    }
}
