//! Messages between schedulers: which jobs, executors, zones and catalogs each of them knows about.
//!
//! Input are the updates of peers; output are batched updates and heartbeats, sent on one link a peer.
//! `peer_links` manages the links themselves, and `followed_jobs` the jobs of peers that callers here wait
//! for.

use bytes::Bytes;

use super::Action;
use super::LinkEnd;
use super::Scheduler;
use super::members::MemberCursor;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// Another scheduler, as this one knows it, and the update that is being gathered for it.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    /// The link that messages are sent on; `None` while the peer is not linked.
    pub link: Option<LinkId>,
    /// Further open links, such as the second one if both sides connect at the same time.
    pub spare_links: Vec<LinkId>,
    pub incarnation: u64,
    /// When it first linked with its current incarnation, if an earlier one was known.
    pub restarted_at: Option<Mono>,
    pub address: String,
    /// When it was last heard, by a message or a greeting.
    pub last_heard: Mono,
    /// Whether its first update on the newest link has arrived. That update lists the jobs that it holds.
    pub has_reported: bool,
    /// When its last link broke unexpectedly: it had been heard just before and had not announced that it
    /// leaves.
    pub lost_at: Option<Mono>,
    /// Whether it has announced that it shuts down.
    pub leaving: bool,
    pub zone: String,
    /// Whether it accepts jobs normally: it has a catalog, does not leave, and no longer has to claim every
    /// job because it has just started.
    pub settled: bool,
    /// When the newest link came up.
    pub linked_at: Mono,
    /// Whether it has read the list of executors from the store.
    pub roster_read: bool,
    /// The version of the catalog that it has in force; 0 for none.
    pub version: u64,
    /// The update that is being gathered for it.
    pub outgoing: proto::PeerUpdate,
    /// Whether a cancel is gathered for a job that it has announced.
    pub cancels_urgently: bool,
    last_sent: Mono,
    members_sent: MemberCursor,
    /// The edition of the zone records that was last sent on this link.
    zones_sent: u64,
}

impl Peer {
    /// Returns whether a linked peer has a gathered update that need not wait for the next heartbeat: an
    /// urgent one, or announced jobs, which go out once the minimum interval between announcements has
    /// passed.
    pub fn has_pending_update(&self) -> bool {
        self.link.is_some() && (self.has_urgent_update() || self.has_news())
    }

    /// Returns whether jobs are gathered that were accepted here, or cancelled.
    fn has_news(&self) -> bool {
        !(self.outgoing.jobs.is_empty() && self.outgoing.cancel.is_empty())
    }

    /// Returns whether the gathered update has to be sent immediately.
    fn has_urgent_update(&self) -> bool {
        let outgoing = &self.outgoing;
        !(outgoing.follow.is_empty()
            && outgoing.ends.is_empty()
            && !self.cancels_urgently
            && outgoing.catalog.is_empty()
            && outgoing.executors.is_empty()
            && outgoing.handed.is_empty()
            && outgoing.roster.is_empty()
            && !outgoing.roster_wanted
            && outgoing.unfollow.is_empty()
            && !outgoing.catalog_wanted)
    }

    /// Requests its catalog. The request is urgent.
    pub fn request_catalog(&mut self) {
        self.outgoing.catalog_wanted = true;
    }

    /// Returns whether it accepts jobs and will go on doing so.
    pub fn accepts_jobs(&self) -> bool {
        self.settled && !self.leaving
    }

    /// Returns whether it is linked and has read the list of executors from the store.
    pub fn has_read_roster(&self) -> bool {
        self.link.is_some() && self.roster_read
    }

    /// Returns whether it is linked with this incarnation and has listed the jobs that it holds.
    pub fn has_reported_in(&self, incarnation: u64) -> bool {
        self.link.is_some() && self.has_reported && self.incarnation == incarnation
    }

    /// Returns whether it is linked but not settled: it has just started, has no catalog, or leaves.
    pub fn is_starting(&self) -> bool {
        self.link.is_some() && !self.settled
    }

    /// Returns whether it is in the given availability zone.
    pub fn is_in(&self, zone: &str) -> bool {
        self.zone == zone
    }

    /// Adds a job that is handed off to it to the next update. The update is urgent.
    pub fn queue_handoff(&mut self, job: proto::HandedJob) {
        self.outgoing.handed.push(job);
    }

