//! Sessions with schedulers: leases, incoming orders, and the ends kept until they are confirmed.
//!
//! Each session belongs to one incarnation of a scheduler. The updates that are sent to schedulers are in
//! `reports`.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;

use super::Action;
use super::Executor;
use super::claims::StartRight;
use super::preemption::RunRank;
use super::runs::QueuedTask;
use super::runs::Run;
use crate::dispatch::crashes::CrashRecord;
use crate::dispatch::model::Demand;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// A session with one incarnation of a scheduler. It outlives its link until the lease expires.
#[derive(Debug)]
pub(super) struct Session {
    /// The scheduler's name.
    pub name: String,
    pub incarnation: u64,
    pub link: Option<LinkId>,
    pub lease_until: Mono,
    /// Until when the lease lasts by the newest clock reading that the scheduler has echoed. The scheduler
    /// has heard nothing later for certain, so its runs are not kept alive for longer.
    pub confirmed_until: Mono,
    /// Whether the scheduler currently places nothing here, so that it needs no lease and only rare updates.
    pub standby: bool,
    /// When the last message arrived.
    pub last_heard: Mono,
    /// The ends that the scheduler has not confirmed, by number.
    pub ends: BTreeMap<u64, proto::TaskEnd>,
    /// The number of the last end that was sent on this link.
    pub last_end_sent: u64,
    /// The sequence number of the last orders that had one, echoed in updates.
    pub sequence: u64,
    /// Confirmed claims to report in the next update.
    pub claimed: Vec<JobNumber>,
    /// Denied claims to report in the next update.
    pub denied: Vec<JobNumber>,
    /// Cancelled jobs to report in the next update.
    pub cancelled: Vec<JobNumber>,
    /// Slow runs of the scheduler to report in the next update.
    pub slow: Vec<TaskName>,
    /// Whether an update is due at once.
    pub urgent: bool,
    /// Whether an update is due after the minimum gap.
    pub changed: bool,
    pub last_update: Mono,
    /// Whether the next update lists the scheduler's runs and queued tasks.
    pub list_held: bool,
    /// The hash of the profile that was last sent on this link; 0 for none.
    pub profile_sent: u64,
    /// The revision of the record of this executor's zone that was sent or received on this link.
    pub zone_sent: u64,
    /// Whether the last update reported that nothing runs here any more and nothing will be started.
    pub departure_sent: bool,
}

/// How often expired leases are looked for. The lapse of the schedulers has room for this delay.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the key of a session and of its runs: the scheduler's name and incarnation.
fn session_key(greeting: &proto::Greeting) -> String {
    format!("{}#{:x}", greeting.name, greeting.incarnation)
}

impl Executor {
    /// Handles a new link from a scheduler. It ends sessions of other incarnations and replaces an older
    /// link.
    pub fn link_up(&mut self, now: Mono, link: LinkId, greeting: &proto::Greeting) {
        self.check_leases(now);
        let owner = session_key(greeting);
        let earlier = |key: &String, s: &Session| s.name == greeting.name && *key != owner;
        let earlier = self.sessions.iter().filter(|(key, s)| earlier(key, s));
        let earlier: Vec<String> = earlier.map(|(key, _)| key.clone()).collect();
        for key in earlier {
            self.end_session(now, &key);
        }
        if self.linked_schedulers() == 0 {
            self.unlinked_at = now;
        }
        let lease_until = now + self.setup.lease;
        let session = self.sessions.entry(owner).or_insert(Session {
            name: greeting.name.clone(),
            incarnation: greeting.incarnation,
            link: None,
            lease_until,
            confirmed_until: Mono::default(),
            standby: false,
            last_heard: now,
            ends: BTreeMap::new(),
            last_end_sent: 0,
            sequence: 0,
            claimed: Vec::new(),
            denied: Vec::new(),
            cancelled: Vec::new(),
            slow: Vec::new(),
            urgent: true,
            changed: true,
            last_update: Mono::default(),
            list_held: true,
            profile_sent: 0,
            zone_sent: 0,
            departure_sent: false,
        });
        if let Some(old) = session.link.replace(link) {
            self.actions.push(Action::Close(old));
        }
        session.last_heard = now;
        session.sequence = 0;
        session.last_end_sent = 0;
        session.list_held = true;
        session.profile_sent = 0;
        session.zone_sent = 0;
        session.departure_sent = false;
        session.urgent = true;
        self.mark_leases_stale(now);
        self.log(Kind::LinkUp, format!("scheduler {}", greeting.name));
        self.advance(now);
    }

