//! How much of the processor time that it may use a process uses.

use std::cell::Cell;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// A share is taken over this long: a process that is held back by its limit runs by turns of a tenth of that.
const SPAN: Duration = Duration::from_secs(1);
/// A process is held back by its limit, so a reading above this, in percent, is not of processor time: some systems give
/// the steady clock instead. An entry that took it at its word would be handed nothing.
const MOST_PLAUSIBLE: u32 = 150;

/// What a process has used since a reading.
#[derive(Debug)]
pub struct ProcessorUse {
    /// The cores that the process may use; none if the settings do not say.
    cores: Option<f64>,
    /// The time of the last reading and the processor time by then; none before the first.
    last: Cell<Option<(Duration, Duration)>>,
}

impl ProcessorUse {
    /// The use of a process that may use `cores`.
    pub fn new(cores: Option<f64>) -> ProcessorUse {
        let last = Cell::default();
        ProcessorUse { cores, last }
    }

    /// The share used since the last reading, in percent, if it is time for one at `elapsed`.
    pub fn read(&self, elapsed: Duration) -> Option<u32> {
        let cores = self.cores?;
        let last = self.last.get();
        if last.is_some_and(|(at, _)| elapsed.saturating_sub(at) < SPAN) {
            return None;
        }
        let used_now = processor_time()?;
        self.last.set(Some((elapsed, used_now)));
        let (at, used) = last?;
        share_percent(used_now.saturating_sub(used), elapsed - at, cores)
    }
}

/// What share `used` is of what `cores` give in `span`, in percent; none if that can't be.
pub fn share_percent(used: Duration, span: Duration, cores: f64) -> Option<u32> {
    let granted = span.as_secs_f64() * cores;
    let share = (granted > 0.0).then(|| (used.as_secs_f64() / granted * 100.0).round() as u32);
    share.filter(|percent| *percent <= MOST_PLAUSIBLE)
}

/// The processor time of this process; none where the system does not tell.
fn processor_time() -> Option<Duration> {
    let time = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).ok()?;
    Some(Duration::from(time))
}
