//! The schedulers to which requests can be forwarded: their order of preference, their links, and which of
//! them respond.
//!
//! Links are opened when a request needs one and closed when they are idle or silent.

use slotmap::new_key_type;

use super::Action;
use super::Forwarder;
use super::Freshness;
use super::SchedulerAddress;
use crate::dispatch::partition::Partition;
use crate::dispatch::rank::Rank;
use crate::dispatch::scheduler::CallerId;
use crate::prelude::*;
use crate::protos::dispatch as proto;

new_key_type! {
    /// The key of a [`Target`].
    pub struct TargetKey;
}

/// How a link was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// The connection broke: either the other process has ended, or its peers have lost their links to it as
    /// well.
    Broken,
    /// Nothing is received on it any more, or it was idle.
    Silent,
}

/// A scheduler of another partition.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub name: String,
    pub rank: Rank,
    address: String,
    link: Option<LinkId>,
    /// Whether it has reported on this link whether it is ready.
    has_reported: bool,
    dialling: bool,
    /// Whether the last connection attempt failed.
    connect_failed: bool,
    /// It is not chosen before this time, since it could not be reached or its link was lost.
    avoided_until: Mono,
    ready: bool,
    last_heard: Mono,
    /// Since when a message is expected from it, which is its first one on the link or an answer; `None` if
    /// none is expected.
    waiting_since: Option<Mono>,
    last_used: Mono,
    /// The number of requests that were sent and are not answered.
    unanswered: usize,
    /// The message that is sent next.
    outgoing: proto::Forward,
}

impl Target {
    pub fn link_up(&mut self, now: Mono, link: LinkId) {
        self.link = Some(link);
        self.has_reported = false;
        self.dialling = false;
        self.connect_failed = false;
        self.avoided_until = Mono::default();
        self.last_heard = now;
        self.last_used = now;
        self.waiting_since = Some(now);
        self.outgoing = proto::Forward::default();
    }

    /// Records that it could not be reached, so that it is not chosen before `until`.
    pub fn mark_unreachable(&mut self, until: Mono) {
        self.dialling = false;
        self.connect_failed = true;
        self.avoided_until = until;
    }

    /// Returns whether it stays in use although a list of this freshness does not contain it.
    pub fn is_retained(&self, freshness: Freshness) -> bool {
        let may_be_alive = freshness == Freshness::Recent && !self.connect_failed;
        self.link.is_some() || may_be_alive
    }

    pub fn has_link(&self) -> bool {
        self.link.is_some()
    }

    /// Returns whether requests can be sent to it.
    pub fn is_linked(&self) -> bool {
        self.link.is_some() && self.has_reported
    }

    /// Records a message from it. Returns whether it is the first on this link.
    pub fn record_reply(&mut self, now: Mono, ready: bool) -> bool {
        self.last_heard = now;
        self.ready = ready;
        let first = !std::mem::replace(&mut self.has_reported, true);
        if first && self.unanswered == 0 {
            self.waiting_since = None;
        }
        first
    }

    /// Returns how long nothing was received from it while a message was expected, counted at the earliest
    /// from the end of the last pause of this process.
    pub fn silent_for(&self, now: Mono, awake_since: Mono) -> Duration {
        let since = self
            .waiting_since
            .map(|at| at.max(self.last_heard).max(awake_since));
        since.map(|at| now.since(at)).unwrap_or_default()
    }

    /// Adds a job or a cancel to the next message.
    pub fn enqueue(&mut self, now: Mono, forward: proto::Forward) {
        self.outgoing.jobs.extend(forward.jobs);
        self.outgoing.cancels.extend(forward.cancels);
        self.unanswered += 1;
        self.last_used = now;
        self.waiting_since.get_or_insert(now);
    }

    /// Records that a request is answered, or that its answer is no longer needed.
    pub fn finish_request(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
        if self.unanswered == 0 {
            self.waiting_since = None;
        }
    }

    /// Withdraws the request of a caller that has left: drops a job that was not sent yet, or else reports
    /// that the caller has left.
    pub fn withdraw(&mut self, caller: CallerId) {
        self.finish_request();
        let unsent = self.outgoing.jobs.len();
        self.outgoing.jobs.retain(|job| job.caller != caller.0);
        if self.link.is_some() && self.outgoing.jobs.len() == unsent {
            self.outgoing.left.push(caller.0);
        }
    }

    /// Takes the next message and the link to send it on; `None` if there is nothing to send.
    pub fn take_message(&mut self) -> Option<(LinkId, proto::Forward)> {
        let link = self.link?;
        let outgoing = &self.outgoing;
        let is_empty =
            outgoing.jobs.is_empty() && outgoing.left.is_empty() && outgoing.cancels.is_empty();
        (!is_empty).then(|| (link, std::mem::take(&mut self.outgoing)))
    }

    fn lose_link(&mut self) {
        self.link = None;
        self.has_reported = false;
        self.unanswered = 0;
        self.waiting_since = None;
        self.outgoing = proto::Forward::default();
    }
}

impl Forwarder {
    /// Returns the rank of a scheduler in the order of preference.
    pub(super) fn rank_of(&self, scheduler: &SchedulerAddress) -> Rank {
        let same_zone = scheduler.zone == self.setup.zone;
        Rank::of(&self.setup.name, &scheduler.name, same_zone)
    }

    /// Withdraws from a target the request of a caller that has left.
    pub(super) fn withdraw(&mut self, key: TargetKey, caller: CallerId) {
        if let Some(target) = self.targets.get_mut(key) {
            target.withdraw(caller);
            self.pending_targets.push(key);
        }
    }

