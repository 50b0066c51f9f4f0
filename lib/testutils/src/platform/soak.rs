//! A soak test of the real processes under random faults, drawn from a seed: killed and stopped processes,
//! link faults, store faults, crashed workers, evacuations and configuration changes. Callers submit jobs all
//! the while. The report says whether a guarantee was violated and whether the fleet recovered after the
//! faults.

mod cancels;
mod crowds;
mod faults;

use std::cell::Cell;
use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackcourse_lib::dispatch::model::JobNumber;

use crate::platform::callers;
use crate::platform::callers::CallerJob;
use crate::platform::fleet;
use crate::platform::fleet::FIRST_VERSION;
use crate::platform::fleet::Fleet;
use crate::platform::fleet::FleetPlan;
use crate::platform::soak::faults::PlannedFault;
use crate::platform::soak::faults::Repair;

/// An event of a soak's timeline: a fault, the end of one, or a change.
#[derive(Clone, Debug)]
pub struct TimelineEvent {
    /// The time since the start of the soak's faults.
    pub at: Duration,
    /// A description of the event.
    pub description: String,
}

impl fmt::Display for TimelineEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>8.3} s {}", self.at.as_secs_f64(), self.description)
    }
}

/// The parameters of a soak.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The seed of all random choices.
    pub seed: u64,
    /// How long faults are injected.
    pub span: Duration,
    /// The number of entries.
    pub entries: usize,
    /// The number of agents.
    pub agents: usize,
    /// Whether the fleet is divided into partitions.
    pub partitioned: bool,
    /// Whether crowds of clients that don't behave come beside the faults.
    pub crowds: bool,
    /// The directory for the processes' logs and the timeline of a soak that fails; `None` discards them.
    pub log_dir: Option<PathBuf>,
}

impl SoakPlan {
    /// Returns a plan for a small fleet. Logs are discarded.
    pub fn small(seed: u64, span: Duration) -> SoakPlan {
        SoakPlan {
            seed,
            span,
            entries: 3,
            agents: 4,
            partitioned: false,
            crowds: false,
            log_dir: None,
        }
    }

    /// Returns a plan for a small fleet of two partitions. Logs are discarded.
    pub fn partitioned(seed: u64, span: Duration) -> SoakPlan {
        SoakPlan {
            entries: 6,
            agents: 8,
            partitioned: true,
            ..SoakPlan::small(seed, span)
        }
    }
}

/// The result of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The number of submitted jobs.
    pub jobs: u64,
    /// The number of jobs reported to callers as completed.
    pub completed: u64,
    /// The number of injected faults.
    pub faults: u64,
    /// The first violation of a guarantee, if any.
    pub violation: Option<String>,
    /// How many of the [`RECOVERY_JOBS`] jobs submitted after all faults have completed.
    pub recovered: u64,
}

impl SoakReport {
    /// Returns whether no guarantee was violated and at least 80 % of the jobs after all faults have
    /// completed.
    pub fn is_good(&self) -> bool {
        self.violation.is_none() && self.recovered * 10 >= RECOVERY_JOBS * 8
    }
}

/// The time without a response after which a caller submits its job again.
const RETRY_DELAY: Duration = Duration::from_millis(1300);
/// The number of jobs submitted after all faults.
pub const RECOVERY_JOBS: u64 = 20;

/// The probability of a change by the operator after each job.
const CHANGE_PROBABILITY: f64 = 0.02;
/// The probability of a fault between an agent and its worker after each job.
const WORKER_FAULT_PROBABILITY: f64 = 0.02;
/// The share of jobs whose tasks outlast the lease of a scheduler that is cut off.
const LONG_SHARE: f64 = 0.03;
/// The time that each task of such a job works, in milliseconds.
const LONG_WORK_MS: u32 = 2500;
/// The share of jobs that crash workers.
const CRASHING_SHARE: f64 = 0.02;
/// The availability zone that is evacuated at times: that of every other agent.
const EVACUATED_ZONE: &str = "y";
/// The number of additional queues in a large configuration, which takes about 250 KB.
const LARGE_CONFIG_QUEUES: usize = 1500;
/// The time within which every entry must follow the newest configuration once all faults have ended.
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

/// A running soak.
struct Soak {
    rng: ChaCha8Rng,
    /// Draws the operator's changes, separately so that they don't affect which faults a seed draws.
    changes: ChaCha8Rng,
    /// Draws which jobs crash workers, and whether workers crash with all other machines; separate likewise.
    crashes: ChaCha8Rng,
    /// Draws the faults between agents and their workers; separate likewise.
    worker_faults: ChaCha8Rng,
    /// Draws the cancels and the faults around them; separate likewise.
    cancels: ChaCha8Rng,
    /// Draws crowds of clients, if there are any; separate likewise.
    crowds: Option<ChaCha8Rng>,
    fleet: Fleet,
    completed: Rc<Cell<u64>>,
    started_at: Instant,
    jobs: u64,
    faults: u64,
    version: u64,
    evacuated: bool,
    pending_repairs: Vec<(Instant, Repair)>,
    planned_faults: Vec<PlannedFault>,
    /// When the next cancels amid faults are planned.
    next_cancels: Instant,
    timeline: Vec<TimelineEvent>,
}

