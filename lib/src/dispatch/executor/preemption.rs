//! Preemption: runs that are stopped for more urgent tasks.
//!
//! The executor selects the victims, since it alone knows the worker's free capacity: several schedulers may
//! ask at the same time. A budget limits the work that is discarded.

use super::Executor;
use super::runs::QueuedTask;
use super::runs::Run;
use super::runs::RunState;
use super::runs::subtract;
use crate::dispatch::model::Demand;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::TaskName;
use crate::dispatch::preemption;
use crate::dispatch::preemption::CapacityRequest;
use crate::dispatch::preemption::PreemptibleRun;
use crate::dispatch::preemption::PreemptionLimits;
use crate::event::Kind;
use crate::prelude::*;

/// The most urgent priority. Preemptible capacity is reported for tasks of this priority.
const MOST_URGENT: u32 = 0;

/// The properties of a run that decide whether it can be preempted.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunRank {
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// How many more times it may be preempted.
    pub stops: u32,
    /// Whether it leaves a checkpoint when it is stopped.
    pub saves: bool,
    /// The latest time at which it can be restarted and still end in time.
    pub latest: Mono,
}

impl Run {
    /// Returns whether the run is being stopped for a more urgent task.
    fn is_being_preempted(&self) -> bool {
        let why = match self.state {
            RunState::Stopping { why, .. } => Some(why),
            _ => None,
        };
        why == Some(EndKind::Preempted)
    }

    fn as_preemptible(&self, now: Mono, key: TaskName) -> PreemptibleRun<TaskName> {
        PreemptibleRun {
            key,
            priority: self.rank.priority,
            demand: self.demand,
            age: now.since(self.started_at),
            expected: self.estimate,
            progress: f64::from(self.percent) / 100.0,
            stops: self.rank.stops,
            saves: self.rank.saves,
            latest: self.rank.latest,
        }
    }
}

impl Executor {
    /// Preempts runs for an urgent task that has just arrived. Returns whether the task will fit; it starts
    /// once the worker's lists confirm that the capacity is free.
    pub(super) fn preempt_for(&mut self, now: Mono, queued: &QueuedTask) -> bool {
        if !queued.preempts || self.health.is_suspect() || !self.is_within_spread(queued) {
            return false;
        }
        let policy = self.setup.policy.preemption;
        let wanted = CapacityRequest {
            priority: queued.rank.priority,
            missing: self.missing_capacity(now, queued.demand),
            latest: queued.latest_start,
        };
        let limits = self.preemption_limits(now);
        let runs = self.preemptible_runs(now);
        let Some(victims) = preemption::select_victims(now, &wanted, &runs, limits, &policy) else {
            let missing = wanted.missing.cpu_milli;
            let detail = format!(
                "{}: {missing} milli-cores missing, {:.0} core-ms and {} milli-cores may be preempted",
                queued.task, limits.loss, limits.cpu_milli
            );
            self.log(Kind::PreemptionDenied, detail);
            return false;
        };
        if !victims.is_empty() {
            self.preempt_runs(now, queued, &victims);
        }
        true
    }

    /// Stops the victims, and charges the lost work to the budget.
    fn preempt_runs(&mut self, now: Mono, queued: &QueuedTask, victims: &[TaskName]) {
        let policy = self.setup.policy.preemption;
        let loss_of = |task: &TaskName| self.runs[task].as_preemptible(now, *task).loss(&policy);
        let loss: f64 = victims.iter().map(loss_of).sum();
        let capacity = self.capacity().cpu_milli;
        self.preemption_budget.spend(now, capacity, loss, &policy);
        let names: Vec<String> = victims.iter().map(TaskName::to_string).collect();
        let detail = format!("{}: {}, {loss:.0} core-ms", queued.task, names.join(" "));
        self.log(Kind::RunsPreempted, detail);
        for task in victims {
            self.stop_run(now, *task, EndKind::Preempted);
        }
    }

    /// Returns the part of a demand that does not fit beside the queued tasks, once the runs that end soon or
    /// are being stopped are gone.
    fn missing_capacity(&self, now: Mono, demand: Demand) -> Demand {
        let queued = self.queue.iter().map(|w| w.demand);
        let wanted = queued.fold(demand, Demand::plus);
        let soon = self.setup.policy.placement.room_wait;
        let ending = |run: &&Run| {
            let stopping = matches!(run.state, RunState::Stopping { .. });
            stopping || run.ends_within(now, soon)
        };
        let freed = self.runs.values().filter(ending).map(|r| r.demand);
        let used = freed.fold(self.allocated, subtract);
        subtract(used.plus(wanted), self.capacity())
    }

    /// Returns the candidates for preemption: the runs that are confirmed to run.
    fn preemptible_runs(&self, now: Mono) -> Vec<PreemptibleRun<TaskName>> {
        let running = |run: &Run| run.state == RunState::Running;
        let running = self.runs.iter().filter(|(_, run)| running(run));
        running
            .map(|(task, run)| run.as_preemptible(now, *task))
            .collect()
    }

    /// Returns the cores of the runs that are being preempted, in thousandths.
    fn preempted_cpu(&self) -> u32 {
        let stopping = self.runs.values().filter(|run| run.is_being_preempted());
        stopping.map(|run| run.demand.cpu_milli).sum()
    }

    /// Returns how much work and how many cores may be preempted now.
    fn preemption_limits(&self, now: Mono) -> PreemptionLimits {
        let policy = self.setup.policy.preemption;
        let capacity = self.capacity().cpu_milli;
        let share = (f64::from(capacity) * policy.room_share) as u32;
        PreemptionLimits {
            loss: self.preemption_budget.left(now, capacity, &policy),
            cpu_milli: share.saturating_sub(self.preempted_cpu()),
        }
    }

    /// Returns the cores that an urgent task could get besides the free ones, in thousandths: those of runs
    /// that can be preempted and of runs that are being preempted.
    pub(super) fn preemptible_cpu(&self, now: Mono) -> u32 {
        let policy = self.setup.policy.preemption;
        if !policy.on || self.health.is_suspect() {
            return 0;
        }
        let runs = self.preemptible_runs(now);
        let limits = self.preemption_limits(now);
        let more = preemption::preemptible_cpu(now, MOST_URGENT, &runs, limits, &policy);
        self.preempted_cpu() + more
    }

    /// Counts a run that was preempted, and its lost work unless it saved that.
    pub(super) fn count_preempted(&mut self, now: Mono, run: &Run, kind: EndKind) {
        if kind != EndKind::Preempted {
            return;
        }
        self.counts.preempted += 1;
        if !run.rank.saves {
            let ran = now.since(run.started_at).as_secs_f64();
            self.counts.wasted_core_ms += (ran * f64::from(run.demand.cpu_milli)) as u64;
        }
    }
}
