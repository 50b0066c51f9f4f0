//! Load on the dispatch plane on a virtual clock: what the policy does with the users' mix of
//! jobs at a share of the workers' capacity, without the processes' own cost.

use std::rc::Rc;

use rand::Rng;
use stackcourse_lib::dispatch::catalog::Catalog;
use stackcourse_lib::dispatch::catalog::Queue;
use stackcourse_lib::dispatch::model::Demand;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::model::JobRequest;
use stackcourse_lib::dispatch::model::Step;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::prelude::Duration;

use crate::dispatch::callers::OpenJob;
use crate::dispatch::callers::SERVICE;
use crate::dispatch::network::Node;
use crate::dispatch::witness::JobHistory;
use crate::dispatch::world::World;

/// A kind of jobs.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// The name of its queue.
    pub name: &'static str,
    /// How many of a hundred jobs are of it.
    pub share: f64,
    /// The mean work of a task, in milliseconds.
    pub work_ms: f64,
    /// The mean number of tasks.
    pub width: f64,
    /// The most tasks.
    pub widest: u32,
    /// Its priority.
    pub priority: u32,
}

/// The kinds of the users' day.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "short",
        share: 24.5,
        work_ms: 60.0,
        width: 8.0,
        widest: 32,
        priority: 0,
    },
    Kind {
        name: "long",
        share: 4.4,
        work_ms: 900.0,
        width: 4.0,
        widest: 16,
        priority: 2,
    },
    Kind {
        name: "middle",
        share: 71.1,
        work_ms: 200.0,
        width: 2.0,
        widest: 8,
        priority: 1,
    },
];

const EXTENSION: f64 = 1.6;
const OBJECTIVE_MS: u32 = 60;
const MEAN_CPU: f64 = 1600.0;
/// The most speeds that a plan names.
const MOST_SPEEDS: usize = 8;
/// The rack that a plan's jobs may want, and every so many workers there is one in it.
const RACK: (&str, usize) = ("rack-0", 6);
/// How many times as long a slow worker takes.
pub const SLOWDOWN: f64 = 5.0;
const SIZES: [u32; 3] = [16_000, 16_000, 24_000];

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// The seed.
    pub seed: u64,
    /// The offered work as a share of the capacity.
    pub load: f64,
    /// For how long, in virtual time.
    pub span: Duration,
    /// How many schedulers share the load.
    pub schedulers: usize,
    /// How many workers there are.
    pub workers: usize,
    /// How much more than its part the first third of the schedulers takes, and the last third less.
    pub load_skew: f64,
    /// The share of orders to workers that are carried out late.
    pub late: f64,
    /// How many workers take [`SLOWDOWN`] times as long in the middle half of the span.
    pub slow: usize,
    /// What goes wrong in the middle half of the span, beside slow workers.
    pub faults: LoadFaults,
    /// How the workers differ.
    pub variation: WorkerVariation,
    /// The figures that decide.
    pub policy: Policy,
}

/// How workers differ: in speed, and in how far they are from data.
#[derive(Clone, Copy, Debug)]
pub struct WorkerVariation {
    speeds: [f64; MOST_SPEEDS],
    count: usize,
    /// The share of jobs of the widest kind whose data lies in one rack.
    pub rack_share: f64,
    /// How many times as long a task takes outside of its data's rack.
    pub remote_factor: f64,
}

impl Default for WorkerVariation {
    fn default() -> WorkerVariation {
        WorkerVariation::of(&[0.8, 1.0, 1.25])
    }
}

impl WorkerVariation {
    /// Workers of these speeds in turn, up to eight, none of them far from data.
    pub fn of(list: &[f64]) -> WorkerVariation {
        let count = list.len().min(MOST_SPEEDS);
        let mut speeds = [1.0; MOST_SPEEDS];
        speeds[..count].copy_from_slice(&list[..count]);
        WorkerVariation {
            speeds,
            count: count.max(1),
            rack_share: 0.0,
            remote_factor: 1.0,
        }
    }

    fn speed(&self, worker: usize) -> f64 {
        self.speeds[worker % self.count]
    }
}

/// Trouble of a run; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadFaults {
    /// What the machines of two thirds of the schedulers can send and receive, in Mbit/s, all the time;
    /// 0 for no limit. The others have [`LARGE_TIMES`] as much.
    pub link_mbit: u64,
    /// A new configuration of this many queues is accepted each second; 0 for none.
    pub queues: usize,
    /// Executors that are restarted, one each [`REPLACE_GAP_US`].
    pub restarts: usize,
    /// The share of jobs in the middle half of the span with a task that takes down each worker
    /// which starts it. They count neither as offered nor as done.
    pub crashing: f64,
    /// The kind of those jobs; none for all kinds.
    pub crashing_kind: Option<usize>,
    /// How many times as many jobs of each kind come, in the order of [`KINDS`]; 0 for as many as ever.
    pub bursts: [f64; 3],
}

