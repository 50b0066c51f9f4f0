//! Jobs as a scheduler holds them.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::CallerId;
use super::fleet::ExecutorKey;
use crate::dispatch::catalog::Queue;
use crate::dispatch::crashes::CrashRecord;
use crate::dispatch::model::JobRequest;
use crate::dispatch::model::Step;
use crate::dispatch::model::TaskName;
use crate::dispatch::policy::Admission;
use crate::prelude::*;

/// Where a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Steps before it are not complete.
    Blocked,
    /// It is to be placed.
    Ready,
    /// It was sent to an executor.
    Placed(ExecutorKey),
    /// It ran to its end.
    Done,
}

/// A task.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub step: u32,
    pub index: u32,
    pub state: TaskState,
    pub attempts: u32,
    pub failures: u32,
    pub checkpoint: String,
    /// What is known of it from workers that crashed.
    pub crashes: CrashRecord,
    /// Where it last failed.
    pub avoid: Option<ExecutorKey>,
    /// Whether its run was stopped because it went slowly. That is done once.
    pub moved: bool,
    /// How often its run was stopped for a more urgent task.
    pub preempted: u32,
}

/// Whether a job may be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It may.
    Active,
    /// Executors that have yet to confirm that nobody else runs it.
    Claiming(BTreeSet<ExecutorKey>),
}

/// A job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub request: JobRequest,
    pub spec: Rc<str>,
    pub service: String,
    pub priority: u32,
    pub max_attempts: u32,
    pub callers: Vec<CallerId>,
    /// Peers that have a caller for it.
    pub followers: Vec<String>,
    pub arrived: Mono,
    pub phase: Phase,
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub left: usize,
    /// Whether a start of any task was sent.
    pub began: bool,
    /// Whether another scheduler may have started tasks of it.
    pub ran_elsewhere: bool,
    /// Whether it was held here before, and ended after something of it had been started.
    pub began_before: bool,
    /// Whether it is claimed only because this scheduler has just started.
    pub startup_claim: bool,
    /// Whether it is claimed because the link to a peer broke just before it came.
    pub loss_claim: bool,
    /// When it was last known that no other scheduler has it.
    pub exclusive_since: Mono,
    /// When its caller's objective ends.
    pub objective_at: Mono,
    /// Until when it will meet the objective quite surely if it begins.
    pub start_deadline: Mono,
    /// When it is of no use to anybody any more.
    pub expires_at: Mono,
    /// When it was last placed where runs are stopped for it.
    pub preempted_at: Option<Mono>,
    /// Its place among the jobs that wait, if it does.
    pub waiting_key: Option<(u8, Mono)>,
    /// How much its objective grows with its work.
    pub stretch: f64,
    /// Whether tasks of it have waited although there was room, since they would have been late there.
    pub held_back: bool,
    /// The expected time of a task of each step at a worker of ordinary pace.
    pub expected: Vec<Duration>,
    /// The expected time from the start of each step to the end of the job.
    pub critical_path: Vec<Duration>,
}

impl Job {
    /// A job that has just arrived. `learned` is how long tasks of its queue take against their
    /// estimates.
    pub fn new(
        now: Mono,
        request: JobRequest,
        queue: &Queue,
        learned: f64,
        policy: &Admission,
    ) -> Job {
        let estimate = |s: &Step| {
            Duration::from_millis(u64::from(s.estimate_ms.max(1))).mul_f64(learned.max(0.01))
        };
        let expected: Vec<Duration> = request.steps.iter().map(estimate).collect();
        let critical_path = critical_paths(&request.steps, &expected);
        let whole = critical_path.iter().copied().max().unwrap_or_default();
        let objective = whole.mul_f64(queue.extension.max(1.0))
            + Duration::from_millis(u64::from(queue.objective_ms));
        let spare = (queue.extension - policy.slow_allowance).max(0.0) * policy.sure_share;
        let sure = Duration::from_millis(u64::from(queue.objective_ms)) + whole.mul_f64(spare);
        let patience = Duration::from_millis(request.patience_ms);
        let mut expires_at = now + objective.mul_f64(policy.late_factor);
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
            left: tasks.len(),
            tasks,
            began: false,
            ran_elsewhere: false,
            began_before: false,
            startup_claim: false,
            loss_claim: false,
            exclusive_since: now,
            objective_at: now + objective.saturating_sub(policy.travel),
            start_deadline: now + sure.saturating_sub(policy.travel),
            expires_at,
            preempted_at: None,
            waiting_key: None,
            stretch: queue.extension.max(1.0),
            held_back: false,
            expected,
            critical_path,
            request,
        }
    }

    /// The name of a task.
    pub fn name(&self, task: &Task) -> TaskName {
        TaskName {
            job: self.request.number,
            occurrence: 0,
            step: task.step,
            index: task.index,
        }
    }

    /// The task of this name.
    pub fn task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        let same = |t: &&mut Task| t.step == name.step && t.index == name.index;
        self.tasks.iter_mut().find(same)
    }

    /// The latest time at which the tasks that are ready can start and meet the objective. For a
    /// job that has not begun it is one at which it will do so quite surely: its work is a guess,
    /// and a job that is late has used as much as one that is in time.
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
        let open: Vec<bool> = (0..steps.len())
            .map(|i| {
                let after = &steps[i].after;
                let left = |t: &Task| after.contains(&t.step) && t.state != TaskState::Done;
                !self.tasks.iter().any(left)
            })
            .collect();
        for task in &mut self.tasks {
            if task.state == TaskState::Blocked && open[task.step as usize] {
                task.state = TaskState::Ready;
            }
        }
    }

    /// The share of its tasks that are to be placed.
    pub fn waiting_share(&self) -> f64 {
        let ready = |t: &&Task| t.state == TaskState::Ready;
        self.tasks.iter().filter(ready).count() as f64 / self.tasks.len() as f64
    }

    /// Whether tasks of it are to be placed.
    pub fn is_waiting(&self) -> bool {
        self.tasks.iter().any(|t| t.state == TaskState::Ready)
    }
}

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

/// For each step, the longest sum of expected times from its start to the end of the job.
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
