//! Sessions with schedulers: leases, orders taken in, ends and reports given out.

use std::collections::BTreeMap;
use std::rc::Rc;

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use super::Action;
use super::Executor;
use super::runs::Run;
use super::runs::Waiting;
use crate::dispatch::crashes::CrashRecord;
use crate::dispatch::model::Demand;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::Free;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// A session with one life of a scheduler. It outlasts its link by what is left of the lease.
#[derive(Debug)]
pub(super) struct Session {
    /// The scheduler's name.
    pub name: String,
    pub link: Option<LinkId>,
    pub lease_until: Mono,
    /// Whether the scheduler places nothing here at present: it needs no lease and seldom a report.
    pub standby: bool,
    pub heard: Mono,
    /// Ends the scheduler has not confirmed, by number.
    pub ends: BTreeMap<u64, proto::TaskEnd>,
    pub told: u64,
    pub sequence: u64,
    pub claimed: Vec<JobNumber>,
    pub denied: Vec<JobNumber>,
    /// Runs of the scheduler that go slowly and that it has not been told of yet.
    pub slow: Vec<TaskName>,
    pub urgent: bool,
    pub changed: bool,
    pub last_sent: Mono,
    /// Whether what is held must be listed in the next update.
    pub list_held: bool,
    /// The edition of the profile that was last sent on this link; 0 for none.
    pub profile_told: u64,
    /// The revision of the word on the own zone that was sent or came on this link.
    pub zone_told: u64,
}

/// What has changed of leases is told after this long: a scheduler that has just linked says within a round trip
/// whether it places tasks here, and in a large fleet most do not.
const LEASES_SETTLE: Duration = Duration::from_millis(20);

/// A run that goes slowly, as it is told; none if it is not there any more.
fn slow_run(runs: &BTreeMap<TaskName, Run>, task: TaskName) -> Option<proto::SlowRun> {
    let run = runs.get(&task)?;
    Some(proto::SlowRun {
        task: Some(task.proto(run.attempt)),
        remaining_ms: crate::clock::millis(run.remaining?) as u32,
    })
}

/// The key of a session, and of what runs for it: a scheduler's name and life.
fn owner_of(greeting: &proto::Greeting) -> String {
    format!("{}#{:x}", greeting.name, greeting.incarnation)
}

impl Executor {
    /// A scheduler's link is up.
    pub fn link_up(&mut self, now: Mono, link: LinkId, greeting: &proto::Greeting) {
        let owner = owner_of(greeting);
        let earlier = |key: &String, s: &Session| s.name == greeting.name && *key != owner;
        let earlier = self.sessions.iter().filter(|(key, s)| earlier(key, s));
        let earlier: Vec<String> = earlier.map(|(key, _)| key.clone()).collect();
        for key in earlier {
            self.end_session(now, &key);
        }
        let lease_until = now + self.setup.lease;
        let session = self.sessions.entry(owner).or_insert(Session {
            name: greeting.name.clone(),
            link: None,
            lease_until,
            standby: false,
            heard: now,
            ends: BTreeMap::new(),
            told: 0,
            sequence: 0,
            claimed: Vec::new(),
            denied: Vec::new(),
            slow: Vec::new(),
            urgent: true,
            changed: true,
            last_sent: Mono::default(),
            list_held: true,
            profile_told: 0,
            zone_told: 0,
        });
        if let Some(old) = session.link.replace(link) {
            self.actions.push(Action::Close(old));
        }
        session.heard = now;
        session.sequence = 0;
        session.told = 0;
        session.list_held = true;
        session.profile_told = 0;
        session.zone_told = 0;
        session.urgent = true;
        self.leases_changed(now);
        self.log(Kind::LinkUp, format!("scheduler {}", greeting.name));
        self.work(now);
    }

    /// A link is down. What runs for its scheduler goes on until the lease is over.
    pub fn link_down(&mut self, link: LinkId) {
        let lost = |s: &&mut Session| s.link == Some(link);
        let Some(session) = self.sessions.values_mut().find(lost) else {
            return;
        };
        session.link = None;
        let detail = format!("scheduler {}", session.name);
        self.log(Kind::LinkDown, detail);
    }

