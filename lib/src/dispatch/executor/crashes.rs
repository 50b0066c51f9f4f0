//! Crashes of the worker: which tasks are suspected, and which runs are logged as lost.
//!
//! A crash record is kept for each affected task and sent to schedulers that do not know it. The rules are in
//! [`crate::dispatch::crashes`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Executor;
use super::RunState;
use super::runs::QueuedTask;
use super::runs::Run;
use crate::dispatch::crashes::CrashRecord;
use crate::dispatch::crashes::LostRun;
use crate::dispatch::crashes::update_records;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// The most runs listed in one log line.
const MAX_LISTED: usize = 12;
/// The most tasks remembered: 50 incarnations of a worker with 20 runs each.
const MAX_REMEMBERED: usize = 1000;

/// The crash records of tasks that ran here, for schedulers that do not know them.
#[derive(Debug, Default)]
pub(super) struct CrashMemory {
    records: BTreeMap<TaskName, (Mono, CrashRecord)>,
}

impl CrashMemory {
    /// Stores a record; the oldest one gives way when the memory is full.
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

    /// Returns the messages with the crash records of a job's tasks.
    pub fn job_records(&self, job: JobNumber) -> impl Iterator<Item = proto::CrashedTask> {
        let known = self.records.iter().filter(move |(task, _)| task.job == job);
        known.map(|(task, (_, record))| proto::CrashedTask {
            task: Some(task.proto(0)),
            record: record.proto(),
        })
    }

    /// Drops the records that are older than `age`.
    pub fn expire(&mut self, now: Mono, age: Duration) {
        self.records.retain(|_, (at, _)| now.since(*at) < age);
    }
}

impl Run {
    /// Returns whether the worker has confirmed the start or listed the run.
    fn is_confirmed(&self) -> bool {
        self.listed_by != u64::MAX
    }
}

impl Executor {
    /// Returns when the worker was last alive: when it first failed to answer, or `now` if it answers.
    fn last_alive(&self, now: Mono) -> Mono {
        let silent = self.worker.as_ref().and_then(|w| w.silent_since);
        silent.unwrap_or(now)
    }

    /// Updates the crash records and the blame of the runs at the worker after it has crashed, except for
    /// `kept`. A draining worker has not crashed.
    pub(super) fn record_crash(&mut self, now: Mono, kept: &[TaskName]) {
        if self.worker.as_ref().is_none_or(|w| w.heartbeat.draining) {
            return;
        }
        let ended = self.last_alive(now);
        // One that is being stopped may work on for a while after the stop was confirmed.
        let affected = |run: &Run| run.started_at <= ended;
        let affected = self
            .runs
            .iter()
            .filter(|(task, run)| affected(run) && !kept.contains(task));
        let names: Vec<TaskName> = affected.map(|(task, _)| *task).collect();
        let lost = |task: &TaskName| LostRun {
            age: ended.since(self.runs[task].started_at),
            certain: self.runs[task].is_confirmed(),
            record: self.runs[task].crashes,
        };
        let lost: Vec<LostRun> = names.iter().map(lost).collect();
        let updated = update_records(&lost, &self.setup.policy.crashes);
        self.assign_blame(ended, &names);
        for (task, record) in names.into_iter().zip(updated) {
            self.crash_memory.insert(now, task, record);
            if let Some(run) = self.runs.get_mut(&task) {
                run.crashes = record;
                run.crashed = true;
            }
        }
    }

    /// Divides the blame for a crash equally among the jobs with runs that started shortly before it.
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

    /// Merges the record that is known here into the one that a scheduler sent with a task.
    pub(super) fn merge_crash_record(&self, queued: &mut QueuedTask) {
        let known = self.crash_memory.record(queued.task);
        queued.crashes = queued.crashes.merge(known);
    }

    /// Returns whether a suspect task must wait for another suspect that started recently. If the worker
    /// crashed under both, the cause could not be determined, and both would be tried again.
    pub(super) fn is_blocked_by_trial(&self, now: Mono, queued: &QueuedTask) -> bool {
        let window = self.setup.policy.crashes.window;
        let tried = |run: &Run| run.crashes.suspect && now.since(run.started_at) < window;
        queued.crashes.suspect && self.runs.values().any(tried)
    }

    /// Returns the end to report for a run that was lost.
    pub(super) fn lost_end_kind(&self, task: TaskName) -> EndKind {
        let Some(run) = self.runs.get(&task) else {
            return EndKind::Lost;
        };
        match run.state {
            // The start was not answered because the worker crashed in the meantime.
            RunState::Stopping {
                why: EndKind::Stalled,
                ..
            } if run.crashed => EndKind::Crashed,
            RunState::Stopping { why, .. } => why,
            _ if run.crashed => EndKind::Crashed,
            _ => EndKind::Lost,
        }
    }

    /// Logs the runs that are lost, except for `kept`, with their age when the worker was last alive. A task
    /// that repeatedly started just before is the likely cause.
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

/// Returns the part of the log line about one lost run.
fn describe_run(task: TaskName, run: &Run, ended: Mono) -> String {
    let age = crate::clock::millis(ended.since(run.started_at));
    let verdict = match run.crashes {
        CrashRecord { proven: true, .. } => " (the cause)",
        CrashRecord { suspect: true, .. } => " (suspect)",
        _ => "",
    };
    format!("{task} run {} {age} ms{verdict}", run.run)
}
