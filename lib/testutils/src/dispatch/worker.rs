//! A model of a worker as the platform specifies it.
//!
//! Handles starts, stops and holds: leases on the worker's own clock, run numbers, fencing tokens, and a list
//! of ends that are kept until they are acknowledged.

use std::collections::BTreeMap;
use std::collections::HashMap;

use stackcourse_lib::dispatch::executor::FinishedRow;
use stackcourse_lib::dispatch::executor::HoldCall;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::OrderReply;
use stackcourse_lib::dispatch::executor::RunEnd;
use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::dispatch::executor::RunningRow;
use stackcourse_lib::dispatch::executor::StartCall;
use stackcourse_lib::dispatch::executor::StartRefusal;
use stackcourse_lib::dispatch::executor::WorkerIncarnation;
use stackcourse_lib::dispatch::model::TaskName;

/// A call extends the lease of the runs at most this far into the future, in microseconds.
pub const MAX_LEASE_US: u64 = 1_000_000;
/// The time until a reduced capacity is known everywhere, in microseconds: three seconds and one heartbeat.
const RESIZE_KNOWN_US: u64 = 3_500_000;
/// The time that a stop takes, in microseconds.
pub const STOP_US: u64 = 30_000;

/// A run at the worker.
#[derive(Clone, Copy, Debug)]
pub struct ModelRun {
    /// The number of the run.
    pub run: u32,
    /// When it began, in microseconds on the world's clock.
    pub began: u64,
    /// When it ends unless it is stopped, in microseconds on the world's clock.
    pub ends: u64,
    /// Whether it fails at its end.
    pub fails: bool,
    /// When a requested stop takes effect.
    pub stopping: Option<u64>,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    /// The incarnation.
    pub life: WorkerIncarnation,
    /// When the worker's clock read zero, in microseconds on the world's clock.
    clock_zero: u64,
    /// The number of heartbeats that it has sent.
    pub heartbeats: u64,
    /// The CPU capacity, in thousandths of a core.
    pub capacity: u32,
    /// When the capacity was last reduced, and the limit that held until then.
    last_reduction: Option<(u64, u32)>,
    /// Whether the worker is up.
    pub up: bool,
    /// Whether its heartbeats say that it is leaving.
    pub draining: bool,
    /// The rack of the worker; empty if it has none.
    pub rack: String,
    /// The factor by which run times are longer here.
    pub slowdown: f64,
    /// Whether every run that starts here fails.
    pub is_failing: bool,
    /// The number of runs that have begun.
    pub begun: u64,
    /// The current runs.
    pub running: BTreeMap<TaskName, ModelRun>,
    fence: u64,
    lease_until: u64,
    /// The highest run number of each task that has ended or was stopped. Starts up to it are refused.
    highest_ended: HashMap<TaskName, u32>,
    finished: Vec<FinishedRow>,
    next_end_number: u64,
}

impl WorkerModel {
    /// Creates a worker that has just started.
    pub fn new(life: WorkerIncarnation, capacity: u32) -> WorkerModel {
        WorkerModel {
            life,
            clock_zero: 0,
            heartbeats: 0,
            capacity,
            last_reduction: None,
            up: true,
            draining: false,
            rack: String::new(),
            slowdown: 1.0,
            is_failing: false,
            begun: 0,
            running: BTreeMap::new(),
            fence: 0,
            lease_until: 0,
            highest_ended: HashMap::new(),
            finished: Vec::new(),
            next_end_number: 1,
        }
    }

    /// Sets when the worker's clock reads zero, in microseconds on the world's clock.
    pub fn with_clock_zero(self, clock_zero: u64) -> WorkerModel {
        WorkerModel { clock_zero, ..self }
    }

    /// Changes the capacity. Current runs continue.
    pub fn resize(&mut self, now: u64, capacity: u32) {
        if capacity < self.capacity {
            self.last_reduction = Some((now, self.usable_capacity(now)));
        }
        self.capacity = capacity;
    }

    /// Returns the most capacity that may be in use. A reduction counts once it is known everywhere.
    pub fn usable_capacity(&self, now: u64) -> u32 {
        match self.last_reduction {
            Some((at, before)) if now < at + RESIZE_KNOWN_US => before.max(self.capacity),
            _ => self.capacity,
        }
    }

    /// Returns whether a call is meant for this incarnation: it names it, or names none.
    fn is_addressed_by(&self, life: &str) -> bool {
        life.is_empty() || life == self.life.id
    }

    /// Returns the reading of the worker's clock, in milliseconds.
    pub fn clock_ms(&self, now: u64) -> u64 {
        (now - self.clock_zero) / 1000
    }

    /// Converts a reading of the worker's clock to the world's clock, in microseconds.
    fn to_world_time(&self, ms: u64) -> u64 {
        self.clock_zero + ms * 1000
    }

    /// Extends the lease of the runs to a deadline on the worker's clock.
    fn extend_lease(&mut self, now: u64, deadline_ms: u64) {
        let until = self.to_world_time(deadline_ms).min(now + MAX_LEASE_US);
        self.lease_until = self.lease_until.max(until);
    }

