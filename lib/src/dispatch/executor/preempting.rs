//! Runs that are stopped for more urgent tasks. The executor decides about them, since it alone knows the worker's
//! room: several schedulers may ask at once.

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

/// The most urgent priority. Room is reported as such tasks would find it.
const MOST_URGENT: u32 = 0;

/// What decides whether a run may be stopped for another task.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunRank {
    /// 0 goes first.
    pub priority: u32,
    /// How often it may still be stopped.
    pub stops: u32,
    /// Whether it leaves a checkpoint.
    pub saves: bool,
    /// Until when it can be run anew and end in time.
    pub latest: Mono,
}

impl Run {
    /// Whether it is being stopped to make room.
    fn is_being_preempted(&self) -> bool {
        let why = match self.state {
            RunState::Stopping { why, .. } => Some(why),
            _ => None,
        };
        why == Some(EndKind::Preempted)
    }

    fn as_stoppable(&self, now: Mono, key: TaskName) -> PreemptibleRun<TaskName> {
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
    /// Stops runs for an urgent task that has just come; says whether there will be room for it. It starts once the
    /// worker's lists confirm that the room is free.
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
        let bounds = self.preemption_bounds(now);
        let runs = self.stoppable_runs(now);
        let Some(chosen) = preemption::select_victims(now, &wanted, &runs, bounds, &policy) else {
            let missing = wanted.missing.cpu_milli;
            let detail = format!(
                "{}: {missing} milli-cores missing, {:.0} core-ms and {} milli-cores may be lost",
                queued.task, bounds.loss, bounds.cpu_milli
            );
            self.log(Kind::PreemptionDenied, detail);
            return false;
        };
        if !chosen.is_empty() {
            self.preempt_runs(now, queued, &chosen);
        }
        true
    }

    /// Stops the chosen runs.
    fn preempt_runs(&mut self, now: Mono, queued: &QueuedTask, chosen: &[TaskName]) {
        let policy = self.setup.policy.preemption;
        let lost = |task: &TaskName| self.runs[task].as_stoppable(now, *task).loss(&policy);
        let loss: f64 = chosen.iter().map(lost).sum();
        let capacity = self.capacity().cpu_milli;
        self.preemption_budget.spend(now, capacity, loss, &policy);
        let names: Vec<String> = chosen.iter().map(TaskName::to_string).collect();
        let detail = format!("{}: {}, {loss:.0} core-ms", queued.task, names.join(" "));
        self.log(Kind::RunsPreempted, detail);
        for task in chosen {
            self.stop_run(now, *task, EndKind::Preempted);
        }
    }

    /// What of a demand finds no room beside what waits, once the runs that end soon or are being stopped are gone.
    fn missing_capacity(&self, now: Mono, demand: Demand) -> Demand {
        let queued = self.queue.iter().map(|w| w.demand);
        let wanted = queued.fold(demand, Demand::plus);
        let soon = self.setup.policy.placement.room_wait;
        let going = |run: &&Run| {
            let stopping = matches!(run.state, RunState::Stopping { .. });
            stopping || run.ends_within(now, soon)
        };
        let freed = self.runs.values().filter(going).map(|r| r.demand);
        let used = freed.fold(self.allocated, subtract);
        subtract(used.plus(wanted), self.capacity())
    }

    /// The runs that may be stopped, as far as it is known that they run.
    fn stoppable_runs(&self, now: Mono) -> Vec<PreemptibleRun<TaskName>> {
        let running = |run: &Run| run.state == RunState::Running;
        let running = self.runs.iter().filter(|(_, run)| running(run));
        running
            .map(|(task, run)| run.as_stoppable(now, *task))
            .collect()
    }

    fn preempted_cpu(&self) -> u32 {
        let clearing = self.runs.values().filter(|run| run.is_being_preempted());
        clearing.map(|run| run.demand.cpu_milli).sum()
    }

    /// What may be stopped now.
    fn preemption_bounds(&self, now: Mono) -> PreemptionLimits {
        let policy = self.setup.policy.preemption;
        let capacity = self.capacity().cpu_milli;
        let share = (f64::from(capacity) * policy.room_share) as u32;
        PreemptionLimits {
            loss: self.preemption_budget.left(now, capacity, &policy),
            cpu_milli: share.saturating_sub(self.preempted_cpu()),
        }
    }

    /// What an urgent task could take beside what is free: the room of runs that may be stopped, and of those that
    /// are being stopped, in thousandths of a core.
    pub(super) fn preemptible(&self, now: Mono) -> u32 {
        let policy = self.setup.policy.preemption;
        if !policy.on || self.health.is_suspect() {
            return 0;
        }
        let runs = self.stoppable_runs(now);
        let bounds = self.preemption_bounds(now);
        let more = preemption::preemptible(now, MOST_URGENT, &runs, bounds, &policy);
        self.preempted_cpu() + more
    }

    /// Counts a run that has ended for a more urgent task.
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
