//! Placement: which worker gets the next task.

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

/// What a placement decides on.
pub struct PlacementRequest<'a> {
    /// The present.
    pub now: Mono,
    /// All workers.
    pub fleet: &'a Fleet,
    /// Those at which the task may run.
    pub permitted: &'a [AgentKey],
    /// What the task takes.
    pub need: Room,
}

impl PlacementRequest<'_> {
    fn open(&self, key: AgentKey) -> Option<&Worker> {
        let worker = self.fleet.get(key)?;
        let open = worker.is_usable(self.now) && worker.health.accepts_tasks(self.now);
        open.then_some(worker)
    }
}

/// A way to choose a worker.
pub trait Placement {
    /// The worker for the next task; `None` to let it wait.
    fn pick(&mut self, scene: &PlacementRequest<'_>, rng: &mut dyn RngCore) -> Option<AgentKey>;
}

/// The ways there are. All but [`Policy::Random`] and [`Policy::RoundRobin`] send a task only to
/// a worker that has room for it as far as the entry knows; the rest waits at the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Any worker, whatever its load.
    Random,
    /// One after the other, whatever their load.
    RoundRobin,
    /// The one with the fewest of this entry's own tasks.
    LeastOwn,
    /// The less loaded of two drawn at random.
    TwoChoices,
    /// The least loaded, by own tasks and reports.
    #[default]
    LeastFill,
}

/// A policy with the state it needs.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    policy: Policy,
    turn: usize,
}

impl Placer {
    /// A placer of this policy.
    pub fn new(policy: Policy) -> Placer {
        Placer { policy, turn: 0 }
    }

    fn round_robin(&mut self, scene: &PlacementRequest<'_>) -> Option<AgentKey> {
        let count = scene.permitted.len();
        for _ in 0..count {
            self.turn = (self.turn + 1) % count;
            let key = scene.permitted[self.turn];
            if scene.open(key).is_some() {
                return Some(key);
            }
        }
        None
    }
}

impl Placement for Placer {
    fn pick(&mut self, scene: &PlacementRequest<'_>, rng: &mut dyn RngCore) -> Option<AgentKey> {
        match self.policy {
            Policy::Random => random(scene, rng),
            Policy::RoundRobin => self.round_robin(scene),
            Policy::LeastOwn => least(scene, rng, |w| w.own.slots, own_fits),
            Policy::TwoChoices => two_choices(scene, rng),
            Policy::LeastFill => least(scene, rng, Worker::fill, Worker::fits),
        }
    }
}

fn own_fits(worker: &Worker, need: Room) -> bool {
    worker.room.fits(worker.own, need)
}

fn random(scene: &PlacementRequest<'_>, rng: &mut dyn RngCore) -> Option<AgentKey> {
    let count = scene.permitted.len();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    let order = (0..count).map(|i| scene.permitted[(first + i) % count]);
    order.into_iter().find(|key| scene.open(*key).is_some())
}

fn two_choices(scene: &PlacementRequest<'_>, rng: &mut dyn RngCore) -> Option<AgentKey> {
    let one = random(scene, rng)?;
    let two = random(scene, rng)?;
    let fill = |key: AgentKey| scene.fleet.get(key).map_or(u32::MAX, Worker::fill);
    let best = if fill(two) < fill(one) { two } else { one };
    let worker = scene.fleet.get(best)?;
    worker.fits(scene.need).then_some(best)
}

/// The worker with the least of a measure among those that have room; ties go to the first from
/// a random start, so that entries which know the same do not all choose the same.
///
/// Among many workers a sample is looked at first; all of them only if none of it has room.
fn least(
    scene: &PlacementRequest<'_>,
    rng: &mut dyn RngCore,
    measure: fn(&Worker) -> u32,
    fits: fn(&Worker, Room) -> bool,
) -> Option<AgentKey> {
    let count = scene.permitted.len();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    if count > MANY {
        let step = rng.random_range(1..count);
        let sample = (0..SAMPLE).map(|i| scene.permitted[(first + i * step) % count]);
        let best = least_of(scene, sample, measure, fits);
        if best.is_some() {
            return best;
        }
    }
    let all = (0..count).map(|i| scene.permitted[(first + i) % count]);
    least_of(scene, all, measure, fits)
}

/// Beyond so many workers a sample is looked at first.
const MANY: usize = 64;
/// How many workers are in the sample.
const SAMPLE: usize = 32;

fn least_of(
    scene: &PlacementRequest<'_>,
    keys: impl Iterator<Item = AgentKey>,
    measure: fn(&Worker) -> u32,
    fits: fn(&Worker, Room) -> bool,
) -> Option<AgentKey> {
    let open = keys.filter_map(|key| Some((key, scene.open(key)?)));
    let room = open.filter(|(_, worker)| fits(worker, scene.need));
    let least = room.min_by_key(|(_, worker)| measure(worker));
    least.map(|(key, _)| key)
}