    /// Handles the loss of a link. The scheduler's runs continue until its lease expires.
    pub fn link_down(&mut self, link: LinkId) {
        let lost = |s: &&mut Session| s.link == Some(link);
        let Some(session) = self.sessions.values_mut().find(lost) else {
            return;
        };
        session.link = None;
        let detail = format!("scheduler {}", session.name);
        self.log(Kind::LinkDown, detail);
    }

    /// Handles orders from a scheduler.
    pub fn handle_orders(&mut self, now: Mono, link: LinkId, orders: proto::Orders) {
        let linked = self.sessions.iter_mut();
        let Some((name, session)) = linked.into_iter().find(|(_, s)| s.link == Some(link)) else {
            return;
        };
        let name = name.clone();
        let lease_until = Mono(orders.echo_us) + self.setup.lease;
        session.lease_until = session.lease_until.max(lease_until);
        session.confirmed_until = session.confirmed_until.max(lease_until);
        session.ends.retain(|number, _| *number > orders.seen_ends);
        if orders.sequence > 0 {
            session.sequence = orders.sequence;
            session.changed = true;
        }
        session.last_heard = now;
        let asks = !(orders.claims.is_empty() && orders.renewals.is_empty());
        // A standby scheduler expects an answer at once: it receives no frequent updates that show this
        // process alive.
        session.urgent |= asks && orders.standby;
        let toggled = std::mem::replace(&mut session.standby, orders.standby) != orders.standby;
        if toggled && !orders.standby {
            session.urgent = true;
            session.lease_until = session.lease_until.max(now + self.setup.lease);
        }
        if toggled {
            self.mark_leases_stale(now);
        }
        let fresh = now < lease_until;
        self.readopt_runs(&name);
        if let Some(state) = &orders.zone {
            self.apply_zone_state(now, &name, state);
        }
        self.register_cancels(now, &name, &orders);
        for job in orders.claims {
            self.register_claim(now, &name, JobNumber(job), false);
        }
        for job in orders.renewals {
            self.register_claim(now, &name, JobNumber(job), true);
        }
        for stop in &orders.stops {
            let (task, attempt) = TaskName::from_proto(stop);
            self.stop_on_order(now, &name, task, attempt);
        }
        if !orders.starts.is_empty() {
            self.sessions.values_mut().for_each(|s| s.changed = true);
        }
        for start in orders.starts {
            self.accept_start(now, &name, start, fresh);
        }
        if !orders.members.is_empty() {
            self.actions.push(Action::Dial(orders.members));
        }
        self.advance(now);
    }

    /// Stops the task if the scheduler's attempt runs here, or if the task is queued.
    fn stop_on_order(&mut self, now: Mono, scheduler: &str, task: TaskName, attempt: u32) {
        let mine = |s: &str, a: u32| s == scheduler && a == attempt;
        let running = self.runs.get(&task);
        let running = running.is_some_and(|r| mine(&r.scheduler, r.attempt));
        let queued = self.queue.iter().any(|w| w.task == task);
        if running || queued {
            self.stop_task(now, task, EndKind::Stopped);
        }
    }

