//! Chooses the worker that gets the next task.
//!
//! The input is the fleet as known to the entry and the resources that the task needs; a [`Policy`] selects
//! the algorithm.

use rand::Rng;
use rand::RngCore;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Mono;
use crate::fleet::AgentKey;
use crate::fleet::Fleet;
use crate::fleet::Worker;
use crate::room::Room;

/// The task to be placed, and the workers to choose from.
pub struct PlacementRequest<'a> {
    /// The present time.
    pub now: Mono,
    /// All workers of the fleet.
    pub fleet: &'a Fleet,
    /// The workers at which the task may run.
    pub permitted: &'a [AgentKey],
    /// The resources that the task takes.
    pub need: Room,
}

impl PlacementRequest<'_> {
    /// Returns the worker of a key, if tasks may be sent to it now.
    fn usable_worker(&self, key: AgentKey) -> Option<&Worker> {
        let worker = self.fleet.get(key)?;
        let usable = worker.is_usable(self.now) && worker.health.accepts_tasks(self.now);
        usable.then_some(worker)
    }
}

/// Chooses workers for tasks.
pub trait Placement {
    /// Returns the worker for the next task; `None` if the task has to wait.
    fn pick(&mut self, request: &PlacementRequest<'_>, rng: &mut dyn RngCore) -> Option<AgentKey>;
}

/// The placement algorithms.
///
/// All but [`Policy::Random`] and [`Policy::RoundRobin`] send a task only to a worker that has room for it as
/// far as the entry knows; other tasks wait at the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// A random worker, regardless of load.
    Random,
    /// Each worker in turn, regardless of load.
    RoundRobin,
    /// The worker with the fewest slots taken by tasks of this entry.
    LeastOwn,
    /// The less loaded of two random workers.
    TwoChoices,
    /// The least loaded worker, by the tasks of this entry and by load reports.
    #[default]
    LeastFill,
}

/// A placement policy with its state.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    policy: Policy,
    /// The index of the worker that was tried last.
    last_index: usize,
}

impl Placer {
    /// Returns a placer of a policy.
    pub fn new(policy: Policy) -> Placer {
        Placer {
            policy,
            last_index: 0,
        }
    }

    fn round_robin(&mut self, request: &PlacementRequest<'_>) -> Option<AgentKey> {
        let count = request.permitted.len();
        for _ in 0..count {
            self.last_index = (self.last_index + 1) % count;
            let key = request.permitted[self.last_index];
            if request.usable_worker(key).is_some() {
                return Some(key);
            }
        }
        None
    }
}

impl Placement for Placer {
    fn pick(&mut self, request: &PlacementRequest<'_>, rng: &mut dyn RngCore) -> Option<AgentKey> {
        match self.policy {
            Policy::Random => random_usable(request, rng),
            Policy::RoundRobin => self.round_robin(request),
            Policy::LeastOwn => least_loaded(request, rng, |w| w.own.slots, own_fits),
            Policy::TwoChoices => two_choices(request, rng),
            Policy::LeastFill => least_loaded(request, rng, Worker::fill, Worker::fits),
        }
    }
}

fn own_fits(worker: &Worker, need: Room) -> bool {
    worker.room.fits(worker.own, need)
}

fn random_usable(request: &PlacementRequest<'_>, rng: &mut dyn RngCore) -> Option<AgentKey> {
    let count = request.permitted.len();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    let order = (0..count).map(|i| request.permitted[(first + i) % count]);
    order
        .into_iter()
        .find(|key| request.usable_worker(*key).is_some())
}

fn two_choices(request: &PlacementRequest<'_>, rng: &mut dyn RngCore) -> Option<AgentKey> {
    let one = random_usable(request, rng)?;
    let two = random_usable(request, rng)?;
    let fill = |key: AgentKey| request.fleet.get(key).map_or(u32::MAX, Worker::fill);
    let best = if fill(two) < fill(one) { two } else { one };
    let worker = request.fleet.get(best)?;
    worker.fits(request.need).then_some(best)
}

/// Returns the worker with the lowest measure among those that have room. The search begins at a random
/// worker and the first of equal workers is chosen, so that entries with the same information do not all
/// choose the same one.
///
/// If there are many workers, a sample is searched first, and all of them only if none of the sample has
/// room.
fn least_loaded(
    request: &PlacementRequest<'_>,
    rng: &mut dyn RngCore,
    measure: fn(&Worker) -> u32,
    fits: fn(&Worker, Room) -> bool,
) -> Option<AgentKey> {
    let count = request.permitted.len();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    if count > SAMPLING_THRESHOLD {
        let step = rng.random_range(1..count);
        let sample = (0..SAMPLE_SIZE).map(|i| request.permitted[(first + i * step) % count]);
        let best = least_loaded_of(request, sample, measure, fits);
        if best.is_some() {
            return best;
        }
    }
    let all = (0..count).map(|i| request.permitted[(first + i) % count]);
    least_loaded_of(request, all, measure, fits)
}

/// The number of workers above which a sample is searched first.
const SAMPLING_THRESHOLD: usize = 64;
/// The number of workers in a sample.
const SAMPLE_SIZE: usize = 32;

fn least_loaded_of(
    request: &PlacementRequest<'_>,
    keys: impl Iterator<Item = AgentKey>,
    measure: fn(&Worker) -> u32,
    fits: fn(&Worker, Room) -> bool,
) -> Option<AgentKey> {
    let usable = keys.filter_map(|key| Some((key, request.usable_worker(key)?)));
    let fitting = usable.filter(|(_, worker)| fits(worker, request.need));
    let least = fitting.min_by_key(|(_, worker)| measure(worker));
    least.map(|(key, _)| key)
}
