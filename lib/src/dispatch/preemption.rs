//! Which runs at a worker are preempted to make room for a more urgent task.
//!
//! Load pattern: many urgent jobs arrive at once while the workers are full of less urgent ones. Waiting for
//! runs to end by themselves would make the urgent jobs late, and stopping too many of the others would
//! discard more work than is gained.
//!
//! Decision: runs are stopped only if that lets the urgent task end in time and the stopped tasks still can.
//! Those that lose least are stopped first, and a budget bounds the work that is lost a second.

use crate::dispatch::model::Demand;
use crate::dispatch::policy::Preemption;
use crate::prelude::*;

/// Lost work, in thousandths of a core-second.
pub type Loss = f64;

/// A run that may be stopped, identified by a key of the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreemptibleRun<K> {
    /// The caller's key for the run.
    pub key: K,
    /// The priority of its task; 0 is the most urgent.
    pub priority: u32,
    /// The room that it takes.
    pub demand: Demand,
    /// How long it has run.
    pub age: Duration,
    /// How long it is expected to run in total.
    pub expected: Duration,
    /// The progress that the worker reports, from 0 to 1.
    pub progress: f64,
    /// How many more times its task may be stopped.
    pub stops: u32,
    /// Whether it leaves a checkpoint, so that its work so far is kept.
    pub saves: bool,
    /// The latest time at which a new run from the beginning ends in time.
    pub latest: Mono,
}

/// A task that needs room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityRequest {
    /// The priority of the task; 0 is the most urgent.
    pub priority: u32,
    /// The part of its room that is neither free nor about to become free.
    pub missing: Demand,
    /// The latest time at which it can start and end in time.
    pub latest: Mono,
}

/// How much may be stopped now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreemptionLimits {
    /// The work that may be lost.
    pub loss: Loss,
    /// The room that may be cleared, in thousandths of a core.
    pub cpu_milli: u32,
}

impl<K> PreemptibleRun<K> {
    /// Returns what stopping the run loses: its work so far, unless that is saved, and its room until the
    /// stop is confirmed.
    pub fn loss(&self, policy: &Preemption) -> Loss {
        let work = if self.saves { Duration::ZERO } else { self.age };
        (work + policy.stop_time).as_secs_f64() * f64::from(self.demand.cpu_milli)
    }

    /// Returns whether the run may be stopped for a task of `priority` and its task can still end in time
    /// elsewhere.
    pub fn can_yield_to(&self, now: Mono, priority: u32, policy: &Preemption) -> bool {
        let allowed = self.stops > 0 && self.priority > priority;
        allowed && !self.ends_soon(policy) && self.latest_restart() >= now + policy.stop_time
    }

    /// Returns whether the run is expected to end by itself before a stop would be confirmed. One without
    /// progress is not.
    fn ends_soon(&self, policy: &Preemption) -> bool {
        let by_progress = self.expected.mul_f64(1.0 - self.progress.clamp(0.0, 1.0));
        let by_age = self.expected.saturating_sub(self.age);
        self.progress > 0.0 && by_progress.min(by_age) < policy.stop_time
    }

    /// Returns the latest time at which the task can be restarted and end in time. Saved work is not done
    /// again.
    fn latest_restart(&self) -> Mono {
        match self.saves {
            true => self.latest + self.expected.mul_f64(self.progress.clamp(0.0, 1.0)),
            false => self.latest,
        }
    }
}

/// Selects the runs to stop for a task. Returns `None` if preemption is off, if a stop would come too late,
/// or if the allowed runs that lose least do not free enough room within `limits`.
pub fn select_victims<K: Copy>(
    now: Mono,
    wanted: &CapacityRequest,
    runs: &[PreemptibleRun<K>],
    limits: PreemptionLimits,
    policy: &Preemption,
) -> Option<Vec<K>> {
    if !policy.on || now + policy.stop_time > wanted.latest {
        return None;
    }
    let mut candidates: Vec<&PreemptibleRun<K>> = runs.iter().collect();
    candidates.retain(|run| run.can_yield_to(now, wanted.priority, policy));
    candidates.sort_by(|one, two| {
        let by_loss = one.loss(policy).total_cmp(&two.loss(policy));
        by_loss.then(two.latest_restart().cmp(&one.latest_restart()))
    });
    let mut chosen = Vec::new();
    for run in candidates {
        if frees_enough(&chosen, wanted.missing) {
            break;
        }
        chosen.push(run);
    }
    if !frees_enough(&chosen, wanted.missing) {
        return None;
    }
    drop_unneeded(&mut chosen, wanted.missing);
    let loss: Loss = chosen.iter().map(|run| run.loss(policy)).sum();
    let within = loss <= limits.loss && freed(&chosen).cpu_milli <= limits.cpu_milli;
    within.then(|| chosen.iter().map(|run| run.key).collect())
}

/// Returns the room of the runs that may be stopped now for a task of `priority`, within `limits`, in
/// thousandths of a core.
pub fn preemptible_cpu<K>(
    now: Mono,
    priority: u32,
    runs: &[PreemptibleRun<K>],
    limits: PreemptionLimits,
    policy: &Preemption,
) -> u32 {
    let mut candidates: Vec<&PreemptibleRun<K>> = runs.iter().collect();
    candidates.retain(|run| run.can_yield_to(now, priority, policy));
    candidates.sort_by(|one, two| one.loss(policy).total_cmp(&two.loss(policy)));
    let mut left = limits;
    let mut sum = 0;
    for run in candidates {
        let (loss, cpu_milli) = (run.loss(policy), run.demand.cpu_milli);
        if loss > left.loss || cpu_milli > left.cpu_milli {
            break;
        }
        left.loss -= loss;
        left.cpu_milli -= cpu_milli;
        sum += cpu_milli;
    }
    sum
}

/// Returns the room that stopping the runs frees.
fn freed<K>(runs: &[&PreemptibleRun<K>]) -> Demand {
    let demands = runs.iter().map(|run| run.demand);
    demands.fold(Demand::default(), Demand::plus)
}

/// Returns whether stopping the runs frees at least what is missing.
fn frees_enough<K>(runs: &[&PreemptibleRun<K>], missing: Demand) -> bool {
    missing.fits(Demand::default(), freed(runs))
}

/// Drops runs that need not be stopped, those that lose most first. A small run that loses little may have
/// been chosen before a large one that suffices alone.
fn drop_unneeded<K: Copy>(chosen: &mut Vec<&PreemptibleRun<K>>, missing: Demand) {
    for at in (0..chosen.len()).rev() {
        let mut others = chosen.clone();
        others.remove(at);
        if frees_enough(&others, missing) {
            *chosen = others;
        }
    }
}

/// The work that may still be lost at a worker. It refills at a share of the worker's room and holds at most
/// what refills within a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossBudget {
    left: Loss,
    at: Option<Mono>,
}

impl LossBudget {
    /// Returns what may be lost now at a worker of `cpu_milli` thousandths of a core.
    pub fn left(&self, now: Mono, cpu_milli: u32, policy: &Preemption) -> Loss {
        let rate = policy.waste_share * f64::from(cpu_milli);
        let Some(at) = self.at else {
            return rate;
        };
        (self.left + rate * now.since(at).as_secs_f64()).min(rate)
    }

    /// Takes the loss of stops that are ordered now from the budget.
    pub fn spend(&mut self, now: Mono, cpu_milli: u32, loss: Loss, policy: &Preemption) {
        self.left = self.left(now, cpu_milli, policy) - loss;
        self.at = Some(now);
    }
}

#[cfg(test)]
mod tests;