impl LoadFaults {
    /// How many jobs of each kind come of a hundred without bursts.
    fn shares(&self) -> [f64; 3] {
        let times = |kind: usize| match self.bursts[kind] {
            0.0 => 1.0,
            times => times,
        };
        [0, 1, 2].map(|kind| KINDS[kind].share * times(kind))
    }

    /// How many times as many jobs come.
    fn times(&self) -> f64 {
        if self.bursts == [0.0; 3] {
            return 1.0;
        }
        self.shares().iter().sum::<f64>() / 100.0
    }
}

/// How many times the bandwidth of a small scheduler's machine a large one's has.
const LARGE_TIMES: u64 = 8;
/// See [`LoadFaults::restarts`]; in microseconds.
const REPLACE_GAP_US: u64 = 200_000;
/// How long a restarted executor is away, in microseconds.
const AWAY_US: u64 = 500_000;
/// Configurations are accepted so far apart, in microseconds.
const CHANGE_GAP_US: u64 = 1_000_000;
/// The span over which goodput is taken to tell when a run is well again, in microseconds.
const WINDOW_US: u64 = 500_000;

/// What became of the jobs of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindReport {
    /// Jobs handed in.
    pub offered: u64,
    /// Jobs complete within their objective.
    pub in_time: u64,
    /// Jobs complete later.
    pub late: u64,
    /// Jobs refused.
    pub refused: u64,
    /// The sum of their work, in core-seconds, and that of the jobs in time.
    pub work: (f64, f64),
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// By kind, in the order of [`KINDS`].
    pub kinds: [KindReport; 3],
    /// The work that was offered and that was done in time, by thirds of the schedulers.
    pub thirds: [(f64, f64); 3],
    /// The work that was offered and that was done in time, by windows of half a second.
    pub windows: Vec<(f64, f64)>,
    /// How many lives of workers were taken down by a task.
    pub crashes: u64,
    /// Jobs that were given up for such a task, and that would have run whole.
    pub wrongly_failed: u64,
    /// Tells runs apart of which one answer came at another time, or was another one.
    pub digest: u64,
    /// The promise that was broken, if any.
    pub violation: Option<String>,
}

impl LoadReport {
    /// The share of the work offered in the middle half of the run that was done in time.
    pub fn goodput_under_faults(&self) -> f64 {
        let count = self.windows.len();
        let middle = &self.windows[count / 4..count * 3 / 4];
        let offered: f64 = middle.iter().map(|w| w.0).sum();
        let done: f64 = middle.iter().map(|w| w.1).sum();
        done / offered
    }

    /// How long after the middle half of the run a window was below `share`; zero if none was.
    pub fn recovery_time(&self, share: f64) -> Duration {
        let count = self.windows.len();
        let after = &self.windows[count * 3 / 4..];
        let bad = after.iter().rposition(|w| w.1 < share * w.0);
        let windows = bad.map_or(0, |at| at as u64 + 1);
        Duration::from_micros(windows * WINDOW_US)
    }

    /// The share of the offered work that was done in time.
    pub fn goodput(&self) -> f64 {
        let offered: f64 = self.kinds.iter().map(|k| k.work.0).sum();
        let done: f64 = self.kinds.iter().map(|k| k.work.1).sum();
        done / offered
    }
}

struct Offered {
    number: JobNumber,
    kind: usize,
    third: usize,
    at: u64,
    objective_us: u64,
    work: f64,
}

fn catalog(version: u64, more: usize) -> Catalog {
    let queue = |kind: &Kind| Queue {
        name: kind.name.to_owned(),
        service: SERVICE.to_owned(),
        priority: kind.priority,
        max_attempts: 3,
        extension: EXTENSION,
        objective_ms: OBJECTIVE_MS,
        ..Queue::default()
    };
    let other = |number: usize| Queue {
        name: format!("other-{number}"),
        host: format!("host-{number}.example"),
        path_prefix: format!("/other-{number}/"),
        ..queue(&KINDS[0])
    };
    Catalog {
        version,
        queues: KINDS
            .iter()
            .map(queue)
            .chain((0..more).map(other))
            .collect(),
        ..Catalog::default()
    }
}

