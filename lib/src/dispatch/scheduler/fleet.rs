//! The executors that a scheduler knows: links that come and go, what they report, which are given up.

use slotmap::new_key_type;

use super::Action;
use super::LinkEnd;
use super::Scheduler;
use super::executor_view::ExecutorView;
use crate::dispatch::model::Demand;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::dispatch::rank::Rank;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

new_key_type! {
    /// An executor that the scheduler knows.
    pub struct ExecutorKey;
}

impl Scheduler {
    pub(super) fn executor_up(&mut self, link: LinkId, greeting: &proto::Greeting) {
        let now = self.now;
        let key = self.executor_named(greeting);
        let old = self.unlink_executor(key);
        self.actions.extend(old.map(Action::Close));
        self.ends.insert(link, LinkEnd::Executor(key));
        let executor = &mut self.executors[key];
        executor.take_link(now, link, greeting, self.setup.lapse);
        self.leases.add(&executor.profile.leased);
        self.paces.add(executor.report.pace_percent);
        self.speeds.add(executor.report.slowness_percent);
        executor.rank = Rank::of(
            &self.setup.name,
            &greeting.name,
            greeting.zone == self.setup.zone,
        );
        executor.evacuated = self.zones.is_evacuated(&greeting.zone);
        self.log(Kind::LinkUp, format!("executor {}", greeting.name));
        self.cell.stale = true;
        self.pending.push(key);
        self.invalidate_unreachable();
        self.claim_at(key);
        self.tell_executor(&greeting.name);
    }

    /// The executor that a greeting names, which may not have been known.
    fn executor_named(&mut self, greeting: &proto::Greeting) -> ExecutorKey {
        if let Some(key) = self.executor_keys.get(&greeting.name) {
            return *key;
        }
        let executor = ExecutorView::new(self.now, greeting, self.setup.policy);
        let key = self.executors.insert(executor);
        self.executor_keys.insert(greeting.name.clone(), key);
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
        self.speeds.remove(executor.report.slowness_percent);
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
        let met = |e: &ExecutorView| e.link.is_some() || e.departed || self.is_accounted(e);
        let key = self.executor_keys.get(name);
        key.is_some_and(|key| met(&self.executors[*key]))
    }

    /// Notes executors that there are, by a peer or the store, so that it is known if they can't
    /// be reached from here.
    pub(super) fn hear_of_executors(&mut self, names: &[String]) {
        for name in names {
            if self.executor_keys.contains_key(name) {
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
        // One on standby is heard seldom: what it said last may be old.
        executor.accounted = update.accounted && !executor.standby;
        executor.newcomers = update.newcomers;
        if let Some(profile) = update.profile {
            executor.capacity = Demand::from_proto(profile.capacity);
            self.leases.add(&profile.leased);
            let before = std::mem::replace(&mut executor.profile, profile);
            self.leases.remove(&before.leased);
            self.invalidate_unreachable();
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
            self.speeds.add(report.slowness_percent);
            self.speeds.remove(executor.report.slowness_percent);
            executor.take_report(report);
        }
        for end in update.ends {
            self.handle_task_end(key, &end);
        }
        self.update_slow_state(key);
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
            self.handle_crashed_task(task);
        }
        for job in update.claimed {
            self.confirm_claim(JobNumber(job), key);
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
            self.finish_attempt(key, task, attempt, EndKind::Lost);
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
        self.invalidate_unreachable();
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
            self.executor_keys.remove(&executor.name);
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
            self.finish_attempt(key, task, attempt, EndKind::Lost);
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
