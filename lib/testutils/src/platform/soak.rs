//! A soak under faults: real processes, signals, and a fault proxy, drawn from a seed.

use std::cell::Cell;
use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackcourse_lib::dispatch::model::JobNumber;

use crate::fault_proxy::Fault;
use crate::platform::callers;
use crate::platform::callers::CallerJob;
use crate::platform::fleet;
use crate::platform::fleet::FIRST_VERSION;
use crate::platform::fleet::Fleet;
use crate::platform::fleet::Machine;
use crate::platform::store::Mood;

/// A fault that was played, or the end of one, and when, from the start of the faults.
#[derive(Clone, Debug)]
pub struct Played {
    /// When.
    pub at: Duration,
    /// What, in words.
    pub what: String,
}

impl fmt::Display for Played {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>8.3} s {}", self.at.as_secs_f64(), self.what)
    }
}

/// How to run a soak.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The seed.
    pub seed: u64,
    /// For how long faults come.
    pub span: Duration,
    /// How many entries and agents run.
    pub entries: usize,
    /// See `entries`.
    pub agents: usize,
    /// Whether the fleet is divided into partitions.
    pub divided: bool,
    /// Where the logs of the processes and the timeline of a run that failed are kept.
    pub keep: Option<PathBuf>,
}

impl SoakPlan {
    /// A small fleet, whose logs are not kept.
    pub fn small(seed: u64, span: Duration) -> SoakPlan {
        SoakPlan {
            seed,
            span,
            entries: 3,
            agents: 4,
            divided: false,
            keep: None,
        }
    }

    /// A fleet that is divided, as small as that can be, whose logs are not kept.
    pub fn divided(seed: u64, span: Duration) -> SoakPlan {
        SoakPlan {
            entries: 6,
            agents: 8,
            divided: true,
            ..SoakPlan::small(seed, span)
        }
    }
}

/// What came of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Jobs handed in.
    pub jobs: u64,
    /// Jobs that callers were told are complete.
    pub completed: u64,
    /// Faults that were played.
    pub faults: u64,
    /// The promise that was broken, if any.
    pub violation: Option<String>,
    /// Jobs complete of twenty handed in after all faults.
    pub recovered: u64,
}

impl SoakReport {
    /// Whether no promise was broken and the fleet came back.
    pub fn is_good(&self) -> bool {
        self.violation.is_none() && self.recovered * 10 >= CALM_JOBS * 8
    }
}

/// A caller hands its job in again after this long without an answer.
const AGAIN: Duration = Duration::from_millis(1300);
/// Jobs handed in after all faults.
pub const CALM_JOBS: u64 = 20;

/// How often a new configuration is written, as a share of the callers that come.
const CHANGES: f64 = 0.02;
/// The share of jobs that take workers down.
const CRASHING: f64 = 0.02;
/// How often workers lose power, too, when all other machines do.
const POWER_EVERYWHERE: f64 = 0.5;
/// The zone that is evacuated now and then: that of every other agent.
const EVACUATED: &str = "y";
/// A configuration of this many queues takes about 250 KB.
const MANY_QUEUES: usize = 1500;
/// An accepted configuration is in force everywhere within this time once nothing is harmed any more.
const CONFIGURED: Duration = Duration::from_secs(2);

/// A soak at work.
struct Soak {
    rng: ChaCha8Rng,
    /// Draws the changes of the configuration, so that the faults of a seed stay as they are.
    changes: ChaCha8Rng,
    /// Draws the jobs that take workers down, and whether workers lose power with all other machines, likewise.
    crashes: ChaCha8Rng,
    fleet: Fleet,
    completed: Rc<Cell<u64>>,
    begun: Instant,
    jobs: u64,
    faults: u64,
    version: u64,
    evacuated: bool,
    healings: Vec<(Instant, Healing)>,
    timeline: Vec<Played>,
}

