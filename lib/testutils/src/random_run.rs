//! Randomised runs of the simulated [`World`]. Takes a [`RunPlan`], submits and resubmits jobs and injects
//! faults as drawn from its seed, and returns a [`RunReport`] with the first violated invariant. The same
//! plan reproduces the same run.

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

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    /// The seed of all random choices.
    pub seed: u64,
    /// The virtual time during which faults are injected.
    pub span: Duration,
    /// The check that the state machines omit.
    pub broken: DisabledCheck,
    /// How the clocks of boxes are disturbed.
    pub clocks: ClockFaults,
}

/// How the clocks of boxes are disturbed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClockFaults {
    /// Clocks are not set.
    #[default]
    None,
    /// Clocks are set ahead and back while processes run, and are corrected before a process restarts.
    Running,
    /// Clocks are set ahead and back at any time.
    Always,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Number of inputs given to state machines.
    pub steps: u64,
    /// Number of task starts.
    pub starts: u64,
    /// Number of answers by outcome code; index 0 counts answers without an outcome.
    pub outcomes: [u64; 5],
    /// The first violated invariant, if any.
    pub violation: Option<String>,
    /// Whether more than half of the probe jobs were completed after all faults had ended. Also true for a
    /// run that ended with a violation.
    pub recovered: bool,
    /// Number of jobs rejected because of the time in their ids after all faults had ended, although their
    /// callers' clocks were right or had been set together with that of an entry's box.
    pub rejected_mint_times: u64,
}

const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// Upper bound of the pause between two steps of a run, in milliseconds.
const MAX_PAUSE_MS: u64 = 120;
/// Probability that a clock is set in a step.
const CLOCK_STEP_PROBABILITY: f64 = 0.02;
/// Upper bounds of the steps by which clocks are set ahead and back. Both are shorter than [`HORIZON`].
const MAX_STEP_AHEAD_MS: i64 = 15_000;
const MAX_STEP_BACK_MS: i64 = 8_000;

struct Runner {
    world: World,
    next_request: u64,
    /// Jobs that may be resubmitted: id, number of tasks, and whether the job is for the service that must
    /// not repeat tasks.
    recent: Vec<(JobId, u32, bool)>,
    /// Probability of a fault in a step.
    fault_rate: f64,
    version: u64,
    clocks: ClockFaults,
    rejected_mint_times: u64,
}

/// Runs a plan: injects faults for its span, then ends all faults and checks that jobs are served again.
pub fn run(plan: RunPlan) -> RunReport {
    let mut world = World::new(plan.seed, ENTRIES, AGENTS, plan.broken);
    let is_calm = world.rng.random_bool(0.1);
    let fault_rate = if is_calm {
        0.0
    } else {
        world.rng.random_range(0.02..0.3)
    };
    if world.rng.random_bool(0.3) {
        world.duplicate_rate = 0.01;
    }
    let mut runner = Runner {
        world,
        next_request: 0,
        recent: Vec::new(),
        fault_rate,
        version: 0,
        clocks: plan.clocks,
        rejected_mint_times: 0,
    };
    runner.publish_config();
    runner.world.run(Duration::from_secs(4));
    let end = runner.world.now + plan.span.as_micros() as u64;
    while runner.world.now < end && runner.world.checker.violation().is_none() {
        runner.step();
        let pause = runner.world.rng.random_range(1..MAX_PAUSE_MS);
        runner.world.run(Duration::from_millis(pause));
    }
    let recovered = runner.world.checker.violation().is_some() || runner.recover();
    let world = &runner.world;
    RunReport {
        steps: world.steps,
        starts: world.checker.starts,
        outcomes: world.checker.outcomes,
        violation: world.checker.violation().map(ToOwned::to_owned),
        recovered,
        rejected_mint_times: runner.rejected_mint_times,
    }
}

impl Runner {
    fn step(&mut self) {
        if self.world.rng.random_bool(self.fault_rate) {
            self.inject_fault();
        }
        if self.world.rng.random_bool(0.03) {
            self.repair_some();
        }
        if self.clocks != ClockFaults::None && self.world.rng.random_bool(CLOCK_STEP_PROBABILITY) {
            self.set_clock();
        }
        let jobs = self.world.rng.random_range(0..3);
        for _ in 0..jobs {
            self.submit_job();
        }
    }

