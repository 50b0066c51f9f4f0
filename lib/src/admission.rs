//! Admission control: decides whether a job is accepted, and when the caller of a refused job should retry.
//!
//! The wait is estimated from the number of tasks ahead, the mean duration of a task and the number of slots.
//! A job that can't meet its deadline is refused at once, so that tasks whose caller has given up never
//! occupy a slot.

use std::time::Duration;

use rand::Rng;
use rand::RngCore;

use crate::clock::Mono;
use crate::clock::millis;
use crate::outcome::Cause;

/// The weight of a new sample in the moving mean of task durations.
const MEAN_WEIGHT: f64 = 0.02;
/// The mean task duration that is assumed before any task has ended.
const INITIAL_MEAN: Duration = Duration::from_millis(300);
/// The lower bound of a retry delay, before jitter.
const MIN_RETRY: Duration = Duration::from_millis(200);
/// The upper bound of a retry delay, before jitter.
const MAX_RETRY: Duration = Duration::from_secs(20);

/// The load and the limits that an admission decision is based on.
#[derive(Clone, Copy, Debug)]
pub struct QueueLoad {
    /// The number of tasks ahead: those that wait at the entry, and those placed in excess of the slots.
    pub waiting: usize,
    /// The number of slots that run these tasks.
    pub slots: usize,
    /// The number of tasks that wait at the entry and share the quota of the team.
    pub team_waiting: usize,
    /// The quota of the team; `None` if it is unlimited.
    pub team_quota: Option<usize>,
    /// The maximum of tasks ahead and tasks of the job together. A larger job is accepted only if none are
    /// ahead.
    pub queue: usize,
    /// The maximum estimated wait of an accepted job.
    pub longest: Duration,
}

/// Estimates queue waits and decides on the admission of jobs.
#[derive(Debug)]
pub struct Admission {
    /// The moving mean of task durations, in seconds.
    mean: f64,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            mean: INITIAL_MEAN.as_secs_f64(),
        }
    }
}

impl Admission {
    /// Records the duration of a task that has ended.
    pub fn record_duration(&mut self, took: Duration) {
        self.mean += (took.as_secs_f64() - self.mean) * MEAN_WEIGHT;
    }

    /// Returns the mean duration of a task.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns the estimated wait of a task that arrives now.
    pub fn expected_wait(&self, load: &QueueLoad) -> Duration {
        let estimate = |tasks: usize, slots: usize| self.mean * tasks as f64 / slots.max(1) as f64;
        let all = estimate(load.waiting, load.slots);
        let team = load
            .team_quota
            .map_or(0.0, |quota| estimate(load.team_waiting, quota));
        Duration::from_secs_f64(all.max(team))
    }

    /// Decides whether to accept a job of `tasks` tasks with `left` until its deadline.
    ///
    /// # Errors
    ///
    /// Returns the cause of the refusal and the estimated wait.
    pub fn admit(
        &self,
        load: &QueueLoad,
        tasks: usize,
        left: Duration,
    ) -> Result<(), (Cause, Duration)> {
        let wait = self.expected_wait(load);
        if load.waiting + tasks > load.queue.max(tasks) || wait > load.longest {
            return Err((Cause::QueueFull, wait));
        }
        if wait + self.mean() > left {
            return Err((Cause::Deadline, wait));
        }
        Ok(())
    }
}

/// Returns the time after which a refused caller should retry, in milliseconds.
///
/// It is the estimated wait within bounds, with a jitter of half of it to either side so that refused callers
/// do not all retry at once.
pub fn retry_ms(wait: Duration, rng: &mut dyn RngCore) -> u64 {
    let base = wait.clamp(MIN_RETRY, MAX_RETRY);
    millis(base.mul_f64(rng.random_range(0.5..1.5)))
}

/// A token bucket that limits immediate retries of tasks that were returned without having started.
///
/// It gains tokens with each task that is started and over time. Without it, retries could amplify an
/// overload.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Mono,
}

/// The number of tokens that each start adds.
const TOKENS_PER_START: f64 = 0.1;
/// The capacity of the budget.
const MAX_TOKENS: f64 = 100.0;
/// The number of tokens added per second, so that a system with few starts can retry too.
const TOKENS_PER_SECOND: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            tokens: MAX_TOKENS,
            refilled_at: Mono(0),
        }
    }
}

impl RetryBudget {
    /// Adds the tokens for a task that was started.
    pub fn record_start(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_START).min(MAX_TOKENS);
    }

    /// Takes a token for one retry. Returns false if the budget is exhausted.
    pub fn take(&mut self, now: Mono) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * TOKENS_PER_SECOND).min(MAX_TOKENS);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
