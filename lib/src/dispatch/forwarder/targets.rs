//! The schedulers to which jobs can be forwarded: their order, their links, and which of them answer.

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
    /// A scheduler of another partition.
    pub struct TargetKey;
}

/// How a link was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// The connection broke: the other end has ended, or its peers have lost links as well.
    Broken,
    /// Nothing came on it any more.
    Silent,
}

/// A scheduler of another partition.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub name: String,
    pub rank: Rank,
    address: String,
    link: Option<LinkId>,
    /// Whether it has said on this link whether it is ready.
    met: bool,
    dialling: bool,
    /// Whether the last try to reach it failed.
    connect_failed: bool,
    /// It is not chosen before, since it could not be reached.
    avoided_until: Mono,
    ready: bool,
    heard: Mono,
    /// Since when something is expected of it; none if nothing was sent that is not answered.
    waiting_since: Option<Mono>,
    used: Mono,
    /// Requests sent and not answered.
    open: usize,
    out: proto::Forward,
}

impl Target {
    pub fn link_up(&mut self, now: Mono, link: LinkId) {
        self.link = Some(link);
        self.met = false;
        self.dialling = false;
        self.connect_failed = false;
        self.avoided_until = Mono::default();
        self.heard = now;
        self.used = now;
        self.waiting_since = Some(now);
        self.out = proto::Forward::default();
    }

    pub fn avoid(&mut self, until: Mono) {
        self.dialling = false;
        self.connect_failed = true;
        self.avoided_until = until;
    }

    /// Whether it stays though a list does not name it.
    pub fn outlasts(&self, freshness: Freshness) -> bool {
        let may_be_there = freshness == Freshness::Recent && !self.connect_failed;
        self.link.is_some() || may_be_there
    }

    pub fn has_link(&self) -> bool {
        self.link.is_some()
    }

    /// Whether something can be sent to it.
    pub fn is_linked(&self) -> bool {
        self.link.is_some() && self.met
    }

    /// Notes a word of it; whether it is the first on this link.
    pub fn hear(&mut self, now: Mono, ready: bool) -> bool {
        self.heard = now;
        self.ready = ready;
        let first = !std::mem::replace(&mut self.met, true);
        if first && self.open == 0 {
            self.waiting_since = None;
        }
        first
    }

    /// For how long nothing was heard from it though it has something to answer, while this process listened.
    pub fn silence(&self, now: Mono, awake_since: Mono) -> Duration {
        let since = self
            .waiting_since
            .map(|at| at.max(self.heard).max(awake_since));
        since.map(|at| now.since(at)).unwrap_or_default()
    }

    /// Sends it a job with the next message, or a job's cancel.
    pub fn push(&mut self, now: Mono, forward: proto::Forward) {
        self.out.jobs.extend(forward.jobs);
        self.out.cancels.extend(forward.cancels);
        self.open += 1;
        self.used = now;
        self.waiting_since.get_or_insert(now);
    }

    /// Notes that a request is answered, or that it is not expected to be any more.
    pub fn settle(&mut self) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.waiting_since = None;
        }
    }

    /// Takes back what a caller that has left has handed in.
    pub fn recall(&mut self, caller: CallerId) {
        self.settle();
        let unsent = self.out.jobs.len();
        self.out.jobs.retain(|job| job.caller != caller.0);
        if self.link.is_some() && self.out.jobs.len() == unsent {
            self.out.left.push(caller.0);
        }
    }

    /// The message to send now.
    pub fn due(&mut self) -> Option<(LinkId, proto::Forward)> {
        let link = self.link?;
        let out = &self.out;
        let empty = out.jobs.is_empty() && out.left.is_empty() && out.cancels.is_empty();
        (!empty).then(|| (link, std::mem::take(&mut self.out)))
    }

    fn lose_link(&mut self) {
        self.link = None;
        self.met = false;
        self.open = 0;
        self.waiting_since = None;
        self.out = proto::Forward::default();
    }
}

impl Forwarder {
    /// The place of a scheduler in the order in which they are chosen.
    pub(super) fn rank(&self, scheduled: &SchedulerAddress) -> Rank {
        let same_zone = scheduled.zone == self.setup.zone;
        Rank::of(&self.setup.name, &scheduled.name, same_zone)
    }

    /// Takes back from a target what a caller has handed in that has left.
    pub(super) fn recall(&mut self, key: TargetKey, caller: CallerId) {
        if let Some(target) = self.targets.get_mut(key) {
            target.recall(caller);
            self.pending.push(key);
        }
    }

