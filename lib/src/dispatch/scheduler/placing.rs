//! Which task goes where, and which jobs wait no longer.

use rand::Rng;
use slotmap::SecondaryMap;

use super::Scheduler;
use super::fleet::ExecutorKey;
use super::jobs::Job;
use super::jobs::Phase;
use super::jobs::TaskState;
use super::speeds::Fit;
use crate::dispatch::model::Demand;
use crate::dispatch::model::Free;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::dispatch::timings::Stage;
use crate::event::Kind;
use crate::protos::dispatch as proto;

/// Jobs that have begun and can still meet their objective. They go first: what they have used is
/// lost if they are not finished, and so at most one job at a time stands half placed.
pub(super) const BEGUN: u8 = 0;
/// Jobs of the most urgent queues that have not begun.
const URGENT: u8 = 1;
/// Other jobs that have not begun.
const FRESH: u8 = 2;
/// Jobs that have not begun, of a kind of which too few are served. Those of each priority come next; see `contention`.
pub(super) const OWED: u8 = 1;
/// Jobs that have begun and will be late.
pub(super) const LATE: u8 = u8::MAX;

/// A task and where it goes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placing {
    pub task: usize,
    pub step: u32,
    pub key: ExecutorKey,
    pub trial: bool,
    /// Whether runs may be stopped for it there.
    pub preempts: bool,
}

/// What was found for a task.
#[derive(Clone, Copy, Debug)]
struct Choice {
    /// Where it goes, and whether that is an executor on trial.
    place: Option<(ExecutorKey, bool)>,
    /// Whether it waits although there is room, since it would be late there.
    held_back: bool,
}

