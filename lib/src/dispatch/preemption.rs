//! Which runs at a worker are stopped to make room for a more urgent task.
//!
//! The load that this answers: many urgent jobs come at once while the workers are full of less urgent
//! ones. Waiting for runs to end by themselves would make the urgent ones late, and stopping too
//! many of the others would throw away more than is gained. So runs are stopped only if the urgent
//! task ends in time for it and the stopped ones still can, those that lose least first, and what is
//! lost a second is bounded by a budget.

use crate::dispatch::model::Demand;
use crate::dispatch::policy::Preemption;
use crate::prelude::*;

/// Work that is lost, in thousandths of a core-second.
pub type Loss = f64;

/// A run that may be stopped, named by a key of the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreemptibleRun<K> {
    /// Its key.
    pub key: K,
    /// Its priority; 0 goes first.
    pub priority: u32,
    /// What it takes.
    pub demand: Demand,
    /// How long it has run.
    pub age: Duration,
    /// How long it is expected to run in all.
    pub expected: Duration,
    /// How far it is by the worker's word, from 0 to 1.
    pub progress: f64,
    /// How often it may still be stopped.
    pub stops: u32,
    /// Whether it leaves a checkpoint, so that what it has done is kept.
    pub saves: bool,
    /// Until when it can still end in time if it is run anew.
    pub latest: Mono,
}

/// A task that wants room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityRequest {
    /// Its priority.
    pub priority: u32,
    /// What of its room is missing, beside what is free and becomes free.
    pub missing: Demand,
    /// Until when it can start and end in time.
    pub latest: Mono,
}

/// What may be stopped now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreemptionLimits {
    /// How much work may be lost.
    pub loss: Loss,
    /// How much room may be cleared, in thousandths of a core.
    pub cpu_milli: u32,
}

impl<K> PreemptibleRun<K> {
    /// What stopping it loses: its work so far, unless that is saved, and its room until the stop is
    /// confirmed.
    pub fn loss(&self, policy: &Preemption) -> Loss {
        let work = if self.saves { Duration::ZERO } else { self.age };
        (work + policy.stop_time).as_secs_f64() * f64::from(self.demand.cpu_milli)
    }

    /// Whether it may be stopped for a task of this priority, and still ends in time elsewhere.
    pub fn yields_to(&self, now: Mono, priority: u32, policy: &Preemption) -> bool {
        let allowed = self.stops > 0 && self.priority > priority;
        allowed && !self.ends_soon(policy) && self.restart_until() >= now + policy.stop_time
    }

    /// Whether it ends by itself before a stop would be confirmed.
    fn ends_soon(&self, policy: &Preemption) -> bool {
        let by_progress = self.expected.mul_f64(1.0 - self.progress.clamp(0.0, 1.0));
        let by_age = self.expected.saturating_sub(self.age);
        self.progress > 0.0 && by_progress.min(by_age) < policy.stop_time
    }

    /// Until when it can be run elsewhere and end in time. What it has saved need not be done again.
    fn restart_until(&self) -> Mono {
        match self.saves {
            true => self.latest + self.expected.mul_f64(self.progress.clamp(0.0, 1.0)),
            false => self.latest,
        }
    }
}

/// The runs to stop for a task; none if no allowed set makes enough room in time.
pub fn select_victims<K: Copy>(
    now: Mono,
    wanted: &CapacityRequest,
    runs: &[PreemptibleRun<K>],
    bounds: PreemptionLimits,
    policy: &Preemption,
) -> Option<Vec<K>> {
    if !policy.on || now + policy.stop_time > wanted.latest {
        return None;
    }
    let mut yielding: Vec<&PreemptibleRun<K>> = runs.iter().collect();
    yielding.retain(|run| run.yields_to(now, wanted.priority, policy));
    yielding.sort_by(|one, two| {
        let by_loss = one.loss(policy).total_cmp(&two.loss(policy));
        by_loss.then(two.restart_until().cmp(&one.restart_until()))
    });
    let mut chosen = Vec::new();
    for run in yielding {
        if covers(&chosen, wanted.missing) {
            break;
        }
        chosen.push(run);
    }
    if !covers(&chosen, wanted.missing) {
        return None;
    }
    spare(&mut chosen, wanted.missing);
    let loss: Loss = chosen.iter().map(|run| run.loss(policy)).sum();
    let within = loss <= bounds.loss && freed(&chosen).cpu_milli <= bounds.cpu_milli;
    within.then(|| chosen.iter().map(|run| run.key).collect())
}

/// What runs that yield to a task of this priority take, as far as it may be cleared now, in thousandths of a core.
pub fn preemptible<K>(
    now: Mono,
    priority: u32,
    runs: &[PreemptibleRun<K>],
    bounds: PreemptionLimits,
    policy: &Preemption,
) -> u32 {
    let mut yielding: Vec<&PreemptibleRun<K>> = runs.iter().collect();
    yielding.retain(|run| run.yields_to(now, priority, policy));
    yielding.sort_by(|one, two| one.loss(policy).total_cmp(&two.loss(policy)));
    let mut left = bounds;
    let mut sum = 0;
    for run in yielding {
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

fn freed<K>(runs: &[&PreemptibleRun<K>]) -> Demand {
    let demands = runs.iter().map(|run| run.demand);
    demands.fold(Demand::default(), Demand::plus)
}

fn covers<K>(runs: &[&PreemptibleRun<K>], missing: Demand) -> bool {
    missing.fits(Demand::default(), freed(runs))
}

/// Leaves out the runs that need not be stopped, those that lose most first: a small one that loses little may
/// have been taken before a large one that suffices alone.
fn spare<K: Copy>(chosen: &mut Vec<&PreemptibleRun<K>>, missing: Demand) {
    for at in (0..chosen.len()).rev() {
        let mut others = chosen.clone();
        others.remove(at);
        if covers(&others, missing) {
            *chosen = others;
        }
    }
}

/// How much work may still be lost at a worker. It fills by a share of the worker's room and holds what comes in
/// within a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossBudget {
    left: Loss,
    at: Option<Mono>,
}

impl LossBudget {
    /// What may be lost by now at a worker of this many thousandths of a core.
    pub fn left(&self, now: Mono, cpu_milli: u32, policy: &Preemption) -> Loss {
        let rate = policy.waste_share * f64::from(cpu_milli);
        let Some(at) = self.at else {
            return rate;
        };
        (self.left + rate * now.since(at).as_secs_f64()).min(rate)
    }

    /// Takes what is lost by stops that are ordered now.
    pub fn spend(&mut self, now: Mono, cpu_milli: u32, loss: Loss, policy: &Preemption) {
        self.left = self.left(now, cpu_milli, policy) - loss;
        self.at = Some(now);
    }
}

#[cfg(test)]
mod tests;
