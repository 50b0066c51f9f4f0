//! For how long the worker is told to keep its runs alive.
//!
//! A scheduler that hears nothing from this executor for `leases.lapse` takes its runs here for over and
//! places their tasks again. What makes that true is not the stops that are sent when its lease ends, since
//! the worker may not carry them out in time, but that its runs are not kept alive for longer than
//! `worker_hold` after the end of the lease. A renewal covers all runs of the worker. So while a run is left
//! that no lease covers, the worker gets no renewal beyond that time, and if its end is not known by then,
//! all runs of the worker expire. Stops are repeated quickly meanwhile, as one that is answered in time saves
//! the others.

use super::CLOCK_ALLOWANCE;
use super::Executor;
use crate::event::Kind;
use crate::prelude::*;

impl Executor {
    /// Returns until when the worker may be told to keep its runs alive; `None` without a bound. The bound is
    /// that of the abandoned run whose lease ended first, or of the runs that the worker lists and that are
    /// unknown here.
    fn renewal_bound(&self) -> Option<Mono> {
        let abandoned = self.runs.values().filter_map(|run| run.abandoned);
        let first = abandoned.chain(self.unknown_since).min();
        first.map(|at| at + self.setup.worker_hold)
    }

    /// Returns whether the worker can be told to keep runs alive for at least half of `worker_hold`. Nothing
    /// is started otherwise, because it would probably expire at once with all other runs.
    pub(super) fn can_keep_runs(&self, now: Mono) -> bool {
        let bound = self.renewal_bound();
        bound.is_none_or(|at| now.until(at) >= self.setup.worker_hold / 2)
    }

    /// Returns the time on the worker's clock after `span`, or at the bound of renewals if that is earlier; 0
    /// if the bound has passed or the clock is unknown. An order with this deadline keeps all runs alive until
    /// then, whether it is answered or not, so `keepalive_until` is extended.
    pub(super) fn extend_deadline(&mut self, now: Mono, span: Duration) -> u64 {
        let bound = self.renewal_bound();
        let span = bound.map_or(span, |at| now.until(at).min(span));
        self.note_withheld(now, span.is_zero());
        let clock = self.worker_clock(now);
        if clock == 0 || span.is_zero() {
            return 0;
        }
        let until = now + span.mul_f64(CLOCK_ALLOWANCE);
        self.keepalive_until = self.keepalive_until.max(until);
        clock + crate::clock::millis(span)
    }

    /// Assumes that the worker keeps its runs alive for as long as it ever does. The deadline of a start that
    /// reached a later incarnation than it was sent to was a time on the clock of the earlier one, so it is
    /// far ahead there.
    pub(super) fn keep_for_longest(&mut self, now: Mono) {
        let until = now + self.setup.max_hold.mul_f64(CLOCK_ALLOWANCE);
        self.keepalive_until = self.keepalive_until.max(until);
    }

    /// Counts and logs when renewals begin to be withheld, with the runs that are the reason.
    fn note_withheld(&mut self, now: Mono, withheld: bool) {
        if std::mem::replace(&mut self.withholding, withheld) || !withheld {
            return;
        }
        self.counts.withheld_renewals += 1;
        let abandoned = self.runs.iter().filter(|(_, run)| run.abandoned.is_some());
        let abandoned = abandoned.map(|(task, run)| format!("{task} run {}", run.run));
        let abandoned: Vec<String> = abandoned.collect();
        let unknown = self
            .unknown_since
            .map_or(0, |at| crate::clock::millis(now.since(at)));
        let detail = format!(
            "{} of {} runs have no lease: {}; unknown ones for {unknown} ms",
            abandoned.len(),
            self.runs.len(),
            abandoned.join(", "),
        );
        self.log(Kind::RenewalsWithheld, detail);
    }
}