/// Runs a plan: a span with faults, then some time without. Needs an actix system.
pub async fn run(binary: &Path, plan: &SoakPlan) -> SoakReport {
    let fleet = match plan.divided {
        true => Fleet::start_divided(binary, plan.entries, plan.agents).await,
        false => Fleet::start(binary, plan.entries, plan.agents).await,
    };
    let mut soak = Soak {
        rng: ChaCha8Rng::seed_from_u64(plan.seed),
        changes: ChaCha8Rng::seed_from_u64(!plan.seed),
        crashes: ChaCha8Rng::seed_from_u64(plan.seed.rotate_left(32)),
        fleet,
        completed: Rc::new(Cell::new(0)),
        begun: Instant::now(),
        jobs: 0,
        faults: 0,
        version: FIRST_VERSION,
        evacuated: false,
        healings: Vec::new(),
        timeline: Vec::new(),
    };
    soak.write_strange_keys();
    soak.trouble(plan.span).await;
    let configured = soak.come_back().await;
    let before = soak.completed.get();
    soak.calm().await;
    let report = SoakReport {
        jobs: soak.jobs,
        completed: soak.completed.get(),
        faults: soak.faults,
        violation: soak.fleet.violation().or(configured.err()),
        recovered: soak.completed.get() - before,
    };
    if let Some(keep) = plan.keep.as_ref().filter(|_| !report.is_good()) {
        soak.keep(&keep.join(plan.seed.to_string()), &report);
    }
    report
}

impl Soak {
    /// Callers come, and faults, until the span is over or a promise is broken.
    async fn trouble(&mut self, span: Duration) {
        let end = self.begun + span;
        while Instant::now() < end && self.fleet.violation().is_none() {
            let crashing = self.crashes.random_bool(CRASHING);
            self.call(crashing);
            self.heal_due(Instant::now());
            if self.rng.random_bool(0.06) {
                self.faults += 1;
                let healing = self.fault();
                let after = Duration::from_millis(self.rng.random_range(100..2500));
                self.healings.push((Instant::now() + after, healing));
            }
            if self.changes.random_bool(CHANGES) {
                self.change();
            }
            let wait = self.rng.random_range(5..60);
            actix_rt::time::sleep(Duration::from_millis(wait)).await;
        }
    }

