//! The executors that a scheduler knows: links, updates, and executors that are given up.
//!
//! Input are greetings, updates and link losses of executors, and names of executors from peers and the
//! store. Tasks of an executor that has been silent for `SchedulerSetup::lapse` are treated as lost, since
//! nothing runs there by then for this scheduler.

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
    /// Identifies an executor that the scheduler knows.
    pub struct ExecutorKey;
}

impl Scheduler {
    /// Registers a new link to an executor, closes the previous one, and sends the claims that are open.
    pub(super) fn executor_up(&mut self, link: LinkId, greeting: &proto::Greeting) {
        let now = self.now;
        let key = self.find_or_add_executor(greeting);
        let old = self.unlink_executor(key);
        self.actions.extend(old.map(Action::Close));
        self.link_ends.insert(link, LinkEnd::Executor(key));
        let executor = &mut self.executors[key];
        executor.attach_link(now, link, greeting, self.setup.lapse);
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
        self.send_open_claims(key);
        self.send_own_cancels(key);
        self.announce_executor(&greeting.name);
    }

    /// Returns the executor that a greeting names, and adds it if it is not known yet.
    fn find_or_add_executor(&mut self, greeting: &proto::Greeting) -> ExecutorKey {
        if let Some(key) = self.executor_keys.get(&greeting.name) {
            return *key;
        }
        let executor = ExecutorView::new(self.now, greeting, self.setup.policy);
        let key = self.executors.insert(executor);
        self.executor_keys.insert(greeting.name.clone(), key);
        key
    }

    /// Marks an executor as not linked. Returns the link that it had, if any.
    pub(super) fn unlink_executor(&mut self, key: ExecutorKey) -> Option<LinkId> {
        let executor = &mut self.executors[key];
        executor.report.ready = false;
        let link = executor.link?;
        executor.detach_link(self.now);
        self.cell.stale = true;
        self.leases.remove(&executor.profile.leased);
        self.paces.remove(executor.report.pace_percent);
        self.speeds.remove(executor.report.slowness_percent);
        self.link_ends.remove(&link);
        Some(link)
    }

    /// Returns the names of the linked executors.
    pub(super) fn linked_executors(&self) -> Vec<String> {
        let linked = self.executors.values().filter(|e| e.link.is_some());
        linked.map(|e| e.name.clone()).collect()
    }

    /// Returns whether an executor is linked, has departed, or is silent but accounted for: all schedulers
    /// for which tasks may still run there are linked here and have listed their jobs.
    pub(super) fn is_linked_or_accounted(&self, name: &str) -> bool {
        let accounted = |e: &ExecutorView| e.link.is_some() || e.departed || self.is_accounted(e);
        let key = self.executor_keys.get(name);
        key.is_some_and(|key| accounted(&self.executors[*key]))
    }

    /// Adds executors that a peer or the store has named, so that claims take those into account that
    /// can't be reached from here. They count as silent for `SchedulerSetup::lapse` already.
    pub(super) fn record_executors(&mut self, names: &[String]) {
        for name in names {
            if self.executor_keys.contains_key(name) {
                continue;
            }
            let greeting = proto::Greeting {
                name: name.clone(),
                ..proto::Greeting::default()
            };
            let key = self.find_or_add_executor(&greeting);
            self.executors[key].last_heard = self.now - self.setup.lapse;
        }
    }

    /// Asks a newly linked executor to confirm the claims that are open.
    fn send_open_claims(&mut self, key: ExecutorKey) {
        for job in self.claiming_jobs() {
            self.ask_claim(job, key);
        }
    }