    /// The target of this name, which may not have been known. Another address makes it another one.
    pub(super) fn target_named(
        &mut self,
        partition: Partition,
        scheduled: SchedulerAddress,
    ) -> TargetKey {
        if let Some(key) = self.named.get(&scheduled.name).copied() {
            let target = &mut self.targets[key];
            if target.address != scheduled.address {
                target.address = scheduled.address;
                target.avoided_until = Mono::default();
            }
            return key;
        }
        debug_assert_eq!(self.partitions.of_name(&scheduled.name), partition);
        let rank = self.rank(&scheduled);
        let name = scheduled.name.clone();
        let key = self.targets.insert(Target {
            name: scheduled.name,
            rank,
            address: scheduled.address,
            link: None,
            met: false,
            dialling: false,
            connect_failed: false,
            avoided_until: Mono::default(),
            ready: true,
            heard: Mono::default(),
            waiting_since: None,
            used: Mono::default(),
            open: 0,
            out: proto::Forward::default(),
        });
        self.named.insert(name, key);
        key
    }

    /// The schedulers of the partition that a process of this name belongs to.
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

    /// The scheduler of a partition that a request goes to: the first in its order that is ready and answers. While that
    /// one is not linked yet, one that is; `None` if there is nobody to be reached.
    pub(super) fn choose(&mut self, partition: Partition) -> Option<TargetKey> {
        let now = self.now;
        let silence = self.setup.policy.silence;
        let ranked = self.ranked.get(&partition)?;
        let answers = |key: &&TargetKey| {
            let target = &self.targets[**key];
            let answers = target.silence(now, self.awake_since) < silence;
            answers && (target.has_link() || target.avoided_until <= now)
        };
        let usable: Vec<TargetKey> = ranked.iter().filter(answers).copied().collect();
        let ready = |key: &&TargetKey| self.targets[**key].ready;
        let first = usable.iter().find(ready).or(usable.first()).copied()?;
        let linked = |key: &&TargetKey| self.targets[**key].is_linked() && ready(key);
        let linked = usable.iter().find(linked).copied();
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

    /// Gives up a link. What was sent on it goes to another scheduler later.
    pub(super) fn lose_link(&mut self, link: LinkId, loss: Loss) {
        let Some(key) = self.linked.remove(&link) else {
            return;
        };
        let target = &mut self.targets[key];
        target.lose_link();
        target.avoided_until = self.now + self.setup.policy.avoid;
        self.unsettle(key, loss);
    }

    /// Closes links over which nothing is forwarded any more, and such on which nothing comes: what was sent there goes
    /// to others once a job may come again.
    pub(super) fn close_links(&mut self) {
        let now = self.now;
        let policy = self.setup.policy;
        let over = |target: &Target| {
            let idle = target.open == 0 && now.since(target.used) >= policy.idle;
            idle || target.silence(now, self.awake_since) >= policy.again_silent
        };
        let over = self
            .linked
            .iter()
            .filter(|(_, key)| over(&self.targets[**key]));
        let links: Vec<LinkId> = over.map(|(link, _)| *link).collect();
        for link in links {
            self.actions.push(Action::Close(link));
            self.lose_link(link, Loss::Silent);
        }
    }

    /// Has the schedulers read of partitions where none could be reached, and of one partition after the other.
    pub(super) fn read_next(&mut self) {
        let policy = self.setup.policy;
        let since = |at: Mono| self.now.since(at);
        let rested = |wait| self.read_at.is_none_or(|at| since(at) >= wait);
        if rested(policy.avoid) && !self.wanted.is_empty() {
            let wanted = std::mem::take(&mut self.wanted);
            self.read_at = Some(self.now);
            let read = |p| Action::Read(p, Freshness::Newest);
            return self.actions.extend(wanted.into_iter().map(read));
        }
        if !rested(policy.refresh) {
            return;
        }
        self.read_at = Some(self.now);
        let own = self.own();
        let others: Vec<Partition> = self.partitions.all().filter(|p| *p != own).collect();
        let after = |p: &&Partition| self.read_last.is_none_or(|last| **p > last);
        let next = others.iter().find(after).or(others.first()).copied();
        self.read_last = next;
        let read = |p| Action::Read(p, Freshness::Recent);
        self.actions.extend(next.map(read));
    }
}