/// Runs a soak: a span with faults, then recovery and some jobs without faults. Needs an actix system.
pub async fn run(binary: &Path, plan: &SoakPlan) -> SoakReport {
    let mut fleet_plan = match plan.partitioned {
        true => FleetPlan::partitioned(plan.entries, plan.agents),
        false => FleetPlan::new(plan.entries, plan.agents),
    };
    if plan.crowds {
        fleet_plan.limits = crowds::limits();
    }
    let fleet = Fleet::start_plan(binary, &fleet_plan).await;
    let crowds = plan.crowds;
    let mut soak = Soak {
        rng: ChaCha8Rng::seed_from_u64(plan.seed),
        changes: ChaCha8Rng::seed_from_u64(!plan.seed),
        crashes: ChaCha8Rng::seed_from_u64(plan.seed.rotate_left(32)),
        worker_faults: ChaCha8Rng::seed_from_u64(plan.seed.rotate_left(16)),
        cancels: ChaCha8Rng::seed_from_u64(plan.seed.rotate_left(48)),
        crowds: crowds.then(|| ChaCha8Rng::seed_from_u64(plan.seed.rotate_left(24))),
        fleet,
        completed: Rc::new(Cell::new(0)),
        started_at: Instant::now(),
        jobs: 0,
        faults: 0,
        version: FIRST_VERSION,
        evacuated: false,
        pending_repairs: Vec::new(),
        planned_faults: Vec::new(),
        next_cancels: Instant::now(),
        timeline: Vec::new(),
    };
    soak.write_invalid_keys();
    soak.run_with_faults(plan.span).await;
    let recovery = soak.recover().await;
    let before = soak.completed.get();
    soak.run_without_faults().await;
    let report = SoakReport {
        jobs: soak.jobs,
        completed: soak.completed.get(),
        faults: soak.faults,
        violation: soak.fleet.violation().or(recovery.err()),
        recovered: soak.completed.get() - before,
    };
    if let Some(log_dir) = plan.log_dir.as_ref().filter(|_| !report.is_good()) {
        soak.save_logs(&log_dir.join(plan.seed.to_string()), &report);
    }
    report
}

impl Soak {
    /// Submits jobs and injects faults until the span is over or a guarantee is violated.
    async fn run_with_faults(&mut self, span: Duration) {
        let end = self.started_at + span;
        while Instant::now() < end && self.fleet.violation().is_none() {
            let crashing = self.crashes.random_bool(CRASHING_SHARE);
            let job = self.submit_job(crashing);
            self.maybe_cancel(job);
            self.maybe_open_crowd();
            self.plan_cancels(Instant::now());
            self.inject_planned(Instant::now());
            self.repair_due(Instant::now());
            if self.rng.random_bool(0.06) {
                self.faults += 1;
                let repair = self.inject_random_fault();
                let after = Duration::from_millis(self.rng.random_range(100..2500));
                self.pending_repairs.push((Instant::now() + after, repair));
            }
            if self.worker_faults.random_bool(WORKER_FAULT_PROBABILITY) {
                self.inject_worker_fault();
            }
            if self.changes.random_bool(CHANGE_PROBABILITY) {
                self.make_change();
            }
            let wait = self.rng.random_range(5..60);
            actix_rt::time::sleep(Duration::from_millis(wait)).await;
        }
    }