    /// Applies an update of an executor, and places the tasks that fit afterwards.
    pub(super) fn apply_executor_update(&mut self, key: ExecutorKey, update: proto::Update) {
        let now = self.now;
        let executor = &mut self.executors[key];
        executor.last_heard = now;
        executor.clock_us = executor.clock_us.max(update.clock_us);
        executor.departed = update.departed;
        // Executors on standby report seldom, so their last update may be outdated.
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
            executor.zone_revision = executor.zone_revision.max(state.revision);
            let name = executor.name.clone();
            self.record_zone_state(&state, &name);
        }
        let executor = &mut self.executors[key];
        if let Some(report) = update.worker {
            self.paces.add(report.pace_percent);
            self.paces.remove(executor.report.pace_percent);
            self.speeds.add(report.slowness_percent);
            self.speeds.remove(executor.report.slowness_percent);
            executor.apply_report(report);
        }
        // Before the ends: those of a cancelled job must not make it end in another way.
        for cancelled in &update.cancelled {
            self.learn_cancel(key, cancelled);
        }
        if update.cancels_wanted {
            self.send_all_cancels(key);
        }
        for end in update.ends {
            self.handle_task_end(key, &end);
        }
        self.update_slow_state(key);
        for run in &update.slow {
            self.move_slow_run(key, run);
        }
        match (update.held, self.executors[key].predecessor_until) {
            (_, Some(at)) => self.settle_predecessor(key, at),
            (Some(held), None) => self.reconcile(key, &held),
            (None, None) => {}
        }
        for job in update.denied {
            self.end_claimed_job(JobNumber(job));
        }
        for task in &update.crashed {
            self.handle_crashed_task(task);
        }
        for job in update.claimed {
            self.confirm_claim(JobNumber(job), key);
        }
        self.place();
    }

    /// Records the number of a task end. Returns whether the end has not been seen before.
    pub(super) fn mark_end_seen(&mut self, key: ExecutorKey, number: u64) -> bool {
        let executor = &mut self.executors[key];
        let new = number > executor.seen_ends;
        executor.seen_ends = executor.seen_ends.max(number);
        new
    }

    /// Treats the tasks of an executor's previous incarnation as lost once its worker is ready again, or once
    /// they can't run any more at the latest.
    fn settle_predecessor(&mut self, key: ExecutorKey, at: Mono) {
        let executor = &mut self.executors[key];
        if executor.report.ready || self.now >= at {
            executor.predecessor_until = None;
            self.mark_tasks_lost(key);
        }
    }

    /// Compares the tasks that are placed at an executor with those that it holds, after a link broke that may
    /// have carried orders. Tasks that it does not hold are treated as lost and placed again; those that are
    /// not placed there any more, whose stops were lost, are stopped.
    fn reconcile(&mut self, key: ExecutorKey, held: &proto::HeldTasks) {
        let held: Vec<(TaskName, u32)> = held.tasks.iter().map(TaskName::from_proto).collect();
        let placed = &self.executors[key].placed;
        let lost = placed.iter().map(|(t, a)| (*t, *a));
        let lost: Vec<(TaskName, u32)> = lost.filter(|t| !held.contains(t)).collect();
        let unwanted = |(task, attempt): &&(TaskName, u32)| placed.get(task) != Some(attempt);
        let unwanted: Vec<(TaskName, u32)> = held.iter().filter(unwanted).copied().collect();
        for (task, attempt) in unwanted {
            self.executors[key].orders.stops.push(task.proto(attempt));
            self.pending.push(key);
        }
        for (task, attempt) in lost {
            self.finish_attempt(key, task, attempt, EndKind::Lost);
        }
    }

    /// Handles the loss of the link to an executor. Its tasks stay placed: it may link again in time.
    pub(super) fn executor_down(&mut self, key: ExecutorKey) {
        let executor = &self.executors[key];
        let detail = format!(
            "executor {}, heard {} ms ago",
            executor.name,
            crate::clock::millis(self.now.since(executor.last_heard)),
        );
        self.unlink_executor(key);
        self.log(Kind::LinkDown, detail);
        self.invalidate_unreachable();
    }

    /// Closes silent links, treats the tasks of executors as lost that have been silent for
    /// `SchedulerSetup::lapse`, and forgets executors that have been silent for long and are not in the
    /// roster.
    pub(super) fn watch_executors(&mut self) {
        let keys: Vec<ExecutorKey> = self.executors.keys().collect();
        for key in keys {
            let (since, bound) = self.executors[key].silence_limit();
            let link = self.executors[key].link;
            if self.silence(since) >= bound
                && let Some(link) = link
            {
                self.actions.push(Action::Close(link));
                self.executor_down(key);
            }
            let silent = self.silence(self.executors[key].last_heard);
            if silent >= self.setup.lapse {
                self.mark_tasks_lost(key);
            }
            if silent >= self.setup.policy.claims.forgotten && !self.is_in_roster(key) {
                self.forget_executor(key);
            }
        }
    }

    /// Removes an executor.
    fn forget_executor(&mut self, key: ExecutorKey) {
        self.unlink_executor(key);
        if let Some(executor) = self.executors.remove(key) {
            self.executor_keys.remove(&executor.name);
        }
    }

    /// Returns whether the store's list of executors contains an executor; false while the list is not known.
    fn is_in_roster(&self, key: ExecutorKey) -> bool {
        let name = &self.executors[key].name;
        self.roster.as_ref().is_some_and(|r| r.contains(name))
    }

    /// Treats all tasks that are placed at an executor as lost.
    fn mark_tasks_lost(&mut self, key: ExecutorKey) {
        let placed = self.executors[key].placed.iter();
        let placed: Vec<(TaskName, u32)> = placed.map(|(t, a)| (*t, *a)).collect();
        for (task, attempt) in placed {
            self.finish_attempt(key, task, attempt, EndKind::Lost);
        }
    }

    /// Queues an order to stop a task, which counts as no longer placed.
    pub(super) fn queue_stop(&mut self, key: ExecutorKey, task: TaskName, attempt: u32) {
        if let Some(executor) = self.executors.get_mut(key) {
            executor.orders.stops.push(task.proto(attempt));
            executor.placed.remove(&task);
            self.pending.push(key);
        }
    }
}
