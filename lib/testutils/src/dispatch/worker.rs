//! A model of a worker, after what the platform says of it: leases on its own clock, run numbers,
//! fencing tokens, a list of ends that is forgotten once it was taken note of.

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

/// Runs are kept for at most this long without a renewal, in microseconds of the worker's clock.
pub const MOST_HELD_US: u64 = 1_000_000;
/// A worker's room is known to have shrunk after this long: three seconds and a heartbeat.
const SHRINK_KNOWN_US: u64 = 3_500_000;
/// A stop takes this long, in microseconds.
pub const STOP_US: u64 = 30_000;

/// A run at the worker.
#[derive(Clone, Copy, Debug)]
pub struct ModelRun {
    /// Its number.
    pub run: u32,
    /// When it began, in microseconds of the world's clock.
    pub began: u64,
    /// When it ends by itself.
    pub ends: u64,
    /// Whether it ends in failure.
    pub fails: bool,
    /// When a stop that was ordered takes effect.
    pub stopping: Option<u64>,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    /// Which life of the worker it is.
    pub life: WorkerIncarnation,
    /// When its clock stood at nothing, in microseconds of the world's clock.
    clock_zero: u64,
    /// How often it has said what it is and has.
    pub beats: u64,
    /// What it has, in thousandths of a core.
    pub capacity: u32,
    /// When it last had more, and how much.
    shrunk: Option<(u64, u32)>,
    /// Whether it is up.
    pub up: bool,
    /// Whether it says that it leaves.
    pub draining: bool,
    /// The rack that it stands in; empty if it has none.
    pub rack: String,
    /// How long work takes here against its ordinary time.
    pub pace: f64,
    /// Whether all that is started fails.
    pub sick: bool,
    /// How many runs have begun.
    pub begun: u64,
    /// What runs.
    pub running: BTreeMap<TaskName, ModelRun>,
    fence: u64,
    held_until: u64,
    above: HashMap<TaskName, u32>,
    finished: Vec<FinishedRow>,
    next_end: u64,
}

impl WorkerModel {
    /// A worker that has just come up.
    pub fn new(life: WorkerIncarnation, capacity: u32) -> WorkerModel {
        WorkerModel {
            life,
            clock_zero: 0,
            beats: 0,
            capacity,
            shrunk: None,
            up: true,
            draining: false,
            rack: String::new(),
            pace: 1.0,
            sick: false,
            begun: 0,
            running: BTreeMap::new(),
            fence: 0,
            held_until: 0,
            above: HashMap::new(),
            finished: Vec::new(),
            next_end: 1,
        }
    }

    /// The same, with a clock that stands at nothing at this time, in microseconds of the world's clock.
    pub fn with_clock(self, clock_zero: u64) -> WorkerModel {
        WorkerModel { clock_zero, ..self }
    }

    /// Gives it more or less room. What runs stays.
    pub fn resize(&mut self, now: u64, capacity: u32) {
        if capacity < self.capacity {
            self.shrunk = Some((now, self.bound(now)));
        }
        self.capacity = capacity;
    }

    /// What may be taken of it at most: room that has gone counts until everybody can know.
    pub fn bound(&self, now: u64) -> u32 {
        match self.shrunk {
            Some((at, before)) if now < at + SHRINK_KNOWN_US => before.max(self.capacity),
            _ => self.capacity,
        }
    }

    /// Whether a call that names a life, or none, is for this one.
    fn is_meant(&self, life: &str) -> bool {
        life.is_empty() || life == self.life.id
    }

    /// Its clock, in milliseconds.
    pub fn clock_ms(&self, now: u64) -> u64 {
        (now - self.clock_zero) / 1000
    }

    /// When its clock stands at so many milliseconds.
    fn at_clock(&self, ms: u64) -> u64 {
        self.clock_zero + ms * 1000
    }

    fn extend(&mut self, now: u64, deadline_ms: u64) {
        let until = self.at_clock(deadline_ms).min(now + MOST_HELD_US);
        self.held_until = self.held_until.max(until);
    }

    /// Carries out a start; `work_us` is its ordinary time. Says whether a run began.
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
        if call.deadline_ms > 0 && self.at_clock(call.deadline_ms) < now {
            return (OrderReply::Refused(StartRefusal::Late), false);
        }
        self.extend(now, call.deadline_ms);
        let RunName { task, run } = call.run;
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            return (OrderReply::Done(self.clock_ms(now)), false);
        }
        let old = self.above.get(&task).is_some_and(|n| run <= *n);
        if old || self.running.contains_key(&task) {
            return (OrderReply::Refused(StartRefusal::Old), false);
        }
        let work = (work_us as f64 * self.pace) as u64;
        let begun = ModelRun {
            run,
            began: now,
            ends: now + work,
            fails: fails || self.sick,
            stopping: None,
        };
        self.begun += 1;
        self.running.insert(task, begun);
        (OrderReply::Done(self.clock_ms(now)), true)
    }

    /// Carries out a stop.
    pub fn stop(&mut self, now: u64, life: &str, name: RunName, fence: u64) -> OrderReply {
        if !self.is_meant(life) {
            return OrderReply::WrongLife;
        }
        if fence < self.fence {
            return OrderReply::Refused(StartRefusal::Fence);
        }
        self.fence = fence;
        let above = self.above.entry(name.task).or_default();
        *above = (*above).max(name.run);
        if let Some(run) = self.running.get_mut(&name.task)
            && run.run <= name.run
        {
            run.stopping.get_or_insert(now + STOP_US);
        }
        OrderReply::Done(self.clock_ms(now))
    }

    /// Carries out a hold.
    pub fn hold(&mut self, now: u64, call: &HoldCall) -> HoldReply {
        if !self.is_meant(&call.incarnation) {
            return HoldReply::WrongLife;
        }
        if call.fence < self.fence {
            return HoldReply::Fenced;
        }
        self.fence = call.fence;
        if call.deadline_ms > 0 {
            self.extend(now, call.deadline_ms);
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

    /// Whether ends wait to be taken note of.
    pub fn has_news(&self, seen: u64) -> bool {
        self.finished.iter().any(|f| f.number > seen)
    }

    /// The tasks that its executor must take to be there: what runs, and what has ended untold.
    pub fn known_there(&self) -> impl Iterator<Item = &TaskName> {
        let ended = self.finished.iter().map(|f| &f.run.task);
        self.running.keys().chain(ended)
    }

    /// Ends what is over by now; gives the ends.
    pub fn advance(&mut self, now: u64) -> Vec<(RunName, RunEnd)> {
        let lapsed = now >= self.held_until;
        let end = |run: &ModelRun| {
            if run.ends <= now {
                Some(if run.fails {
                    RunEnd::Failed
                } else {
                    RunEnd::Done
                })
            } else if run.stopping.is_some_and(|at| at <= now) {
                Some(RunEnd::Stopped)
            } else if lapsed {
                Some(RunEnd::Expired)
            } else {
                None
            }
        };
        let over = self.running.iter();
        let over: Vec<(RunName, RunEnd)> = over
            .filter_map(|(task, r)| {
                let run = RunName {
                    task: *task,
                    run: r.run,
                };
                end(r).map(|e| (run, e))
            })
            .collect();
        for (run, end) in &over {
            self.running.remove(&run.task);
            let above = self.above.entry(run.task).or_default();
            *above = (*above).max(run.run);
            self.finished.push(FinishedRow {
                number: self.next_end,
                run: *run,
                end: *end,
                checkpoint: String::new(),
            });
            self.next_end += 1;
        }
        over
    }
}
