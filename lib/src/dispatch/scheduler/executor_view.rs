//! An executor as a scheduler sees it: what it reports, what room it has, what is gathered for it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::members::Members;
use super::members::Told;
use super::silent::PeerReport;
use crate::dispatch::model::Demand;
use crate::dispatch::model::FreeCapacity;
use crate::dispatch::model::TaskName;
use crate::dispatch::policy::Policy;
use crate::dispatch::rank::Rank;
use crate::dispatch::speeds::TypicalSlowness;
use crate::dispatch::zones::Zones;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// An executor.
#[derive(Clone, Debug)]
pub(super) struct ExecutorView {
    pub name: String,
    pub zone: String,
    pub incarnation: u64,
    pub link: Option<LinkId>,
    pub linked_at: Mono,
    pub heard: Mono,
    /// The executor's newest clock reading, to be echoed.
    pub clock_us: u64,
    pub report: proto::WorkerReport,
    /// What changes seldom, as last told.
    pub profile: proto::Profile,
    pub capacity: Demand,
    /// What is free, as reported and less what was sent since.
    pub free: FreeCapacity,
    /// What was sent and is not counted in by a report, by sequence.
    sent: VecDeque<(u64, Demand)>,
    sequence: u64,
    /// Tasks that were placed there, and their attempts.
    pub placed: BTreeMap<TaskName, u32>,
    pub orders: proto::Orders,
    last_orders: Mono,
    members_told: Told,
    pub seen_ends: u64,
    pub last_trial: Mono,
    /// Its place in the order by which the cell is formed.
    pub rank: Rank,
    /// Whether it is one of the cell for good.
    pub home: bool,
    /// Until when tasks may be placed there though it is not.
    pub lent_until: Mono,
    /// Whether no tasks are placed there at present.
    pub standby: bool,
    /// What it was last told of that.
    told_standby: bool,
    /// From when on tasks are placed there.
    pub usable_at: Mono,
    /// Since when it should answer at once: it was asked for a claim, or is on standby no more.
    pub hurried: Mono,
    /// Whether it takes much longer than the others.
    pub slow: bool,
    /// The slowness that it is used to.
    pub usual: TypicalSlowness,
    /// When that was last judged.
    pub judged: Mono,
    /// Whether it has said, in its present incarnation, that nothing runs there any more, nor will.
    pub departed: bool,
    /// Whether its zone is evacuated.
    pub evacuated: bool,
    /// The revision of the record of its zone that it was told on this link, or has told.
    pub zone_told: u64,
    /// While an executor that was started anew has not met its worker: when what its forerunner
    /// had started can not run any more at the latest.
    pub renewed: Option<Mono>,
    /// Whether it has said last that it knows all that runs at its worker, and for whom.
    pub accounted: bool,
    /// Schedulers for whom things may run there and that its profile does not name yet, by incarnation.
    pub newcomers: Vec<u64>,
    /// What a peer has said of it.
    pub peer_report: Option<PeerReport>,
    /// Whether it was logged that claims do not wait for it.
    pub silence_logged: bool,
    policy: Policy,
}

impl ExecutorView {
    pub fn new(now: Mono, greeting: &proto::Greeting, policy: Policy) -> ExecutorView {
        ExecutorView {
            policy,
            name: greeting.name.clone(),
            zone: greeting.zone.clone(),
            incarnation: greeting.incarnation,
            link: None,
            linked_at: now,
            heard: now,
            clock_us: 0,
            report: proto::WorkerReport::default(),
            profile: proto::Profile::default(),
            capacity: Demand::default(),
            free: FreeCapacity::default(),
            sent: VecDeque::new(),
            sequence: 0,
            placed: BTreeMap::new(),
            orders: proto::Orders::default(),
            last_orders: Mono::default(),
            members_told: Told::default(),
            seen_ends: 0,
            last_trial: Mono::default(),
            rank: Rank::default(),
            home: false,
            lent_until: Mono::default(),
            standby: true,
            told_standby: true,
            usable_at: Mono::default(),
            hurried: Mono::default(),
            slow: false,
            usual: TypicalSlowness::default(),
            judged: now,
            departed: false,
            evacuated: false,
            zone_told: 0,
            renewed: None,
            accounted: false,
            newcomers: Vec::new(),
            peer_report: None,
            silence_logged: false,
        }
    }