    /// Ends all faults, waits until the fleet is ready, and checks that every entry follows the newest
    /// configuration and knows of no evacuated zone.
    async fn recover(&mut self) -> Result<(), String> {
        self.planned_faults.clear();
        self.repair_due(Instant::now() + Duration::from_secs(60));
        if self.evacuated {
            self.toggle_evacuation();
        }
        self.fleet.wait_until_ready().await;
        actix_rt::time::sleep(CONFIG_DEADLINE).await;
        let mut result = Ok(());
        for entry in &self.fleet.entries {
            let version = fleet::metric(entry.metrics(), "state", "config_version").await;
            if version != Some(self.version) {
                let newest = self.version;
                let text = format!(
                    "{} follows configuration {version:?}, the newest is {newest}",
                    entry.ip
                );
                result = Err(text);
            }
            let zones = fleet::metric(entry.metrics(), "state", "zones_evacuated").await;
            if zones != Some(0) {
                let text = format!("{} takes {zones:?} zones for evacuated", entry.ip);
                result = Err(text);
            }
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        result.and(self.check_memory())
    }

    /// Submits jobs without faults and waits for their ends.
    async fn run_without_faults(&mut self) {
        for _ in 0..RECOVERY_JOBS {
            self.submit_job(false);
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        actix_rt::time::sleep(Duration::from_secs(3)).await;
    }

    /// Submits a job, which crashes workers if `crashing` is set.
    fn submit_job(&mut self, crashing: bool) -> CallerJob {
        self.jobs += 1;
        if crashing {
            self.record(format!("job {:016x} crashes workers", self.jobs));
        }
        let job = self.draw_job(crashing);
        spawn_caller(&mut self.rng, &self.fleet, &self.completed, job);
        job
    }

    /// Draws the next job.
    fn draw_job(&mut self, crashing: bool) -> CallerJob {
        let drawn = CallerJob {
            number: JobNumber(self.jobs),
            crashing,
            tasks: self.rng.random_range(1..6),
            work_ms: [20, 80, 600][self.rng.random_range(0..3)],
            cpu: self.rng.random_range(500..1500),
        };
        if self.worker_faults.random_bool(LONG_SHARE) {
            let work_ms = LONG_WORK_MS;
            return CallerJob { work_ms, ..drawn };
        }
        drawn
    }

    /// Evacuates the zone as the operator, or ends its evacuation.
    fn toggle_evacuation(&mut self) {
        self.evacuated = !self.evacuated;
        self.fleet.set_evacuated(EVACUATED_ZONE, self.evacuated);
        self.record(format!(
            "zone {EVACUATED_ZONE} evacuated: {}",
            self.evacuated
        ));
    }

    /// Writes keys of members and executors whose values are invalid, which the processes must skip.
    fn write_invalid_keys(&self) {
        let store = &self.fleet.store;
        store.write_raw("members/stranger-1", "bm8gYWRkcmVzcw==");
        store.write_raw("members/stranger-2", "not base64!");
        store.write_raw("executors/stranger-3", "eyJ3b3JrZXIiOiA3fQ==");
        store.write_raw("executors/stranger-4", "?");
    }

    /// Makes a random change as the operator: one time in three it starts or ends an evacuation, otherwise it
    /// writes a configuration, half of the time a large one.
    fn make_change(&mut self) {
        if self.changes.random_bool(0.33) {
            return self.toggle_evacuation();
        }
        self.version += self.changes.random_range(1..4);
        let names: Vec<String> = match self.changes.random_bool(0.5) {
            true => (0..LARGE_CONFIG_QUEUES)
                .map(|n| format!("other-{n}"))
                .collect(),
            false => Vec::new(),
        };
        let others = names.iter().map(String::as_str);
        let services: Vec<&str> = std::iter::once(fleet::SERVICE).chain(others).collect();
        let document = fleet::configuration(self.version, &services);
        self.fleet.store.write_as_operator("op/config", &document);
        self.record(format!(
            "configuration {} of {} queues",
            self.version,
            services.len()
        ));
    }

    fn record(&mut self, description: String) {
        let at = self.started_at.elapsed();
        self.timeline.push(TimelineEvent { at, description });
    }

    /// Saves the logs of all processes, the timeline and the report in a directory.
    fn save_logs(&self, dir: &Path, report: &SoakReport) {
        let lines: Vec<String> = self.timeline.iter().map(TimelineEvent::to_string).collect();
        let text = format!("{}\n{report:?}\n", lines.join("\n"));
        let saved = self.fleet.copy_logs(dir);
        let saved = saved.and_then(|()| std::fs::write(dir.join("timeline.txt"), text));
        if let Err(e) = saved {
            eprintln!("the logs can't be saved in {}: {e}", dir.display());
        }
    }
}

fn spawn_caller(rng: &mut ChaCha8Rng, fleet: &Fleet, completed: &Rc<Cell<u64>>, job: CallerJob) {
    let entries = fleet.entries.len();
    let first_entry = fleet.entries[rng.random_range(0..entries)].callers();
    let second_entry = fleet.entries[rng.random_range(0..entries)].callers();
    let workers = fleet.workers.clone();
    let completed = completed.clone();
    actix_rt::spawn(async move {
        let first = callers::submit_job(&workers, first_entry, job);
        let second = async {
            actix_rt::time::sleep(RETRY_DELAY).await;
            callers::submit_job(&workers, second_entry, job).await
        };
        let (first, second) = (std::pin::pin!(first), std::pin::pin!(second));
        // The first complete response decides and cancels the other call.
        let reply = match futures::future::select(first, second).await {
            futures::future::Either::Left((reply, second)) if reply.status == 0 => second.await,
            futures::future::Either::Right((reply, first)) if reply.status == 0 => first.await,
            futures::future::Either::Left((reply, _))
            | futures::future::Either::Right((reply, _)) => reply,
        };
        if reply.state == "completed" {
            completed.set(completed.get() + 1);
        }
    });
}
