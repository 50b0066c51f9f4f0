//! Executors as a scheduler sees them: reports, room, and links.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use slotmap::new_key_type;

use super::Action;
use super::LinkEnd;
use super::Scheduler;
use super::members::Members;
use super::members::Told;
use super::rank::Rank;
use crate::dispatch::model::Demand;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::Free;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::dispatch::policy::Policy;
use crate::dispatch::zones::Zones;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

new_key_type! {
    /// An executor that the scheduler knows.
    pub struct ExecutorKey;
}

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
    pub free: Free,
    /// What was sent and is not counted in by a report, by sequence.
    sent: VecDeque<(u64, Demand)>,
    sequence: u64,
    /// Tasks that were placed there, and their attempts.
    pub placed: BTreeMap<TaskName, u32>,
    pub orders: proto::Orders,
    last_orders: Mono,
    members_told: Told,
    seen_ends: u64,
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
    /// Whether it has said, in its present incarnation, that nothing runs there any more, nor will.
    pub departed: bool,
    /// Whether its zone is evacuated.
    pub evacuated: bool,
    /// The revision of the record of its zone that it was told on this link, or has told.
    pub zone_told: u64,
    /// While an executor that was started anew has not met its worker: when what its forerunner
    /// had started can not run any more at the latest.
    renewed: Option<Mono>,
    policy: Policy,
}

impl ExecutorView {
    fn new(now: Mono, greeting: &proto::Greeting, policy: Policy) -> ExecutorView {
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
            free: Free::default(),
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
            departed: false,
            evacuated: false,
            zone_told: 0,
            renewed: None,
        }
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
    fn listening(&self) -> (Mono, Duration) {
        let asked = self.hurried > self.heard;
        if self.standby && !asked {
            (self.heard, self.policy.cells.silence)
        } else {
            (self.heard.max(self.hurried), self.policy.leases.silence)
        }
    }

