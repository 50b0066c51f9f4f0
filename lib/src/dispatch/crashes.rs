//! Determines which task causes worker crashes, and when such a task is given up.
//!
//! Load pattern: one task among thousands crashes every worker that starts it, for seconds, along with all
//! other runs there. After a single crash any of the runs may be the cause.
//!
//! Decision: the runs that started shortly before a crash are suspects. Each is tried again, never at the
//! same time as another suspect at one worker; if that worker crashes too, its suspect is the cause and is
//! given up. No capacity is reserved for this, and a task that ran beside the cause is cleared by its next
//! run. A task that crashes workers late in its run is given up after
//! [`most`](crate::dispatch::policy::Crashes::most) crashes, whatever started beside it.

use crate::dispatch::policy::Crashes;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// The crash history of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// The number of worker crashes during its runs.
    pub count: u32,
    /// Whether it may have caused one of them.
    pub suspect: bool,
    /// Whether it is known to be the cause.
    pub proven: bool,
    /// The number of worker crashes while its start was unanswered, so that it may not have run there.
    pub unsure: u32,
}

impl CrashRecord {
    /// Converts from a message; an absent one means an empty history.
    pub fn from_proto(record: Option<proto::CrashRecord>) -> CrashRecord {
        let r = record.unwrap_or_default();
        CrashRecord {
            count: r.count,
            suspect: r.suspect,
            proven: r.proven,
            unsure: r.unsure,
        }
    }

    /// Converts to a message; `None` for an empty history.
    pub fn proto(self) -> Option<proto::CrashRecord> {
        (self != CrashRecord::default()).then_some(proto::CrashRecord {
            count: self.count,
            suspect: self.suspect,
            proven: self.proven,
            unsure: self.unsure,
        })
    }

    /// Merges the records that two processes have of the same task. Each record includes what was known when
    /// the task was forwarded, so the larger count includes the smaller.
    pub fn merge(self, other: CrashRecord) -> CrashRecord {
        CrashRecord {
            count: self.count.max(other.count),
            suspect: self.suspect || other.suspect,
            proven: self.proven || other.proven,
            unsure: self.unsure.max(other.unsure),
        }
    }

    /// Returns whether the task is given up: it must not be started any more.
    pub fn is_given_up(self, policy: &Crashes) -> bool {
        let all = self.count.saturating_add(self.unsure);
        self.proven || self.count >= policy.most || all >= policy.most_unsure
    }

    /// Returns the record after one more crash. `alone` tells whether the task is the only suspect of that
    /// crash.
    fn after_crash(self, blamed: bool, alone: bool, policy: &Crashes) -> CrashRecord {
        let count = self.count.saturating_add(1);
        CrashRecord {
            count,
            suspect: self.suspect || blamed,
            proven: self.proven || (blamed && alone && count >= policy.proven),
            ..self
        }
    }

    /// Returns the record after a crash before which the run may not have arrived.
    fn after_unsure_crash(self) -> CrashRecord {
        CrashRecord {
            suspect: true,
            unsure: self.unsure.saturating_add(1),
            ..self
        }
    }
}

/// A run that was lost in a worker crash.
#[derive(Clone, Copy, Debug)]
pub struct LostRun {
    /// How long it had run.
    pub age: Duration,
    /// Whether it is known to have run there. A start that crashes its worker at once gets no answer, and
    /// neither does one that never arrived.
    pub certain: bool,
    /// The record of its task before the crash.
    pub record: CrashRecord,
}

impl LostRun {
    /// Returns whether the run started shortly before the crash.
    fn is_young(&self, policy: &Crashes) -> bool {
        self.age < policy.window
    }
}

/// Returns the record of each run's task after a crash of their worker.
///
/// If young runs include earlier suspects, only these are blamed; otherwise all young runs are, or without
/// any, all runs that are known to have run there.
pub fn update_records(runs: &[LostRun], policy: &Crashes) -> Vec<CrashRecord> {
    let young = |r: &LostRun| r.certain && r.is_young(policy);
    let on_trial = |r: &LostRun| r.record.suspect && young(r);
    let blamed: Vec<bool> = if runs.iter().any(on_trial) {
        runs.iter().map(on_trial).collect()
    } else if runs.iter().any(young) {
        runs.iter().map(young).collect()
    } else {
        runs.iter().map(|r| r.certain).collect()
    };
    let alone = blamed.iter().filter(|b| **b).count() == 1;
    let after_crash = |(run, blamed): (&LostRun, bool)| {
        if run.certain {
            run.record.after_crash(blamed, alone, policy)
        } else {
            run.record.after_unsure_crash()
        }
    };
    runs.iter().zip(blamed).map(after_crash).collect()
}

#[cfg(test)]
mod tests;
