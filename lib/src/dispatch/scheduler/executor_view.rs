//! A scheduler's view of an executor: its latest report, its free resources, and the orders gathered for it.
//!
//! Free resources are those of the latest report, less what was sent since and is not counted in the report
//! yet.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::members::MemberCursor;
use super::members::Members;
use super::silence::PeerReport;
use crate::dispatch::model::Demand;
use crate::dispatch::model::FreeCapacity;
use crate::dispatch::model::TaskName;
use crate::dispatch::policy::Policy;
use crate::dispatch::rank::Rank;
use crate::dispatch::speeds::TypicalSlowness;
use crate::dispatch::zones::Zones;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// The most of a resource that counts as free, or as overcommitted, at one executor: far more than a worker can say
/// that it has, and little enough for the sum over all executors.
const MAX_FREE: i64 = 1 << 40;

/// The state of an executor, as one scheduler knows it.
#[derive(Clone, Debug)]
pub(super) struct ExecutorView {
    pub name: String,
    pub zone: String,
    pub incarnation: u64,
    pub link: Option<LinkId>,
    pub linked_at: Mono,
    /// When it was last heard, by a message or a greeting. `detach_link` may move it to a later time.
    pub last_heard: Mono,
    /// The executor's newest clock reading, which is echoed to it.
    pub clock_us: u64,
    pub report: proto::WorkerReport,
    /// The properties that seldom change, as last reported.
    pub profile: proto::Profile,
    pub capacity: Demand,
    /// The free resources by the latest report, less the demand of tasks that it does not count in.
    pub free: FreeCapacity,
    /// The demand that the latest report does not count in, by the sequence of the orders that it was sent
    /// with.
    uncounted: VecDeque<(u64, Demand)>,
    /// The sequence of the last orders that started tasks.
    sequence: u64,
    /// The tasks that are placed there, with their attempts.
    pub placed: BTreeMap<TaskName, u32>,
    /// The orders that are being gathered for it.
    pub orders: proto::Orders,
    /// Whether the gathered orders hold cancels that need not wait for the next heartbeat.
    pub cancels_urgently: bool,
    last_orders: Mono,
    members_sent: MemberCursor,
    /// The highest number of a task end that was received from this incarnation.
    pub seen_ends: u64,
    /// When a task was last placed there on trial.
    pub last_trial: Mono,
    /// Its position in the order by which the cell is formed.
    pub rank: Rank,
    /// Whether it is in the cell by its rank, and not just borrowed.
    pub core_member: bool,
    /// Until when it is borrowed: tasks may be placed there although its rank does not put it in the cell.
    pub lent_until: Mono,
    /// Whether it is outside the cell, so that no tasks are placed there.
    pub standby: bool,
    /// The value of `standby` that was last sent to it.
    standby_sent: bool,
    /// From when on tasks may be placed there.
    pub usable_at: Mono,
    /// Since when a prompt answer is due from it, because a claim was sent to it or it was taken into the
    /// cell.
    pub asked_at: Mono,
    /// Whether its worker is far slower than the other workers or, if speeds are learned, than it usually is.
    pub slow: bool,
    /// The usual slowness of its worker.
    pub typical_slowness: TypicalSlowness,
    /// When `typical_slowness` was last updated.
    pub slowness_updated_at: Mono,
    /// Whether its last update on this link said that nothing runs there and nothing will be started any
    /// more.
    pub departed: bool,
    /// Whether its availability zone is evacuated.
    pub evacuated: bool,
    /// The newest revision of its zone's record that was sent or received on this link.
    pub zone_revision: u64,
    /// When tasks of its previous incarnation can't run any more at the latest. `None` once they have been
    /// treated as lost.
    pub predecessor_until: Option<Mono>,
    /// Whether its last update said that it knows everything that runs at its worker, and for which
    /// schedulers.
    pub accounted: bool,
    /// The incarnations of schedulers for which tasks may run there and that its profile does not list yet.
    pub newcomers: Vec<u64>,
    /// What a peer has reported of it.
    pub peer_report: Option<PeerReport>,
    /// Whether it was logged that claims do not wait for it while it is silent.
    pub silence_logged: bool,
    policy: Policy,
}