    /// All faults end; the fleet comes back, with the newest configuration in force.
    async fn come_back(&mut self) -> Result<(), String> {
        self.heal_due(Instant::now() + Duration::from_secs(60));
        if self.evacuated {
            self.evacuate();
        }
        self.fleet.wait_until_up().await;
        actix_rt::time::sleep(CONFIGURED).await;
        let mut found = Ok(());
        for entry in &self.fleet.entries {
            let version = fleet::metric(entry.metrics(), "state", "config_version").await;
            if version != Some(self.version) {
                let newest = self.version;
                let text = format!("{} serves by {version:?}, not by {newest}", entry.ip);
                found = Err(text);
            }
            let zones = fleet::metric(entry.metrics(), "state", "zones_evacuated").await;
            if zones != Some(0) {
                let text = format!("{} holds {zones:?} zones for evacuated", entry.ip);
                found = Err(text);
            }
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        found
    }

    /// Callers come while nothing is harmed.
    async fn calm(&mut self) {
        for _ in 0..CALM_JOBS {
            self.call(false);
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        actix_rt::time::sleep(Duration::from_secs(3)).await;
    }

    /// A caller comes; with a job that takes workers down, if that is asked.
    fn call(&mut self, crashing: bool) {
        self.jobs += 1;
        if crashing {
            self.note(format!("job {:016x} takes workers down", self.jobs));
        }
        let number = JobNumber(self.jobs);
        spawn_caller(
            &mut self.rng,
            &self.fleet,
            &self.completed,
            number,
            crashing,
        );
    }

    /// The operator evacuates a zone or takes it back.
    fn evacuate(&mut self) {
        self.evacuated = !self.evacuated;
        self.fleet.set_evacuated(EVACUATED, self.evacuated);
        self.note(format!("zone {EVACUATED} evacuated: {}", self.evacuated));
    }

    /// Somebody else writes to the store.
    fn write_strange_keys(&self) {
        let store = &self.fleet.store;
        store.stranger_writes("members/stranger-1", "bm8gYWRkcmVzcw==");
        store.stranger_writes("members/stranger-2", "not base64!");
        store.stranger_writes("executors/stranger-3", "eyJ3b3JrZXIiOiA3fQ==");
        store.stranger_writes("executors/stranger-4", "?");
    }

    /// The operator writes a configuration, a large one in half of the cases; one time in three it evacuates a zone
    /// instead, or takes it back.
    fn change(&mut self) {
        if self.changes.random_bool(0.33) {
            return self.evacuate();
        }
        self.version += self.changes.random_range(1..4);
        let names: Vec<String> = match self.changes.random_bool(0.5) {
            true => (0..MANY_QUEUES).map(|n| format!("other-{n}")).collect(),
            false => Vec::new(),
        };
        let others = names.iter().map(String::as_str);
        let services: Vec<&str> = std::iter::once(fleet::SERVICE).chain(others).collect();
        let document = fleet::configuration(self.version, &services);
        self.fleet.store.operator_writes("op/config", &document);
        self.note(format!(
            "configuration {} of {} queues",
            self.version,
            services.len()
        ));
    }

    fn note(&mut self, what: String) {
        let at = self.begun.elapsed();
        self.timeline.push(Played { at, what });
    }

    /// Keeps the logs of all processes, the timeline and the report.
    fn keep(&self, dir: &Path, report: &SoakReport) {
        let lines: Vec<String> = self.timeline.iter().map(Played::to_string).collect();
        let text = format!("{}\n{report:?}\n", lines.join("\n"));
        let kept = self.fleet.keep_logs(dir);
        let kept = kept.and_then(|()| std::fs::write(dir.join("timeline.txt"), text));
        if let Err(e) = kept {
            eprintln!("the logs can't be kept in {}: {e}", dir.display());
        }
    }
}

fn spawn_caller(
    rng: &mut ChaCha8Rng,
    fleet: &Fleet,
    completed: &Rc<Cell<u64>>,
    number: JobNumber,
    crashing: bool,
) {
    let job = CallerJob {
        number,
        crashing,
        tasks: rng.random_range(1..6),
        work_ms: [20, 80, 600][rng.random_range(0..3)],
        cpu: rng.random_range(500..1500),
    };
    let entries = fleet.entries.len();
    let first = fleet.entries[rng.random_range(0..entries)].callers();
    let second = fleet.entries[rng.random_range(0..entries)].callers();
    let workers = fleet.workers.clone();
    let completed = completed.clone();
    actix_rt::spawn(async move {
        let one = callers::hand_in(&workers, first, job);
        let two = async {
            actix_rt::time::sleep(AGAIN).await;
            callers::hand_in(&workers, second, job).await
        };
        let (one, two) = (std::pin::pin!(one), std::pin::pin!(two));
        // The first whole answer counts; what the other one brings is held against the promises
        // as well, if it comes before.
        let got = match futures::future::select(one, two).await {
            futures::future::Either::Left((got, two)) if got.status == 0 => two.await,
            futures::future::Either::Right((got, one)) if got.status == 0 => one.await,
            futures::future::Either::Left((got, _)) | futures::future::Either::Right((got, _)) => {
                got
            }
        };
        if got.state == "completed" {
            completed.set(completed.get() + 1);
        }
    });
}

/// How a fault ends.
#[derive(Clone, Copy, Debug)]
enum Healing {
    StartEntry(usize),
    StartAgent(usize),
    StartAll,
    ContinueEntry(usize),
    ContinueAgent(usize),
    Proxy(usize),
    Store,
    Nothing,
}

impl Soak {
    fn heal_due(&mut self, now: Instant) {
        let due = self.healings.iter().filter(|(at, _)| *at <= now);
        let due: Vec<Healing> = due.map(|(_, h)| *h).collect();
        self.healings.retain(|(at, _)| *at > now);
        for healing in due {
            self.note(format!("end: {healing:?}"));
            self.heal(healing);
        }
    }

    fn heal(&mut self, healing: Healing) {
        let fleet = &mut self.fleet;
        match healing {
            Healing::StartEntry(n) => fleet.entries[n].start(),
            Healing::StartAgent(n) => fleet.agents[n].start(),
            Healing::StartAll => {
                fleet.agents.iter_mut().for_each(Machine::start);
                fleet.entries.iter_mut().for_each(Machine::start);
            }
            Healing::ContinueEntry(n) => fleet.entries[n].signal(Signal::SIGCONT),
            Healing::ContinueAgent(n) => fleet.agents[n].signal(Signal::SIGCONT),
            Healing::Proxy(n) => fleet.proxies[n].set(Fault::default()),
            Healing::Store => fleet.store.set_mood(Mood::Well),
            Healing::Nothing => {}
        }
    }

    fn fault(&mut self) -> Healing {
        let entry = self.rng.random_range(0..self.fleet.entries.len());
        let agent = self.rng.random_range(0..self.fleet.agents.len());
        let kind = self.rng.random_range(0..12);
        let (what, healing) = self.play(kind, entry, agent);
        self.note(what);
        healing
    }

    /// Plays a fault; what it is, and how it ends.
    fn play(&mut self, kind: u32, entry: usize, agent: usize) -> (String, Healing) {
        let fleet = &mut self.fleet;
        match kind {
            0 => {
                fleet.entries[entry].kill();
                (format!("entry {entry} killed"), Healing::StartEntry(entry))
            }
            1 => {
                fleet.agents[agent].kill();
                (format!("agent {agent} killed"), Healing::StartAgent(agent))
            }
            2 => {
                fleet.entries[entry].signal(Signal::SIGSTOP);
                let healing = Healing::ContinueEntry(entry);
                (format!("entry {entry} stopped"), healing)
            }
            3 => {
                fleet.agents[agent].signal(Signal::SIGSTOP);
                let healing = Healing::ContinueAgent(agent);
                (format!("agent {agent} stopped"), healing)
            }
            4 => {
                let stalled = Fault {
                    stall: true,
                    ..Fault::default()
                };
                fleet.proxies[entry].set(stalled);
                (format!("proxy {entry} stalls"), Healing::Proxy(entry))
            }
            5 => {
                let reset = Fault {
                    reset: true,
                    ..Fault::default()
                };
                fleet.proxies[entry].set(reset);
                (format!("proxy {entry} resets"), Healing::Proxy(entry))
            }
            6 => {
                let delay = Duration::from_millis(self.rng.random_range(1..60));
                fleet.proxies[entry].set_delay(delay);
                (format!("proxy {entry} {delay:?}"), Healing::Proxy(entry))
            }
            7 => {
                fleet.store.set_mood(Mood::Busy);
                ("store busy".to_owned(), Healing::Store)
            }
            8 => {
                fleet.store.set_mood(Mood::AnswersLost);
                ("store loses answers".to_owned(), Healing::Store)
            }
            9 => {
                fleet.workers.lock().unwrap().crash(agent);
                (format!("worker {agent} crashes"), Healing::Nothing)
            }
            10 => {
                fleet.entries.iter_mut().for_each(Machine::kill);
                fleet.agents.iter_mut().for_each(Machine::kill);
                if self.crashes.random_bool(POWER_EVERYWHERE) {
                    fleet.workers.lock().unwrap().crash_all();
                    return ("power lost everywhere".to_owned(), Healing::StartAll);
                }
                ("all killed".to_owned(), Healing::StartAll)
            }
            _ => {
                fleet.store.revoke_keys();
                fleet.store.compact();
                ("keys taken away, history gone".to_owned(), Healing::Nothing)
            }
        }
    }
}
