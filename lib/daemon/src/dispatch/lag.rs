//! Measurement of the delay of a process's event loop, which shows how late timers and messages are handled.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

/// Delays of at least this are logged. It is less than a third of the silence of 700 ms after which peers
/// close their links, so that the log line precedes the loss of links.
const LOG_THRESHOLD: Duration = Duration::from_millis(200);
/// The minimum time between two log lines about the delay.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The delay of a process's event loop, measured where it sleeps between ticks.
#[derive(Debug, Default)]
pub struct LoopLag {
    last: Cell<Duration>,
    /// The longest delay since the metrics were last read.
    longest: Cell<Duration>,
    /// The longest delay since the last log line.
    unlogged: Cell<Duration>,
    /// The time of the last log line.
    logged: Cell<Option<Instant>>,
}

impl LoopLag {
    /// Sleeps for `span` and records by how much the wake-up was late. Returns the longest delay since the
    /// last log line if it is to be logged now.
    pub async fn sleep(&self, span: Duration) -> Option<Duration> {
        let begun = Instant::now();
        actix_rt::time::sleep(span).await;
        self.record(begun.elapsed().saturating_sub(span), Instant::now())
    }

    /// Records a delay measured at `now`. Returns the delay to log, as for [`LoopLag::sleep`].
    pub fn record(&self, late: Duration, now: Instant) -> Option<Duration> {
        self.last.set(late);
        self.longest.set(self.longest.get().max(late));
        self.unlogged.set(self.unlogged.get().max(late));
        let recent = |at: Instant| now.duration_since(at) < LOG_INTERVAL;
        if self.unlogged.get() < LOG_THRESHOLD || self.logged.get().is_some_and(recent) {
            return None;
        }
        self.logged.set(Some(now));
        Some(self.unlogged.take())
    }

    /// Returns the latest delay and the longest one since the last call, and resets the longest one.
    pub fn take(&self) -> [Duration; 2] {
        [self.last.get(), self.longest.take()]
    }
}