    /// Handles a start order. `work_us` is the run time at normal speed. Returns the reply and whether a run
    /// began.
    pub fn start(
        &mut self,
        now: u64,
        call: &StartCall,
        work_us: u64,
        fails: bool,
    ) -> (OrderReply, bool) {
        if call.incarnation != self.life.id {
            return (OrderReply::WrongLife, false);
        }
        if call.fence < self.fence {
            return (OrderReply::Refused(StartRefusal::Fence), false);
        }
        self.fence = call.fence;
        if call.deadline_ms > 0 && self.to_world_time(call.deadline_ms) < now {
            return (OrderReply::Refused(StartRefusal::Late), false);
        }
        self.extend_lease(now, call.deadline_ms);
        let RunName { task, run } = call.run;
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            return (OrderReply::Done(self.clock_ms(now)), false);
        }
        let is_old = self.highest_ended.get(&task).is_some_and(|n| run <= *n);
        if is_old || self.running.contains_key(&task) {
            return (OrderReply::Refused(StartRefusal::Old), false);
        }
        let work = (work_us as f64 * self.slowdown) as u64;
        let begun = ModelRun {
            run,
            began: now,
            ends: now + work,
            fails: fails || self.is_failing,
            stopping: None,
        };
        self.begun += 1;
        self.running.insert(task, begun);
        (OrderReply::Done(self.clock_ms(now)), true)
    }

    /// Handles a stop order.
    pub fn stop(&mut self, now: u64, life: &str, name: RunName, fence: u64) -> OrderReply {
        if !self.is_addressed_by(life) {
            return OrderReply::WrongLife;
        }
        if fence < self.fence {
            return OrderReply::Refused(StartRefusal::Fence);
        }
        self.fence = fence;
        let highest = self.highest_ended.entry(name.task).or_default();
        *highest = (*highest).max(name.run);
        if let Some(run) = self.running.get_mut(&name.task)
            && run.run <= name.run
        {
            run.stopping.get_or_insert(now + STOP_US);
        }
        OrderReply::Done(self.clock_ms(now))
    }

    /// Handles a hold: extends the lease, forgets acknowledged ends and returns the lists.
    pub fn hold(&mut self, now: u64, call: &HoldCall) -> HoldReply {
        if !self.is_addressed_by(&call.incarnation) {
            return HoldReply::WrongLife;
        }
        if call.fence < self.fence {
            return HoldReply::Fenced;
        }
        self.fence = call.fence;
        if call.deadline_ms > 0 {
            self.extend_lease(now, call.deadline_ms);
        }
        self.finished.retain(|f| f.number > call.seen);
        let row = |(task, run): (&TaskName, &ModelRun)| {
            let done = now.saturating_sub(run.began) * 100;
            let whole = (run.ends - run.began).max(1);
            RunningRow {
                run: RunName {
                    task: *task,
                    run: run.run,
                },
                percent: (done / whole).min(99) as u32,
            }
        };
        HoldReply::Lists {
            born: self.life.born,
            clock_ms: self.clock_ms(now),
            running: self.running.iter().map(row).collect(),
            finished: self.finished.clone(),
        }
    }

    /// Returns whether there are ends with a higher number than `seen`.
    pub fn has_unseen_ends(&self, seen: u64) -> bool {
        self.finished.iter().any(|f| f.number > seen)
    }

    /// Returns the tasks that run here or whose ends are not acknowledged yet.
    pub fn unacknowledged_tasks(&self) -> impl Iterator<Item = &TaskName> {
        let ended = self.finished.iter().map(|f| &f.run.task);
        self.running.keys().chain(ended)
    }

    /// Ends the runs that are over at `now` and returns their ends.
    pub fn advance(&mut self, now: u64) -> Vec<(RunName, RunEnd)> {
        let is_expired = now >= self.lease_until;
        let end = |run: &ModelRun| {
            if run.ends <= now {
                Some(if run.fails {
                    RunEnd::Failed
                } else {
                    RunEnd::Done
                })
            } else if run.stopping.is_some_and(|at| at <= now) {
                Some(RunEnd::Stopped)
            } else if is_expired {
                Some(RunEnd::Expired)
            } else {
                None
            }
        };
        let runs = self.running.iter();
        let ended: Vec<(RunName, RunEnd)> = runs
            .filter_map(|(task, r)| {
                let run = RunName {
                    task: *task,
                    run: r.run,
                };
                end(r).map(|e| (run, e))
            })
            .collect();
        for (run, end) in &ended {
            self.running.remove(&run.task);
            let highest = self.highest_ended.entry(run.task).or_default();
            *highest = (*highest).max(run.run);
            self.finished.push(FinishedRow {
                number: self.next_end_number,
                run: *run,
                end: *end,
                checkpoint: String::new(),
            });
            self.next_end_number += 1;
        }
        ended
    }
}
