//! Links to other schedulers: setup, duplicate links, loss, and silence.
//!
//! A peer has one link in use and may have spare ones, all of the same incarnation. When the link in use
//! breaks, a spare one takes over and everything that may have been lost is sent again; when the last one
//! breaks, callers' jobs that the peer held are run here.

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

/// Unregisters links and has them closed.
fn close_links(
    links: Vec<LinkId>,
    link_ends: &mut HashMap<LinkId, LinkEnd>,
    actions: &mut Vec<Action>,
) {
    for link in links {
        link_ends.remove(&link);
        actions.push(Action::Close(link));
    }
}

impl Scheduler {
    /// Registers a new link to a peer, and uses it from now on. Links to an earlier incarnation are closed
    /// first.
    pub(super) fn peer_up(&mut self, link: LinkId, greeting: &proto::Greeting) {
        let now = self.now;
        let earlier = self.peers.get(&greeting.name);
        if earlier.is_some_and(|p| p.link.is_some() && p.incarnation != greeting.incarnation) {
            self.disconnect_peer(&greeting.name);
        }
        let introduction = self.introduction();
        let end = LinkEnd::Peer(greeting.name.clone());
        self.link_ends.insert(link, end);
        let peer = self.peers.entry(greeting.name.clone()).or_default();
        let old = peer.link.replace(link);
        peer.spare_links.extend(old);
        if peer.incarnation != greeting.incarnation {
            peer.restarted_at = (peer.incarnation != 0).then_some(now);
        }
        peer.incarnation = greeting.incarnation;
        peer.address.clone_from(&greeting.address);
        peer.zone.clone_from(&greeting.zone);
        peer.settled = false;
        peer.linked_at = now;
        peer.roster_read = false;
        peer.last_heard = now;
        peer.has_reported = false;
        peer.leaving = false;
        peer.version = 0;
        peer.outgoing = introduction;
        peer.reset_sent_state();
        let member = proto::Member {
            name: greeting.name.clone(),
            address: greeting.address.clone(),
        };
        self.log(Kind::LinkUp, format!("scheduler {}", greeting.name));
        self.invalidate_unreachable();
        self.add_members(now, vec![member]);
    }

    /// Returns the first update on a link.
    fn introduction(&self) -> proto::PeerUpdate {
        proto::PeerUpdate {
            kept_cancels: self.cancels.proto(self.now),
            jobs: self.jobs_to_announce(),
            executors: self.linked_executors(),
            confined: self.confined_queues(),
            ..proto::PeerUpdate::default()
        }
    }

    /// Returns the jobs that are announced when a link comes up: those held here, and those that ended here
    /// so recently that a stop may not have reached every executor. A peer that has just started does not
    /// wait for silent executors whose schedulers have all listed their jobs, so an ended job that may still
    /// run must be in the list.
    fn jobs_to_announce(&self) -> Vec<u64> {
        let held = self.jobs.keys();
        let on = self.setup.policy.recovery.on;
        let lapse = self.setup.lapse;
        let may_run = |e: &Ended| on && e.began && self.now.since(e.at) < lapse;
        let ended = self.ended.iter().filter(|(_, e)| may_run(e));
        held.chain(ended.map(|(number, _)| number))
            .map(|number| number.0)
            .collect()
    }

    /// Handles the loss of one link to a peer: switches to a spare link, or gives the peer up if none is
    /// left.
    pub(super) fn peer_link_down(&mut self, name: &str, link: LinkId) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.spare_links.retain(|l| *l != link);
        let used = peer.link == Some(link);
        if used {
            peer.link = peer.spare_links.pop();
        }
        if peer.link.is_none() {
            return self.peer_down(name);
        }
        if used {
            self.repeat_introduction(name);
        }
        self.repeat_follows(name);
    }

    /// Repeats the first update on the link that is left, as messages on the broken one may not have arrived.
    fn repeat_introduction(&mut self, name: &str) {
        let introduction = self.introduction();
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.outgoing.jobs = introduction.jobs;
        peer.outgoing.executors = introduction.executors;
        peer.outgoing.confined = introduction.confined;
        peer.outgoing.kept_cancels = introduction.kept_cancels;
        peer.reset_sent_state();
    }

    /// Asks a peer again for the outcomes of its jobs that callers here wait for: the request or the answer
    /// may have been lost with a link. If the handoff of a job was lost, the peer does not know the job, and
    /// it is run here. Jobs whose handoff has not been sent yet are left out.
    fn repeat_follows(&mut self, name: &str) {
        let followed = self.following.iter().filter(|(_, f)| f.peer == name);
        let mut numbers: Vec<u64> = followed.map(|(number, _)| number.0).collect();
        numbers.sort_unstable();
        if let Some(peer) = self.peers.get_mut(name) {
            let unsent = &peer.outgoing.handed;
            numbers.retain(|number| unsent.iter().all(|h| h.job != *number));
            peer.outgoing.follow = numbers;
        }
    }

    /// Closes all links to a peer and treats it as lost.
    fn disconnect_peer(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            let closing: Vec<LinkId> = peer.spare_links.drain(..).chain(peer.link.take()).collect();
            close_links(closing, &mut self.link_ends, &mut self.actions);
        }
        self.peer_down(name);
    }

    /// Closes the links to all peers.
    pub(super) fn drop_peer_links(&mut self) {
        let linked = self.peers.iter().filter(|(_, p)| p.link.is_some());
        let names: Vec<String> = linked.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.disconnect_peer(&name);
        }
    }

    /// Handles the loss of the last link to a peer, and takes over its jobs that callers here wait for.
    fn peer_down(&mut self, name: &str) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.link = None;
        self.contention.forget(name);
        self.loads.forget(name);
        let unheard = self.now.since(peer.last_heard);
        let abrupt = unheard < self.setup.policy.claims.pause;
        if abrupt && !peer.leaving {
            peer.lost_at = Some(self.now);
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

    /// Disconnects peers that have been silent for too long, and forgets those that have been gone for long.
    pub(super) fn watch_peers(&mut self) {
        let now = self.now;
        let bound = self.setup.silence;
        let forgotten = self.setup.policy.claims.forgotten;
        let silent = |p: &Peer| p.link.is_some() && self.silence(p.last_heard) >= bound;
        let names = self.peers.iter().filter(|(_, p)| silent(p));
        let names: Vec<String> = names.map(|(n, _)| n.clone()).collect();
        self.peers
            .retain(|_, p| p.link.is_some() || now.since(p.last_heard) < forgotten);
        for name in names {
            self.disconnect_peer(&name);
        }
    }
}
