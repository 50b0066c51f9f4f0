//! When refused callers retry.
//!
//! Load pattern: in a burst hundreds of callers are refused within a second. If all of them retry after the
//! same time, they are a burst of their own. So each gets a retry time of its own: callers that were refused
//! first retry first, and they follow each other at the rate at which room becomes free.

use crate::dispatch::policy::Contention;
use crate::prelude::*;

/// The retry times that have been given to callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    /// The earliest time for the next caller.
    next: Mono,
}

impl RetrySchedule {
    /// Reserves the next retry time and returns the delay until then. `wait` is the time that the work
    /// waiting now needs, `gap` the time until there is room for one more job, and `base` the shortest delay.
    /// No delay exceeds the policy's maximum, unless `base` does.
    pub fn schedule_retry(
        &mut self,
        now: Mono,
        wait: Duration,
        gap: Duration,
        base: Duration,
        policy: &Contention,
    ) -> Duration {
        let first = now + base.max(wait);
        let last = now + policy.return_most.max(base);
        let at = self.next.max(first).min(last);
        self.next = (at + gap).min(last);
        now.until(at)
    }
}
