//! Placement: chooses the executor of each ready task, sends its start there, and ends jobs that have waited
//! too long. Waiting jobs are served by class, then by latest start. A job that has not begun is placed only
//! once most of its ready tasks find free capacity.

use rand::Rng;
use slotmap::SecondaryMap;

use super::Scheduler;
use super::executors::ExecutorKey;
use super::jobs::Job;
use super::jobs::Phase;
use super::jobs::TaskState;
use super::speeds::Fit;
use crate::dispatch::model::Demand;
use crate::dispatch::model::FreeCapacity;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::dispatch::timings::Stage;
use crate::event::Kind;
use crate::protos::dispatch as proto;

/// The class of jobs that have begun and can still meet their objective, or are late and have little left to
/// place. They go first, because the work done for a job is lost if it is not finished. So at most one job at
/// a time is partly placed.
pub(super) const BEGUN: u8 = 0;
/// The class of jobs of the most urgent queues that have not begun.
const URGENT: u8 = 1;
/// The class of other jobs that have not begun.
const FRESH: u8 = 2;
/// The class of jobs that have not begun, of a kind that gets less than its share. Under contention control,
/// the classes of each priority follow it; see `contention`.
pub(super) const UNDERSERVED: u8 = 1;
/// The class of jobs that have begun, will be late, and have much left to place.
pub(super) const LATE: u8 = u8::MAX;

/// The executor chosen for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskPlacement {
    pub task: usize,
    pub step: u32,
    pub key: ExecutorKey,
    pub trial: bool,
    /// Whether runs may be stopped there to make room for it.
    pub preempts: bool,
}

/// The result of choosing an executor for a task.
#[derive(Clone, Copy, Debug)]
struct Choice {
    /// The chosen executor, and whether the task is a trial of it.
    place: Option<(ExecutorKey, bool)>,
    /// Whether the task waits although there is free capacity, because it would be late there.
    held_back: bool,
}

impl Scheduler {
    /// Updates the position of a job among the waiting jobs; removes it if it has no tasks to place, or is
    /// being claimed.
    pub(super) fn queue_job(&mut self, number: JobNumber) {
        let now = self.now;
        let finish_share = self.setup.policy.admission.finish_share;
        let contention = &self.setup.policy.contention;
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let latest = match job.phase {
            Phase::Active => job.latest_start(),
            Phase::Claiming(_) => None,
        };
        let key = latest.map(|at| {
            let class = match (job.began, at >= now) {
                (true, true) => BEGUN,
                (true, false) if job.waiting_share() <= finish_share => BEGUN,
                (true, false) => LATE,
                (false, _) if contention.on => self.contention.class(job, contention),
                (false, _) if job.priority == 0 => URGENT,
                (false, _) => FRESH,
            };
            (class, at)
        });
        if key == job.waiting_key {
            return;
        }
        if let Some((class, at)) = job.waiting_key.take() {
            self.waiting.remove(&(class, at, number));
        }
        if let Some((class, at)) = key {
            self.waiting.insert((class, at, number));
            job.waiting_key = key;
        }
    }

    /// Places waiting jobs, the most urgent first, until one that has not begun does not fit. Jobs confined
    /// to a bulkhead, and held-back jobs that leave room to others, do not stop the round.
    pub(super) fn place(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        if self.is_contention_on() {
            return self.place_by_class();
        }
        let limit = self.setup.policy.admission.round_jobs as usize;
        let numbers: Vec<(u8, JobNumber)> = self
            .waiting
            .iter()
            .take(limit)
            .map(|w| (w.0, w.2))
            .collect();
        self.record_unheard_peers();
        self.refresh_cell();
        self.allowed_executors = None;
        for (class, number) in numbers {
            if self
                .jobs
                .get(&number)
                .is_some_and(|j| self.needs_reclaim(j))
            {
                self.claim(number);
                self.queue_job(number);
                continue;
            }
            let queue = self.jobs.get(&number).map(|j| &j.request.queue);
            let confined = queue.is_some_and(|queue| self.bulkheads.confines(queue));
            self.place_job(number);
            let whole = !self.jobs.get(&number).is_some_and(Job::is_waiting);
            if !whole {
                self.borrow_executors();
            }
            if matches!(class, URGENT | FRESH)
                && !whole
                && !confined
                && !self.reserve_executors(number)
            {
                break;
            }
        }
    }