    /// Orders from a scheduler.
    pub fn orders(&mut self, now: Mono, link: LinkId, orders: proto::Orders) {
        let linked = self.sessions.iter_mut();
        let Some((name, session)) = linked.into_iter().find(|(_, s)| s.link == Some(link)) else {
            return;
        };
        let name = name.clone();
        let lease_until = Mono(orders.echo_us) + self.setup.lease;
        session.lease_until = session.lease_until.max(lease_until);
        session.ends.retain(|number, _| *number > orders.seen_ends);
        if orders.sequence > 0 {
            session.sequence = orders.sequence;
            session.changed = true;
        }
        session.heard = now;
        let asks = !(orders.claims.is_empty() && orders.renewals.is_empty());
        // It counts on an answer at once, since it does not hear otherwise whether this process lives.
        session.urgent |= asks && orders.standby;
        let moved = std::mem::replace(&mut session.standby, orders.standby) != orders.standby;
        if moved && !orders.standby {
            session.urgent = true;
            session.lease_until = session.lease_until.max(now + self.setup.lease);
        }
        if moved {
            self.leases_changed(now);
        }
        let fresh = now < lease_until;
        if let Some(state) = &orders.zone {
            self.hear_of_zone(now, &name, state);
        }
        for job in orders.claims {
            self.claim(now, &name, JobNumber(job), false);
        }
        for job in orders.renewals {
            self.claim(now, &name, JobNumber(job), true);
        }
        for stop in &orders.stops {
            let (task, attempt) = TaskName::from_proto(stop);
            self.stop_for(now, &name, task, attempt);
        }
        if !orders.starts.is_empty() {
            self.sessions.values_mut().for_each(|s| s.changed = true);
        }
        for start in orders.starts {
            self.take_start(now, &name, start, fresh);
        }
        if !orders.members.is_empty() {
            self.actions.push(Action::Dial(orders.members));
        }
        self.work(now);
    }

    fn stop_for(&mut self, now: Mono, scheduler: &str, task: TaskName, attempt: u32) {
        let mine = |s: &str, a: u32| s == scheduler && a == attempt;
        let runs = self.runs.get(&task);
        let runs = runs.is_some_and(|r| mine(&r.scheduler, r.attempt));
        let waits = self.queue.iter().any(|w| w.task == task);
        if runs || waits {
            self.stop_task(now, task, EndKind::Stopped);
        }
    }

    fn take_start(&mut self, now: Mono, scheduler: &str, start: proto::StartTasks, fresh: bool) {
        let spec: Rc<str> = Rc::from(start.spec.as_str());
        let demand = Demand::from_proto(start.demand);
        for task in start.tasks {
            let name = TaskName {
                job: JobNumber(start.job),
                occurrence: start.occurrence,
                step: start.step,
                index: task.index,
            };
            let mut waiting = Waiting {
                scheduler: scheduler.to_owned(),
                task: name,
                attempt: task.attempt,
                demand,
                spread: start.spread,
                estimate: Duration::from_millis(u64::from(start.estimate_ms)),
                came: now,
                latest: now + Duration::from_millis(u64::from(start.slack_ms)),
                spec: spec.clone(),
                checkpoint: task.checkpoint,
                crashes: CrashRecord::from_proto(task.crashes),
            };
            self.recall_crashes(&mut waiting);
            self.take_task(now, waiting, fresh);
        }
    }

    fn take_task(&mut self, now: Mono, waiting: Waiting, fresh: bool) {
        if self.claimed_from(&waiting.scheduler, waiting.task.job) {
            return self.tell_unstarted(now, &waiting, EndKind::Claimed);
        }
        if waiting.crashes.is_final(&self.setup.policy.crashes) {
            return self.tell_unstarted(now, &waiting, EndKind::Crashed);
        }
        if !self.ready(now) || !fresh {
            return self.tell_unstarted(now, &waiting, EndKind::Unavailable);
        }
        if !waiting.demand.fits(Demand::default(), self.capacity()) {
            return self.tell_unstarted(now, &waiting, EndKind::Unavailable);
        }
        if self.health.is_suspect() && !self.health.may_try(now) {
            return self.tell_unstarted(now, &waiting, EndKind::Unavailable);
        }
        if !self.has_room_soon(now, waiting.demand) {
            return self.tell_unstarted(now, &waiting, EndKind::NoRoom);
        }
        self.enqueue(waiting);
    }

    /// Hands back the tasks that wait.
    pub(super) fn return_queue(&mut self, now: Mono) {
        for waiting in std::mem::take(&mut self.queue) {
            self.tell_unstarted(now, &waiting, EndKind::Unavailable);
        }
    }

    /// Hands back tasks whose time has passed.
    pub(super) fn expire_waiting(&mut self, now: Mono) {
        while self.queue.front().is_some_and(|w| w.latest <= now) {
            let waiting = self.queue.pop_front().expect("it is there");
            self.tell_unstarted(now, &waiting, EndKind::Expired);
        }
    }

