//! Forwards requests for jobs of other partitions to the schedulers that run them, and returns the outcomes
//! to the callers. Jobs whose scheduler is lost are sent to another one.
//!
//! Load pattern: callers submit any job at any entry, so in a fleet of many partitions nearly every job
//! belongs to another partition than its entry. Each entry forwards to one scheduler of each partition, in
//! its own zone if there is one, so links and messages grow with the number of jobs that it receives and with
//! the number of partitions, not with the number of processes.
//!
//! To the scheduler that runs a job the forwarder is a caller like any other: if a job is sent to a second
//! scheduler of its partition, the schedulers there treat it as a resubmitted job. The delays before a job is
//! sent again are those that schedulers assume for callers.

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

/// Settings of a [`Forwarder`].
#[derive(Clone, Debug)]
pub struct ForwarderSetup {
    /// The name of this process.
    pub name: String,
    /// The availability zone of this process.
    pub zone: String,
    /// Chosen at random when the process starts; seeds the retry delays of refused callers.
    pub seed: u64,
    /// The policy for partitions: delays and limits.
    pub policy: PartitionPolicy,
    /// The policy for admission, which gives the retry delays of refused callers.
    pub admission: Admission,
    /// The time without any input after which this process counts as having been paused.
    pub pause: Duration,
}

/// A scheduler and its address, as listed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchedulerAddress {
    /// The name of the scheduler.
    pub name: String,
    /// The address at which it accepts links.
    pub address: String,
    /// The availability zone of the scheduler.
    pub zone: String,
}

/// How old a list that was read from the store may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Freshness {
    /// Some seconds old.
    Recent,
    /// Up to date.
    Newest,
}

/// An action that the forwarder asks its host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to the scheduler with this name at this address.
    Dial(String, String),
    /// Send a message on a link.
    Send(LinkId, proto::Forward),
    /// Close a link.
    Close(LinkId),
    /// Answer a caller with the outcome of its request.
    Answer(CallerId, JobOutcome),
    /// Read the list of schedulers of a partition from the store.
    Read(Partition, Freshness),
    /// Log an event.
    Log(Event),
}

/// Counters of forwarded requests since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForwarderCounts {
    /// Requests for jobs of other partitions.
    pub requests: u64,
    /// Messages that were sent with them.
    pub frames: u64,
    /// Requests that were sent again, to another scheduler.
    pub resent: u64,
    /// Requests for which no scheduler could be reached.
    pub unplaced: u64,
}

/// Forwards requests for jobs of other partitions, as a state machine without I/O. The host passes input to
/// its methods and carries out the actions that [`Forwarder::take_actions`] returns.
pub struct Forwarder {
    setup: ForwarderSetup,
    partitions: Partitions,
    targets: SlotMap<TargetKey, Target>,
    by_name: HashMap<String, TargetKey>,
    by_link: HashMap<LinkId, TargetKey>,
    /// The schedulers of each other partition, in the order of preference.
    ranked: BTreeMap<Partition, Vec<TargetKey>>,
    calls: BTreeMap<CallerId, Call>,
    /// Targets for which a message may be ready to send.
    pending_targets: Vec<TargetKey>,
    /// Partitions whose schedulers are read again, since none could be reached or none is known yet.
    stale_partitions: BTreeSet<Partition>,
    /// The partition whose schedulers were refreshed last.
    last_partition: Option<Partition>,
    /// When a list of schedulers was last requested.
    last_read: Option<Mono>,
    rng: SmallRng,
    last_request: Mono,
    counts: ForwarderCounts,
    actions: Vec<Action>,
    now: Mono,
    /// When the last pause of this process ended.
    awake_since: Mono,
    /// Whether all callers were answered for the last time.
    is_closed: bool,
}

