//! What happens at the workers of a world: orders that arrive or come late, ends, heartbeats.

use rand::Rng;
use stackcourse_lib::dispatch::executor::HoldCall;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::Life;
use stackcourse_lib::dispatch::executor::OrderReply;
use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::dispatch::executor::StartCall;
use stackcourse_lib::dispatch::executor::WorkerBeat;
use stackcourse_lib::dispatch::executor::WorkerEnd;
use stackcourse_lib::dispatch::model::Demand;

use super::BEAT_US;
use super::CAPACITY;
use super::CRASH_AWAY_US;
use super::CRASH_US;
use super::Due;
use super::HOLD_EXTRA_US;
use super::ORDER_US;
use super::POLL_US;
use super::World;
use crate::dispatch::callers::SERVICE;
use crate::dispatch::network::Node;
use crate::dispatch::worker::WorkerModel;

impl World {
    /// How long an order takes to the worker, and whether it counts as carried out late.
    pub(super) fn order_delay(&mut self) -> (u64, bool) {
        if self.rng.random_bool(self.late) {
            (self.rng.random_range(2_000_000..12_000_000), true)
        } else {
            (self.rng.random_range(100..800), false)
        }
    }

    pub(super) fn start(&mut self, n: usize, life: u64, call: &StartCall, late: bool) {
        let task = call.run.task;
        let Some(job) = self.callers.jobs.get(&task.job) else {
            return self.witness.break_promise(format!("{task}: nobody's job"));
        };
        let (work_us, poison) = (job.work_of(task.index), job.poison);
        let crashes = job.crashing == Some(task.index);
        let cpu = self.witness.jobs[&task.job].cpu;
        let reply = if self.workers[n].up {
            let now = self.now;
            let (reply, begun) = self.workers[n].start(now, call, work_us, poison);
            self.print(
                Node::Executor(n),
                &format!("worker: start {:?} {reply:?}", call.run),
            );
            if begun {
                self.note_start(n, call.run, cpu);
            }
            if begun && crashes {
                let life = self.workers[n].life.clone();
                self.at(CRASH_US, Due::Crash(n, life, call.run));
            }
            reply
        } else {
            OrderReply::Unreachable
        };
        if late {
            // Whoever ordered it was told long ago that there is no answer.
            return;
        }
        let (wait, reply) = self.reply_delay(reply);
        self.at(wait, Due::Started(n, life, call.run, reply));
    }

    pub(super) fn note_start(&mut self, n: usize, run: RunName, _cpu: u32) {
        let others = (0..self.workers.len()).filter(|m| *m != n);
        let runs_at =
            |m: usize| self.workers[m].up && self.workers[m].running.contains_key(&run.task);
        let elsewhere = others.into_iter().any(runs_at);
        let jobs = &self.witness.jobs;
        let cpu_of =
            |t: &stackcourse_lib::dispatch::model::TaskName| jobs.get(&t.job).map_or(0, |j| j.cpu);
        let taken = self.workers[n].running.keys().map(cpu_of).sum();
        let capacity = self.workers[n].bound(self.now);
        self.witness.started(run.task, elsewhere, taken, capacity);
    }

    pub(super) fn stop(
        &mut self,
        n: usize,
        life: u64,
        worker: &str,
        run: RunName,
        fence: u64,
        late: bool,
    ) {
        let now = self.now;
        let reply = if self.workers[n].up {
            self.workers[n].stop(now, worker, run, fence)
        } else {
            OrderReply::Unreachable
        };
        if late {
            return;
        }
        let (wait, reply) = self.reply_delay(reply);
        self.at(wait, Due::Stopped(n, life, run, reply));
    }

    /// How long a reply takes, and the reply as it arrives.
    pub(super) fn reply_delay(&mut self, reply: OrderReply) -> (u64, OrderReply) {
        if self.rng.random_bool(self.lost) {
            (ORDER_US, OrderReply::NoAnswer)
        } else {
            (self.rng.random_range(100..800), reply)
        }
    }

