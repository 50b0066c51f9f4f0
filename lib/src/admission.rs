//! Admission: whether a job is taken in, and when a refused caller should come back.
//!
//! The wait is estimated from the tasks in front, the mean time of a task and the slots that work
//! on them. A job that can't start in time is refused at once, so that work which nobody waits for
//! any more never takes a slot.

use std::time::Duration;

use rand::Rng;
use rand::RngCore;

use crate::clock::Mono;
use crate::clock::millis;
use crate::outcome::Cause;

/// How fast the mean time of a task follows: the weight of one more task.
const MEAN_WEIGHT: f64 = 0.02;
/// The mean assumed before any task has ended.
const FIRST_MEAN: Duration = Duration::from_millis(300);
/// The least time after which a refused caller is asked to come back.
const LEAST_RETRY: Duration = Duration::from_millis(200);
/// The longest time after which a refused caller is asked to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(20);

/// What the decision rests on.
#[derive(Clone, Copy, Debug)]
pub struct QueueLoad {
    /// Tasks in front, waiting or running, of all that share the slots.
    pub waiting: usize,
    /// The slots that may work on them.
    pub slots: usize,
    /// Tasks in front that share the team's quota.
    pub team_waiting: usize,
    /// The team's quota; `None` for no bound.
    pub team_quota: Option<usize>,
    /// The most tasks that may wait at this entry.
    pub queue: usize,
    /// The longest wait that is taken in.
    pub longest: Duration,
}

/// Estimates waits.
#[derive(Debug)]
pub struct Admission {
    mean: f64,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            mean: FIRST_MEAN.as_secs_f64(),
        }
    }
}

impl Admission {
    /// A task has ended.
    pub fn ended(&mut self, took: Duration) {
        self.mean += (took.as_secs_f64() - self.mean) * MEAN_WEIGHT;
    }

    /// The mean time of a task.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// The wait of a task that comes in now.
    pub fn wait(&self, crowd: &QueueLoad) -> Duration {
        let behind = |tasks: usize, slots: usize| self.mean * tasks as f64 / slots.max(1) as f64;
        let all = behind(crowd.waiting, crowd.slots);
        let team = crowd
            .team_quota
            .map_or(0.0, |quota| behind(crowd.team_waiting, quota));
        Duration::from_secs_f64(all.max(team))
    }

    /// Decides on a job of `tasks` tasks with `left` until its deadline.
    ///
    /// # Errors
    ///
    /// The cause of the refusal, and the wait it rests on.
    pub fn admit(
        &self,
        crowd: &QueueLoad,
        tasks: usize,
        left: Duration,
    ) -> Result<(), (Cause, Duration)> {
        let wait = self.wait(crowd);
        if crowd.waiting + tasks > crowd.queue.max(tasks) || wait > crowd.longest {
            return Err((Cause::QueueFull, wait));
        }
        if wait + self.mean() > left {
            return Err((Cause::Deadline, wait));
        }
        Ok(())
    }
}

/// When a refused caller should come back: after about the present wait, spread over as much
/// again so that the refused do not all come back at once.
pub fn retry_ms(wait: Duration, rng: &mut dyn RngCore) -> u64 {
    let base = wait.clamp(LEAST_RETRY, LONGEST_RETRY);
    millis(base.mul_f64(rng.random_range(0.5..1.5)))
}

/// A budget for repeating work that provably did not start: a tenth of what is started, saved up
/// to a bound. Without it, repeats could feed an overload.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled: Mono,
}

/// How much each start adds to the budget.
const TOKENS_A_START: f64 = 0.1;
/// The most that can be saved up.
const MOST_TOKENS: f64 = 100.0;
/// What time alone adds, a second, so that a quiet system can repeat too.
const TOKENS_A_SECOND: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            tokens: MOST_TOKENS,
            refilled: Mono(0),
        }
    }
}

impl RetryBudget {
    /// A task was started.
    pub fn started(&mut self) {
        self.tokens = (self.tokens + TOKENS_A_START).min(MOST_TOKENS);
    }

    /// Takes one repeat from the budget; false when it is spent.
    pub fn take(&mut self, now: Mono) -> bool {
        let idle = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + idle * TOKENS_A_SECOND).min(MOST_TOKENS);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