    fn submit_job(&mut self) {
        let again = !self.recent.is_empty() && self.world.rng.random_bool(0.35);
        let (job, tasks, once) = if again {
            let i = self.world.rng.random_range(0..self.recent.len());
            self.recent[i]
        } else {
            self.create_job()
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

    fn create_job(&mut self) -> (JobId, u32, bool) {
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
        self.next_request += 1;
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
        self.world
            .submit(entry, self.next_request, submission, tasks)
    }

    /// Sets the clock of one box, or of all boxes, ahead or back, or corrects it.
    fn set_clock(&mut self) {
        let step_ms = match self.world.rng.random_range(0..3) {
            0 => 0,
            1 => self.world.rng.random_range(0..MAX_STEP_AHEAD_MS),
            _ => -self.world.rng.random_range(0..MAX_STEP_BACK_MS),
        };
        let proc = self.random_process();
        let all = self.world.rng.random_bool(0.3);
        for other in 0..self.world.process_count() {
            if all || other == proc {
                self.world.set_clock(other, step_ms);
            }
        }
    }

    fn random_process(&mut self) -> usize {
        let count = self.world.process_count();
        self.world.rng.random_range(0..count)
    }

    fn inject_fault(&mut self) {
        let proc = self.random_process();
        match self.world.rng.random_range(0..12) {
            0 | 1 if self.world.is_up(proc) => self.world.crash(proc),
            2 | 3 if self.world.is_up(proc) => self.world.pause(proc),
            4 | 5 => {
                let other = self.random_process();
                if other != proc {
                    self.world.set_cut(proc, other, true);
                }
            }
            6 => self.world.store_unreachable[proc] = true,
            7 => self.world.store_unreachable.fill(true),
            8 => self.world.store_loss = 0.3,
            9 if self.can_leave(proc) => self.world.leave(proc),
            10 => self.publish_config(),
            11 => self.set_leaving_boxes(),
            _ => {}
        }
    }

    /// Returns whether a process can be asked to leave: it runs, is not paused and is not leaving already.
    fn can_leave(&self, proc: usize) -> bool {
        let w = &self.world;
        w.is_up(proc) && !w.is_leaving(proc) && !w.is_paused(proc)
    }

    /// Lists a random set of agents' boxes as leaving on the platform.
    fn set_leaving_boxes(&mut self) {
        let mut leaving = HashSet::new();
        for i in 0..AGENTS {
            if self.world.rng.random_bool(0.3) {
                leaving.insert(format!("w{i}"));
            }
        }
        self.world.set_leaving_boxes(&leaving);
    }

    /// Ends a random part of the faults.
    fn repair_some(&mut self) {
        for proc in 0..self.world.process_count() {
            if self.world.rng.random_bool(0.5) {
                self.repair_process(proc);
            }
        }
        if self.world.rng.random_bool(0.5) {
            self.repair_network();
        }
    }

    fn repair_process(&mut self, proc: usize) {
        self.world.resume(proc);
        let left = self.world.is_leaving(proc) && self.world.is_drained(proc);
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

    fn repair_network(&mut self) {
        self.world.store_unreachable.fill(false);
        self.world.store_loss = 0.0;
        for a in 0..self.world.process_count() {
            for b in a + 1..self.world.process_count() {
                self.world.set_cut(a, b, false);
            }
        }
        self.world.set_leaving_boxes(&HashSet::new());
    }

    /// Ends all faults, submits probe jobs and returns whether more than half of them were completed.
    fn recover(&mut self) -> bool {
        for _ in 0..60 {
            self.repair_network();
            for proc in 0..self.world.process_count() {
                self.repair_process(proc);
            }
            self.world.run(Duration::from_secs(1));
        }
        let before = self.world.checker.outcomes[1];
        let rejected_mint_times = self.world.checker.rejected_mint_times;
        let mut sent = 0;
        for i in 0..30 {
            let (job, tasks, _) = self.create_job();
            let mut ready = self.world.is_up(i % ENTRIES);
            ready &= !self.world.is_paused(i % ENTRIES);
            if ready && self.send_probe(i % ENTRIES, job, tasks) {
                sent += 1;
            }
            self.world.run(Duration::from_secs(1));
            for proc in 0..self.world.process_count() {
                self.repair_process(proc);
            }
        }
        self.world.run(Duration::from_secs(20));
        self.rejected_mint_times = self.world.checker.rejected_mint_times - rejected_mint_times;
        let done = self.world.checker.outcomes[1] - before;
        sent > 0 && done * 2 > sent
    }

    fn send_probe(&mut self, entry: usize, job: JobId, tasks: u32) -> bool {
        self.next_request += 1;
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
        self.world
            .submit(entry, self.next_request, submission, tasks)
    }

    /// Applies the next configuration version, with a random limit on the number of owners.
    fn publish_config(&mut self) {
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

/// How long jobs are remembered in the runs.
pub const RUN_HORIZON: Duration = HORIZON;
