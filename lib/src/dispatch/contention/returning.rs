//! When callers that were turned away come back.
//!
//! Load pattern: a burst turns away hundreds of callers within a second. If all of them come back after the same time,
//! they are a burst of their own. Each is told a time of its own: those that were turned away first come first, and
//! they follow each other as fast as room comes.

use crate::dispatch::policy::Contention;
use crate::prelude::*;

/// The times that callers were told.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    /// When the next one may come.
    next: Mono,
}

impl RetrySchedule {
    /// How long a caller stays away. `wait` is how long what waits now needs, and `gap` how long it takes until there
    /// is room for one job more.
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
