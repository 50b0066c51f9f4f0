//! Forwards jobs to the partition that runs them: to which scheduler there, and what becomes of a job whose scheduler
//! is lost.
//!
//! Load pattern: callers reach any entry with any job, so of many partitions nearly every job belongs to another one
//! than its entry's. Each entry forwards to one scheduler of each partition, of its own zone if there is one, so links
//! and messages go by the jobs that it is handed and by the number of partitions, not by the number of processes.
//!
//! To the scheduler that runs a job the forwarder is a caller like any other: a job that is sent to a second one of the
//! partition comes again there, which its schedulers settle among themselves. The waits before that are those that
//! they count on with callers.

mod calls;
mod targets;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::dispatch::forwarder::calls::Call;
use crate::dispatch::forwarder::targets::Loss;
use crate::dispatch::forwarder::targets::Target;
use crate::dispatch::forwarder::targets::TargetKey;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::JobRequest;
use crate::dispatch::partition::Partition;
use crate::dispatch::partition::Partitions;
use crate::dispatch::policy::Admission;
use crate::dispatch::policy::Partitions as PartitionPolicy;
use crate::dispatch::scheduler::CallerId;
use crate::event::Event;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

pub use crate::dispatch::forwarder::calls::Request;

/// The forwarder's settings.
#[derive(Clone, Debug)]
pub struct ForwarderSetup {
    /// The name of its process.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Drawn when the process starts; seeds the times after which refused callers come back.
    pub seed: u64,
    /// The waits and bounds.
    pub policy: PartitionPolicy,
    /// When refused callers come back.
    pub admission: Admission,
    /// A process that has not run for this long was paused.
    pub pause: Duration,
}

/// A scheduler, as the store names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchedulerAddress {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
}

/// How old a reading of the store may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Freshness {
    /// Some seconds.
    Recent,
    /// It is the newest.
    Newest,
}

/// What the forwarder wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to the scheduler of this name at an address.
    Dial(String, String),
    /// Send a message on a link.
    Send(LinkId, proto::Forward),
    /// Close a link.
    Close(LinkId),
    /// Tell a caller what became of its job.
    Answer(CallerId, JobOutcome),
    /// Read from the store which schedulers a partition has.
    Read(Partition, Freshness),
    /// Write a log line.
    Log(Event),
}

/// What was forwarded since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForwarderCounts {
    /// Requests that came for other partitions.
    pub requests: u64,
    /// Messages that took them there.
    pub frames: u64,
    /// Times that a request was sent again, to another scheduler.
    pub again: u64,
    /// Requests that no scheduler could be found for.
    pub unplaced: u64,
}

/// The forwarder.
pub struct Forwarder {
    setup: ForwarderSetup,
    partitions: Partitions,
    targets: SlotMap<TargetKey, Target>,
    named: HashMap<String, TargetKey>,
    linked: HashMap<LinkId, TargetKey>,
    /// The schedulers of each other partition, in the order in which they are chosen.
    ranked: BTreeMap<Partition, Vec<TargetKey>>,
    calls: BTreeMap<CallerId, Call>,
    /// Targets for which something has been gathered.
    pending: Vec<TargetKey>,
    /// Partitions whose schedulers are to be read again, since none could be reached.
    wanted: BTreeSet<Partition>,
    /// The partition whose schedulers were read last.
    read_last: Option<Partition>,
    /// When schedulers were last read.
    read_at: Option<Mono>,
    rng: SmallRng,
    last_taken: Mono,
    counts: ForwarderCounts,
    actions: Vec<Action>,
    now: Mono,
    /// Since when this process has run without a pause.
    awake_since: Mono,
}

impl Forwarder {
    /// A forwarder for a process of a divided fleet.
    pub fn new(setup: ForwarderSetup, partitions: Partitions) -> Forwarder {
        let own = partitions.of_name(&setup.name);
        let rng = SmallRng::seed_from_u64(setup.seed);
        Forwarder {
            setup,
            partitions,
            targets: SlotMap::with_key(),
            named: HashMap::new(),
            linked: HashMap::new(),
            ranked: BTreeMap::new(),
            calls: BTreeMap::new(),
            pending: Vec::new(),
            wanted: partitions.all().filter(|p| *p != own).collect(),
            read_last: None,
            read_at: None,
            rng,
            last_taken: Mono::default(),
            counts: ForwarderCounts::default(),
            actions: Vec::new(),
            now: Mono::default(),
            awake_since: Mono::default(),
        }
    }

    /// The partition of this process.
    pub fn own(&self) -> Partition {
        self.partitions.of_name(&self.setup.name)
    }

    /// Into how many partitions the fleet is divided.
    pub fn partitions(&self) -> Partitions {
        self.partitions
    }

    /// Whether jobs of every partition can be forwarded.
    pub fn is_ready(&self) -> bool {
        let own = self.own();
        let mut others = self.partitions.all().filter(|p| *p != own);
        others.all(|p| self.ranked.contains_key(&p))
    }

    /// Whether no caller waits for an answer.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// How long no request has come.
    pub fn untaken(&self, now: Mono) -> Duration {
        now.since(self.last_taken)
    }

