//! Updates to schedulers: the worker's state, ends, confirmed claims, and the rarely changing profile.
//!
//! An update is sent to a session when it is due; parts that the link already carried are left out.

use std::collections::BTreeMap;

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use super::Action;
use super::Executor;
use super::runs::Run;
use super::sessions::Session;
use crate::dispatch::model::FreeCapacity;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// Changes of leases are published after this delay. A scheduler that has just linked reports within a round
/// trip whether it places tasks here, and in a large fleet most do not.
const LEASE_DELAY: Duration = Duration::from_millis(20);

/// Returns the message about a slow run; `None` if the run has ended.
fn slow_run(runs: &BTreeMap<TaskName, Run>, task: TaskName) -> Option<proto::SlowRun> {
    let run = runs.get(&task)?;
    Some(proto::SlowRun {
        task: Some(task.proto(run.attempt)),
        remaining_ms: crate::clock::millis(run.remaining?) as u32,
    })
}

impl Executor {
    /// Sends updates to the schedulers for which one is due.
    pub(super) fn send_due_updates(&mut self, now: Mono) {
        self.publish_leases(now);
        let reports = self.setup.policy.reports;
        let idle_heartbeat = self.setup.policy.cells.heartbeat;
        let active = self.sessions.values().filter(|s| !s.standby).count() as u32;
        let min_gap = reports.gap.max(reports.gap_each * active);
        let profile_hash = self.profile_hash;
        let departed = self.has_departed(now);
        let due = |s: &Session| {
            let gap = now.since(s.last_update);
            let outdated = s.profile_sent != profile_hash;
            match s.standby {
                _ if s.urgent || s.departure_sent != departed => true,
                true => gap >= idle_heartbeat || (outdated && gap >= reports.heartbeat),
                false => gap >= reports.heartbeat || (s.changed && gap >= min_gap),
            }
        };
        let linked = self.sessions.iter().filter(|(_, s)| s.link.is_some());
        let names = linked.filter(|(_, s)| due(s)).map(|(n, _)| n.clone());
        let names: Vec<String> = names.collect();
        for name in names {
            self.send_update(now, &name);
        }
    }

