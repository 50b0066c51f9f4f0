//! Other schedulers: who has which job. Links stand in `peer_links`, following in `following`.

use bytes::Bytes;

use super::Action;
use super::LinkEnd;
use super::Scheduler;
use super::members::Told;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// Another scheduler.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// The link that messages are sent on.
    pub link: Option<LinkId>,
    /// Further links, as when both have connected to each other at once.
    pub spare: Vec<LinkId>,
    pub incarnation: u64,
    /// When it was met in another incarnation than before.
    pub renewed: Option<Mono>,
    pub address: String,
    pub heard: Mono,
    /// Whether its first message on a link has come, which says what it has at work.
    pub met: bool,
    /// When its last link broke, though it had been heard just before and not said that it leaves.
    pub lost: Option<Mono>,
    pub leaving: bool,
    pub zone: String,
    /// Whether it takes jobs without claiming them for having just started.
    pub settled: bool,
    /// When its present link came up.
    pub linked_at: Mono,
    /// Whether the store has told it which executors there are.
    pub roster_read: bool,
    pub version: u64,
    /// What it is told next.
    pub out: proto::PeerUpdate,
    last_sent: Mono,
    members_told: Told,
    /// The edition of what is known of zones that it was told on this link.
    zones_told: u64,
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

    /// Has the next message go out at once, with all that is told once a link.
    pub fn tell_all_anew(&mut self) {
        self.last_sent = Mono::default();
        self.members_told = Told::default();
        self.zones_told = 0;
    }

    /// Sends it a catalog with the next message, which goes out at once.
    pub fn send_catalog(&mut self, bytes: Bytes) {
        self.out.catalog = bytes;
    }
}

impl Scheduler {
    /// A link is up.
    pub fn link_up(&mut self, now: Mono, link: LinkId, greeting: &proto::Greeting) {
        self.advance_clock(now);
        if greeting.executor {
            self.executor_up(link, greeting);
        } else {
            self.peer_up(link, greeting);
        }
    }

    /// A link is down.
    pub fn link_down(&mut self, now: Mono, link: LinkId) {
        self.advance_clock(now);
        match self.ends.remove(&link) {
            Some(LinkEnd::Executor(key)) => self.executor_down(key),
            Some(LinkEnd::Peer(name)) => self.peer_link_down(&name, link),
            None => {}
        }
    }

    /// A message has come in.
    pub fn message(&mut self, now: Mono, link: LinkId, body: proto::frame::Body) {
        self.advance_clock(now);
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

    fn peer_update(&mut self, name: &str, update: proto::PeerUpdate) {
        let now = self.now;
        self.note_unheard_peers();
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
            self.handle_followed_end(name, JobNumber(end.job), outcome);
        }
        for job in &update.handed {
            self.accept_handoff(name, job);
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
            self.handle_silent_executor(silent);
        }
        self.handle_roster(name, update.roster);
        if update.roster_wanted {
            self.handle_roster_request(name);
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

    /// Tells the peers of an executor that has linked here. Only its name: with all names on each link, a few executors that
    /// join would make as many long messages as there are pairs of schedulers.
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
        self.flush_all = true;
    }

    /// Tells every peer of a job that was taken.
    pub(super) fn announce(&mut self, number: JobNumber) {
        for peer in self.peers.values_mut() {
            if peer.link.is_some() {
                peer.out.jobs.push(number.0);
            }
        }
    }

    /// A peer has a job that is held here, too: one of the two has to give way at the executors.
    fn note_rival(&mut self, number: JobNumber) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&number) {
            self.gap = now;
            job.exclusive_since = Mono::default();
        }
    }

    /// Sends the peers their news and heartbeats.
    pub(super) fn flush_peers(&mut self) {
        let now = self.now;
        let reports = self.setup.policy.reports;
        let version = self.version();
        let edition = self.zones.edition();
        let leaving = self.leaving.is_some();
        let settled = !leaving && !self.is_warming_up() && version > 0;
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