    /// Returns the key of the target with this name, and adds the target if it is not known. If its address
    /// has changed, it may be chosen again at once.
    pub(super) fn ensure_target(
        &mut self,
        partition: Partition,
        scheduler: SchedulerAddress,
    ) -> TargetKey {
        if let Some(key) = self.by_name.get(&scheduler.name).copied() {
            let target = &mut self.targets[key];
            if target.address != scheduler.address {
                target.address = scheduler.address;
                target.avoided_until = Mono::default();
            }
            return key;
        }
        debug_assert_eq!(self.partitions.of_name(&scheduler.name), partition);
        let rank = self.rank_of(&scheduler);
        let name = scheduler.name.clone();
        let key = self.targets.insert(Target {
            name: scheduler.name,
            rank,
            address: scheduler.address,
            link: None,
            has_reported: false,
            dialling: false,
            connect_failed: false,
            avoided_until: Mono::default(),
            ready: true,
            last_heard: Mono::default(),
            waiting_since: None,
            last_used: Mono::default(),
            unanswered: 0,
            outgoing: proto::Forward::default(),
        });
        self.by_name.insert(name, key);
        key
    }

    /// Returns the known schedulers of the partition that a process with this name belongs to.
    pub fn schedulers_beside(&self, name: &str) -> Vec<proto::Member> {
        let ranked = self.ranked.get(&self.partitions.of_name(name));
        let keys = ranked.into_iter().flatten();
        let targets = keys.filter_map(|key| self.targets.get(*key));
        let member = |t: &Target| proto::Member {
            name: t.name.clone(),
            address: t.address.clone(),
        };
        targets.map(member).collect()
    }

    /// Chooses the scheduler of a partition for a request: the first in the order of preference that responds
    /// and is ready, or the first that responds if none is ready. Dials that one if it has no link. Until it
    /// has a link and has reported its state, a ready one that is linked is chosen instead, if there is one.
    /// Returns `None` if no scheduler can be reached.
    pub(super) fn choose_target(&mut self, partition: Partition) -> Option<TargetKey> {
        let now = self.now;
        let silence = self.setup.policy.silence;
        let ranked = self.ranked.get(&partition)?;
        let is_usable = |key: &&TargetKey| {
            let target = &self.targets[**key];
            let responds = target.silent_for(now, self.awake_since) < silence;
            responds && (target.has_link() || target.avoided_until <= now)
        };
        let usable: Vec<TargetKey> = ranked.iter().filter(is_usable).copied().collect();
        let is_ready = |key: &&TargetKey| self.targets[**key].ready;
        let first = usable.iter().find(is_ready).or(usable.first()).copied()?;
        let is_linked = |key: &&TargetKey| self.targets[**key].is_linked() && is_ready(key);
        let linked = usable.iter().find(is_linked).copied();
        if !self.targets[first].has_link() {
            self.dial(first);
        }
        Some(linked.unwrap_or(first))
    }

    fn dial(&mut self, key: TargetKey) {
        let target = &mut self.targets[key];
        if !std::mem::replace(&mut target.dialling, true) {
            let (name, address) = (target.name.clone(), target.address.clone());
            self.actions.push(Action::Dial(name, address));
        }
    }

    /// Drops a link. Requests that were sent on it are sent to another scheduler later.
    pub(super) fn lose_link(&mut self, link: LinkId, loss: Loss) {
        let Some(key) = self.by_link.remove(&link) else {
            return;
        };
        let target = &mut self.targets[key];
        target.lose_link();
        target.avoided_until = self.now + self.setup.policy.avoid;
        self.reassign_requests(key, loss);
    }

    /// Closes links that are idle or silent. Requests without an answer are sent to other schedulers once a
    /// job may be resubmitted.
    pub(super) fn close_links(&mut self) {
        let now = self.now;
        let policy = self.setup.policy;
        let should_close = |target: &Target| {
            let is_idle = target.unanswered == 0 && now.since(target.last_used) >= policy.idle;
            is_idle || target.silent_for(now, self.awake_since) >= policy.again_silent
        };
        let closing = self
            .by_link
            .iter()
            .filter(|(_, key)| should_close(&self.targets[**key]));
        let links: Vec<LinkId> = closing.map(|(link, _)| *link).collect();
        for link in links {
            self.actions.push(Action::Close(link));
            self.lose_link(link, Loss::Silent);
        }
    }

    /// Requests lists of schedulers: up-to-date ones for partitions where none could be reached, and in turn
    /// possibly older ones for all others.
    pub(super) fn request_reads(&mut self) {
        let policy = self.setup.policy;
        let since = |at: Mono| self.now.since(at);
        let is_due = |wait| self.last_read.is_none_or(|at| since(at) >= wait);
        if is_due(policy.avoid) && !self.stale_partitions.is_empty() {
            let stale = std::mem::take(&mut self.stale_partitions);
            self.last_read = Some(self.now);
            let read = |p| Action::Read(p, Freshness::Newest);
            return self.actions.extend(stale.into_iter().map(read));
        }
        if !is_due(policy.refresh) {
            return;
        }
        self.last_read = Some(self.now);
        let own = self.own();
        let others: Vec<Partition> = self.partitions.all().filter(|p| *p != own).collect();
        let after = |p: &&Partition| self.last_partition.is_none_or(|last| **p > last);
        let next = others.iter().find(after).or(others.first()).copied();
        self.last_partition = next;
        let read = |p| Action::Read(p, Freshness::Recent);
        self.actions.extend(next.map(read));
    }
}
