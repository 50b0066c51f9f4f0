//! The scheduler's record of a job and its tasks: deadlines, expected times, and what state each task is in.
//! A task becomes ready when all tasks of the steps before its own are done.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::CallerId;
use super::executors::ExecutorKey;
use crate::dispatch::catalog::Queue;
use crate::dispatch::crashes::CrashRecord;
use crate::dispatch::model::JobRequest;
use crate::dispatch::model::Step;
use crate::dispatch::model::TASK_BYTES;
use crate::dispatch::model::TaskName;
use crate::dispatch::policy::Admission;
use crate::prelude::*;

/// The largest `extension` of a queue that counts. The objective of the longest job is still a duration with it.
const MAX_EXTENSION: f64 = 1e6;

/// Progress of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Some step before its own is incomplete.
    Blocked,
    /// It waits to be placed.
    Ready,
    /// It was sent to this executor.
    Placed(ExecutorKey),
    /// It ran to completion.
    Done,
}

/// A task of a job.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub step: u32,
    pub index: u32,
    pub state: TaskState,
    pub attempts: u32,
    pub failures: u32,
    pub checkpoint: String,
    /// What is known of worker crashes during its runs.
    pub crashes: CrashRecord,
    /// The executor where it last failed, crashed, stalled, was lost or ran slowly; its next run goes
    /// elsewhere.
    pub avoid: Option<ExecutorKey>,
    /// Whether a run of it was stopped for being slow; this happens only once.
    pub moved: bool,
    /// How often its run was stopped for a more urgent task.
    pub preempted: u32,
}

const _: () = assert!(
    size_of::<Task>() <= TASK_BYTES,
    "a task holds more than is counted for it"
);

/// Whether a job may be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its tasks may be placed.
    Active,
    /// It is being claimed; holds the executors that have yet to confirm.
    Claiming(BTreeSet<ExecutorKey>),
}

/// A job that this scheduler runs.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub request: JobRequest,
    pub spec: Rc<str>,
    pub service: String,
    pub priority: u32,
    pub max_attempts: u32,
    pub callers: Vec<CallerId>,
    /// Peers that have callers waiting for it.
    pub followers: Vec<String>,
    pub arrived: Mono,
    pub phase: Phase,
    pub tasks: Vec<Task>,
    /// The number of tasks that are not done.
    pub unfinished: usize,
    /// Whether any task was sent to an executor.
    pub began: bool,
    /// Whether another scheduler may have started tasks of it.
    pub ran_elsewhere: bool,
    /// Whether it was held here before, and ended when tasks of it may have been started.
    pub began_before: bool,
    /// Whether it is claimed only because this scheduler has just started.
    pub startup_claim: bool,
    /// Whether it is claimed only because the link to a peer was lost just before it arrived.
    pub loss_claim: bool,
    /// When it was last known that no other scheduler has it.
    pub exclusive_since: Mono,
    /// When it must be done to meet its caller's objective, less the travel time.
    pub objective_at: Mono,
    /// The latest start at which it meets the objective with a margin for wrong estimates.
    pub start_deadline: Mono,
    /// When its result is of no more use to the caller, and it is given up.
    pub expires_at: Mono,
    /// When it was last placed where runs are to be stopped for it.
    pub preempted_at: Option<Mono>,
    /// Its class and latest start as sorted among the waiting jobs, if it waits.
    pub waiting_key: Option<(u8, Mono)>,
    /// The queue's `extension`: the factor by which its expected duration counts towards the objective.
    pub extension: f64,
    /// Whether tasks of it waited although there was free capacity, because they would have been late there.
    pub held_back: bool,
    /// The expected time of a task of each step at a worker of mean speed.
    pub expected: Vec<Duration>,
    /// The longest expected time from the start of each step to the end of the job.
    pub critical_path: Vec<Duration>,
}

