//! What must hold beside a crowd of clients, and the requests that crowds send.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_testutils::platform::callers;
use stackcourse_testutils::platform::callers::CallerJob;
use stackcourse_testutils::platform::fleet::Fleet;
use stackcourse_testutils::platform::fleet::FleetPlan;
use stackcourse_testutils::platform::machine::Machine;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

/// What clients may make a process hold in these tests, in MiB.
const CLIENT_MEMORY_MB: u64 = 8;
/// What a process may hold in addition to its size at rest and what clients make it hold, in MiB: pages of code and
/// data that it touches for the first time, and what the allocator keeps.
pub const ALLOWANCE_MB: u64 = 16;
/// The file descriptors that a process may use in these tests.
pub const DESCRIPTORS: usize = 256;
/// The largest body of the default limits, in bytes.
pub const MAX_BODY: usize = 256 << 10;
/// The number of times that an ordinary caller tries, as refusals tell it to come again.
const TRIES: u64 = 40;
/// The longest wait for what happens without a bound on its time.
const PATIENCE: Duration = Duration::from_secs(40);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Waits until no other test runs.
pub async fn take_turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// A process of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The entry.
    Entry,
    /// The agent.
    Agent,
}

/// An entry and an agent under the limits of these tests.
pub struct Trial {
    /// The fleet.
    pub fleet: Fleet,
    rest: [u64; 2],
    next_job: u64,
    _turn: MutexGuard<'static, ()>,
}

impl Trial {
    /// Starts the processes, once no other test runs, and lets them serve one job.
    pub async fn start() -> Trial {
        Trial::start_with(json!({})).await
    }

    /// Starts the processes with these limits in the operator's configuration.
    pub async fn start_with(request_limits: Value) -> Trial {
        let turn = take_turn().await;
        let plan = FleetPlan {
            limits: json!({"client_memory_mb": CLIENT_MEMORY_MB, "descriptors": DESCRIPTORS}),
            request_limits,
            ..FleetPlan::new(1, 1)
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_stackcourse"));
        let mut trial = Trial {
            fleet: Fleet::start_plan(binary, &plan).await,
            rest: [0; 2],
            next_job: 1,
            _turn: turn,
        };
        trial.check_served().await;
        trial.rest = [Role::Entry, Role::Agent].map(|r| trial.machine(r).info().peak_memory());
        trial
    }

    /// Returns the machine of a process.
    pub fn machine(&mut self, role: Role) -> &mut Machine {
        match role {
            Role::Entry => &mut self.fleet.entries[0],
            Role::Agent => &mut self.fleet.agents[0],
        }
    }

    /// Checks that the process lives within its limits and that an ordinary caller is served.
    pub async fn check(&mut self, role: Role) {
        self.check_limits(role);
        self.check_served().await;
        self.check_limits(role);
    }

    /// Checks that the process lives and has stayed within its limits.
    pub fn check_limits(&mut self, role: Role) {
        let bound = self.rest[role as usize] + ((CLIENT_MEMORY_MB + ALLOWANCE_MB) << 20);
        let machine = self.machine(role);
        assert!(machine.is_running(), "the process lives");
        let (peak, descriptors) = (machine.info().peak_memory(), machine.info().descriptors());
        assert!(
            peak <= bound,
            "{role:?}: {} MiB at the peak, at most {} MiB\n{}",
            peak >> 20,
            bound >> 20,
            machine.log_text()
        );
        assert!(
            descriptors <= DESCRIPTORS,
            "{role:?}: {descriptors} descriptors are open"
        );
    }

    /// Checks that a job is completed for an ordinary caller, who comes again when it is refused.
    pub async fn check_served(&mut self) {
        let entry = self.fleet.entries[0].callers();
        let mut last = None;
        for _ in 0..TRIES {
            let job = CallerJob {
                number: JobNumber(self.next_job),
                tasks: 1,
                work_ms: 10,
                cpu: 1000,
                crashing: false,
            };
            self.next_job += 1;
            let reply = callers::submit_job(&self.fleet.workers, entry, job).await;
            if reply.state == "completed" {
                return;
            }
            last = Some(reply);
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        panic!("no job was completed: {last:?}");
    }
}

/// Waits until a check passes.
pub async fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !check() {
        assert!(Instant::now() < end, "{what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
