//! Which task goes where, and which jobs wait no longer.

use rand::Rng;

use super::Scheduler;
use super::fleet::ExecutorKey;
use super::jobs::Job;
use super::jobs::Phase;
use super::jobs::TaskState;
use crate::dispatch::model::Demand;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// Jobs that have begun and can still meet their objective. They go first: what they have used is
/// lost if they are not finished, and so at most one job at a time stands half placed.
const BEGUN: u8 = 0;
/// Jobs that have not begun.
const FRESH: u8 = 1;
/// Jobs that have begun and will be late.
const LATE: u8 = 2;
/// A late job of which no more than this share waits is finished before others begin: it is worth
/// a fifth of what it was.
const WORTH_FINISHING: f64 = 0.25;
/// A late job of which more waits is given up after this long.
const LATE_WAIT: Duration = Duration::from_millis(60);
/// Jobs looked at in one round of placing, so that a long queue costs little.
const LOOK: usize = 24;
/// A worker that takes this many times as long as the others gets tasks on trial only.
const SLOW: f64 = 1.9;
/// Such a worker, or one that is suspect, gets a task on trial this often.
const TRIAL: Duration = Duration::from_millis(500);
/// Thousandths of a core that a worker in the own zone is ahead of others.
const OWN_ZONE: f64 = 800.0;
/// Thousandths of a core by which the choice among workers is spread.
const JITTER: f64 = 900.0;

impl Scheduler {
    /// Puts a job where it belongs among those that wait, if it has tasks to place.
    pub(super) fn queue_job(&mut self, number: JobNumber) {
        let now = self.now;
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
                (true, false) if job.waiting_share() <= WORTH_FINISHING => BEGUN,
                (true, false) => LATE,
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
        let numbers: Vec<(u8, JobNumber)> =
            self.waiting.iter().take(LOOK).map(|w| (w.0, w.2)).collect();
        let median = self.median_pace();
        self.note_gap();
        for (class, number) in numbers {
            if self.jobs.get(&number).is_some_and(|j| self.is_exposed(j)) {
                self.claim(number);
                self.queue_job(number);
                continue;
            }
            self.place_job(number, median);
            let whole = !self.jobs.get(&number).is_some_and(Job::is_waiting);
            if class == FRESH && !whole {
                break;
            }
        }
    }

    fn place_job(&mut self, number: JobNumber, median: f64) {
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        let steps = job.request.steps.len() as u32;
        for step in 0..steps {
            self.place_step(&mut job, step, median);
        }
        self.jobs.insert(number, job);
        self.queue_job(number);
    }

    fn place_step(&mut self, job: &mut Job, step: u32, median: f64) {
        let ready = |t: &super::jobs::Task| t.step == step && t.state == TaskState::Ready;
        let mut todo: Vec<usize> = (0..job.tasks.len())
            .filter(|i| ready(&job.tasks[*i]))
            .collect();
        let share = todo.len().div_ceil(4);
        while let Some(first) = todo.first().copied() {
            let avoid = job.tasks[first].avoid;
            let Some((key, trial)) = self.choose(job, step, avoid, median) else {
                return;
            };
            let most = if trial { 1 } else { share };
            let demand = job.request.steps[step as usize].demand;
            let executor = &mut self.executors[key];
            let mut placed = 0;
            while placed < most
                && let Some(at) = todo.first().copied()
                && executor.free.holds(demand)
            {
                todo.remove(0);
                executor.reserve(demand);
                job.tasks[at].state = TaskState::Placed(key);
                job.tasks[at].attempts += 1;
                placed += 1;
            }
            if trial {
                executor.last_trial = self.now;
            }
            self.send_starts(job, step, key);
            if placed == 0 {
                return;
            }
        }
    }

