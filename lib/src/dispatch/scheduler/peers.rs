//! Other schedulers: links, and who has which job. Following them stands in `following`.

use std::collections::HashMap;

use bytes::Bytes;

use super::Action;
use super::Ended;
use super::LinkEnd;
use super::Scheduler;
use super::members::Told;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// Another scheduler.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// The link that messages are sent on.
    pub link: Option<LinkId>,
    /// Further links, as when both have connected to each other at once.
    spare: Vec<LinkId>,
    incarnation: u64,
    /// When it was met in another incarnation than before.
    pub renewed: Option<Mono>,
    address: String,
    pub heard: Mono,
    /// Whether its first message on a link has come, which says what it has at work.
    pub met: bool,
    /// When its last link broke, though it had been heard just before and not said that it leaves.
    pub lost: Option<Mono>,
    leaving: bool,
    zone: String,
    /// Whether it takes jobs without claiming them for having just started.
    settled: bool,
    /// When its present link came up.
    pub linked_at: Mono,
    /// Whether the store has told it which executors there are.
    roster_read: bool,
    pub version: u64,
    /// What it is told next.
    pub out: proto::PeerUpdate,
    last_sent: Mono,
    members_told: Told,
    /// The edition of what is known of zones that it was told on this link.
    zones_told: u64,
}

/// Closes links.
fn close(links: Vec<LinkId>, ends: &mut HashMap<LinkId, LinkEnd>, actions: &mut Vec<Action>) {
    for link in links {
        ends.remove(&link);
        actions.push(Action::Close(link));
    }
}

impl Peer {
    /// Whether something is gathered for it that goes out at once, or as soon as news may.
    pub fn is_hurried(&self) -> bool {
        let out = &self.out;
        self.link.is_some() && (self.is_urgent() || !out.jobs.is_empty())
    }

    fn is_urgent(&self) -> bool {
        let out = &self.out;
        !(out.follow.is_empty()
            && out.ends.is_empty()
            && out.cancel.is_empty()
            && out.catalog.is_empty()
            && out.executors.is_empty()
            && out.handed.is_empty()
            && out.roster.is_empty()
            && !out.roster_wanted
            && out.unfollow.is_empty()
            && !out.catalog_wanted)
    }

    /// Asks it for its catalog with the next message, which goes out at once.
    pub fn want_catalog(&mut self) {
        self.out.catalog_wanted = true;
    }

    /// Whether it takes jobs, and goes on doing so.
    pub fn stays(&self) -> bool {
        self.settled && !self.leaving
    }

    /// Whether it is linked and the store has told it which executors there are.
    pub fn reads_roster(&self) -> bool {
        self.link.is_some() && self.roster_read
    }

    /// Whether it is linked in this incarnation and has said which jobs it has.
    pub fn is_met_in(&self, incarnation: u64) -> bool {
        self.link.is_some() && self.met && self.incarnation == incarnation
    }

    /// Whether it is linked and has to claim jobs for having just started.
    pub fn is_starting(&self) -> bool {
        self.link.is_some() && !self.settled
    }

    /// Whether it is in an availability zone.
    pub fn is_in(&self, zone: &str) -> bool {
        self.zone == zone
    }

    /// Hands it a job with the next message, which goes out at once.
    pub fn hand(&mut self, job: proto::HandedJob) {
        self.out.handed.push(job);
    }

    /// Tells it with the next message what falls to a queue of a crash.
    pub fn tell_blame(&mut self, queue: &str, permille: u32) {
        if self.link.is_none() {
            return;
        }
        let blames = &mut self.out.blames;
        match blames.iter_mut().find(|b| b.queue == queue) {
            Some(blame) => blame.blame += permille,
            None => blames.push(proto::QueueBlame {
                queue: queue.to_owned(),
                blame: permille,
            }),
        }
    }

    /// Sends it a catalog with the next message, which goes out at once.
    pub fn send_catalog(&mut self, bytes: Bytes) {
        self.out.catalog = bytes;
    }
}

impl Scheduler {
    /// A link is up.
    pub fn link_up(&mut self, now: Mono, link: LinkId, greeting: &proto::Greeting) {
        self.enter(now);
        if greeting.executor {
            self.executor_up(link, greeting);
        } else {
            self.peer_up(link, greeting);
        }
    }

    /// A link is down.
    pub fn link_down(&mut self, now: Mono, link: LinkId) {
        self.enter(now);
        match self.ends.remove(&link) {
            Some(LinkEnd::Executor(key)) => self.executor_down(key),
            Some(LinkEnd::Peer(name)) => self.peer_link_down(&name, link),
            None => {}
        }
    }

