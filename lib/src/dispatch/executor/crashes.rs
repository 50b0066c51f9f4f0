//! Lives of a worker that are over while something ran there, and what that says of the tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Executor;
use super::RunState;
use super::runs::QueuedTask;
use super::runs::Run;
use crate::dispatch::crashes::CrashRecord;
use crate::dispatch::crashes::LostRun;
use crate::dispatch::crashes::judge;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// At most so many runs are listed in one log line.
const MAX_LISTED: usize = 12;
/// At most so many tasks are remembered: 50 lives of workers with 20 runs each.
const MAX_REMEMBERED: usize = 1000;

/// What this executor has learned of tasks, for schedulers that do not know it.
#[derive(Debug, Default)]
pub(super) struct CrashMemory {
    records: BTreeMap<TaskName, (Mono, CrashRecord)>,
}

impl CrashMemory {
    fn insert(&mut self, now: Mono, task: TaskName, record: CrashRecord) {
        if self.records.len() >= MAX_REMEMBERED
            && let Some(oldest) = self.records.iter().min_by_key(|(_, (at, _))| *at)
        {
            let oldest = *oldest.0;
            self.records.remove(&oldest);
        }
        self.records.insert(task, (now, record));
    }

    fn record(&self, task: TaskName) -> CrashRecord {
        let known = self.records.get(&task);
        known.map(|(_, record)| *record).unwrap_or_default()
    }

    /// What is known of the tasks of a job, as it travels.
    pub fn job_records(&self, job: JobNumber) -> impl Iterator<Item = proto::CrashedTask> {
        let known = self.records.iter().filter(move |(task, _)| task.job == job);
        known.map(|(task, (_, record))| proto::CrashedTask {
            task: Some(task.proto(0)),
            record: record.proto(),
        })
    }

    pub fn expire(&mut self, now: Mono, age: Duration) {
        self.records.retain(|_, (at, _)| now.since(*at) < age);
    }
}

impl Run {
    /// Whether the worker has confirmed its start, or listed it.
    fn is_confirmed(&self) -> bool {
        self.listed_by != u64::MAX
    }

    /// Whether it may be at the worker: it was sent there, and no stop of it is confirmed.
    fn can_be_at_worker(&self) -> bool {
        !matches!(
            self.state,
            RunState::Stopping {
                confirmed: Some(_),
                ..
            }
        )
    }
}

impl Executor {
    /// When the worker was last known to live: before it first failed to answer, if it does not
    /// answer now.
    fn last_alive(&self, now: Mono) -> Mono {
        let silent = self.worker.as_ref().and_then(|w| w.silent_since);
        silent.unwrap_or(now)
    }

    /// The worker has crashed: judges the tasks that ran there, but for those that are `kept`. A worker that was leaving
    /// has not crashed.
    pub(super) fn record_crash(&mut self, now: Mono, kept: &[TaskName]) {
        if self.worker.as_ref().is_none_or(|w| w.heartbeat.draining) {
            return;
        }
        let ended = self.last_alive(now);
        let there = |run: &Run| run.started_at <= ended && run.can_be_at_worker();
        let there = self
            .runs
            .iter()
            .filter(|(task, run)| there(run) && !kept.contains(task));
        let names: Vec<TaskName> = there.map(|(task, _)| *task).collect();
        let lost = |task: &TaskName| LostRun {
            age: ended.since(self.runs[task].started_at),
            certain: self.runs[task].is_confirmed(),
            record: self.runs[task].crashes,
        };
        let lost: Vec<LostRun> = names.iter().map(lost).collect();
        let judged = judge(&lost, &self.setup.policy.crashes);
        self.assign_blame(ended, &names);
        for (task, record) in names.into_iter().zip(judged) {
            self.crash_memory.insert(now, task, record);
            if let Some(run) = self.runs.get_mut(&task) {
                run.crashes = record;
                run.crashed = true;
            }
        }
    }

    /// Divides a crash among the jobs of which runs began just before it.
    fn assign_blame(&mut self, ended: Mono, names: &[TaskName]) {
        let evidence = self.setup.policy.bulkheads.evidence;
        let young = |task: &&TaskName| ended.since(self.runs[task].started_at) < evidence;
        let young: Vec<TaskName> = names.iter().filter(young).copied().collect();
        let jobs: BTreeSet<JobNumber> = young.iter().map(|task| task.job).collect();
        for job in &jobs {
            let of_job = young.iter().filter(|task| task.job == *job);
            let each = 1000 / (jobs.len() * of_job.clone().count()) as u32;
            for task in of_job {
                if let Some(run) = self.runs.get_mut(task) {
                    run.blame = each;
                    run.sole = jobs.len() == 1;
                }
            }
        }
    }

    /// Adds what is known here to what a scheduler has sent of a task.
    pub(super) fn merge_crash_record(&self, queued: &mut QueuedTask) {
        let known = self.crash_memory.record(queued.task);
        queued.crashes = queued.crashes.merge(known);
    }

    /// Whether a task that waits must not start yet: two suspects that began together could not be
    /// told apart if the worker crashed, and both would be tried once more.
    pub(super) fn is_blocked_by_trial(&self, now: Mono, queued: &QueuedTask) -> bool {
        let window = self.setup.policy.crashes.window;
        let tried = |run: &Run| run.crashes.suspect && now.since(run.started_at) < window;
        queued.crashes.suspect && self.runs.values().any(tried)
    }

    /// How the scheduler of a run is told that it was lost with its worker.
    pub(super) fn lost_end_kind(&self, task: TaskName) -> EndKind {
        let Some(run) = self.runs.get(&task) else {
            return EndKind::Lost;
        };
        match run.state {
            // Its start got no answer since the worker crashed meanwhile.
            RunState::Stopping {
                why: EndKind::Stalled,
                ..
            } if run.crashed => EndKind::Crashed,
            RunState::Stopping { why, .. } => why,
            _ if run.crashed => EndKind::Crashed,
            _ => EndKind::Lost,
        }
    }

    /// Writes down what was at the worker when its life, or what was kept alive in it, ended, and for how
    /// long each run had been there: a run that began just before, again and again, is the likely cause.
    /// Those that are `kept` go on.
    pub(super) fn log_lost_runs(&mut self, now: Mono, cause: &str, kept: &[TaskName]) {
        let ended = self.last_alive(now);
        let lost = self.runs.iter().filter(|(task, _)| !kept.contains(task));
        let mut runs: Vec<(&TaskName, &Run)> = lost.collect();
        if runs.is_empty() {
            return;
        }
        runs.sort_by_key(|(_, run)| ended.since(run.started_at));
        let lines = runs.iter().take(MAX_LISTED);
        let lines = lines.map(|(task, run)| describe_run(**task, run, ended));
        let lines: Vec<String> = lines.collect();
        let detail = format!(
            "{}: {cause}, silent for {} ms; {} runs, the youngest first: {}",
            self.worker_id(),
            crate::clock::millis(now.since(ended)),
            runs.len(),
            lines.join(", "),
        );
        self.log(Kind::RunsLost, detail);
    }
}

fn describe_run(task: TaskName, run: &Run, ended: Mono) -> String {
    let age = crate::clock::millis(ended.since(run.started_at));
    let verdict = match run.crashes {
        CrashRecord { proven: true, .. } => " (the cause)",
        CrashRecord { suspect: true, .. } => " (suspect)",
        _ => "",
    };
    format!("{task} run {} {age} ms{verdict}", run.run)
}
