//! Which task is to blame when a worker crashes, and when such a task is given up.
//!
//! Load pattern: one task among thousands takes down each worker that starts it, for seconds, with all that runs
//! there. At the first crash any of the runs there may be the cause; nothing can be told from one.
//!
//! Decision: the runs that began just before a crash are its suspects. Each is tried again, and at no worker together with
//! another suspect; if that worker crashes as well, the suspect there is the cause and is given up. No room is set aside,
//! and a task that was beside the cause is cleared by its next run. A task that crashes workers late in its run is
//! given up after [`most`](crate::dispatch::policy::Crashes::most) crashes, whatever began beside it.

use crate::dispatch::policy::Crashes;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// What is known of a task from workers that crashed while it ran there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// How many workers have crashed while it ran there.
    pub count: u32,
    /// Whether it may have been the cause of one.
    pub suspect: bool,
    /// Whether it was the cause.
    pub proven: bool,
    /// How many have crashed while a start of it had no answer yet: it may never have arrived.
    pub unsure: u32,
}

impl CrashRecord {
    /// Reads it from a message; an absent one says that nothing is known.
    pub fn from_proto(record: Option<proto::CrashRecord>) -> CrashRecord {
        let r = record.unwrap_or_default();
        CrashRecord {
            count: r.count,
            suspect: r.suspect,
            proven: r.proven,
            unsure: r.unsure,
        }
    }

    /// As it travels; nothing where nothing is known.
    pub fn proto(self) -> Option<proto::CrashRecord> {
        (self != CrashRecord::default()).then_some(proto::CrashRecord {
            count: self.count,
            suspect: self.suspect,
            proven: self.proven,
            unsure: self.unsure,
        })
    }

    /// What two processes know of the same task. Each count includes what was known when the task
    /// was sent on, so the larger one includes the smaller.
    pub fn merge(self, other: CrashRecord) -> CrashRecord {
        CrashRecord {
            count: self.count.max(other.count),
            suspect: self.suspect || other.suspect,
            proven: self.proven || other.proven,
            unsure: self.unsure.max(other.unsure),
        }
    }

    /// Whether the task is not started any more.
    pub fn is_given_up(self, policy: &Crashes) -> bool {
        let all = self.count.saturating_add(self.unsure);
        self.proven || self.count >= policy.most || all >= policy.most_unsure
    }

    /// The record after one more crash.
    fn after(self, blamed: bool, alone: bool, policy: &Crashes) -> CrashRecord {
        let count = self.count.saturating_add(1);
        CrashRecord {
            count,
            suspect: self.suspect || blamed,
            proven: self.proven || (blamed && alone && count >= policy.proven),
            ..self
        }
    }

    /// The record after a crash by which the run may not have arrived.
    fn after_unsure(self) -> CrashRecord {
        CrashRecord {
            suspect: true,
            unsure: self.unsure.saturating_add(1),
            ..self
        }
    }
}

/// A run that was at a worker when it crashed.
#[derive(Clone, Copy, Debug)]
pub struct LostRun {
    /// How long it had run.
    pub age: Duration,
    /// Whether it is known to have been there. The start of a task that takes its worker down at once gets no answer,
    /// and so does one that never arrived.
    pub certain: bool,
    /// What was known of its task before.
    pub record: CrashRecord,
}

impl LostRun {
    fn is_young(&self, policy: &Crashes) -> bool {
        self.age < policy.window
    }
}

/// What is known of each run's task after the crash of the worker at which they were.
pub fn judge(runs: &[LostRun], policy: &Crashes) -> Vec<CrashRecord> {
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
    let after = |(run, blamed): (&LostRun, bool)| {
        if run.certain {
            run.record.after(blamed, alone, policy)
        } else {
            run.record.after_unsure()
        }
    };
    runs.iter().zip(blamed).map(after).collect()
}

#[cfg(test)]
mod tests;