    /// Ends the sessions whose lease is over; what runs for them is stopped.
    pub(super) fn expire_leases(&mut self, now: Mono) {
        let silence = self.setup.policy.cells.silence;
        let runs = |owner: &str| self.runs.values().any(|r| r.scheduler == owner);
        let idle =
            |owner: &str, s: &Session| s.standby && now.since(s.heard) < silence && !runs(owner);
        let over = self.sessions.iter();
        let over = over.filter(|(owner, s)| s.lease_until <= now && !idle(owner, s));
        let over: Vec<String> = over.map(|(name, _)| name.clone()).collect();
        for name in over {
            self.counts.lapsed += 1;
            self.log(Kind::LeaseOver, format!("scheduler {name}"));
            self.end_session(now, &name);
        }
    }

    fn end_session(&mut self, now: Mono, name: &str) {
        self.leases_changed(now);
        if let Some(session) = self.sessions.remove(name)
            && let Some(link) = session.link
        {
            self.actions.push(Action::Close(link));
        }
        self.queue.retain(|w| w.scheduler != name);
        let runs = self.runs.iter().filter(|(_, r)| r.scheduler == name);
        let tasks: Vec<TaskName> = runs.map(|(t, _)| *t).collect();
        for task in tasks {
            self.stop_run(now, task, EndKind::Lost);
        }
    }