    /// Adds a queue's share of the blame for a crash to the next update. Shares of one queue are summed up.
    pub fn add_blame(&mut self, queue: &str, permille: u32) {
        if self.link.is_none() {
            return;
        }
        let blames = &mut self.outgoing.blames;
        match blames.iter_mut().find(|b| b.queue == queue) {
            Some(blame) => blame.blame = blame.blame.saturating_add(permille),
            None => blames.push(proto::QueueBlame {
                queue: queue.to_owned(),
                blame: permille,
            }),
        }
    }

    /// Makes the next update due immediately and has it repeat everything that is otherwise sent once a link.
    pub fn reset_sent_state(&mut self) {
        self.last_sent = Mono::default();
        self.members_sent = MemberCursor::default();
        self.zones_sent = 0;
    }

    /// Adds an encoded catalog to the next update. The update is urgent.
    pub fn send_catalog(&mut self, bytes: Bytes) {
        self.outgoing.catalog = bytes;
    }
}

impl Scheduler {
    /// Registers a new link to an executor or a peer, whichever the greeting comes from.
    pub fn link_up(&mut self, now: Mono, link: LinkId, greeting: &proto::Greeting) {
        self.advance_clock(now);
        if greeting.executor {
            self.executor_up(link, greeting);
        } else {
            self.peer_up(link, greeting);
        }
    }

    /// Handles the loss of a link. Ignores links that were closed from this side, as they are no longer
    /// registered.
    pub fn link_down(&mut self, now: Mono, link: LinkId) {
        self.advance_clock(now);
        match self.link_ends.remove(&link) {
            Some(LinkEnd::Executor(key)) => self.executor_down(key),
            Some(LinkEnd::Peer(name)) => self.peer_link_down(&name, link),
            None => {}
        }
    }

    /// Handles an incoming message. Messages on links that are not registered, or of the wrong kind for their
    /// link, are ignored.
    pub fn handle_message(&mut self, now: Mono, link: LinkId, body: proto::frame::Body) {
        self.advance_clock(now);
        match body {
            proto::frame::Body::Update(update) => {
                if let Some(LinkEnd::Executor(key)) = self.link_ends.get(&link) {
                    let key = *key;
                    self.apply_executor_update(key, update);
                }
            }
            proto::frame::Body::Peer(update) => {
                if let Some(LinkEnd::Peer(name)) = self.link_ends.get(&link) {
                    let name = name.clone();
                    self.apply_peer_update(&name, update);
                }
            }
            _ => {}
        }
    }

    /// Returns whether a link to the peer at this address is up.
    pub fn is_linked_to(&self, address: &str) -> bool {
        let mut peers = self.peers.values();
        peers.any(|p| p.link.is_some() && p.address == address)
    }

    /// Returns whether a settled peer in the same zone is linked.
    pub(super) fn has_settled_neighbour(&self) -> bool {
        let mut linked = self.peers.values().filter(|p| p.link.is_some());
        linked.any(|p| p.settled && p.zone == self.setup.zone)
    }

