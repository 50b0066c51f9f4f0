//! Runs that are stopped for more urgent tasks. The executor decides about them, since it alone knows the worker's
//! room: several schedulers may ask at once.

use super::Executor;
use super::runs::Run;
use super::runs::RunState;
use super::runs::Waiting;
use super::runs::less;
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
    fn is_clearing(&self) -> bool {
        let why = match self.state {
            RunState::Stopping { why, .. } => Some(why),
            _ => None,
        };
        why == Some(EndKind::Preempted)
    }

    fn stoppable(&self, now: Mono, key: TaskName) -> PreemptibleRun<TaskName> {
        PreemptibleRun {
            key,
            priority: self.rank.priority,
            demand: self.demand,
            age: now.since(self.began),
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
    pub(super) fn make_room(&mut self, now: Mono, waiting: &Waiting) -> bool {
        if !waiting.preempts || self.health.is_suspect() || !self.spread_allows(waiting) {
            return false;
        }
        let policy = self.setup.policy.preemption;
        let wanted = CapacityRequest {
            priority: waiting.rank.priority,
            missing: self.missing(now, waiting.demand),
            latest: waiting.latest,
        };
        let bounds = self.bounds(now);
        let runs = self.stoppable_runs(now);
        let Some(chosen) = preemption::select_victims(now, &wanted, &runs, bounds, &policy) else {
            let missing = wanted.missing.cpu_milli;
            let detail = format!(
                "{}: {missing} milli-cores missing, {:.0} core-ms and {} milli-cores may be lost",
                waiting.task, bounds.loss, bounds.cpu_milli
            );
            self.log(Kind::PreemptionDenied, detail);
            return false;
        };
        if !chosen.is_empty() {
            self.clear(now, waiting, &chosen);
        }
        true
    }

    /// Stops the chosen runs.
    fn clear(&mut self, now: Mono, waiting: &Waiting, chosen: &[TaskName]) {
        let policy = self.setup.policy.preemption;
        let lost = |task: &TaskName| self.runs[task].stoppable(now, *task).loss(&policy);
        let loss: f64 = chosen.iter().map(lost).sum();
        let capacity = self.capacity().cpu_milli;
        self.budget.spend(now, capacity, loss, &policy);
        let names: Vec<String> = chosen.iter().map(TaskName::to_string).collect();
        let detail = format!("{}: {}, {loss:.0} core-ms", waiting.task, names.join(" "));
        self.log(Kind::RunsPreempted, detail);
        for task in chosen {
            self.stop_run(now, *task, EndKind::Preempted);
        }
    }

    /// What of a demand finds no room beside what waits, once the runs that end soon or are being stopped are gone.
    fn missing(&self, now: Mono, demand: Demand) -> Demand {
        let waiting = self.queue.iter().map(|w| w.demand);
        let wanted = waiting.fold(demand, Demand::plus);
        let soon = self.setup.policy.placement.room_wait;
        let going = |run: &&Run| {
            let stopping = matches!(run.state, RunState::Stopping { .. });
            stopping || run.ends_within(now, soon)
        };
        let freed = self.runs.values().filter(going).map(|r| r.demand);
        let used = freed.fold(self.used, less);
        less(used.plus(wanted), self.capacity())
    }

    /// The runs that may be stopped, as far as it is known that they run.
    fn stoppable_runs(&self, now: Mono) -> Vec<PreemptibleRun<TaskName>> {
        let running = |run: &Run| run.state == RunState::Running;
        let running = self.runs.iter().filter(|(_, run)| running(run));
        running
            .map(|(task, run)| run.stoppable(now, *task))
            .collect()
    }

    fn clearing(&self) -> u32 {
        let clearing = self.runs.values().filter(|run| run.is_clearing());
        clearing.map(|run| run.demand.cpu_milli).sum()
    }

    /// What may be stopped now.
    fn bounds(&self, now: Mono) -> PreemptionLimits {
        let policy = self.setup.policy.preemption;
        let capacity = self.capacity().cpu_milli;
        let share = (f64::from(capacity) * policy.room_share) as u32;
        PreemptionLimits {
            loss: self.budget.left(now, capacity, &policy),
            cpu_milli: share.saturating_sub(self.clearing()),
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
        let bounds = self.bounds(now);
        let more = preemption::preemptible(now, MOST_URGENT, &runs, bounds, &policy);
        self.clearing() + more
    }

    /// Counts a run that has ended for a more urgent task.
    pub(super) fn note_preempted(&mut self, now: Mono, run: &Run, kind: EndKind) {
        if kind != EndKind::Preempted {
            return;
        }
        self.counts.preempted += 1;
        if !run.rank.saves {
            let ran = now.since(run.began).as_secs_f64();
            self.counts.wasted += (ran * f64::from(run.demand.cpu_milli)) as u64;
        }
    }
}