impl ExecutorView {
    /// Returns the view of an executor that is not linked yet.
    pub fn new(now: Mono, greeting: &proto::Greeting, policy: Policy) -> ExecutorView {
        ExecutorView {
            policy,
            name: greeting.name.clone(),
            zone: greeting.zone.clone(),
            incarnation: greeting.incarnation,
            link: None,
            linked_at: now,
            last_heard: now,
            clock_us: 0,
            report: proto::WorkerReport::default(),
            profile: proto::Profile::default(),
            capacity: Demand::default(),
            free: FreeCapacity::default(),
            uncounted: VecDeque::new(),
            sequence: 0,
            placed: BTreeMap::new(),
            orders: proto::Orders::default(),
            cancels_urgently: false,
            last_orders: Mono::default(),
            members_sent: MemberCursor::default(),
            seen_ends: 0,
            last_trial: Mono::default(),
            rank: Rank::default(),
            core_member: false,
            lent_until: Mono::default(),
            standby: true,
            standby_sent: true,
            usable_at: Mono::default(),
            asked_at: Mono::default(),
            slow: false,
            typical_slowness: TypicalSlowness::default(),
            slowness_updated_at: now,
            departed: false,
            evacuated: false,
            zone_revision: 0,
            predecessor_until: None,
            accounted: false,
            newcomers: Vec::new(),
            peer_report: None,
            silence_logged: false,
        }
    }

    /// Attaches a new link, and discards the orders gathered for the previous one and what was reported on
    /// it.
    pub fn attach_link(
        &mut self,
        now: Mono,
        link: LinkId,
        greeting: &proto::Greeting,
        lapse: Duration,
    ) {
        if self.incarnation != greeting.incarnation {
            self.seen_ends = 0;
            self.predecessor_until = Some(now + lapse);
        }
        self.zone.clone_from(&greeting.zone);
        self.incarnation = greeting.incarnation;
        self.link = Some(link);
        self.linked_at = now;
        self.last_heard = now;
        self.clock_us = 0;
        self.sequence = 0;
        self.uncounted.clear();
        self.orders = proto::Orders::default();
        self.cancels_urgently = false;
        self.last_orders = Mono::default();
        self.standby = true;
        self.standby_sent = true;
        self.members_sent = MemberCursor::default();
        self.zone_revision = 0;
        self.departed = false;
        self.accounted = false;
        self.peer_report = None;
        self.silence_logged = false;
    }

