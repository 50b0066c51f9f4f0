//! Randomised runs: jobs, resubmissions and faults drawn from a seed, which reproduces the run.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use serde_json::json;
use stackcourse_lib::entry::Submission;
use stackcourse_lib::job_id::JobId;
use stackcourse_lib::start_record::DisabledCheck;
use stackcourse_lib::versions::Version;

use crate::world::HORIZON;
use crate::world::QUOTA;
use crate::world::World;

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    /// The seed.
    pub seed: u64,
    /// How much virtual time passes with faults.
    pub span: Duration,
    /// Which check is left out.
    pub broken: DisabledCheck,
    /// What happens to the clocks of boxes.
    pub clocks: ClockFaults,
}

/// What happens to the clocks of boxes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClockFaults {
    /// They go right.
    #[default]
    None,
    /// They are set ahead and back while processes run, and are right when one starts.
    Running,
    /// They are set ahead and back at any time.
    Always,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Inputs given to state machines.
    pub steps: u64,
    /// Tasks started.
    pub starts: u64,
    /// Answers by outcome's number.
    pub outcomes: [u64; 5],
    /// The promise that was broken, if any.
    pub violation: Option<String>,
    /// Whether jobs were served again after all faults had ended.
    pub recovered: bool,
    /// Jobs refused for their mint time after all faults had ended, though their callers' clocks
    /// were right or had been set with that of the entry's box.
    pub untimely: u64,
}

const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// The longest pause between two actions of the run, in milliseconds.
const PACE_MS: u64 = 120;
/// How often a clock is set, for each action.
const CLOCK_SET: f64 = 0.02;
/// How far clocks are set ahead and back at the most; less than the horizon.
const STEP_AHEAD_MS: i64 = 15_000;
const STEP_BACK_MS: i64 = 8_000;

struct Runner {
    world: World,
    next: u64,
    recent: Vec<(JobId, u32, bool)>,
    faults: f64,
    version: u64,
    clocks: ClockFaults,
    untimely: u64,
}

/// Runs a plan.
pub fn run(plan: RunPlan) -> RunReport {
    let mut world = World::new(plan.seed, ENTRIES, AGENTS, plan.broken);
    let calm = world.rng.random_bool(0.1);
    let faults = if calm {
        0.0
    } else {
        world.rng.random_range(0.02..0.3)
    };
    if world.rng.random_bool(0.3) {
        world.duplicates = 0.01;
    }
    let mut runner = Runner {
        world,
        next: 0,
        recent: Vec::new(),
        faults,
        version: 0,
        clocks: plan.clocks,
        untimely: 0,
    };
    runner.configure();
    runner.world.run(Duration::from_secs(4));
    let end = runner.world.now + plan.span.as_micros() as u64;
    while runner.world.now < end && runner.world.witness.violation().is_none() {
        runner.act();
        let pause = runner.world.rng.random_range(1..PACE_MS);
        runner.world.run(Duration::from_millis(pause));
    }
    let recovered = runner.world.witness.violation().is_some() || runner.recover();
    let world = &runner.world;
    RunReport {
        steps: world.steps,
        starts: world.witness.starts,
        outcomes: world.witness.outcomes,
        violation: world.witness.violation().map(ToOwned::to_owned),
        recovered,
        untimely: runner.untimely,
    }
}

impl Runner {
    fn act(&mut self) {
        if self.world.rng.random_bool(self.faults) {
            self.fault();
        }
        if self.world.rng.random_bool(0.03) {
            self.mend();
        }
        if self.clocks != ClockFaults::None && self.world.rng.random_bool(CLOCK_SET) {
            self.set_clock();
        }
        let jobs = self.world.rng.random_range(0..3);
        for _ in 0..jobs {
            self.job();
        }
    }