impl Job {
    /// Creates a job that has just arrived. `time_ratio` is how long tasks of its queue take relative to
    /// their estimates.
    pub fn new(
        now: Mono,
        request: JobRequest,
        queue: &Queue,
        time_ratio: f64,
        policy: &Admission,
    ) -> Job {
        let estimate = |s: &Step| {
            Duration::from_millis(u64::from(s.estimate_ms.max(1))).mul_f64(time_ratio.max(0.01))
        };
        let expected: Vec<Duration> = request.steps.iter().map(estimate).collect();
        let critical_path = critical_paths(&request.steps, &expected);
        let total = critical_path.iter().copied().max().unwrap_or_default();
        let extension = queue.extension.min(MAX_EXTENSION);
        let objective = total.mul_f64(extension.max(1.0))
            + Duration::from_millis(u64::from(queue.objective_ms));
        let spare_factor = (extension - policy.slow_allowance).max(0.0) * policy.sure_share;
        let start_window =
            Duration::from_millis(u64::from(queue.objective_ms)) + total.mul_f64(spare_factor);
        let start_window = start_window.min(policy.longest_wait);
        let patience = Duration::from_millis(request.patience_ms);
        let useful = objective.mul_f64(policy.late_factor);
        let mut expires_at = now + useful.min(policy.longest_life);
        if !patience.is_zero() {
            expires_at = expires_at.min(now + patience);
        }
        let tasks: Vec<Task> = tasks_of(&request.steps);
        Job {
            spec: request.spec.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts.max(1),
            callers: Vec::new(),
            followers: Vec::new(),
            arrived: now,
            phase: Phase::Active,
            unfinished: tasks.len(),
            tasks,
            began: false,
            ran_elsewhere: false,
            began_before: false,
            startup_claim: false,
            loss_claim: false,
            exclusive_since: now,
            objective_at: now + objective.saturating_sub(policy.travel),
            start_deadline: now + start_window.saturating_sub(policy.travel),
            expires_at,
            preempted_at: None,
            waiting_key: None,
            extension: extension.max(1.0),
            held_back: false,
            expected,
            critical_path,
            request,
        }
    }

    /// Returns the name of a task.
    pub fn name(&self, task: &Task) -> TaskName {
        TaskName {
            job: self.request.number,
            occurrence: 0,
            step: task.step,
            index: task.index,
        }
    }

    /// Returns the task of this name.
    pub fn task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        let same = |t: &&mut Task| t.step == name.step && t.index == name.index;
        self.tasks.iter_mut().find(same)
    }

    /// Returns the latest time at which its ready tasks can start and meet the objective; `None` if no task
    /// is ready. For a job that has not begun this leaves a margin: its work time is an estimate, and a job
    /// that ends late uses as much as one that ends in time.
    pub fn latest_start(&self) -> Option<Mono> {
        let ready = self.tasks.iter().filter(|t| t.state == TaskState::Ready);
        let needed = ready.map(|t| self.critical_path[t.step as usize]).max()?;
        let latest = self.objective_at - needed;
        if self.began {
            Some(latest)
        } else {
            Some(latest.min(self.start_deadline))
        }
    }

    /// Makes the tasks ready whose earlier steps are complete.
    pub fn unblock(&mut self) {
        let steps = &self.request.steps;
        let mut complete = vec![true; steps.len()];
        for task in &self.tasks {
            complete[task.step as usize] &= task.state == TaskState::Done;
        }
        let is_open = |step: &Step| step.after.iter().all(|earlier| complete[*earlier as usize]);
        let open: Vec<bool> = steps.iter().map(is_open).collect();
        for task in &mut self.tasks {
            if task.state == TaskState::Blocked && open[task.step as usize] {
                task.state = TaskState::Ready;
            }
        }
    }

    /// Returns the share of its tasks that are ready.
    pub fn waiting_share(&self) -> f64 {
        let ready = |t: &&Task| t.state == TaskState::Ready;
        self.tasks.iter().filter(ready).count() as f64 / self.tasks.len() as f64
    }

    /// Returns whether any of its tasks is ready.
    pub fn is_waiting(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Ready)
    }
}

/// Returns the tasks of all steps; those of steps without predecessors are ready.
fn tasks_of(steps: &[Step]) -> Vec<Task> {
    let mut tasks = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        let state = if step.after.is_empty() {
            TaskState::Ready
        } else {
            TaskState::Blocked
        };
        for index in 0..step.count {
            tasks.push(Task {
                step: number as u32,
                index,
                state,
                attempts: 0,
                failures: 0,
                checkpoint: String::new(),
                crashes: CrashRecord::default(),
                avoid: None,
                moved: false,
                preempted: 0,
            });
        }
    }
    tasks
}

/// Returns, for each step, the longest sum of expected times from its start to the end of the job.
fn critical_paths(steps: &[Step], expected: &[Duration]) -> Vec<Duration> {
    let mut critical_path = expected.to_vec();
    for later in (0..steps.len()).rev() {
        for earlier in &steps[later].after {
            let earlier = *earlier as usize;
            critical_path[earlier] =
                critical_path[earlier].max(expected[earlier] + critical_path[later]);
        }
    }
    critical_path
}