    /// Notes that its link is lost. One on standby is not heard often: it may have been alive, and have kept
    /// others' runs alive, until it was asked and did not answer, or until now.
    fn lose_link(&mut self, now: Mono) {
        if self.standby {
            let asked = self.hurried > self.heard;
            self.heard = if asked { self.hurried } else { now };
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

    fn take_report(&mut self, report: proto::WorkerReport) {
        let counted = report.sequence;
        while self.sent.front().is_some_and(|(s, _)| *s <= counted) {
            self.sent.pop_front();
        }
        let mut free = Free {
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

impl Scheduler {
    pub(super) fn executor_up(&mut self, link: LinkId, greeting: &proto::Greeting) {
        let now = self.now;
        let key = self.executor_named(greeting);
        let old = self.unlink_executor(key);
        self.actions.extend(old.map(Action::Close));
        self.ends.insert(link, LinkEnd::Executor(key));
        let executor = &mut self.executors[key];
        let renewed = executor.incarnation != greeting.incarnation;
        executor.zone.clone_from(&greeting.zone);
        if renewed {
            executor.seen_ends = 0;
            executor.renewed = Some(now + self.setup.lapse);
        }
        executor.link = Some(link);
        executor.linked_at = now;
        executor.incarnation = greeting.incarnation;
        executor.heard = now;
        self.leases.add(&executor.profile.leased);
        self.paces.add(executor.report.pace_percent);
        executor.clock_us = 0;
        executor.sequence = 0;
        executor.sent.clear();
        executor.orders = proto::Orders::default();
        executor.last_orders = Mono::default();
        executor.rank = Rank::of(
            &self.setup.name,
            &greeting.name,
            greeting.zone == self.setup.zone,
        );
        executor.standby = true;
        executor.told_standby = true;
        executor.members_told = Told::default();
        executor.zone_told = 0;
        executor.departed = false;
        executor.evacuated = self.zones.is_evacuated(&greeting.zone);
        self.log(Kind::LinkUp, format!("executor {}", greeting.name));
        self.cell.stale = true;
        self.pending.push(key);
        self.refresh_doubt();
        self.claim_at(key);
        self.tell_executor(&greeting.name);
    }

    /// The executor that a greeting names, which may not have been known.
    fn executor_named(&mut self, greeting: &proto::Greeting) -> ExecutorKey {
        if let Some(key) = self.named.get(&greeting.name) {
            return *key;
        }
        let executor = ExecutorView::new(self.now, greeting, self.setup.policy);
        let key = self.executors.insert(executor);
        self.named.insert(greeting.name.clone(), key);
        key
    }

    /// Notes that an executor can't be reached; the link that led there, if there was one.
    pub(super) fn unlink_executor(&mut self, key: ExecutorKey) -> Option<LinkId> {
        let executor = &mut self.executors[key];
        executor.report.ready = false;
        let link = executor.link?;
        executor.lose_link(self.now);
        self.cell.stale = true;
        self.leases.remove(&executor.profile.leased);
        self.paces.remove(executor.report.pace_percent);
        self.ends.remove(&link);
        Some(link)
    }

    /// The executors that are linked, by name.
    pub(super) fn linked_executors(&self) -> Vec<String> {
        let linked = self.executors.values().filter(|e| e.link.is_some());
        linked.map(|e| e.name.clone()).collect()
    }

    /// Whether an executor is linked, or has said that nothing runs there any more.
    pub(super) fn is_met(&self, name: &str) -> bool {
        let met = |e: &ExecutorView| e.link.is_some() || e.departed;
        let key = self.named.get(name);
        key.is_some_and(|key| met(&self.executors[*key]))
    }

    /// Notes executors that there are, by a peer or the store, so that it is known if they can't
    /// be reached from here.
    pub(super) fn hear_of_executors(&mut self, names: &[String]) {
        for name in names {
            if self.named.contains_key(name) {
                continue;
            }
            let greeting = proto::Greeting {
                name: name.clone(),
                ..proto::Greeting::default()
            };
            let key = self.executor_named(&greeting);
            self.executors[key].heard = self.now - self.setup.lapse;
        }
    }

    /// Asks an executor that has come up for the jobs that are being claimed.
    fn claim_at(&mut self, key: ExecutorKey) {
        for job in self.claiming() {
            self.ask_claim(job, key);
        }
    }

    /// An update from an executor.
    pub(super) fn executor_update(&mut self, key: ExecutorKey, update: proto::Update) {
        let now = self.now;
        let executor = &mut self.executors[key];
        executor.heard = now;
        executor.clock_us = executor.clock_us.max(update.clock_us);
        executor.departed = update.departed;
        if let Some(profile) = update.profile {
            executor.capacity = Demand::from_proto(profile.capacity);
            self.leases.add(&profile.leased);
            let before = std::mem::replace(&mut executor.profile, profile);
            self.leases.remove(&before.leased);
            self.refresh_doubt();
        }
        if let Some(state) = update.zone {
            let executor = &mut self.executors[key];
            executor.zone_told = executor.zone_told.max(state.revision);
            let name = executor.name.clone();
            self.hear_of_zone(&state, &name);
        }
        let executor = &mut self.executors[key];
        if let Some(report) = update.worker {
            self.paces.add(report.pace_percent);
            self.paces.remove(executor.report.pace_percent);
            executor.take_report(report);
        }
        for end in update.ends {
            self.task_ended(key, &end);
        }
        self.judge_pace(key);
        for run in &update.slow {
            self.move_slow(key, run);
        }
        match (update.held, self.executors[key].renewed) {
            (_, Some(at)) => self.settle_renewed(key, at),
            (Some(held), None) => self.reconcile(key, &held),
            (None, None) => {}
        }
        for job in update.denied {
            self.lose_job(JobNumber(job));
        }
        for task in &update.crashed {
            self.task_crashed_before(task);
        }
        for job in update.claimed {
            self.claim_confirmed(JobNumber(job), key);
        }
        self.place();
    }

    /// Takes note of the number of an end; whether it is new.
    pub(super) fn note_end(&mut self, key: ExecutorKey, number: u64) -> bool {
        let executor = &mut self.executors[key];
        let new = number > executor.seen_ends;
        executor.seen_ends = executor.seen_ends.max(number);
        new
    }

    /// What an executor's forerunner had started is over once the worker is ready again.
    fn settle_renewed(&mut self, key: ExecutorKey, at: Mono) {
        let executor = &mut self.executors[key];
        if executor.report.ready || self.now >= at {
            executor.renewed = None;
            self.lose_tasks(key);
        }
    }

    /// Tasks that were sent on an earlier link and have not arrived are to be placed again.
    fn reconcile(&mut self, key: ExecutorKey, held: &proto::HeldTasks) {
        let held: Vec<(TaskName, u32)> = held.tasks.iter().map(TaskName::from_proto).collect();
        let placed = &self.executors[key].placed;
        let lost = placed.iter().map(|(t, a)| (*t, *a));
        let lost: Vec<(TaskName, u32)> = lost.filter(|t| !held.contains(t)).collect();
        for (task, attempt) in lost {
            self.task_gone(key, task, attempt, EndKind::Lost);
        }
    }

    pub(super) fn executor_down(&mut self, key: ExecutorKey) {
        let executor = &self.executors[key];
        let detail = format!(
            "executor {}, heard {} ms ago",
            executor.name,
            crate::clock::millis(self.now.since(executor.heard)),
        );
        self.unlink_executor(key);
        self.log(Kind::LinkDown, detail);
        self.refresh_doubt();
    }

    /// Closes silent links, and gives up the tasks of executors that are gone.
    pub(super) fn watch_executors(&mut self) {
        let keys: Vec<ExecutorKey> = self.executors.keys().collect();
        for key in keys {
            let (since, bound) = self.executors[key].listening();
            let link = self.executors[key].link;
            if self.silence(since) >= bound
                && let Some(link) = link
            {
                self.actions.push(Action::Close(link));
                self.executor_down(key);
            }
            let silent = self.silence(self.executors[key].heard);
            if silent >= self.setup.lapse {
                self.lose_tasks(key);
            }
            if silent >= self.setup.policy.claims.forgotten && !self.is_in_roster(key) {
                self.forget_executor(key);
            }
        }
    }

    fn forget_executor(&mut self, key: ExecutorKey) {
        self.unlink_executor(key);
        if let Some(executor) = self.executors.remove(key) {
            self.named.remove(&executor.name);
        }
    }

    fn is_in_roster(&self, key: ExecutorKey) -> bool {
        let name = &self.executors[key].name;
        self.roster.as_ref().is_some_and(|r| r.contains(name))
    }

    /// Nothing that was placed there runs any more.
    fn lose_tasks(&mut self, key: ExecutorKey) {
        let placed = self.executors[key].placed.iter();
        let placed: Vec<(TaskName, u32)> = placed.map(|(t, a)| (*t, *a)).collect();
        for (task, attempt) in placed {
            self.task_gone(key, task, attempt, EndKind::Lost);
        }
    }

    /// Asks an executor to stop a task.
    pub(super) fn order_stop(&mut self, key: ExecutorKey, task: TaskName, attempt: u32) {
        if let Some(executor) = self.executors.get_mut(key) {
            executor.orders.stops.push(task.proto(attempt));
            executor.placed.remove(&task);
            self.pending.push(key);
        }
    }
}
