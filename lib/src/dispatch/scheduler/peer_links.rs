//! Links to other schedulers: they come up, are doubled, break, and belong to a life of the peer.

use std::collections::HashMap;

use super::Action;
use super::Ended;
use super::LinkEnd;
use super::Scheduler;
use super::peers::Peer;
use crate::dispatch::model::JobNumber;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// Closes links.
fn close(links: Vec<LinkId>, ends: &mut HashMap<LinkId, LinkEnd>, actions: &mut Vec<Action>) {
    for link in links {
        ends.remove(&link);
        actions.push(Action::Close(link));
    }
}

impl Scheduler {
    pub(super) fn peer_up(&mut self, link: LinkId, greeting: &proto::Greeting) {
        let now = self.now;
        let earlier = self.peers.get(&greeting.name);
        if earlier.is_some_and(|p| p.link.is_some() && p.incarnation != greeting.incarnation) {
            self.give_up_peer(&greeting.name);
        }
        let introduction = self.introduction(&greeting.name);
        let end = LinkEnd::Peer(greeting.name.clone());
        self.ends.insert(link, end);
        let peer = self.peers.entry(greeting.name.clone()).or_default();
        let old = peer.link.replace(link);
        peer.spare.extend(old);
        if peer.incarnation != greeting.incarnation {
            peer.renewed = (peer.incarnation != 0).then_some(now);
        }
        peer.incarnation = greeting.incarnation;
        peer.address.clone_from(&greeting.address);
        peer.zone.clone_from(&greeting.zone);
        peer.settled = false;
        peer.linked_at = now;
        peer.roster_read = false;
        peer.heard = now;
        peer.met = false;
        peer.leaving = false;
        peer.version = 0;
        peer.out = introduction;
        peer.tell_all_anew();
        let member = proto::Member {
            name: greeting.name.clone(),
            address: greeting.address.clone(),
        };
        self.log(Kind::LinkUp, format!("scheduler {}", greeting.name));
        self.invalidate_unreachable();
        self.add_members(now, vec![member]);
    }

    /// What a peer is told first on a link.
    fn introduction(&self, name: &str) -> proto::PeerUpdate {
        proto::PeerUpdate {
            cancel: self.cancels_to_repeat(name),
            jobs: self.jobs_to_name(),
            executors: self.linked_executors(),
            confined: self.confined_queues(),
            ..proto::PeerUpdate::default()
        }
    }

    /// The jobs that a peer is told of as its link comes up: those that are held, and those that have ended here while a
    /// stop may not have reached every executor. A peer that waits for no silent executor must know of these.
    fn jobs_to_name(&self) -> Vec<u64> {
        let held = self.jobs.keys();
        let on = self.setup.policy.recovery.on;
        let lapse = self.setup.lapse;
        let lasts = |e: &Ended| on && e.began && self.now.since(e.at) < lapse;
        let ended = self.ended.iter().filter(|(_, e)| lasts(e));
        held.chain(ended.map(|(number, _)| number))
            .map(|number| number.0)
            .collect()
    }

    pub(super) fn peer_link_down(&mut self, name: &str, link: LinkId) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.spare.retain(|l| *l != link);
        let used = peer.link == Some(link);
        if used {
            peer.link = peer.spare.pop();
        }
        if peer.link.is_none() {
            return self.peer_down(name);
        }
        if used {
            self.introduce_again(name);
        }
        self.follow_again(name);
    }

    /// What was sent on a link that broke may not have arrived: over the one that is left, the peer is
    /// told anew what it was told on that one.
    fn introduce_again(&mut self, name: &str) {
        let introduction = self.introduction(name);
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.out.jobs = introduction.jobs;
        peer.out.executors = introduction.executors;
        peer.out.confined = introduction.confined;
        peer.out.cancel = introduction.cancel;
        peer.tell_all_anew();
    }

    /// Asks a peer again for the ends of its jobs that callers here wait for: the request may have been lost
    /// with a link, or the answer with another one. A handed job that was lost runs here then.
    fn follow_again(&mut self, name: &str) {
        let followed = self.following.iter().filter(|(_, f)| f.peer == name);
        let mut numbers: Vec<u64> = followed.map(|(number, _)| number.0).collect();
        numbers.sort_unstable();
        if let Some(peer) = self.peers.get_mut(name) {
            let unsent = &peer.out.handed;
            numbers.retain(|number| unsent.iter().all(|h| h.job != *number));
            peer.out.follow = numbers;
        }
    }

    /// Closes all links to a peer that does not answer on them.
    fn give_up_peer(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            let closing: Vec<LinkId> = peer.spare.drain(..).chain(peer.link.take()).collect();
            close(closing, &mut self.ends, &mut self.actions);
        }
        self.peer_down(name);
    }

    /// Gives up the links to all peers.
    pub(super) fn drop_peer_links(&mut self) {
        let linked = self.peers.iter().filter(|(_, p)| p.link.is_some());
        let names: Vec<String> = linked.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.give_up_peer(&name);
        }
    }

    fn peer_down(&mut self, name: &str) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.link = None;
        self.contention.forget(name);
        self.loads.forget(name);
        let unheard = self.now.since(peer.heard);
        let abrupt = unheard < self.setup.policy.claims.pause;
        if abrupt && !peer.leaving {
            peer.lost = Some(self.now);
        }
        let unheard = crate::clock::millis(unheard);
        let detail = format!("scheduler {name}, heard {unheard} ms ago");
        self.log(Kind::LinkDown, detail);
        self.invalidate_unreachable();
        let orphans = self.following.iter().filter(|(_, f)| f.peer == name);
        let orphans: Vec<JobNumber> = orphans.map(|(n, _)| *n).collect();
        for number in orphans {
            self.take_over(number);
        }
    }

    /// Closes silent links to peers.
    pub(super) fn watch_peers(&mut self) {
        let now = self.now;
        let bound = self.setup.silence;
        let forgotten = self.setup.policy.claims.forgotten;
        let silent = |p: &Peer| p.link.is_some() && self.silence(p.heard) >= bound;
        let names = self.peers.iter().filter(|(_, p)| silent(p));
        let names: Vec<String> = names.map(|(n, _)| n.clone()).collect();
        self.peers
            .retain(|_, p| p.link.is_some() || now.since(p.heard) < forgotten);
        for name in names {
            self.give_up_peer(&name);
        }
    }
}