    /// Gathers the starts of tasks that were just placed at an executor.
    fn send_starts(&mut self, job: &mut Job, step: u32, key: ExecutorKey) {
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
                });
            }
        }
        if starts.is_empty() {
            return;
        }
        self.counts.placed += starts.len() as u64;
        job.began = true;
        let s = &job.request.steps[step as usize];
        let latest = job.objective_at - job.chain[step as usize];
        let slack = now.until(latest).max(MIN_SLACK);
        let message = proto::StartTasks {
            job: job.request.number.0,
            occurrence: 0,
            step,
            spec: job.spec.to_string(),
            demand: Some(s.demand.proto()),
            tasks: starts,
            slack_ms: crate::clock::millis(slack) as u32,
            estimate_ms: crate::clock::millis(job.expected[step as usize]) as u32,
            priority: job.priority,
            spread: s.spread,
        };
        self.executors[key].orders.starts.push(message);
    }

    /// The executor for a task of a step, and whether it is one on trial.
    fn choose(
        &mut self,
        job: &Job,
        step: u32,
        avoid: Option<ExecutorKey>,
        median: f64,
    ) -> Option<(ExecutorKey, bool)> {
        let s = &job.request.steps[step as usize];
        let now = self.now;
        let mut best: Option<(f64, ExecutorKey, bool)> = None;
        for (key, executor) in &self.executors {
            if Some(key) == avoid || !executor.takes(now, &job.service) {
                continue;
            }
            if !executor.free.holds(s.demand) || !suits(executor, s) {
                continue;
            }
            if s.spread > 0 && count_at(job, step, key) >= s.spread as usize {
                continue;
            }
            let slow = median > 0.0 && f64::from(executor.report.pace_percent) > SLOW * median;
            let trial = slow || executor.report.suspect;
            if trial && now.since(executor.last_trial) < TRIAL {
                continue;
            }
            let mut score = executor.free.cpu_milli as f64;
            score += self.rng.random_range(0.0..JITTER);
            if executor.zone == self.setup.zone {
                score += OWN_ZONE;
            }
            if !s.rack.is_empty() && executor.report.labels.contains(&s.rack) {
                score += RACK;
            }
            if trial {
                score -= ON_TRIAL;
            }
            if best.is_none_or(|(b, _, _)| score > b) {
                best = Some((score, key, trial));
            }
        }
        best.map(|(_, key, trial)| (key, trial))
    }

    /// The middle of the paces of the executors that report one, in percent.
    fn median_pace(&self) -> f64 {
        let paces = self.executors.values().filter(|e| e.link.is_some());
        let paces = paces.map(|e| e.report.pace_percent).filter(|p| *p > 0);
        let mut paces: Vec<u32> = paces.collect();
        if paces.len() < 3 {
            return 0.0;
        }
        paces.sort_unstable();
        f64::from(paces[paces.len() / 2])
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
        let bound = self.now - LATE_WAIT;
        let late = self.waiting.iter();
        let late = late.filter(|(class, at, _)| *class == LATE && *at <= bound);
        let late: Vec<JobNumber> = late.map(|w| w.2).collect();
        for number in late {
            let much = |j: &Job| j.waiting_share() > WORTH_FINISHING;
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

/// A start may be this late at least, so that the way to the executor does not use it up.
const MIN_SLACK: Duration = Duration::from_millis(25);
/// Thousandths of a core that a worker near the data is ahead of others.
const RACK: f64 = 6000.0;
/// Thousandths of a core that a worker on trial is behind others.
const ON_TRIAL: f64 = 2000.0;

/// Whether a worker has what a step requires.
fn suits(executor: &super::fleet::ExecutorView, step: &crate::dispatch::model::Step) -> bool {
    let labels = &executor.report.labels;
    let all = step.demand.fits(Demand::default(), executor.capacity);
    all && (step.requirement.is_empty() || labels.contains(&step.requirement))
}

/// How many tasks of a step are placed at an executor.
fn count_at(job: &Job, step: u32, key: ExecutorKey) -> usize {
    let here = |t: &&super::jobs::Task| t.step == step && t.state == TaskState::Placed(key);
    job.tasks.iter().filter(here).count()
}