    /// Notes a link that is up. What was gathered for, and said on, an earlier one counts no more.
    pub fn take_link(
        &mut self,
        now: Mono,
        link: LinkId,
        greeting: &proto::Greeting,
        lapse: Duration,
    ) {
        if self.incarnation != greeting.incarnation {
            self.seen_ends = 0;
            self.renewed = Some(now + lapse);
        }
        self.zone.clone_from(&greeting.zone);
        self.incarnation = greeting.incarnation;
        self.link = Some(link);
        self.linked_at = now;
        self.heard = now;
        self.clock_us = 0;
        self.sequence = 0;
        self.sent.clear();
        self.orders = proto::Orders::default();
        self.last_orders = Mono::default();
        self.standby = true;
        self.told_standby = true;
        self.members_told = Told::default();
        self.zone_told = 0;
        self.departed = false;
        self.accounted = false;
        self.peer_report = None;
        self.silence_logged = false;
    }

    /// The incarnations of the schedulers for which things may run there, by its last word.
    pub fn owners(&self) -> impl Iterator<Item = u64> + '_ {
        let owners = self.profile.owners.iter();
        owners.chain(&self.newcomers).copied()
    }

    /// Whether tasks of a service may be placed there now.
    pub fn takes(&self, now: Mono, service: &str) -> bool {
        self.link.is_some()
            && !self.standby
            && !self.evacuated
            && self.usable_at <= now
            && self.report.ready
            && now.since(self.heard) < self.policy.placement.report_age
            && self.profile.service == service
    }

    /// Takes room for a task that is about to be sent.
    pub fn reserve(&mut self, demand: Demand) {
        self.free = self.free.less(demand);
        let next = self.sequence + 1;
        match self.sent.back_mut() {
            Some((sequence, sum)) if *sequence == next => *sum = sum.plus(demand),
            _ => self.sent.push_back((next, demand)),
        }
    }

    /// The orders to send now: what was gathered, or a heartbeat if one is due.
    pub fn due_orders(
        &mut self,
        now: Mono,
        members: &Members,
        zones: &Zones,
    ) -> Option<(LinkId, proto::Orders)> {
        let link = self.link?;
        let orders = &self.orders;
        let urgent = !(orders.starts.is_empty() && orders.stops.is_empty());
        let claims = !(orders.claims.is_empty() && orders.renewals.is_empty());
        let gap = now.since(self.last_orders);
        let heartbeat = match self.standby && self.told_standby {
            true => self.policy.cells.heartbeat,
            false => self.policy.reports.heartbeat,
        };
        let record = zones.record(&self.zone);
        let record = record.filter(|r| r.revision > self.zone_told);
        let due = urgent
            || record.is_some()
            || (self.told_standby && !self.standby)
            || (claims && gap >= self.policy.reports.claim_gap)
            || gap >= heartbeat;
        if !due {
            return None;
        }
        let mut orders = std::mem::take(&mut self.orders);
        if !orders.starts.is_empty() {
            self.sequence += 1;
            orders.sequence = self.sequence;
        }
        if let Some(record) = record {
            self.zone_told = record.revision;
            orders.zone = Some(record.proto(&self.zone));
        }
        orders.standby = self.standby;
        self.told_standby = self.standby;
        orders.echo_us = self.clock_us;
        orders.seen_ends = self.seen_ends;
        orders.members = members.news(&mut self.members_told);
        self.last_orders = now;
        Some((link, orders))
    }

    /// Whether it is not of the cell and nothing keeps it there.
    pub fn loan_is_over(&self, now: Mono) -> bool {
        !self.home && self.lent_until <= now && self.placed.is_empty()
    }

    /// Since when nothing was heard from it though it should have been, and for how long that may be.
    pub fn listening(&self) -> (Mono, Duration) {
        let asked = self.hurried > self.heard;
        if self.standby && !asked {
            (self.heard, self.policy.cells.silence)
        } else {
            (self.heard.max(self.hurried), self.policy.leases.silence)
        }
    }

    /// Notes that its link is lost. One on standby is not heard often: it may have been alive, and have kept
    /// others' runs alive, until it was asked and did not answer, or until now.
    pub fn lose_link(&mut self, now: Mono) {
        if self.standby {
            let asked = self.hurried > self.heard;
            self.heard = if asked { self.hurried } else { now };
            self.accounted = false;
        }
        self.link = None;
    }

    /// Whether something is gathered that has not been sent.
    pub fn is_pending(&self) -> bool {
        let orders = &self.orders;
        let urgent = !(orders.starts.is_empty() && orders.stops.is_empty());
        let claims = !(orders.claims.is_empty() && orders.renewals.is_empty());
        self.link.is_some() && (urgent || claims)
    }

    pub fn take_report(&mut self, report: proto::WorkerReport) {
        let counted = report.sequence;
        while self.sent.front().is_some_and(|(s, _)| *s <= counted) {
            self.sent.pop_front();
        }
        let mut free = FreeCapacity {
            cpu_milli: report.free_cpu_milli,
            memory_mb: report.free_memory_mb,
            gpu: report.free_gpu,
        };
        for (_, demand) in &self.sent {
            free = free.less(*demand);
        }
        self.free = free;
        self.report = report;
    }
}