    /// Returns whether a link to the peer with this name is up.
    pub fn is_linked(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|p| p.link.is_some())
    }

    /// Returns the linked peer that announced a job most recently.
    pub(super) fn linked_holder(&self, number: JobNumber) -> Option<String> {
        let mut holders = self.announced.holders(number);
        holders.find(|name| self.is_linked(name)).map(str::to_owned)
    }

    /// Applies an update of a peer.
    fn apply_peer_update(&mut self, name: &str, update: proto::PeerUpdate) {
        let now = self.now;
        self.record_unheard_peers();
        if let Some(peer) = self.peers.get_mut(name) {
            peer.last_heard = now;
            peer.has_reported = true;
            peer.version = update.catalog_version;
            peer.leaving = update.leaving;
            peer.settled = update.settled;
            peer.roster_read = update.roster_read;
        }
        self.record_peer_backlog(name, &update.backlog);
        self.record_peer_load(name, &update);
        for job in update.jobs {
            self.mark_contested(JobNumber(job));
            self.announced.record(JobNumber(job), name, now);
        }
        for job in update.follow {
            self.handle_follow_request(name, JobNumber(job));
        }
        for end in update.ends {
            let outcome = JobOutcome::from_code(end.outcome);
            self.handle_followed_end(name, JobNumber(end.job), outcome);
        }
        for job in &update.handed {
            self.accept_handoff(name, job);
        }
        self.apply_peer_cancels(&update.cancel, &update.kept_cancels);
        for job in update.unfollow {
            self.handle_unfollow(name, JobNumber(job));
        }
        if !update.members.is_empty() {
            self.add_members(now, update.members);
        }
        update
            .blames
            .iter()
            .for_each(|blame| self.handle_blame(blame));
        update
            .confined
            .iter()
            .for_each(|queue| self.handle_confined_queue(queue));
        for state in &update.zones {
            self.record_zone_state(state, name);
        }
        self.record_executors(&update.executors);
        for silent in update.silent {
            self.handle_silent_executor(silent);
        }
        self.handle_roster(name, update.roster);
        if update.roster_wanted {
            self.handle_roster_request(name);
        }
        if !update.catalog.is_empty() {
            self.receive_catalog(name, &update.catalog);
        }
        if update.catalog_wanted {
            self.send_catalog_to(name);
        }
    }

    /// Reports the outcome of a job to a peer that follows it.
    pub(super) fn report_end_to_peer(
        &mut self,
        name: &str,
        number: JobNumber,
        outcome: JobOutcome,
    ) {
        if let Some(peer) = self.peers.get_mut(name) {
            let (job, outcome) = (number.0, outcome.code());
            peer.outgoing.ends.push(proto::JobEnd { job, outcome });
        }
    }

    /// Announces a newly linked executor to all peers. Only the new name is sent: if every link repeated all
    /// names, a few joining executors would cause as many long messages as there are pairs of schedulers.
    pub(super) fn announce_executor(&mut self, name: &str) {
        for peer in self.peers.values_mut() {
            if peer.link.is_some() && !peer.outgoing.executors.iter().any(|n| n == name) {
                peer.outgoing.executors.push(name.to_owned());
            }
        }
    }

    /// Makes a heartbeat to every peer due immediately.
    pub(super) fn force_heartbeats(&mut self) {
        for peer in self.peers.values_mut() {
            peer.last_sent = Mono::default();
        }
        self.flush_all = true;
    }

    /// Announces an accepted job to all linked peers.
    pub(super) fn announce(&mut self, number: JobNumber) {
        for peer in self.peers.values_mut() {
            if peer.link.is_some() {
                peer.outgoing.jobs.push(number.0);
            }
        }
    }

    /// Marks a job that a peer holds as well: it is claimed before more of its tasks are placed, so that the
    /// executors run it for one of the two schedulers only.
    fn mark_contested(&mut self, number: JobNumber) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&number) {
            self.last_gap = now;
            job.exclusive_since = Mono::default();
        }
    }

    /// Sends the updates and heartbeats that are due. Urgent updates and changed zones go out immediately,
    /// announced jobs after a minimum interval that grows with the number of linked peers, and the rest with
    /// the next update that is due.
    pub(super) fn flush_peers(&mut self) {
        let now = self.now;
        let reports = self.setup.policy.reports;
        let version = self.version();
        let edition = self.zones.edition();
        let leaving = self.leaving.is_some();
        let settled = !leaving && !self.is_warming_up() && version > 0;
        let roster_read = self.setup.policy.recovery.on && self.roster_sync.is_read();
        let silent = self.silent_executors();
        let backlog = self.backlog_update();
        let busy = self.busy_update();
        let linked = self.peers.values().filter(|p| p.link.is_some()).count() as u32;
        let news_gap = reports.news_gap.max(reports.news_each * linked);
        for peer in self.peers.values_mut() {
            let Some(link) = peer.link else {
                continue;
            };
            let zones = peer.zones_sent != edition;
            let urgent = peer.has_urgent_update() || zones;
            let gap = now.since(peer.last_sent);
            let news = peer.has_news() && gap >= news_gap;
            if !urgent && !news && gap < reports.heartbeat {
                continue;
            }
            let mut update = std::mem::take(&mut peer.outgoing);
            peer.cancels_urgently = false;
            update.catalog_version = version;
            update.members = self.members.take_unsent(&mut peer.members_sent);
            if zones {
                peer.zones_sent = edition;
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