impl Forwarder {
    /// Creates the forwarder of a process in a divided fleet.
    pub fn new(setup: ForwarderSetup, partitions: Partitions) -> Forwarder {
        let own = partitions.of_name(&setup.name);
        let rng = SmallRng::seed_from_u64(setup.seed);
        Forwarder {
            setup,
            partitions,
            targets: SlotMap::with_key(),
            by_name: HashMap::new(),
            by_link: HashMap::new(),
            ranked: BTreeMap::new(),
            calls: BTreeMap::new(),
            pending_targets: Vec::new(),
            stale_partitions: partitions.all().filter(|p| *p != own).collect(),
            last_partition: None,
            last_read: None,
            rng,
            last_request: Mono::default(),
            counts: ForwarderCounts::default(),
            actions: Vec::new(),
            now: Mono::default(),
            awake_since: Mono::default(),
            is_closed: false,
        }
    }

    /// Returns the partition of this process.
    pub fn own(&self) -> Partition {
        self.partitions.of_name(&self.setup.name)
    }

    /// Returns the division of the fleet.
    pub fn partitions(&self) -> Partitions {
        self.partitions
    }

    /// Returns whether the schedulers of every other partition have been read.
    pub fn is_ready(&self) -> bool {
        let own = self.own();
        let mut others = self.partitions.all().filter(|p| *p != own);
        others.all(|p| self.ranked.contains_key(&p))
    }

    /// Returns whether no caller waits for an answer.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the time since the last request.
    pub fn quiet_time(&self, now: Mono) -> Duration {
        now.since(self.last_request)
    }

    /// Answers all open requests as without a result, since the process ends. Requests that come from now on
    /// are answered likewise at once, since nobody would answer them later.
    pub fn abandon(&mut self, now: Mono) {
        self.advance_clock(now);
        self.is_closed = true;
        for (caller, call) in std::mem::take(&mut self.calls) {
            self.answer_lost(caller, &call);
        }
    }

    /// Answers a request as without a result.
    fn answer_lost(&mut self, caller: CallerId, call: &Call) {
        let number = call.number();
        self.log(Kind::ForwardFailed, format!("{number} leaving"));
        let outcome = call.outcome_if_lost();
        self.actions.push(Action::Answer(caller, outcome));
    }

    /// Returns the counters of forwarded requests.
    pub fn counts(&self) -> ForwarderCounts {
        self.counts
    }

    /// Returns the numbers of requests without an answer, of links that are up and of partitions.
    pub fn gauges(&self) -> [usize; 3] {
        [
            self.calls.len(),
            self.by_link.len(),
            self.partitions.count(),
        ]
    }

    /// Submits a job of another partition. [`Action::Answer`] returns the outcome to the caller.
    pub fn submit(&mut self, now: Mono, caller: CallerId, request: JobRequest) {
        self.accept(now, caller, Request::Job(request));
    }

    /// Cancels a job of another partition. The caller is answered what
    /// [`CancelReply::outcome`](crate::dispatch::cancels::CancelReply::outcome) makes of the reply there;
    /// [`JobOutcome::GivenUp`] if no scheduler could be asked.
    pub fn cancel(&mut self, now: Mono, caller: CallerId, number: JobNumber) {
        self.accept(now, caller, Request::Cancel(number));
    }

    /// Advances the clock and detects pauses of this process: peers that seem to have been silent during a
    /// pause may have sent messages that are not read yet.
    fn advance_clock(&mut self, now: Mono) {
        if now.since(self.now) >= self.setup.pause {
            self.awake_since = now;
        }
        self.now = now;
    }

    fn accept(&mut self, now: Mono, caller: CallerId, request: Request) {
        self.advance_clock(now);
        self.counts.requests += 1;
        self.last_request = now;
        let partition = self.partitions.of_job(request.number());
        let call = Call::new(now, partition, request);
        if self.is_closed {
            return self.answer_lost(caller, &call);
        }
        self.calls.insert(caller, call);
        self.place_request(caller);
    }