    /// Handles an order to start tasks of a job. `fresh` tells whether the clock reading that the order
    /// echoes is less than one lease old.
    fn accept_start(&mut self, now: Mono, scheduler: &str, start: proto::StartTasks, fresh: bool) {
        let spec: Rc<str> = Rc::from(start.spec.as_str());
        let demand = Demand::from_proto(start.demand);
        for task in start.tasks {
            let name = TaskName {
                job: JobNumber(start.job),
                occurrence: start.occurrence,
                step: start.step,
                index: task.index,
            };
            let mut queued = QueuedTask {
                scheduler: scheduler.to_owned(),
                task: name,
                attempt: task.attempt,
                demand,
                spread: start.spread,
                estimate: Duration::from_millis(u64::from(start.estimate_ms)),
                arrived: now,
                latest_start: now + Duration::from_millis(u64::from(start.slack_ms)),
                spec: spec.clone(),
                checkpoint: task.checkpoint,
                crashes: CrashRecord::from_proto(task.crashes),
                preempts: start.preempts && self.setup.policy.preemption.on,
                rank: RunRank {
                    priority: start.priority,
                    stops: task.stops,
                    saves: start.saves_progress,
                    latest: now + Duration::from_millis(u64::from(start.slack_ms)),
                },
            };
            self.merge_crash_record(&mut queued);
            self.accept_task(now, queued, fresh);
        }
    }

    /// Queues a task, or returns it to its scheduler with the reason why it can't be started here.
    fn accept_task(&mut self, now: Mono, queued: QueuedTask, fresh: bool) {
        match self.start_right(&queued.scheduler, queued.task.job) {
            StartRight::Granted => {}
            StartRight::Claimed => return self.report_unstarted(now, &queued, EndKind::Claimed),
            StartRight::Cancelled => return self.refuse_cancelled(now, &queued),
        }
        if queued.crashes.is_given_up(&self.setup.policy.crashes) {
            return self.report_unstarted(now, &queued, EndKind::Crashed);
        }
        if !self.is_ready(now) || !fresh {
            return self.report_unstarted(now, &queued, EndKind::Unavailable);
        }
        if !queued.demand.fits(Demand::default(), self.capacity()) {
            return self.report_unstarted(now, &queued, EndKind::Unavailable);
        }
        if self.health.is_suspect() && !self.health.try_start_trial(now) {
            return self.report_unstarted(now, &queued, EndKind::Unavailable);
        }
        if !self.has_capacity_soon(now, queued.demand) && !self.preempt_for(now, &queued) {
            return self.report_unstarted(now, &queued, EndKind::NoRoom);
        }
        self.enqueue(queued);
    }

    /// Returns a task of a cancelled job to its scheduler, which is told that the job was cancelled.
    fn refuse_cancelled(&mut self, now: Mono, queued: &QueuedTask) {
        self.counts.cancelled_tasks += 1;
        let detail = format!("{} for {}", queued.task, queued.scheduler);
        self.log(Kind::CancelledRefused, detail);
        self.report_cancelled(&queued.scheduler, queued.task.job);
        self.report_unstarted(now, queued, EndKind::Claimed);
    }

    /// Returns all queued tasks to their schedulers.
    pub(super) fn return_queue(&mut self, now: Mono) {
        for queued in std::mem::take(&mut self.queue) {
            self.report_unstarted(now, &queued, EndKind::Unavailable);
        }
    }