    /// Sends an update on the session's link, if it has one.
    fn send_update(&mut self, now: Mono, name: &str) {
        let worker = Some(self.worker_report(now));
        let departed = self.has_departed(now);
        let accounted = self.is_accounted(now);
        let sent = self.sessions[name].profile_sent;
        let outdated = sent != self.profile_hash;
        let profile = outdated.then(|| self.profile_for(name));
        let held = self.sessions[name].list_held.then(|| self.held_tasks(name));
        // In the first update on a link, so that they come before anything that the scheduler places here.
        let cancels_wanted = held.is_some() && self.may_lack_cancels(now);
        let Some(session) = self.sessions.get_mut(name) else {
            return;
        };
        let Some(link) = session.link else {
            return;
        };
        let unsent = session.ends.range(session.last_end_sent + 1..);
        let ends: Vec<proto::TaskEnd> = unsent.map(|(_, e)| e.clone()).collect();
        session.last_end_sent = self.last_end;
        session.urgent = false;
        session.changed = false;
        session.list_held = false;
        if let Some(profile) = &profile {
            session.profile_sent = hash_profile(profile);
        }
        session.departure_sent = departed;
        session.last_update = now;
        let claimed: Vec<JobNumber> = session.claimed.drain(..).collect();
        let crashed = claimed
            .iter()
            .flat_map(|job| self.crash_memory.job_records(*job));
        let crashed = crashed.collect();
        let claimed = claimed.iter().map(|job| job.0).collect();
        let denied = session.denied.drain(..).map(|j| j.0).collect();
        let cancelled = std::mem::take(&mut session.cancelled);
        let cancelled = cancelled.into_iter();
        let cancelled = cancelled.filter_map(|job| self.cancels.proto_of(now, job));
        let cancelled = cancelled.collect();
        let record = self.zone_record;
        let news = record.revision > session.zone_sent;
        session.zone_sent = session.zone_sent.max(record.revision);
        let zone = news.then(|| record.proto(&self.setup.zone));
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
            departed,
            accounted,
            newcomers: self.unpublished_holders(),
            cancelled,
            cancels_wanted,
        };
        let body = proto::frame::Body::Update(update);
        self.actions.push(Action::Send(link, Box::new(body)));
    }

    /// Queues a report of a slow run at a slow worker, so that its scheduler can move it to another worker.
    pub(super) fn report_if_slow(&mut self, task: TaskName) {
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

    /// Returns the runs and queued tasks of a scheduler.
    fn held_tasks(&self, name: &str) -> proto::HeldTasks {
        let runs = self.runs.iter().filter(|(_, r)| r.scheduler == name);
        let runs = runs.map(|(t, r)| t.proto(r.attempt));
        let queued = self.queue.iter().filter(|w| w.scheduler == name);
        let queued = queued.map(|w| w.task.proto(w.attempt));
        proto::HeldTasks {
            tasks: runs.chain(queued).collect(),
        }
    }

    /// Returns the worker's state. Queued tasks count against the free capacity, which can become negative.
    fn worker_report(&self, now: Mono) -> proto::WorkerReport {
        let Some(worker) = &self.worker else {
            return proto::WorkerReport::default();
        };
        let capacity = worker.heartbeat.capacity;
        let mut free = FreeCapacity::of(capacity).less(self.allocated);
        for queued in &self.queue {
            free = free.less(queued.demand);
        }
        proto::WorkerReport {
            ready: self.is_ready(now),
            free_cpu_milli: free.cpu_milli,
            free_memory_mb: free.memory_mb,
            free_gpu: free.gpu,
            sequence: 0,
            pace_percent: self.health.pace_percent(),
            suspect: self.health.is_suspect(),
            slowness_percent: self.slowness_percent(),
            preemptible_cpu_milli: self.preemptible_cpu(now),
        }
    }

    /// Updates the hash of the profile after a change, so that the new profile is sent.
    pub(super) fn update_profile(&mut self) {
        self.profile_hash = hash_profile(&self.profile(self.leased.clone()));
        for session in self.sessions.values_mut() {
            session.changed = true;
        }
    }

    /// Marks the published leases as outdated: a scheduler has linked or gone, or its standby state has
    /// changed.
    pub(super) fn mark_leases_stale(&mut self, now: Mono) {
        self.stale_since.get_or_insert(now);
    }

    /// Publishes who holds leases here, with a delay that batches changes.
    fn publish_leases(&mut self, now: Mono) {
        if self
            .stale_since
            .is_none_or(|at| now.since(at) < LEASE_DELAY)
        {
            return;
        }
        self.stale_since = None;
        let holders = self.sessions.values().filter(|s| !s.standby);
        let mut leased: Vec<String> = holders.map(|s| s.name.clone()).collect();
        leased.sort();
        let owners = self.lease_holders();
        if leased != self.leased || owners != self.owners {
            self.leased = leased;
            self.owners = owners;
            self.update_profile();
        }
    }

    /// Returns the incarnations of the schedulers that hold leases here; empty if the recovery policy is off.
    fn lease_holders(&self) -> Vec<u64> {
        if !self.setup.policy.recovery.on {
            return Vec::new();
        }
        let holders = self.sessions.values().filter(|s| !s.standby);
        holders.map(|s| s.incarnation).collect()
    }

    /// Returns the lease holders that the profile does not list yet. Without them, schedulers could not rule
    /// out runs for anyone at an executor that is lost while schedulers link to it, as all of them do after a
    /// fleet restart.
    fn unpublished_holders(&self) -> Vec<u64> {
        let mut holders = self.lease_holders();
        holders.retain(|holder| !self.owners.contains(holder));
        holders
    }

    /// Returns whether all runs at the worker are known, and all runs and queued tasks belong to schedulers
    /// with a reported lease. If this process then falls silent, schedulers know whose jobs may still run
    /// here.
    fn is_accounted(&self, now: Mono) -> bool {
        let holds = |owner: &str| self.sessions.get(owner).is_some_and(|s| !s.standby);
        self.setup.policy.recovery.on
            && self.knows_all_runs(now)
            && self.runs.values().all(|r| holds(&r.scheduler))
            && self.queue.iter().all(|w| holds(&w.scheduler))
    }

    /// Returns the profile for one scheduler, which counts as a lease holder even if it has just linked.
    fn profile_for(&self, owner: &str) -> proto::Profile {
        let mut leased = self.leased.clone();
        let session = &self.sessions[owner];
        if !session.standby && !leased.contains(&session.name) {
            leased.push(session.name.clone());
            leased.sort();
        }
        self.profile(leased)
    }

    /// Returns the profile with these lease holders.
    fn profile(&self, leased: Vec<String>) -> proto::Profile {
        let Some(worker) = &self.worker else {
            return proto::Profile {
                leased,
                owners: self.owners.clone(),
                ..proto::Profile::default()
            };
        };
        proto::Profile {
            worker: worker.heartbeat.incarnation.id.clone(),
            service: worker.heartbeat.service.clone(),
            capacity: Some(worker.heartbeat.capacity.proto()),
            labels: worker.heartbeat.labels.clone(),
            leased,
            owners: self.owners.clone(),
        }
    }
}

/// Returns a hash that identifies the contents of a profile.
pub(super) fn hash_profile(profile: &proto::Profile) -> u64 {
    xxh3_64(&profile.encode_to_vec())
}
