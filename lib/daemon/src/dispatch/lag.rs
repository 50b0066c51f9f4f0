//! How late a process gets to what is due: the delay of its own event loop.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

/// A delay of the loop from here on is logged: less than a third of the silence of 700 ms after which
/// others close their links, so that the line comes before the harm.
const LATE: Duration = Duration::from_millis(200);
/// Lines about that are at least so far apart.
const LINE_GAP: Duration = Duration::from_secs(1);

/// The delay of a process's event loop, measured where it sleeps between ticks.
#[derive(Debug, Default)]
pub struct LoopLag {
    last: Cell<Duration>,
    /// The longest since the metrics were last read.
    longest: Cell<Duration>,
    /// The longest since the last log line.
    unlogged: Cell<Duration>,
    /// When the last log line was due.
    logged: Cell<Option<Instant>>,
}

impl LoopLag {
    /// Sleeps for `span` and notes how much later it woke up. Returns the longest delay that is
    /// to be logged now, if any is.
    pub async fn sleep(&self, span: Duration) -> Option<Duration> {
        let begun = Instant::now();
        actix_rt::time::sleep(span).await;
        self.note(begun.elapsed().saturating_sub(span), Instant::now())
    }

    /// Notes a delay that was measured at `now`.
    pub fn note(&self, late: Duration, now: Instant) -> Option<Duration> {
        self.last.set(late);
        self.longest.set(self.longest.get().max(late));
        self.unlogged.set(self.unlogged.get().max(late));
        let recent = |at: Instant| now.duration_since(at) < LINE_GAP;
        if self.unlogged.get() < LATE || self.logged.get().is_some_and(recent) {
            return None;
        }
        self.logged.set(Some(now));
        Some(self.unlogged.take())
    }

    /// The newest delay, and the longest since this was last asked.
    pub fn take(&self) -> [Duration; 2] {
        [self.last.get(), self.longest.take()]
    }
}