    /// Gives up all requests, so that every caller has an answer: the process ends.
    pub fn abandon(&mut self, now: Mono) {
        self.enter(now);
        for (caller, call) in std::mem::take(&mut self.calls) {
            let number = call.number();
            self.log(Kind::ForwardFailed, format!("{number} leaving"));
            self.actions
                .push(Action::Answer(caller, JobOutcome::Unknown));
        }
    }

    /// What was forwarded so far.
    pub fn counts(&self) -> ForwarderCounts {
        self.counts
    }

    /// How many requests wait for their answers, how many links are up, and how many partitions there are.
    pub fn load(&self) -> [usize; 3] {
        [self.calls.len(), self.linked.len(), self.partitions.count()]
    }

    /// Hands in a job of another partition. The caller hears of its end by [`Action::Answer`].
    pub fn submit(&mut self, now: Mono, caller: CallerId, request: JobRequest) {
        self.take(now, caller, Request::Job(request));
    }

    /// Cancels a job of another partition. The caller is answered [`JobOutcome::Cancelled`] if the job is known there,
    /// and [`JobOutcome::Unknown`] if it is not.
    pub fn cancel(&mut self, now: Mono, caller: CallerId, number: JobNumber) {
        self.take(now, caller, Request::Cancel(number));
    }

    /// Takes note of the time. After a pause of this process others seem to have been silent that only were not listened
    /// to.
    fn enter(&mut self, now: Mono) {
        if now.since(self.now) >= self.setup.pause {
            self.awake_since = now;
        }
        self.now = now;
    }

    fn take(&mut self, now: Mono, caller: CallerId, request: Request) {
        self.enter(now);
        self.counts.requests += 1;
        self.last_taken = now;
        let partition = self.partitions.of_job(request.number());
        self.calls
            .insert(caller, Call::new(now, partition, request));
        self.place(caller);
    }

    /// A caller has left.
    pub fn caller_left(&mut self, now: Mono, caller: CallerId) {
        self.enter(now);
        if let Some(key) = self.calls.remove(&caller).and_then(|call| call.sent_to()) {
            self.recall(key, caller);
        }
    }

    /// A link is up that this process has dialled. What waits for it is sent once its other end has said that it is ready.
    pub fn link_up(&mut self, now: Mono, name: &str, link: LinkId) {
        self.enter(now);
        let Some(key) = self.named.get(name).copied() else {
            return self.actions.push(Action::Close(link));
        };
        self.linked.insert(link, key);
        self.targets[key].link_up(now, link);
        self.log(Kind::LinkUp, format!("forwarding to {name}"));
    }

    /// A scheduler could not be reached.
    pub fn connect_failed(&mut self, now: Mono, name: &str) {
        self.enter(now);
        let Some(key) = self.named.get(name).copied() else {
            return;
        };
        self.targets[key].avoid(now + self.setup.policy.avoid);
        let waiting = self.waiting_for(key);
        for caller in waiting {
            self.place(caller);
        }
    }

    /// A link is down.
    pub fn link_down(&mut self, now: Mono, link: LinkId) {
        self.enter(now);
        self.lose_link(link, Loss::Broken);
    }

    /// A scheduler to which jobs are forwarded has answered.
    pub fn message(&mut self, now: Mono, link: LinkId, reply: &proto::ForwardReply) {
        self.enter(now);
        let Some(key) = self.linked.get(&link).copied() else {
            return;
        };
        if self.targets[key].hear(now, reply.ready) {
            let waiting = self.waiting_for(key);
            for caller in waiting {
                self.place(caller);
            }
        }
        for end in &reply.ends {
            let outcome = JobOutcome::from_code(end.outcome);
            self.ended(key, CallerId(end.caller), outcome);
        }
    }

    /// Names the schedulers that a partition has. A few of them are enough; one that is not named any more is used for as
    /// long as its link is up, and where the list may be old for as long as it can be reached.
    pub fn set_schedulers(
        &mut self,
        now: Mono,
        partition: Partition,
        list: Vec<SchedulerAddress>,
        freshness: Freshness,
    ) {
        self.enter(now);
        let mut list = list;
        list.sort_by_cached_key(|scheduled| self.rank(scheduled));
        list.truncate(self.setup.policy.candidates as usize);
        let mut keys: Vec<TargetKey> = Vec::new();
        for scheduled in list {
            keys.push(self.target_named(partition, scheduled));
        }
        let before = self.ranked.remove(&partition).unwrap_or_default();
        let unnamed = before.into_iter().filter(|key| !keys.contains(key));
        for key in unnamed.collect::<Vec<_>>() {
            if self.targets[key].outlasts(freshness) {
                keys.push(key);
            } else if let Some(target) = self.targets.remove(key) {
                self.named.remove(&target.name);
            }
        }
        keys.sort_by_key(|key| self.targets[*key].rank);
        self.ranked.insert(partition, keys);
        self.place_unsent(partition);
    }

    /// Passing time.
    pub fn tick(&mut self, now: Mono) {
        self.enter(now);
        self.close_links();
        self.send_again();
        self.read_next();
    }

    /// Takes what is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        for key in std::mem::take(&mut self.pending) {
            if let Some((link, forward)) = self.targets.get_mut(key).and_then(Target::due) {
                self.counts.frames += 1;
                self.actions.push(Action::Send(link, forward));
            }
        }
        std::mem::take(&mut self.actions)
    }

    fn log(&mut self, kind: Kind, detail: String) {
        self.actions.push(Action::Log(Event::new(kind, detail)));
    }
}