    /// Tells a scheduler how a run ended.
    pub(super) fn tell_end(
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
            ran_us: crate::clock::micros(now.since(run.began)).max(1),
            waited_us: crate::clock::micros(run.waited),
            crashes: run.crashes.proto(),
            blame: run.blame,
            sole: run.sole,
        };
        self.push_end(&run.scheduler, end);
    }

    /// Tells a scheduler that a task was not started.
    pub(super) fn tell_unstarted(&mut self, now: Mono, waiting: &Waiting, kind: EndKind) {
        self.counts.returned += 1;
        let end = proto::TaskEnd {
            number: 0,
            task: Some(waiting.task.proto(waiting.attempt)),
            kind: kind.code(),
            checkpoint: String::new(),
            ran_us: 0,
            waited_us: crate::clock::micros(now.since(waiting.came)),
            crashes: waiting.crashes.proto(),
            blame: 0,
            sole: false,
        };
        self.push_end(&waiting.scheduler, end);
    }

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

    /// Sends updates to the schedulers that are due one.
    pub(super) fn report(&mut self, now: Mono) {
        self.settle_leases(now);
        let reports = self.setup.policy.reports;
        let idle_heartbeat = self.setup.policy.cells.heartbeat;
        let near = self.sessions.values().filter(|s| !s.standby).count() as u32;
        let least = reports.gap.max(reports.gap_each * near);
        let edition = self.profile_edition;
        let due = |s: &Session| {
            let gap = now.since(s.last_sent);
            let untold = s.profile_told != edition;
            match s.standby {
                _ if s.urgent => true,
                true => gap >= idle_heartbeat || (untold && gap >= reports.heartbeat),
                false => gap >= reports.heartbeat || (s.changed && gap >= least),
            }
        };
        let linked = self.sessions.iter().filter(|(_, s)| s.link.is_some());
        let names = linked.filter(|(_, s)| due(s)).map(|(n, _)| n.clone());
        let names: Vec<String> = names.collect();
        for name in names {
            self.send_update(now, &name);
        }
    }

    fn send_update(&mut self, now: Mono, name: &str) {
        let worker = Some(self.worker_report(now));
        let told = self.sessions[name].profile_told;
        let untold = told != self.profile_edition;
        let profile = untold.then(|| self.profile_for(name));
        let held = self.sessions[name].list_held.then(|| self.held_for(name));
        let Some(session) = self.sessions.get_mut(name) else {
            return;
        };
        let Some(link) = session.link else {
            return;
        };
        let fresh = session.ends.range(session.told + 1..);
        let ends: Vec<proto::TaskEnd> = fresh.map(|(_, e)| e.clone()).collect();
        session.told = self.last_end;
        session.urgent = false;
        session.changed = false;
        session.list_held = false;
        if let Some(profile) = &profile {
            session.profile_told = edition_of(profile);
        }
        session.last_sent = now;
        let claimed: Vec<JobNumber> = session.claimed.drain(..).collect();
        let crashed = claimed.iter().flat_map(|job| self.memory.of_job(*job));
        let crashed = crashed.collect();
        let claimed = claimed.iter().map(|job| job.0).collect();
        let denied = session.denied.drain(..).map(|j| j.0).collect();
        let word = self.zone_word;
        let news = word.revision > session.zone_told;
        session.zone_told = session.zone_told.max(word.revision);
        let zone = news.then(|| word.proto(&self.setup.zone));
        let slow = std::mem::take(&mut session.slow);
        let slow = slow.iter().filter_map(|task| slow_run(&self.runs, *task));
        let slow = slow.collect();
        let worker = worker.map(|w| proto::WorkerReport {
            sequence: session.sequence,
            ..w
        });
        let update = proto::Update {
            clock_us: now.0,
            worker,
            ends,
            claimed,
            held,
            denied,
            profile,
            slow,
            crashed,
            zone,
        };
        let body = proto::frame::Body::Update(update);
        self.actions.push(Action::Send(link, body));
    }

    /// Notes that a run goes slowly at a worker that is slow, so that its scheduler can have it run
    /// elsewhere.
    pub(super) fn tell_if_slow(&mut self, task: TaskName) {
        let slow =
            f64::from(self.health.pace_percent()) > self.setup.policy.health.slow_ratio * 100.0;
        let Some(run) = self.runs.get(&task).filter(|_| slow) else {
            return;
        };
        let remaining = run.remaining.unwrap_or_default();
        if remaining > run.estimate
            && let Some(session) = self.sessions.get_mut(&run.scheduler)
            && !session.slow.contains(&task)
        {
            session.slow.push(task);
            session.changed = true;
        }
    }

    fn held_for(&self, name: &str) -> proto::HeldTasks {
        let runs = self.runs.iter().filter(|(_, r)| r.scheduler == name);
        let runs = runs.map(|(t, r)| t.proto(r.attempt));
        let waits = self.queue.iter().filter(|w| w.scheduler == name);
        let waits = waits.map(|w| w.task.proto(w.attempt));
        proto::HeldTasks {
            tasks: runs.chain(waits).collect(),
        }
    }

    fn worker_report(&self, now: Mono) -> proto::WorkerReport {
        let Some(worker) = &self.worker else {
            return proto::WorkerReport::default();
        };
        let capacity = worker.beat.capacity;
        let mut free = Free::of(capacity).less(self.used);
        for waiting in &self.queue {
            free = free.less(waiting.demand);
        }
        proto::WorkerReport {
            ready: self.ready(now),
            free_cpu_milli: free.cpu_milli,
            free_memory_mb: free.memory_mb,
            free_gpu: free.gpu,
            sequence: 0,
            pace_percent: self.health.pace_percent(),
            suspect: self.health.is_suspect(),
        }
    }

    /// Takes note that what schedulers are told seldom has changed.
    pub(super) fn profile_changed(&mut self) {
        self.profile_edition = edition_of(&self.profile(self.leased.clone()));
        for session in self.sessions.values_mut() {
            session.changed = true;
        }
    }

    /// Takes note that schedulers have come or gone, or have begun or ceased to place tasks here.
    fn leases_changed(&mut self, now: Mono) {
        self.leases_stale.get_or_insert(now);
    }

    /// Tells who holds leases here, once it has been the same for a moment.
    fn settle_leases(&mut self, now: Mono) {
        if self
            .leases_stale
            .is_none_or(|at| now.since(at) < LEASES_SETTLE)
        {
            return;
        }
        self.leases_stale = None;
        let holders = self.sessions.values().filter(|s| !s.standby);
        let mut leased: Vec<String> = holders.map(|s| s.name.clone()).collect();
        leased.sort();
        if leased != self.leased {
            self.leased = leased;
            self.profile_changed();
        }
    }

    /// The profile as one scheduler is told it. One that has just linked counts as holding a lease.
    fn profile_for(&self, owner: &str) -> proto::Profile {
        let mut leased = self.leased.clone();
        let session = &self.sessions[owner];
        if !session.standby && !leased.contains(&session.name) {
            leased.push(session.name.clone());
            leased.sort();
        }
        self.profile(leased)
    }

    fn profile(&self, leased: Vec<String>) -> proto::Profile {
        let Some(worker) = &self.worker else {
            return proto::Profile {
                leased,
                ..proto::Profile::default()
            };
        };
        proto::Profile {
            worker: worker.beat.life.clone(),
            service: worker.beat.service.clone(),
            capacity: Some(worker.beat.capacity.proto()),
            labels: worker.beat.labels.clone(),
            leased,
        }
    }
}

/// Tells editions of the profile apart.
pub(super) fn edition_of(profile: &proto::Profile) -> u64 {
    xxh3_64(&profile.encode_to_vec())
}
