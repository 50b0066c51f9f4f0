//! What happens at the workers of a world: orders that arrive or come late, ends, heartbeats.

use rand::Rng;
use stackcourse_lib::dispatch::executor::HoldCall;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::OrderReply;
use stackcourse_lib::dispatch::executor::RunEnd;
use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::dispatch::executor::StartCall;
use stackcourse_lib::dispatch::executor::WorkerHeartbeat;
use stackcourse_lib::dispatch::executor::WorkerIncarnation;
use stackcourse_lib::dispatch::model::Demand;

use super::BEAT_US;
use super::CAPACITY;
use super::CRASH_AWAY_US;
use super::CRASH_US;
use super::Due;
use super::HELD_UP_US;
use super::HOLD_EXTRA_US;
use super::ORDER_US;
use super::Order;
use super::POLL_US;
use super::World;
use crate::dispatch::callers::SERVICE;
use crate::dispatch::network::Node;
use crate::dispatch::worker::WorkerModel;

fn labels_of(rack: &str) -> Vec<String> {
    let one = (!rack.is_empty()).then(|| rack.to_owned());
    one.into_iter().collect()
}

impl World {
    /// How long an order takes to a worker, and how it goes there.
    pub(super) fn order_delay(&mut self, n: usize) -> (u64, Order) {
        let born = self.workers[n].life.born;
        if self.rng.random_bool(self.late) {
            let order = Order { late: true, born };
            (self.rng.random_range(2_000_000..12_000_000), order)
        } else {
            let order = Order { late: false, born };
            (self.rng.random_range(100..800), order)
        }
    }

    /// Whether an order can reach the worker: it is up, and in the life that it was sent to.
    fn reaches(&self, n: usize, order: Order) -> bool {
        self.workers[n].up && self.workers[n].life.born == order.born
    }

    pub(super) fn start(&mut self, n: usize, life: u64, call: &StartCall, order: Order) {
        let task = call.run.task;
        let Some(job) = self.callers.jobs.get(&task.job) else {
            return self.witness.break_promise(format!("{task}: nobody's job"));
        };
        let (mut work_us, poison) = (job.work_of(task.index), job.poison);
        let rack = &job.request.steps[task.step as usize].rack;
        if !rack.is_empty() && *rack != self.workers[n].rack {
            work_us = (work_us as f64 * self.remote) as u64;
        }
        let crashes = job.crashing == Some(task.index);
        let cpu = self.witness.jobs[&task.job].cpu;
        let reply = if self.reaches(n, order) {
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
                let life = self.workers[n].life.id.clone();
                self.at(CRASH_US, Due::Crash(n, life, call.run));
            }
            reply
        } else {
            OrderReply::Unreachable
        };
        if order.late {
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
        order: Order,
    ) {
        let now = self.now;
        let reply = if self.reaches(n, order) {
            self.workers[n].stop(now, worker, run, fence)
        } else {
            OrderReply::Unreachable
        };
        if order.late {
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

    pub(super) fn heartbeat(&mut self, number: usize) {
        self.at(BEAT_US, Due::Beat(number));
        let node = &self.executors[number];
        if !self.workers[number].up || !node.up || node.frozen_until > self.now {
            return;
        }
        let life = node.life;
        let heartbeat = self.next_beat(number);
        self.with_executor(number, life, |e, now| e.handle_heartbeat(now, heartbeat));
    }

    /// What a worker says of itself now.
    fn next_beat(&mut self, number: usize) -> WorkerHeartbeat {
        let worker = &mut self.workers[number];
        worker.beats += 1;
        WorkerHeartbeat {
            incarnation: worker.life.clone(),
            service: SERVICE.to_owned(),
            draining: worker.draining,
            capacity: Demand {
                cpu_milli: worker.capacity,
                memory_mb: 65_536,
                gpu: 0,
            },
            labels: labels_of(&worker.rack),
            sequence: worker.beats,
        }
    }

    /// A heartbeat of a life that is over was held up on the way.
    fn hold_up_beat(&mut self, number: usize) {
        let heartbeat = self.next_beat(number);
        let wait = self.rng.random_range(0..HELD_UP_US);
        self.at(wait, Due::LateBeat(number, heartbeat));
    }

    /// A heartbeat that was held up arrives, whoever listens there by now.
    pub(super) fn late_beat(&mut self, number: usize, heartbeat: WorkerHeartbeat) {
        let node = &self.executors[number];
        if node.up && node.frozen_until <= self.now {
            let life = node.life;
            self.with_executor(number, life, |e, now| e.handle_heartbeat(now, heartbeat));
        }
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

    pub(super) fn note_end(&mut self, run: RunName, end: RunEnd) {
        let Some(job) = self.witness.jobs.get_mut(&run.task.job) else {
            return;
        };
        match end {
            RunEnd::Done => {
                job.done.insert(run.task.index);
            }
            RunEnd::Failed => *job.failed.entry(run.task.index).or_default() += 1,
            RunEnd::Stopped | RunEnd::Expired => {}
        }
    }

    /// A worker crashes; another life of it comes up at once or later.
    pub fn crash_worker(&mut self, number: usize) {
        if self.workers[number].up {
            self.witness.crashed(self.workers[number].known_there());
            if self.reborn {
                self.hold_up_beat(number);
            }
        }
        self.workers[number].up = false;
        self.workers[number].running.clear();
    }

    /// A worker loses power for a while.
    pub fn lose_power(&mut self, number: usize) {
        self.crash_worker(number);
        self.at(CRASH_AWAY_US, Due::Back(number));
    }

    /// A run takes its worker down, and all that runs there with it.
    pub(super) fn crash_under(&mut self, n: usize, life: &str, run: RunName) {
        let worker = &self.workers[n];
        let there = worker.running.get(&run.task).map(|r| r.run);
        if !worker.up || worker.life.id != life || there != Some(run.run) {
            return;
        }
        self.print(Node::Executor(n), &format!("worker: crash under {run:?}"));
        self.crashes += 1;
        self.witness.crashed_by(run.task);
        self.lose_power(n);
    }

    /// A worker is back as it was, in a new life.
    pub(super) fn worker_back(&mut self, n: usize) {
        let old = self.workers[n].clone();
        if old.up {
            return;
        }
        let mut worker = self.new_worker(n);
        worker.capacity = old.capacity;
        worker.pace = old.pace;
        worker.rack = old.rack;
        self.workers[n] = worker;
    }

    /// A worker that had crashed is up again, in a new life.
    pub fn raise_worker(&mut self, number: usize) {
        if !self.workers[number].up {
            self.workers[number] = self.new_worker(number);
        }
    }

    pub(super) fn new_worker(&mut self, number: usize) -> WorkerModel {
        let life = self.new_life();
        if !self.reborn {
            let id = format!("w{life}");
            return WorkerModel::new(WorkerIncarnation { id, born: None }, CAPACITY);
        }
        // A clock that was set back has let the later of two lives begin before the earlier one.
        let id = format!("w-{number}");
        let born = Some(if life.is_multiple_of(2) {
            life
        } else {
            u64::MAX - life
        });
        WorkerModel::new(WorkerIncarnation { id, born }, CAPACITY).with_clock(self.now)
    }
}