/// Runs a plan.
pub fn run(plan: LoadPlan) -> LoadReport {
    let mut world = World::with_policy(
        plan.seed,
        plan.schedulers,
        plan.workers,
        catalog(2, 0),
        plan.policy,
    );
    set_links(&mut world, &plan);
    for number in 0..plan.workers {
        world.workers[number].capacity = SIZES[number % 3];
        if plan.variation.rack_share > 0.0 && number % RACK.1 == 0 {
            world.workers[number].rack = RACK.0.to_owned();
        }
    }
    world.remote_factor = plan.variation.remote_factor;
    set_slowdowns(&mut world, &plan, false);
    world.run(Duration::from_secs(4));
    world.late_share = plan.late;
    let mean: f64 = KINDS.iter().map(mean_work).sum::<f64>() / 100.0;
    let room = |n: usize| f64::from(SIZES[n % 3]) / 1000.0 * plan.variation.speed(n);
    let capacity: f64 = (0..plan.workers).map(room).sum();
    let per_s = plan.load * capacity / mean;
    let begin = world.now;
    let span = plan.span.as_micros() as u64;
    let end = begin + span;
    let mut offered = Vec::new();
    let mut harm = Harm::default();
    while world.now < end {
        let bursting = (begin + span / 4..begin + span * 3 / 4).contains(&world.now);
        let times = if bursting { plan.faults.times() } else { 1.0 };
        let gap = -world.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / (per_s * times);
        world.run(Duration::from_secs_f64(gap));
        let middle = begin + span / 4..begin + span * 3 / 4;
        let slow = middle.contains(&world.now);
        set_slowdowns(&mut world, &plan, slow);
        if slow {
            harm.play(&mut world, &plan);
        }
        let faults = if slow {
            plan.faults
        } else {
            LoadFaults::default()
        };
        let kind = draw_kind(&mut world, &faults);
        offered.extend(offer(&mut world, &plan, &faults, kind));
    }
    world.run(Duration::from_secs(6));
    report(&world, &offered, begin)
}

fn set_links(world: &mut World, plan: &LoadPlan) {
    let small = plan.faults.link_mbit * 1_000_000 / 8;
    if small == 0 {
        return;
    }
    for n in 0..plan.schedulers {
        let rate = if n % 3 == 0 {
            small * LARGE_TIMES
        } else {
            small
        };
        world.network.set_bandwidth(Node::Scheduler(n), rate);
    }
}

/// What has gone wrong so far.
#[derive(Default)]
struct Harm {
    version: u64,
    changed: u64,
    restarts: usize,
    restarted: u64,
}

impl Harm {
    /// Plays what is due.
    fn play(&mut self, world: &mut World, plan: &LoadPlan) {
        let faults = plan.faults;
        if faults.queues > 0 && world.now >= self.changed + CHANGE_GAP_US {
            self.changed = world.now;
            self.version += 1;
            world.accept_catalog(catalog(2 + self.version, faults.queues), |_| true);
        }
        if self.restarts < faults.restarts && world.now >= self.restarted + REPLACE_GAP_US {
            self.restarted = world.now;
            world.kill(Node::Executor(self.restarts % plan.workers), false, AWAY_US);
            self.restarts += 1;
        }
    }
}

/// Gives each worker its speed; the slow ones are slow now or not.
fn set_slowdowns(world: &mut World, plan: &LoadPlan, slow: bool) {
    for number in 0..plan.workers {
        let factor = if slow && number < plan.slow {
            SLOWDOWN
        } else {
            1.0
        };
        world.workers[number].slowdown = factor / plan.variation.speed(number);
    }
}

/// The mean work of a kind's jobs, in core-seconds, times its share.
fn mean_work(kind: &Kind) -> f64 {
    kind.share * kind.width * kind.work_ms / 1000.0 * MEAN_CPU / 1000.0
}

/// A draw around a mean with a spread of 0.4, never below a tenth of it.
fn around(world: &mut World, mean: f64, spread: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| world.rng.random_range(0.0..1.0)).sum();
    (mean * (1.0 + spread * (sum - 6.0))).max(mean / 10.0)
}

/// The kind of the next job.
fn draw_kind(world: &mut World, faults: &LoadFaults) -> usize {
    let draw = world.rng.random_range(0.0..100.0) * faults.times();
    let shares = faults.shares();
    let mut kind = 0;
    let mut sum = shares[0];
    while draw > sum && kind < 2 {
        kind += 1;
        sum += shares[kind];
    }
    kind
}

