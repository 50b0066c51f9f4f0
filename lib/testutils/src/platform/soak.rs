//! A soak under faults: real processes, signals, and a fault proxy, drawn from a seed.

use std::cell::Cell;
use std::path::Path;
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
use crate::platform::fleet::Fleet;
use crate::platform::fleet::Machine;
use crate::platform::store::Mood;

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

const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// A caller hands its job in again after this long without an answer.
const AGAIN: Duration = Duration::from_millis(1300);
/// Jobs handed in after all faults.
pub const CALM_JOBS: u64 = 20;

/// Runs a seed for a span with faults, then for some time without. Needs an actix system.
pub async fn run(binary: &Path, seed: u64, span: Duration) -> SoakReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(binary, ENTRIES, AGENTS).await;
    let completed = Rc::new(Cell::new(0));
    let end = Instant::now() + span;
    let mut jobs = 0;
    let mut faults = 0;
    let mut healings: Vec<(Instant, Healing)> = Vec::new();
    while Instant::now() < end && fleet.violation().is_none() {
        jobs += 1;
        spawn_caller(&mut rng, &fleet, &completed, jobs);
        heal_due(&mut fleet, &mut healings, Instant::now());
        if rng.random_bool(0.06) {
            faults += 1;
            let healing = fault(&mut rng, &mut fleet);
            let after = Duration::from_millis(rng.random_range(100..2500));
            healings.push((Instant::now() + after, healing));
        }
        actix_rt::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
    let all = Instant::now() + Duration::from_secs(60);
    heal_due(&mut fleet, &mut healings, all);
    fleet.wait_until_up().await;
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let before = completed.get();
    for _ in 0..CALM_JOBS {
        jobs += 1;
        spawn_caller(&mut rng, &fleet, &completed, jobs);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    SoakReport {
        jobs,
        completed: completed.get(),
        faults,
        violation: fleet.violation(),
        recovered: completed.get() - before,
    }
}

fn spawn_caller(rng: &mut ChaCha8Rng, fleet: &Fleet, completed: &Rc<Cell<u64>>, number: u64) {
    let job = CallerJob {
        number: JobNumber(number),
        tasks: rng.random_range(1..6),
        work_ms: [20, 80, 600][rng.random_range(0..3)],
        cpu: rng.random_range(500..1500),
    };
    let first = fleet.entries[rng.random_range(0..ENTRIES)].callers();
    let second = fleet.entries[rng.random_range(0..ENTRIES)].callers();
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

fn heal_due(fleet: &mut Fleet, healings: &mut Vec<(Instant, Healing)>, now: Instant) {
    let due: Vec<Healing> = healings
        .iter()
        .filter(|(at, _)| *at <= now)
        .map(|(_, h)| *h)
        .collect();
    healings.retain(|(at, _)| *at > now);
    for healing in due {
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
}

fn fault(rng: &mut ChaCha8Rng, fleet: &mut Fleet) -> Healing {
    let entry = rng.random_range(0..ENTRIES);
    let agent = rng.random_range(0..AGENTS);
    match rng.random_range(0..12) {
        0 => {
            fleet.entries[entry].kill();
            Healing::StartEntry(entry)
        }
        1 => {
            fleet.agents[agent].kill();
            Healing::StartAgent(agent)
        }
        2 => {
            fleet.entries[entry].signal(Signal::SIGSTOP);
            Healing::ContinueEntry(entry)
        }
        3 => {
            fleet.agents[agent].signal(Signal::SIGSTOP);
            Healing::ContinueAgent(agent)
        }
        4 => {
            let stalled = Fault {
                stall: true,
                ..Fault::default()
            };
            fleet.proxies[entry].set(stalled);
            Healing::Proxy(entry)
        }
        5 => {
            let reset = Fault {
                reset: true,
                ..Fault::default()
            };
            fleet.proxies[entry].set(reset);
            Healing::Proxy(entry)
        }
        6 => {
            fleet.proxies[entry].pass(Duration::from_millis(rng.random_range(1..60)));
            Healing::Proxy(entry)
        }
        7 => {
            fleet.store.set_mood(Mood::Busy);
            Healing::Store
        }
        8 => {
            fleet.store.set_mood(Mood::AnswersLost);
            Healing::Store
        }
        9 => {
            fleet.workers.lock().unwrap().crash(agent);
            Healing::Nothing
        }
        10 => {
            fleet.entries.iter_mut().for_each(Machine::kill);
            fleet.agents.iter_mut().for_each(Machine::kill);
            Healing::StartAll
        }
        _ => {
            fleet.store.revoke_keys();
            fleet.store.compact();
            Healing::Nothing
        }
    }
}