    /// Returns the incarnations of the schedulers for which tasks may run there, as last reported.
    pub fn owners(&self) -> impl Iterator<Item = u64> + '_ {
        let owners = self.profile.owners.iter();
        owners.chain(&self.newcomers).copied()
    }

    /// Returns whether tasks of a service may be placed there now.
    pub fn accepts_tasks(&self, now: Mono, service: &str) -> bool {
        self.link.is_some()
            && !self.standby
            && !self.evacuated
            && self.usable_at <= now
            && self.report.ready
            && now.since(self.last_heard) < self.policy.placement.report_age
            && self.profile.service == service
    }

    /// Reserves the demand of a task that is sent with the next orders.
    pub fn reserve(&mut self, demand: Demand) {
        self.free = self.free.less(demand);
        let next = self.sequence + 1;
        match self.uncounted.back_mut() {
            Some((sequence, sum)) if *sequence == next => *sum = sum.plus(demand),
            _ => self.uncounted.push_back((next, demand)),
        }
    }

    /// Takes the orders to send now: the gathered ones if they are urgent, or a heartbeat if one is due.
    /// Claims and urgent cancels alone wait for a minimum interval.
    pub fn due_orders(
        &mut self,
        now: Mono,
        members: &Members,
        zones: &Zones,
    ) -> Option<(LinkId, proto::Orders)> {
        let link = self.link?;
        let orders = &self.orders;
        let urgent = !(orders.starts.is_empty() && orders.stops.is_empty());
        let claims = self.has_claims();
        let gap = now.since(self.last_orders);
        let heartbeat = match self.standby && self.standby_sent {
            true => self.policy.cells.heartbeat,
            false => self.policy.reports.heartbeat,
        };
        let record = zones.record(&self.zone);
        let record = record.filter(|r| r.revision > self.zone_revision);
        let due = urgent
            || record.is_some()
            || (self.standby_sent && !self.standby)
            || (claims && gap >= self.policy.reports.claim_gap)
            || gap >= heartbeat;
        if !due {
            return None;
        }
        let mut orders = std::mem::take(&mut self.orders);
        self.cancels_urgently = false;
        if !orders.starts.is_empty() {
            self.sequence += 1;
            orders.sequence = self.sequence;
        }
        if let Some(record) = record {
            self.zone_revision = record.revision;
            orders.zone = Some(record.proto(&self.zone));
        }
        orders.standby = self.standby;
        self.standby_sent = self.standby;
        orders.echo_us = self.clock_us;
        orders.seen_ends = self.seen_ends;
        orders.members = members.take_unsent(&mut self.members_sent);
        self.last_orders = now;
        Some((link, orders))
    }

    /// Returns whether it is in the cell neither by its rank nor as a borrowed one, and has no placed tasks
    /// left.
    pub fn is_loan_over(&self, now: Mono) -> bool {
        !self.core_member && self.lent_until <= now && self.placed.is_empty()
    }

    /// Returns since when a message from it is awaited, and how long it may stay silent from then on.
    pub fn silence_limit(&self) -> (Mono, Duration) {
        let asked = self.asked_at > self.last_heard;
        if self.standby && !asked {
            (self.last_heard, self.policy.cells.silence)
        } else {
            (
                self.last_heard.max(self.asked_at),
                self.policy.leases.silence,
            )
        }
    }

    /// Detaches the link. An executor on standby sends few messages, so it may have been alive, and have kept
    /// running other schedulers' tasks, for longer than its last message shows: until it was asked and did
    /// not answer, or until now. `last_heard` is moved to that time.
    pub fn detach_link(&mut self, now: Mono) {
        if self.standby {
            let asked = self.asked_at > self.last_heard;
            self.last_heard = if asked { self.asked_at } else { now };
            self.accounted = false;
        }
        self.link = None;
    }

    /// Returns whether starts, stops, claims or urgent cancels are gathered that have not been sent.
    pub fn is_pending(&self) -> bool {
        let orders = &self.orders;
        let urgent = !(orders.starts.is_empty() && orders.stops.is_empty());
        self.link.is_some() && (urgent || self.has_claims())
    }

    /// Returns whether claims or urgent cancels are gathered.
    fn has_claims(&self) -> bool {
        let orders = &self.orders;
        let claims = !(orders.claims.is_empty() && orders.renewals.is_empty());
        claims || self.cancels_urgently
    }

    /// Applies a report: drops the reserved demand that it counts in, and computes the free resources.
    pub fn apply_report(&mut self, report: proto::WorkerReport) {
        let counted = report.sequence;
        while self.uncounted.front().is_some_and(|(s, _)| *s <= counted) {
            self.uncounted.pop_front();
        }
        let limited = |free: i64| free.clamp(-MAX_FREE, MAX_FREE);
        let mut free = FreeCapacity {
            cpu_milli: limited(report.free_cpu_milli),
            memory_mb: limited(report.free_memory_mb),
            gpu: limited(report.free_gpu),
        };
        for (_, demand) in &self.uncounted {
            free = free.less(*demand);
        }
        self.free = free;
        self.report = report;
    }
}