/// Hands a job in. One with a task that takes workers down is not offered work.
fn offer(world: &mut World, plan: &LoadPlan, faults: &LoadFaults, kind: usize) -> Option<Offered> {
    let k = KINDS[kind];
    let count = (around(world, k.width, 0.4).round() as u32).clamp(1, k.widest);
    let work_ms = around(world, k.work_ms, 0.4);
    let cpu_milli = around(world, MEAN_CPU, 0.2) as u32;
    let works: Vec<u64> = (0..count)
        .map(|_| (around(world, work_ms, 0.15) * 1000.0) as u64)
        .collect();
    let longest = works.iter().copied().max().unwrap_or_default();
    let estimate = around(world, work_ms, 0.4);
    // Nothing is drawn where no rack is wanted, so that the seeds of such runs give what they gave.
    let rack_share = plan.variation.rack_share;
    let near = kind == 0 && rack_share > 0.0 && world.rng.random_bool(rack_share);
    let number = world.callers.next_number();
    let request = JobRequest {
        number,
        queue: k.name.to_owned(),
        spec: Rc::from("work"),
        steps: vec![Step {
            count,
            demand: Demand {
                cpu_milli,
                memory_mb: 64,
                gpu: 0,
            },
            estimate_ms: estimate as u32,
            rack: if near {
                RACK.0.to_owned()
            } else {
                String::new()
            },
            ..Step::default()
        }],
        patience_ms: 4000,
        call: Rc::default(),
    };
    let work = works.iter().sum::<u64>() as f64 / 1e6 * f64::from(cpu_milli) / 1000.0;
    world.callers.jobs.insert(
        number,
        OpenJob {
            request,
            work_us: longest,
            task_work_us: works,
            fails: false,
            crashing_task: None,
            settled: false,
            submissions: 0,
        },
    );
    world.witness.jobs.insert(
        number,
        JobHistory {
            tasks: count,
            cpu: cpu_milli,
            ..JobHistory::default()
        },
    );
    let at = world.now;
    // Nothing is drawn where none crash, so that the seeds of such runs give what they gave.
    let may_crash = faults.crashing_kind.is_none_or(|k| k == kind);
    let crashing = if may_crash { faults.crashing } else { 0.0 };
    let crashes = crashing > 0.0 && world.rng.random_bool(crashing);
    if crashes && let Some(job) = world.callers.jobs.get_mut(&number) {
        job.crashing_task = Some(0);
    }
    let scheduler = entry(world, plan);
    let third = scheduler * 3 / plan.schedulers;
    world.submit(number, scheduler);
    (!crashes).then_some(Offered {
        number,
        kind,
        third,
        at,
        objective_us: (longest as f64 * EXTENSION) as u64 + u64::from(OBJECTIVE_MS) * 1000,
        work,
    })
}

fn digest(world: &World) -> u64 {
    let fold = |sum: u64, n: u64| sum.wrapping_mul(0x0100_0000_01b3) ^ n;
    let numbers = world.answers.iter().flat_map(|(at, job, outcome)| {
        let completed = u64::from(*outcome == JobOutcome::Completed);
        [*at, job.0, completed]
    });
    numbers.fold(0, fold)
}

/// Where a job is handed in. Without a swing nothing more is drawn, so that the seeds of such runs give what they gave.
fn entry(world: &mut World, plan: &LoadPlan) -> usize {
    let drawn = world.rng.random_range(0..plan.schedulers);
    let third = drawn * 3 / plan.schedulers;
    if third < 2 || plan.load_skew == 0.0 || !world.rng.random_bool(plan.load_skew) {
        return drawn;
    }
    world.rng.random_range(0..plan.schedulers.div_ceil(3))
}

fn report(world: &World, offered: &[Offered], begin: u64) -> LoadReport {
    let mut windows = Vec::new();
    let mut kinds = [KindReport::default(); 3];
    let mut thirds = [(0.0, 0.0); 3];
    for job in offered {
        let kind = &mut kinds[job.kind];
        kind.offered += 1;
        kind.work.0 += job.work;
        thirds[job.third].0 += job.work;
        let window = ((job.at - begin) / WINDOW_US) as usize;
        windows.resize(windows.len().max(window + 1), (0.0, 0.0));
        windows[window].0 += job.work;
        let mut answers = world.answers.iter().filter(|a| a.1 == job.number);
        match answers.next() {
            Some((at, _, JobOutcome::Completed)) if at - job.at <= job.objective_us => {
                kind.in_time += 1;
                kind.work.1 += job.work;
                thirds[job.third].1 += job.work;
                windows[window].1 += job.work;
            }
            Some((_, _, JobOutcome::Completed)) => kind.late += 1,
            Some((_, _, JobOutcome::Refused(_))) => kind.refused += 1,
            _ => {}
        }
    }
    LoadReport {
        kinds,
        thirds,
        windows,
        crashes: world.crashes,
        wrongly_failed: world.witness.wrongly_failed,
        digest: digest(world),
        violation: world.witness.violation.clone(),
    }
}