    pub(super) fn hold(&mut self, n: usize, life: u64, call: HoldCall, until: u64) {
        if !self.workers[n].up {
            return self.at(1000, Due::Held(n, life, HoldReply::Unreachable));
        }
        let now = self.now;
        let first = self.workers[n].hold(now, &call);
        let lists = matches!(first, HoldReply::Lists { .. });
        if lists && now < until && !self.workers[n].has_news(call.seen) {
            return self.at(POLL_US, Due::Hold(n, life, call, until));
        }
        let lost = self.rng.random_bool(self.lost);
        let (wait, reply) = if lost {
            (HOLD_EXTRA_US, HoldReply::NoAnswer)
        } else {
            (self.rng.random_range(100..800), first)
        };
        self.at(wait, Due::Held(n, life, reply));
    }

    pub(super) fn beat(&mut self, number: usize) {
        self.at(BEAT_US, Due::Beat(number));
        let worker = &self.workers[number];
        let node = &self.executors[number];
        if !worker.up || !node.up || node.frozen_until > self.now {
            return;
        }
        let beat = WorkerBeat {
            life: Life {
                id: worker.life.clone(),
                born: None,
            },
            service: SERVICE.to_owned(),
            draining: worker.draining,
            capacity: Demand {
                cpu_milli: worker.capacity,
                memory_mb: 65_536,
                gpu: 0,
            },
            labels: Vec::new(),
            sequence: self.now,
        };
        let life = node.life;
        self.with_executor(number, life, |e, now| e.beat(now, beat));
    }

    /// Ends runs at workers that are over by then.
    pub(super) fn advance_workers(&mut self, at: u64) {
        for number in 0..self.workers.len() {
            if !self.workers[number].up {
                continue;
            }
            for (run, end) in self.workers[number].advance(at) {
                let line = format!("worker: end {run:?} {end:?}");
                self.print(Node::Executor(number), &line);
                self.note_end(run, end);
            }
        }
    }

    pub(super) fn note_end(&mut self, run: RunName, end: WorkerEnd) {
        let Some(job) = self.witness.jobs.get_mut(&run.task.job) else {
            return;
        };
        match end {
            WorkerEnd::Done => {
                job.done.insert(run.task.index);
            }
            WorkerEnd::Failed => *job.failed.entry(run.task.index).or_default() += 1,
            WorkerEnd::Stopped | WorkerEnd::Lapsed => {}
        }
    }

    /// A worker crashes; another life of it comes up at once or later.
    pub fn crash_worker(&mut self, number: usize) {
        if self.workers[number].up {
            self.witness.crashed(self.workers[number].known_there());
        }
        self.workers[number].up = false;
        self.workers[number].running.clear();
    }

    /// A run takes its worker down, and all that runs there with it.
    pub(super) fn crash_under(&mut self, n: usize, life: &str, run: RunName) {
        let worker = &self.workers[n];
        let there = worker.running.get(&run.task).map(|r| r.run);
        if !worker.up || worker.life != life || there != Some(run.run) {
            return;
        }
        self.print(Node::Executor(n), &format!("worker: crash under {run:?}"));
        self.crashes += 1;
        self.witness.crashed_by(run.task);
        self.crash_worker(n);
        self.at(CRASH_AWAY_US, Due::Back(n));
    }

    /// A worker is back as it was, in a new life.
    pub(super) fn worker_back(&mut self, n: usize) {
        let old = self.workers[n].clone();
        if old.up {
            return;
        }
        let mut worker = self.new_worker();
        worker.capacity = old.capacity;
        worker.pace = old.pace;
        self.workers[n] = worker;
    }

    /// A worker that had crashed is up again, in a new life.
    pub fn raise_worker(&mut self, number: usize) {
        if !self.workers[number].up {
            self.workers[number] = self.new_worker();
        }
    }

    pub(super) fn new_worker(&mut self) -> WorkerModel {
        let life = self.new_life();
        WorkerModel::new(format!("w{life}"), CAPACITY)
    }
}