    /// Places the ready tasks of a job. A job that has not begun waits until there is free capacity for most
    /// of them, unless it is so wide that this may never happen.
    pub(super) fn place_job(&mut self, number: JobNumber) {
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        let before = std::mem::take(&mut job.held_back);
        let plan = self.plan(&mut job);
        if job.held_back && !before {
            self.record_held_back(number);
        }
        let ready = job.tasks.iter().filter(|t| t.state == TaskState::Ready);
        let fits_most =
            plan.len() as f64 >= ready.count() as f64 * self.setup.policy.admission.begin_share;
        if (fits_most && !plan.is_empty()) || job.began || self.is_wide(&job) {
            self.apply_plan(&mut job, &plan);
        }
        self.jobs.insert(number, job);
        self.queue_job(number);
    }

    /// Returns whether the ready tasks of a job need a large share of the capacity of the cell.
    pub(super) fn is_wide(&self, job: &Job) -> bool {
        let mut needed = 0;
        for task in job.tasks.iter().filter(|t| t.state == TaskState::Ready) {
            needed += u64::from(job.request.steps[task.step as usize].demand.cpu_milli);
        }
        let executors = self.cell.executors.iter().map(|key| &self.executors[*key]);
        let executors = executors.filter(|e| !e.evacuated);
        let all: u64 = executors.map(|e| u64::from(e.capacity.cpu_milli)).sum();
        needed as f64 > self.setup.policy.admission.wide_share * all as f64
    }

    /// Chooses executors for the ready tasks of a job, as far as there is free capacity.
    fn plan(&mut self, job: &mut Job) -> Vec<TaskPlacement> {
        let mut free: SecondaryMap<ExecutorKey, FreeCapacity> = SecondaryMap::new();
        let barred = self.excluded_executors(&job.request.queue);
        for key in &self.cell.executors {
            let executor = &self.executors[*key];
            if executor.accepts_tasks(self.now, &job.service) && !barred.contains(key) {
                free.insert(*key, executor.free);
            }
        }
        let mut plan: Vec<TaskPlacement> = Vec::new();
        for step in 0..job.request.steps.len() as u32 {
            self.plan_step(job, step, &mut free, &mut plan);
        }
        self.plan_preemptions(job, &mut plan);
        plan
    }

    /// Adds the ready tasks of one step to a plan, spread over several executors.
    fn plan_step(
        &mut self,
        job: &mut Job,
        step: u32,
        free: &mut SecondaryMap<ExecutorKey, FreeCapacity>,
        plan: &mut Vec<TaskPlacement>,
    ) {
        let ready = |t: &super::jobs::Task| t.step == step && t.state == TaskState::Ready;
        let ready_tasks: Vec<usize> = (0..job.tasks.len())
            .filter(|i| ready(&job.tasks[*i]))
            .collect();
        let share = ready_tasks
            .len()
            .div_ceil(self.setup.policy.placement.split as usize);
        let demand = job.request.steps[step as usize].demand;
        let mut next = 0;
        while next < ready_tasks.len() {
            let avoid = job.tasks[ready_tasks[next]].avoid;
            let chosen = self.choose_executor(job, step, avoid, free, plan);
            let Some((key, trial)) = chosen.place else {
                job.held_back |= chosen.held_back;
                return;
            };
            // Suspects of one crash go to different workers, so that a second crash shows which of them
            // caused it.
            let suspect = job.tasks[ready_tasks[next]].crashes.suspect;
            let limit = if trial || suspect { 1 } else { share };
            let mut placed = 0;
            while placed < limit && next < ready_tasks.len() && free[key].holds(demand) {
                plan.push(TaskPlacement {
                    task: ready_tasks[next],
                    step,
                    key,
                    trial,
                    preempts: false,
                });
                free[key] = free[key].less(demand);
                next += 1;
                placed += 1;
            }
            if trial || suspect {
                free.remove(key);
            }
        }
    }