    fn job(&mut self) {
        let again = !self.recent.is_empty() && self.world.rng.random_bool(0.35);
        let (job, tasks, once) = if again {
            let i = self.world.rng.random_range(0..self.recent.len());
            self.recent[i]
        } else {
            self.mint()
        };
        let copies = if self.world.rng.random_bool(0.2) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let entry = self.world.rng.random_range(0..ENTRIES);
            self.send(entry, job, tasks, once);
        }
    }

    fn mint(&mut self) -> (JobId, u32, bool) {
        let skew = self.world.rng.random_range(0..2_000);
        let mut ms = self.world.caller_ms() - 500 + skew;
        if self.clocks != ClockFaults::None && self.world.rng.random_bool(0.5) {
            let entry = self.world.rng.random_range(0..ENTRIES);
            ms = ms.saturating_add_signed(self.world.step_ms(entry));
        }
        let job = JobId::mint(ms, &self.world.rng.random());
        let tasks = self.world.rng.random_range(1..5);
        let once = self.world.rng.random_bool(0.1);
        self.recent.push((job, tasks, once));
        if self.recent.len() > 400 {
            self.recent.remove(0);
        }
        (job, tasks, once)
    }

    fn send(&mut self, entry: usize, job: JobId, tasks: u32, once: bool) -> bool {
        self.next += 1;
        let peek = self.world.rng.random_bool(0.05);
        let list: Vec<String> = (0..tasks).map(|t| t.to_string()).collect();
        let body = format!("{{\"tasks\":[{}]}}", list.join(","));
        let left = self.world.rng.random_range(300..8_000);
        let submission = Submission {
            job,
            service: if once { "switch" } else { "quote" }.to_owned(),
            team: String::new(),
            body: if peek {
                Bytes::new()
            } else {
                Bytes::from(body)
            },
            left: Duration::from_millis(left),
            peek,
        };
        self.world.submit(entry, self.next, submission, tasks)
    }

    /// Sets the clock of a box, or that of all boxes, ahead or back.
    fn set_clock(&mut self) {
        let step_ms = match self.world.rng.random_range(0..3) {
            0 => 0,
            1 => self.world.rng.random_range(0..STEP_AHEAD_MS),
            _ => -self.world.rng.random_range(0..STEP_BACK_MS),
        };
        let proc = self.any();
        let all = self.world.rng.random_bool(0.3);
        for other in 0..self.world.count() {
            if all || other == proc {
                self.world.set_clock(other, step_ms);
            }
        }
    }

    fn any(&mut self) -> usize {
        let count = self.world.count();
        self.world.rng.random_range(0..count)
    }

    fn fault(&mut self) {
        let proc = self.any();
        match self.world.rng.random_range(0..12) {
            0 | 1 if self.world.is_up(proc) => self.world.crash(proc),
            2 | 3 if self.world.is_up(proc) => self.world.pause(proc),
            4 | 5 => {
                let other = self.any();
                if other != proc {
                    self.world.set_cut(proc, other, true);
                }
            }
            6 => self.world.store_cut[proc] = true,
            7 => self.world.store_cut.fill(true),
            8 => self.world.lossy = 0.3,
            9 if self.may_leave(proc) => self.world.leave(proc),
            10 => self.configure(),
            11 => self.leap(),
            _ => {}
        }
    }

    /// A process that is paused can't be asked to leave.
    fn may_leave(&self, proc: usize) -> bool {
        let w = &self.world;
        w.is_up(proc) && !w.is_leaving(proc) && !w.is_paused(proc)
    }

    /// The platform's list calls a random set of boxes leaving.
    fn leap(&mut self) {
        let mut leaving = HashSet::new();
        for i in 0..AGENTS {
            if self.world.rng.random_bool(0.3) {
                leaving.insert(format!("w{i}"));
            }
        }
        self.world.set_boxes(&leaving);
    }

    /// Ends some of the faults.
    fn mend(&mut self) {
        for proc in 0..self.world.count() {
            if self.world.rng.random_bool(0.5) {
                self.mend_proc(proc);
            }
        }
        if self.world.rng.random_bool(0.5) {
            self.mend_ways();
        }
    }

    fn mend_proc(&mut self, proc: usize) {
        self.world.resume(proc);
        let left = self.world.is_leaving(proc) && self.world.drained(proc);
        if left && self.world.is_up(proc) {
            self.world.crash(proc);
        }
        if !self.world.is_up(proc) {
            if self.clocks == ClockFaults::Running {
                self.world.set_clock(proc, 0);
            }
            self.world.start(proc);
        }
    }

    fn mend_ways(&mut self) {
        self.world.store_cut.fill(false);
        self.world.lossy = 0.0;
        for a in 0..self.world.count() {
            for b in a + 1..self.world.count() {
                self.world.set_cut(a, b, false);
            }
        }
        self.world.set_boxes(&HashSet::new());
    }

    /// Ends all faults and looks whether jobs are served again.
    fn recover(&mut self) -> bool {
        for _ in 0..60 {
            self.mend_ways();
            for proc in 0..self.world.count() {
                self.mend_proc(proc);
            }
            self.world.run(Duration::from_secs(1));
        }
        let before = self.world.witness.outcomes[1];
        let untimely = self.world.witness.untimely;
        let mut sent = 0;
        for i in 0..30 {
            let (job, tasks, _) = self.mint();
            let mut ready = self.world.is_up(i % ENTRIES);
            ready &= !self.world.is_paused(i % ENTRIES);
            if ready && self.send_plain(i % ENTRIES, job, tasks) {
                sent += 1;
            }
            self.world.run(Duration::from_secs(1));
            for proc in 0..self.world.count() {
                self.mend_proc(proc);
            }
        }
        self.world.run(Duration::from_secs(20));
        self.untimely = self.world.witness.untimely - untimely;
        let done = self.world.witness.outcomes[1] - before;
        sent > 0 && done * 2 > sent
    }

    fn send_plain(&mut self, entry: usize, job: JobId, tasks: u32) -> bool {
        self.next += 1;
        let list: Vec<String> = (0..tasks).map(|t| t.to_string()).collect();
        let body = format!("{{\"tasks\":[{}]}}", list.join(","));
        let submission = Submission {
            job,
            service: "quote".to_owned(),
            team: String::new(),
            body: Bytes::from(body),
            left: Duration::from_secs(15),
            peek: false,
        };
        self.world.submit(entry, self.next, submission, tasks)
    }

    /// Puts the next version in force. Owners may be one entry or all of them.
    fn configure(&mut self) {
        self.version += 1;
        let owners = self.world.rng.random_range(0..3);
        let service =
            |repeat: &str| json!({"halls": ["h"], "zones": ["z"], "team": "t", "repeat": repeat});
        let version = Version {
            version: self.version,
            change: "c".into(),
            author: "run".into(),
            time_ms: 0,
            previous: String::new(),
            config: json!({
                "services": {"quote": service("safe"), "switch": service("never")},
                "teams": {"t": {"quota": QUOTA}},
                "limits": {"owners": owners, "longest_ms": 15_000},
            }),
        };
        let value = serde_json::to_vec(&version).expect("a version is JSON");
        self.world.set_config(self.version, Bytes::from(value));
    }
}

/// The horizon of the runs, for reports.
pub const RUN_HORIZON: Duration = HORIZON;