    /// Drops the request of a caller that has left, and tells the scheduler to which it was sent.
    pub fn caller_left(&mut self, now: Mono, caller: CallerId) {
        self.advance_clock(now);
        if let Some(key) = self.calls.remove(&caller).and_then(|call| call.sent_to()) {
            self.withdraw(key, caller);
        }
    }

    /// Records that a link to a scheduler is up. Requests for it are sent once the scheduler has reported
    /// whether it is ready.
    pub fn link_up(&mut self, now: Mono, name: &str, link: LinkId) {
        self.advance_clock(now);
        let Some(key) = self.by_name.get(name).copied() else {
            return self.actions.push(Action::Close(link));
        };
        self.by_link.insert(link, key);
        self.targets[key].link_up(now, link);
        self.log(Kind::LinkUp, format!("forwarding to {name}"));
    }

    /// Records that a scheduler could not be reached, and sends the requests for it elsewhere.
    pub fn connect_failed(&mut self, now: Mono, name: &str) {
        self.advance_clock(now);
        let Some(key) = self.by_name.get(name).copied() else {
            return;
        };
        self.targets[key].mark_unreachable(now + self.setup.policy.avoid);
        let waiting = self.waiting_callers(key);
        for caller in waiting {
            self.place_request(caller);
        }
    }

    /// Records that a link is down.
    pub fn link_down(&mut self, now: Mono, link: LinkId) {
        self.advance_clock(now);
        self.lose_link(link, Loss::Broken);
    }

    /// Handles a message from a scheduler to which jobs are forwarded.
    pub fn handle_message(&mut self, now: Mono, link: LinkId, reply: &proto::ForwardReply) {
        self.advance_clock(now);
        let Some(key) = self.by_link.get(&link).copied() else {
            return;
        };
        if self.targets[key].record_reply(now, reply.ready) {
            let waiting = self.waiting_callers(key);
            for caller in waiting {
                self.place_request(caller);
            }
        }
        for end in &reply.ends {
            let outcome = JobOutcome::from_code(end.outcome);
            self.handle_end(key, CallerId(end.caller), outcome);
        }
    }

    /// Sets the schedulers of a partition, of which only the first few in the order of preference are kept. A
    /// scheduler that is no longer listed stays in use while its link is up and, if the list may be old, also
    /// until a connection attempt fails.
    pub fn set_schedulers(
        &mut self,
        now: Mono,
        partition: Partition,
        list: Vec<SchedulerAddress>,
        freshness: Freshness,
    ) {
        self.advance_clock(now);
        let mut list = list;
        list.sort_by_cached_key(|scheduler| self.rank_of(scheduler));
        list.truncate(self.setup.policy.candidates as usize);
        let mut keys: Vec<TargetKey> = Vec::new();
        for scheduler in list {
            keys.push(self.ensure_target(partition, scheduler));
        }
        let before = self.ranked.remove(&partition).unwrap_or_default();
        let unlisted = before.into_iter().filter(|key| !keys.contains(key));
        for key in unlisted.collect::<Vec<_>>() {
            if self.targets[key].is_retained(freshness) {
                keys.push(key);
            } else if let Some(target) = self.targets.remove(key) {
                self.by_name.remove(&target.name);
            }
        }
        keys.sort_by_key(|key| self.targets[*key].rank);
        self.ranked.insert(partition, keys);
        self.place_orphaned(partition);
    }

    /// Carries out everything that is due: closes links, sends requests again and requests lists of
    /// schedulers.
    pub fn tick(&mut self, now: Mono) {
        self.advance_clock(now);
        self.close_links();
        self.resend_due();
        self.request_reads();
    }

    /// Returns the actions to carry out, and forgets them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        debug_assert!(
            !self.is_closed || self.is_idle(),
            "a caller waits after the last answers"
        );
        for key in std::mem::take(&mut self.pending_targets) {
            if let Some((link, forward)) = self.targets.get_mut(key).and_then(Target::take_message)
            {
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
