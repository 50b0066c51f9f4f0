//! Measurement of the share of its processor time limit that a process uses.

use std::cell::Cell;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// The minimum time between two samples. A process throttled by its limit runs in periods of a tenth of this,
/// so a sample covers several of them.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Shares above this are discarded, in percent. The limit keeps real shares below it, but some systems return
/// the monotonic clock instead of the processor time, and an entry that trusted such a value would be handed
/// no jobs.
const MAX_PLAUSIBLE_PERCENT: u32 = 150;

/// Measures the share of its processor time that this process uses.
#[derive(Debug)]
pub struct CpuUsage {
    /// The cores that the process may use; none if the settings don't give them.
    cores: Option<f64>,
    /// The time of the last sample and the processor time used until then; none before the first sample.
    last: Cell<Option<(Duration, Duration)>>,
}

impl CpuUsage {
    /// Creates a measurement for a process that may use `cores`.
    pub fn new(cores: Option<f64>) -> CpuUsage {
        let last = Cell::default();
        CpuUsage { cores, last }
    }

    /// Returns the share used since the last sample, in percent, if a sample is due at `elapsed`.
    pub fn sample(&self, elapsed: Duration) -> Option<u32> {
        let cores = self.cores?;
        let last = self.last.get();
        if last.is_some_and(|(at, _)| elapsed.saturating_sub(at) < SAMPLE_INTERVAL) {
            return None;
        }
        let used_now = processor_time()?;
        self.last.set(Some((elapsed, used_now)));
        let (at, used) = last?;
        share_percent(used_now.saturating_sub(used), elapsed - at, cores)
    }
}

/// Returns `used` in percent of the processor time of `cores` in `span`; none if the result is implausible.
pub fn share_percent(used: Duration, span: Duration, cores: f64) -> Option<u32> {
    let granted = span.as_secs_f64() * cores;
    let share = (granted > 0.0).then(|| (used.as_secs_f64() / granted * 100.0).round() as u32);
    share.filter(|percent| *percent <= MAX_PLAUSIBLE_PERCENT)
}

/// Returns the processor time of this process; none if the system does not provide it.
fn processor_time() -> Option<Duration> {
    let time = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).ok()?;
    Some(Duration::from(time))
}