    /// Reserves capacity for the tasks of a plan, and queues their starts.
    fn apply_plan(&mut self, job: &mut Job, plan: &[TaskPlacement]) {
        let mut used: Vec<(u32, ExecutorKey)> = Vec::new();
        for placing in plan {
            let demand = job.request.steps[placing.step as usize].demand;
            let executor = &mut self.executors[placing.key];
            executor.reserve(demand);
            if placing.trial {
                executor.last_trial = self.now;
            }
            let task = &mut job.tasks[placing.task];
            task.state = TaskState::Placed(placing.key);
            task.attempts += 1;
            let at = (placing.step, placing.key);
            if !used.contains(&at) {
                used.push(at);
            }
        }
        self.record_preemptions(job, plan);
        for (step, key) in used {
            let here = |p: &&TaskPlacement| p.step == step && p.key == key;
            let preempts = plan.iter().filter(here).any(|p| p.preempts);
            self.send_starts(job, step, key, preempts);
        }
    }

    /// Queues the starts of the tasks of a step that were just placed at an executor.
    fn send_starts(&mut self, job: &mut Job, step: u32, key: ExecutorKey, preempts: bool) {
        let now = self.now;
        let executor = &mut self.executors[key];
        let mut starts = Vec::new();
        for task in &job.tasks {
            let name = TaskName {
                job: job.request.number,
                occurrence: 0,
                step: task.step,
                index: task.index,
            };
            let here = task.step == step && task.state == TaskState::Placed(key);
            if here && executor.placed.get(&name) != Some(&task.attempts) {
                executor.placed.insert(name, task.attempts);
                starts.push(proto::TaskStart {
                    index: task.index,
                    attempt: task.attempts,
                    checkpoint: task.checkpoint.clone(),
                    crashes: task.crashes.proto(),
                    stops: job.preemptions_left(task, &self.setup.policy.preemption),
                });
            }
        }
        if starts.is_empty() {
            return;
        }
        self.counts.placed += starts.len() as u64;
        self.bulkheads.record_start(now, &job.request.queue);
        if !job.began {
            let waited = now.since(job.arrived);
            self.timings
                .record(&job.request.queue, Stage::Placed, waited);
            self.record_share(job, true);
        }
        job.began = true;
        let s = &job.request.steps[step as usize];
        let latest = self.latest_at(job, step, key);
        let estimate = self.expected_at(job, step, key);
        let speed = self.describe_speed(job, step, key);
        let slack = now
            .until(latest)
            .max(self.setup.policy.placement.least_slack);
        let message = proto::StartTasks {
            job: job.request.number.0,
            occurrence: 0,
            step,
            spec: job.spec.to_string(),
            demand: Some(s.demand.proto()),
            tasks: starts,
            slack_ms: crate::clock::millis(slack) as u32,
            estimate_ms: crate::clock::millis(estimate) as u32,
            priority: job.priority,
            spread: s.spread,
            preempts,
            saves_progress: s.saves_progress,
        };
        let executor = &mut self.executors[key];
        let detail = format!(
            "{}.0.{step} at {}: {} tasks, report {} ms old, {} milli-cores left{speed}",
            job.request.number,
            executor.name,
            message.tasks.len(),
            crate::clock::millis(now.since(executor.last_heard)),
            executor.free.cpu_milli,
        );
        executor.orders.starts.push(message);
        self.pending.push(key);
        self.log(Kind::TasksPlaced, detail);
    }