    /// A message has come in.
    pub fn message(&mut self, now: Mono, link: LinkId, body: proto::frame::Body) {
        self.enter(now);
        match body {
            proto::frame::Body::Update(update) => {
                if let Some(LinkEnd::Executor(key)) = self.ends.get(&link) {
                    let key = *key;
                    self.executor_update(key, update);
                }
            }
            proto::frame::Body::Peer(update) => {
                if let Some(LinkEnd::Peer(name)) = self.ends.get(&link) {
                    let name = name.clone();
                    self.peer_update(&name, update);
                }
            }
            _ => {}
        }
    }

    /// Whether a link to the peer at this address is up.
    pub fn is_linked_to(&self, address: &str) -> bool {
        let mut peers = self.peers.values();
        peers.any(|p| p.link.is_some() && p.address == address)
    }

    /// Whether a peer in the own zone is linked that takes jobs and has not just started.
    pub(super) fn has_settled_neighbour(&self) -> bool {
        let mut linked = self.peers.values().filter(|p| p.link.is_some());
        linked.any(|p| p.settled && p.zone == self.setup.zone)
    }

    /// Whether a link to this peer is up.
    pub fn is_linked(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|p| p.link.is_some())
    }

    /// A peer that has a job and can be asked about it: the one that said so last.
    pub(super) fn linked_holder(&self, number: JobNumber) -> Option<String> {
        let mut holders = self.announced.holders(number);
        holders.find(|name| self.is_linked(name)).map(str::to_owned)
    }

    fn peer_up(&mut self, link: LinkId, greeting: &proto::Greeting) {
        let now = self.now;
        let jobs = self.jobs_to_name();
        let executors = self.linked_executors();
        let confined = self.confined_queues();
        let end = LinkEnd::Peer(greeting.name.clone());
        self.ends.insert(link, end);
        let peer = self.peers.entry(greeting.name.clone()).or_default();
        let old = peer.link.replace(link);
        if peer.incarnation == greeting.incarnation {
            peer.spare.extend(old);
        } else {
            peer.renewed = (peer.incarnation != 0).then_some(now);
            let closing: Vec<LinkId> = peer.spare.drain(..).chain(old).collect();
            close(closing, &mut self.ends, &mut self.actions);
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
        peer.out = proto::PeerUpdate {
            jobs,
            executors,
            confined,
            ..proto::PeerUpdate::default()
        };
        peer.last_sent = Mono::default();
        peer.members_told = Told::default();
        peer.zones_told = 0;
        let member = proto::Member {
            name: greeting.name.clone(),
            address: greeting.address.clone(),
        };
        self.log(Kind::LinkUp, format!("scheduler {}", greeting.name));
        self.refresh_doubt();
        self.add_members(now, vec![member]);
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

    fn peer_link_down(&mut self, name: &str, link: LinkId) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.spare.retain(|l| *l != link);
        if peer.link == Some(link) {
            peer.link = peer.spare.pop();
        }
        if peer.link.is_none() {
            self.peer_down(name);
        }
    }

    /// Gives up the links to all peers.
    pub(super) fn drop_peer_links(&mut self) {
        let linked = self.peers.iter().filter(|(_, p)| p.link.is_some());
        let names: Vec<String> = linked.map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(peer) = self.peers.get_mut(&name) {
                let closing: Vec<LinkId> = peer.spare.drain(..).chain(peer.link.take()).collect();
                close(closing, &mut self.ends, &mut self.actions);
            }
            self.peer_down(&name);
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
        self.refresh_doubt();
        let orphans = self.following.iter().filter(|(_, f)| f.peer == name);
        let orphans: Vec<JobNumber> = orphans.map(|(n, _)| *n).collect();
        for number in orphans {
            self.take_over(number);
        }
    }

    fn peer_update(&mut self, name: &str, update: proto::PeerUpdate) {
        let now = self.now;
        self.note_gap();
        if let Some(peer) = self.peers.get_mut(name) {
            peer.heard = now;
            peer.met = true;
            peer.version = update.catalog_version;
            peer.leaving = update.leaving;
            peer.settled = update.settled;
            peer.roster_read = update.roster_read;
        }
        self.hear_backlog(name, &update.backlog);
        self.hear_load(name, &update);
        for job in update.jobs {
            self.note_rival(JobNumber(job));
            self.announced.note(JobNumber(job), name, now);
        }
        for job in update.follow {
            self.follow_request(name, JobNumber(job));
        }
        for end in update.ends {
            let outcome = JobOutcome::from_code(end.outcome);
            self.followed_end(name, JobNumber(end.job), outcome);
        }
        for job in &update.handed {
            self.take_handed(name, job);
        }
        for job in update.cancel {
            self.cancel(now, JobNumber(job));
        }
        for job in update.unfollow {
            self.hear_unfollow(name, JobNumber(job));
        }
        if !update.members.is_empty() {
            self.add_members(now, update.members);
        }
        update
            .blames
            .iter()
            .for_each(|blame| self.hear_blame(blame));
        update
            .confined
            .iter()
            .for_each(|queue| self.hear_confined(queue));
        for state in &update.zones {
            self.hear_of_zone(state, name);
        }
        self.hear_of_executors(&update.executors);
        for silent in update.silent {
            self.hear_silent(silent);
        }
        self.hear_roster(name, update.roster);
        if update.roster_wanted {
            self.roster_wanted_by(name);
        }
        if !update.catalog.is_empty() {
            self.read_catalog(name, &update.catalog);
        }
        if update.catalog_wanted {
            self.hand_out_catalog(name);
        }
    }

    /// Tells a peer how a job ended that it follows.
    pub(super) fn tell_peer_end(&mut self, name: &str, number: JobNumber, outcome: JobOutcome) {
        if let Some(peer) = self.peers.get_mut(name) {
            let (job, outcome) = (number.0, outcome.code());
            peer.out.ends.push(proto::JobEnd { job, outcome });
        }
    }

    /// Tells the peers of an executor that has linked here. Only its name: all names on each link made
    /// 540 messages of 2 KB when six executors joined ten schedulers with eighty others.
    pub(super) fn tell_executor(&mut self, name: &str) {
        for peer in self.peers.values_mut() {
            if peer.link.is_some() && !peer.out.executors.iter().any(|n| n == name) {
                peer.out.executors.push(name.to_owned());
            }
        }
    }

    /// Sends every peer a heartbeat at once.
    pub(super) fn hurry_heartbeats(&mut self) {
        for peer in self.peers.values_mut() {
            peer.last_sent = Mono::default();
        }
        self.sweep = true;
    }

    /// Tells every peer of a job that was taken.
    pub(super) fn announce(&mut self, number: JobNumber) {
        for peer in self.peers.values_mut() {
            if peer.link.is_some() {
                peer.out.jobs.push(number.0);
            }
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
            if let Some(peer) = self.peers.get_mut(&name) {
                let closing: Vec<LinkId> = peer.spare.drain(..).chain(peer.link.take()).collect();
                close(closing, &mut self.ends, &mut self.actions);
            }
            self.peer_down(&name);
        }
    }

    /// A peer has a job that is held here, too: one of the two has to give way at the executors.
    fn note_rival(&mut self, number: JobNumber) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&number) {
            self.gap = now;
            job.safe_since = Mono::default();
        }
    }

    /// Sends the peers their news and heartbeats.
    pub(super) fn flush_peers(&mut self) {
        let now = self.now;
        let reports = self.setup.policy.reports;
        let version = self.version();
        let edition = self.zones.edition();
        let leaving = self.leaving.is_some();
        let settled = !leaving && !self.is_young() && version > 0;
        let roster_read = self.setup.policy.recovery.on && self.roster_sync.is_read();
        let silent = self.silent_executors();
        let backlog = self.backlog_news();
        let busy = self.busy_news();
        let linked = self.peers.values().filter(|p| p.link.is_some()).count() as u32;
        let news_gap = reports.news_gap.max(reports.news_each * linked);
        for peer in self.peers.values_mut() {
            let Some(link) = peer.link else {
                continue;
            };
            let zones = peer.zones_told != edition;
            let urgent = peer.is_urgent() || zones;
            let gap = now.since(peer.last_sent);
            let news = !peer.out.jobs.is_empty() && gap >= news_gap;
            if !urgent && !news && gap < reports.heartbeat {
                continue;
            }
            let mut update = std::mem::take(&mut peer.out);
            update.catalog_version = version;
            update.members = self.members.news(&mut peer.members_told);
            if zones {
                peer.zones_told = edition;
                update.zones = self.zones.proto();
            }
            update.leaving = leaving;
            update.settled = settled;
            update.roster_read = roster_read;
            if peer.is_starting() {
                update.silent.clone_from(&silent);
            }
            update.backlog.clone_from(&backlog);
            update.busy_percent = busy;
            peer.last_sent = now;
            let body = proto::frame::Body::Peer(update);
            self.actions.push(Action::Send(link, Box::new(body)));
        }
    }
}