impl Scheduler {
    /// Puts a job where it belongs among those that wait, if it has tasks to place.
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
        let place = latest.map(|at| {
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
        if place == job.place {
            return;
        }
        if let Some((class, at)) = job.place.take() {
            self.waiting.remove(&(class, at, number));
        }
        if let Some((class, at)) = place {
            self.waiting.insert((class, at, number));
            job.place = place;
        }
    }

    /// Places what there is room for, the most urgent first.
    pub(super) fn place(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        if self.is_contention_on() {
            return self.place_by_class();
        }
        let most = self.setup.policy.admission.round_jobs as usize;
        let numbers: Vec<(u8, JobNumber)> =
            self.waiting.iter().take(most).map(|w| (w.0, w.2)).collect();
        self.note_gap();
        self.refresh_cell();
        self.spared = None;
        for (class, number) in numbers {
            if self.jobs.get(&number).is_some_and(|j| self.is_exposed(j)) {
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
            if matches!(class, URGENT | FRESH) && !whole && !confined && !self.leaves_room(number) {
                break;
            }
        }
    }

    /// Places the ready tasks of a job. A fresh job is placed once there is room for most of it,
    /// unless it is so wide that this would never be.
    pub(super) fn place_job(&mut self, number: JobNumber) {
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        let before = std::mem::take(&mut job.held_back);
        let plan = self.plan(&mut job);
        if job.held_back && !before {
            self.hold_back(number);
        }
        let ready = job.tasks.iter().filter(|t| t.state == TaskState::Ready);
        let enough =
            plan.len() as f64 >= ready.count() as f64 * self.setup.policy.admission.begin_share;
        if (enough && !plan.is_empty()) || job.began || self.is_wide(&job) {
            self.carry_out(&mut job, &plan);
        }
        self.jobs.insert(number, job);
        self.queue_job(number);
    }

    /// Whether the ready tasks of a job take a large part of the workers of the cell.
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

    /// Where each of the ready tasks would go, as far as there is room.
    fn plan(&mut self, job: &mut Job) -> Vec<Placing> {
        let mut free: SecondaryMap<ExecutorKey, Free> = SecondaryMap::new();
        let barred = self.excluded_executors(&job.request.queue);
        for key in &self.cell.executors {
            let executor = &self.executors[*key];
            if executor.accepts_tasks(self.now, &job.service) && !barred.contains(key) {
                free.insert(*key, executor.free);
            }
        }
        let mut plan: Vec<Placing> = Vec::new();
        for step in 0..job.request.steps.len() as u32 {
            self.plan_step(job, step, &mut free, &mut plan);
        }
        self.plan_preempting(job, &mut plan);
        plan
    }

    fn plan_step(
        &mut self,
        job: &mut Job,
        step: u32,
        free: &mut SecondaryMap<ExecutorKey, Free>,
        plan: &mut Vec<Placing>,
    ) {
        let ready = |t: &super::jobs::Task| t.step == step && t.state == TaskState::Ready;
        let todo: Vec<usize> = (0..job.tasks.len())
            .filter(|i| ready(&job.tasks[*i]))
            .collect();
        let share = todo
            .len()
            .div_ceil(self.setup.policy.placement.split as usize);
        let demand = job.request.steps[step as usize].demand;
        let mut next = 0;
        while next < todo.len() {
            let avoid = job.tasks[todo[next]].avoid;
            let chosen = self.choose(job, step, avoid, free, plan);
            let Some((key, trial)) = chosen.place else {
                job.held_back |= chosen.held_back;
                return;
            };
            // Suspects of one crash go to different workers, so that a second one tells which it was.
            let suspect = job.tasks[todo[next]].crashes.suspect;
            let most = if trial || suspect { 1 } else { share };
            let mut placed = 0;
            while placed < most && next < todo.len() && free[key].holds(demand) {
                plan.push(Placing {
                    task: todo[next],
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

    /// Sends the tasks of a plan.
    fn carry_out(&mut self, job: &mut Job, plan: &[Placing]) {
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
        self.note_preempting(job, plan);
        for (step, key) in used {
            let here = |p: &&Placing| p.step == step && p.key == key;
            let preempts = plan.iter().filter(here).any(|p| p.preempts);
            self.send_starts(job, step, key, preempts);
        }
    }

    /// Gathers the starts of tasks that were just placed at an executor.
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
                    stops: job.stops_left(task, &self.setup.policy.preemption),
                });
            }
        }
        if starts.is_empty() {
            return;
        }
        self.counts.placed += starts.len() as u64;
        self.bulkheads.note_start(now, &job.request.queue);
        if !job.began {
            let waited = now.since(job.arrived);
            self.timings.note(&job.request.queue, Stage::Placed, waited);
            self.note_share(job, true);
        }
        job.began = true;
        let s = &job.request.steps[step as usize];
        let latest = self.latest_at(job, step, key);
        let estimate = self.expected_at(job, step, key);
        let speed = self.speed_words(job, step, key);
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

    /// The executor for a task of a step, if there is one. One at which the task would be late is taken only if it
    /// would be late at all others, also at those that have no room now.
    fn choose(
        &mut self,
        job: &Job,
        step: u32,
        avoid: Option<ExecutorKey>,
        free: &SecondaryMap<ExecutorKey, Free>,
        plan: &[Placing],
    ) -> Choice {
        let s = &job.request.steps[step as usize];
        let now = self.now;
        let policy = self.setup.policy;
        let mut best: Option<(f64, ExecutorKey, bool)> = None;
        let mut late: Option<(f64, ExecutorKey, bool)> = None;
        let mut reachable = false;
        for (key, room) in free {
            let executor = &self.executors[key];
            if Some(key) == avoid || !suits(executor, s) {
                continue;
            }
            let fit = self.fit(job, step, executor);
            reachable |= matches!(fit, Some(Fit::InTime(_)));
            if !room.holds(s.demand) || !self.is_spared(key) {
                continue;
            }
            let planned = plan.iter().filter(|p| p.step == step && p.key == key);
            let here = count_at(job, step, key) + planned.count();
            if s.spread > 0 && here >= s.spread as usize {
                continue;
            }
            let sick = executor.slow || executor.report.suspect;
            let unproved = matches!(fit, Some(Fit::Late(_))) && self.needs_probe(executor);
            let trial = sick || unproved;
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
            let mut score = room.cpu_milli as f64;
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
        let held_back = best.is_none() && late.is_some() && reachable;
        let best = best.or(if reachable { None } else { late });
        Choice {
            place: best.map(|(_, key, trial)| (key, trial)),
            held_back,
        }
    }

    /// Ends the jobs that wait for nothing.
    pub(super) fn expire_jobs(&mut self) {
        let now = self.now;
        let useless = self.jobs.iter().filter(|(_, j)| j.useless_at <= now);
        let useless: Vec<JobNumber> = useless.map(|(n, _)| *n).collect();
        for number in useless {
            self.give_up(number, "too-late");
        }
        let passed = self.waiting.iter();
        let passed = passed.filter(|(class, at, _)| *class != LATE && *at <= now);
        let passed: Vec<JobNumber> = passed.map(|w| w.2).collect();
        for number in passed {
            self.objective_passed(number);
        }
        self.drop_late();
    }

    /// Gives up late jobs that wait for room and have much left to do: what is left of them keeps
    /// others from being in time.
    fn drop_late(&mut self) {
        let bound = self.now - self.setup.policy.admission.late_wait;
        let late = self.waiting.iter();
        let late = late.filter(|(class, at, _)| *class == LATE && *at <= bound);
        let late: Vec<JobNumber> = late.map(|w| w.2).collect();
        for number in late {
            let share = self.setup.policy.admission.finish_share;
            let much = |j: &Job| j.waiting_share() > share;
            if self.jobs.get(&number).is_some_and(much) {
                self.give_up(number, "late-and-waiting");
            }
        }
    }

    /// A job can't meet its objective any more.
    fn objective_passed(&mut self, number: JobNumber) {
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

/// Whether a worker has what a step requires.
pub(super) fn suits(
    executor: &super::executor_view::ExecutorView,
    step: &crate::dispatch::model::Step,
) -> bool {
    let labels = &executor.profile.labels;
    let all = step.demand.fits(Demand::default(), executor.capacity);
    all && (step.requirement.is_empty() || labels.contains(&step.requirement))
}

/// How many tasks of a step are placed at an executor.
pub(super) fn count_at(job: &Job, step: u32, key: ExecutorKey) -> usize {
    let here = |t: &&super::jobs::Task| t.step == step && t.state == TaskState::Placed(key);
    job.tasks.iter().filter(here).count()
}