    /// Returns queued tasks whose latest start has passed.
    pub(super) fn expire_queued(&mut self, now: Mono) {
        let (expired, queue) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|w| w.latest_start <= now);
        self.queue = queue;
        let expired: VecDeque<QueuedTask> = expired;
        for queued in expired {
            self.report_unstarted(now, &queued, EndKind::Expired);
        }
    }

    /// Ends expired leases, unless this was done just now. It is done before anything is sent to the worker:
    /// when this process wakes from a pause, what it handles first would renew the runs of expired leases.
    pub(super) fn check_leases(&mut self, now: Mono) {
        if now.since(self.leases_checked) >= LEASE_CHECK_INTERVAL {
            self.expire_leases(now);
        }
    }

    /// Ends the sessions whose lease has expired and stops their runs. A standby session without runs is kept
    /// while it is heard from.
    pub(super) fn expire_leases(&mut self, now: Mono) {
        self.leases_checked = now;
        let silence = self.setup.policy.cells.silence;
        let is_held = |r: &Run, owner: &str| r.scheduler == owner && r.abandoned.is_none();
        let runs = |owner: &str| self.runs.values().any(|r| is_held(r, owner));
        let expired = |owner: &str, s: &Session| {
            if s.confirmed_until > now {
                return false;
            }
            let silent = s.lease_until <= now;
            let idle = s.standby && now.since(s.last_heard) < silence;
            (silent && !idle) || runs(owner)
        };
        let expired = self.sessions.iter().filter(|(owner, s)| expired(owner, s));
        let expired: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.counts.expired_leases += 1;
            self.log(Kind::LeaseOver, format!("scheduler {name}"));
            self.end_session(now, &name);
        }
    }

    /// Ends a session: closes its link, drops its queued tasks, and abandons and stops its runs.
    fn end_session(&mut self, now: Mono, name: &str) {
        self.mark_leases_stale(now);
        let Some(session) = self.sessions.remove(name) else {
            return;
        };
        self.actions.extend(session.link.map(Action::Close));
        self.queue.retain(|w| w.scheduler != name);
        let runs = self.runs.iter_mut().filter(|(_, r)| r.scheduler == name);
        let mut tasks = Vec::new();
        for (task, run) in runs {
            run.abandoned.get_or_insert(session.confirmed_until);
            tasks.push(*task);
        }
        for task in tasks {
            self.stop_run(now, task, EndKind::Lost);
        }
    }

    /// Takes back the abandoned runs of a scheduler that has linked again: it has heard from this process
    /// since, and waits for their ends.
    fn readopt_runs(&mut self, owner: &str) {
        let Some(session) = self.sessions.get(owner) else {
            return;
        };
        let heard = session.confirmed_until;
        for run in self.runs.values_mut() {
            if run.abandoned.is_some_and(|at| at < heard) && run.scheduler == owner {
                run.abandoned = None;
            }
        }
    }

    /// Reports to a scheduler how a run ended.
    pub(super) fn report_end(
        &mut self,
        now: Mono,
        task: TaskName,
        run: &Run,
        kind: EndKind,
        checkpoint: String,
    ) {
        let end = proto::TaskEnd {
            number: 0,
            task: Some(task.proto(run.attempt)),
            kind: kind.code(),
            checkpoint,
            ran_us: crate::clock::micros(now.since(run.started_at)).max(1),
            waited_us: crate::clock::micros(run.waited),
            crashes: run.crashes.proto(),
            blame: run.blame,
            sole: run.sole,
        };
        self.push_end(&run.scheduler, end);
    }

    /// Reports to a scheduler that a task was not started.
    pub(super) fn report_unstarted(&mut self, now: Mono, queued: &QueuedTask, kind: EndKind) {
        self.counts.returned += 1;
        let end = proto::TaskEnd {
            number: 0,
            task: Some(queued.task.proto(queued.attempt)),
            kind: kind.code(),
            checkpoint: String::new(),
            ran_us: 0,
            waited_us: crate::clock::micros(now.since(queued.arrived)),
            crashes: queued.crashes.proto(),
            blame: 0,
            sole: false,
        };
        self.push_end(&queued.scheduler, end);
    }

    /// Numbers an end and keeps it for the scheduler until it is confirmed.
    fn push_end(&mut self, scheduler: &str, mut end: proto::TaskEnd) {
        for session in self.sessions.values_mut() {
            session.changed = true;
        }
        if let Some(session) = self.sessions.get_mut(scheduler) {
            self.last_end += 1;
            end.number = self.last_end;
            session.ends.insert(end.number, end);
            session.urgent = true;
        }
    }
}