    /// Chooses an executor for a task of a step. Except for trials, one at which the task would be late is
    /// chosen only if it would be late at all others as well, including those without free capacity now.
    fn choose_executor(
        &mut self,
        job: &Job,
        step: u32,
        avoid: Option<ExecutorKey>,
        free: &SecondaryMap<ExecutorKey, FreeCapacity>,
        plan: &[TaskPlacement],
    ) -> Choice {
        let s = &job.request.steps[step as usize];
        let now = self.now;
        let policy = self.setup.policy;
        let mut best: Option<(f64, ExecutorKey, bool)> = None;
        let mut late: Option<(f64, ExecutorKey, bool)> = None;
        let mut can_be_in_time = false;
        for (key, capacity) in free {
            let executor = &self.executors[key];
            if Some(key) == avoid || !satisfies(executor, s) {
                continue;
            }
            let fit = self.fit(job, step, executor);
            can_be_in_time |= matches!(fit, Some(Fit::InTime(_)));
            if !capacity.holds(s.demand) || !self.is_allowed(key) {
                continue;
            }
            let planned = plan.iter().filter(|p| p.step == step && p.key == key);
            let here = count_at(job, step, key) + planned.count();
            if s.spread > 0 && here >= s.spread as usize {
                continue;
            }
            let unhealthy = executor.slow || executor.report.suspect;
            let probe = matches!(fit, Some(Fit::Late(_))) && self.needs_probe(executor);
            let trial = unhealthy || probe;
            if trial && now.since(executor.last_trial) < self.trial_gap(executor) {
                continue;
            }
            if let Some(Fit::Late(score)) = fit
                && !trial
            {
                if late.is_none_or(|(l, _, _)| score > l) {
                    late = Some((score, key, false));
                }
                continue;
            }
            let mut score = capacity.cpu_milli as f64;
            if let Some(Fit::InTime(favour)) = fit {
                score += favour;
            }
            score += self.rng.random_range(0.0..policy.placement.jitter.max(1.0));
            if executor.zone == self.setup.zone {
                score += policy.placement.own_zone;
            }
            if !s.rack.is_empty() && executor.profile.labels.contains(&s.rack) {
                score += policy.placement.near_data;
            }
            if trial {
                score -= policy.placement.trial_penalty;
            }
            if best.is_none_or(|(b, _, _)| score > b) {
                best = Some((score, key, trial));
            }
        }
        let held_back = best.is_none() && late.is_some() && can_be_in_time;
        let best = best.or(if can_be_in_time { None } else { late });
        Choice {
            place: best.map(|(_, key, trial)| (key, trial)),
            held_back,
        }
    }

    /// Ends the jobs for which waiting longer is pointless.
    pub(super) fn expire_jobs(&mut self) {
        let now = self.now;
        let expired = self.jobs.iter().filter(|(_, j)| j.expires_at <= now);
        let expired: Vec<JobNumber> = expired.map(|(n, _)| *n).collect();
        for number in expired {
            self.give_up(number, "too-late");
        }
        let missed = self.waiting.iter();
        let missed = missed.filter(|(class, at, _)| *class != LATE && *at <= now);
        let missed: Vec<JobNumber> = missed.map(|w| w.2).collect();
        for number in missed {
            self.handle_missed_start(number);
        }
        self.give_up_late();
    }

    /// Gives up late jobs whose latest start passed `admission.late_wait` ago and that have more than
    /// `admission.finish_share` of their tasks to place: finishing them would make other jobs late.
    fn give_up_late(&mut self) {
        let bound = self.now - self.setup.policy.admission.late_wait;
        let late = self.waiting.iter();
        let late = late.filter(|(class, at, _)| *class == LATE && *at <= bound);
        let late: Vec<JobNumber> = late.map(|w| w.2).collect();
        for number in late {
            let share = self.setup.policy.admission.finish_share;
            let has_much_left = |j: &Job| j.waiting_share() > share;
            if self.jobs.get(&number).is_some_and(has_much_left) {
                self.give_up(number, "late-and-waiting");
            }
        }
    }

    /// Handles a waiting job whose latest start has passed: reclassifies it if it has begun, else gives it
    /// up.
    fn handle_missed_start(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if job.began {
            self.queue_job(number);
        } else {
            self.give_up(number, "no-room");
        }
    }
}

/// Returns whether a worker has the capacity and the label that a step requires.
pub(super) fn satisfies(
    executor: &super::executor_view::ExecutorView,
    step: &crate::dispatch::model::Step,
) -> bool {
    let labels = &executor.profile.labels;
    let all = step.demand.fits(Demand::default(), executor.capacity);
    all && (step.requirement.is_empty() || labels.contains(&step.requirement))
}

/// Returns how many tasks of a step are placed at an executor.
pub(super) fn count_at(job: &Job, step: u32, key: ExecutorKey) -> usize {
    let here = |t: &&super::jobs::Task| t.step == step && t.state == TaskState::Placed(key);
    job.tasks.iter().filter(here).count()
}
