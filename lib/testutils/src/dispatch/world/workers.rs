//! The workers of a simulated world.
//!
//! Delivers orders to the worker models in time or late, returns their replies, ends runs, sends heartbeats,
//! and crashes and restarts workers. Reports starts, ends and crashes to the invariant checker.

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

use super::CAPACITY;
use super::CRASH_DELAY_US;
use super::CRASH_RESTART_US;
use super::Event;
use super::HEARTBEAT_US;
use super::HOLD_GRACE_US;
use super::MAX_HEARTBEAT_DELAY_US;
use super::ORDER_TIMEOUT_US;
use super::OrderDelivery;
use super::POLL_INTERVAL_US;
use super::World;
use crate::dispatch::callers::SERVICE;
use crate::dispatch::network::Node;
use crate::dispatch::worker::WorkerModel;

fn labels_of(rack: &str) -> Vec<String> {
    let label = (!rack.is_empty()).then(|| rack.to_owned());
    label.into_iter().collect()
}

impl World {
    /// Draws the delay of an order to a worker and how it reaches it.
    pub(super) fn order_delay(&mut self, n: usize) -> (u64, OrderDelivery) {
        let born = self.workers[n].life.born;
        if self.rng.random_bool(self.late_share_of(n)) {
            let order = OrderDelivery { late: true, born };
            (self.rng.random_range(2_000_000..12_000_000), order)
        } else {
            let order = OrderDelivery { late: false, born };
            (self.rng.random_range(100..800), order)
        }
    }

    /// Returns whether an order can reach the worker: it is up and has the start time of the incarnation that
    /// the order was sent to, or neither has one.
    fn can_reach(&self, n: usize, order: OrderDelivery) -> bool {
        self.workers[n].up && self.workers[n].life.born == order.born
    }

    pub(super) fn start(
        &mut self,
        n: usize,
        incarnation: u64,
        call: &StartCall,
        order: OrderDelivery,
    ) {
        let task = call.run.task;
        let Some(job) = self.callers.jobs.get(&task.job) else {
            return self
                .witness
                .report_violation(format!("{task} was started, but its job is unknown"));
        };
        let (mut work_us, fails) = (job.work_us_of(task.index), job.fails);
        let rack = &job.request.steps[task.step as usize].rack;
        if !rack.is_empty() && *rack != self.workers[n].rack {
            work_us = (work_us as f64 * self.remote_factor) as u64;
        }
        let crashes = job.crashing_task == Some(task.index);
        let cpu = self.witness.jobs[&task.job].cpu;
        let reply = if self.can_reach(n, order) {
            let now = self.now;
            let (reply, begun) = self.workers[n].start(now, call, work_us, fails);
            self.print(
                Node::Executor(n),
                &format!("worker: start {:?} {reply:?}", call.run),
            );
            if begun {
                self.record_start(n, call.run, cpu);
            }
            if begun && crashes {
                let life = self.workers[n].life.id.clone();
                self.schedule(CRASH_DELAY_US, Event::CrashWorker(n, life, call.run));
            }
            reply
        } else {
            OrderReply::Unreachable
        };
        if order.late {
            // The executor was told long ago that there is no answer.
            return;
        }
        let (wait, reply) = self.reply_delay(reply);
        self.schedule(wait, Event::StartReply(n, incarnation, call.run, reply));
    }

    pub(super) fn record_start(&mut self, n: usize, run: RunName, _cpu: u32) {
        let others = (0..self.workers.len()).filter(|m| *m != n);
        let runs_at =
            |m: usize| self.workers[m].up && self.workers[m].running.contains_key(&run.task);
        let elsewhere = others.into_iter().any(runs_at);
        let jobs = &self.witness.jobs;
        let cpu_of =
            |t: &stackcourse_lib::dispatch::model::TaskName| jobs.get(&t.job).map_or(0, |j| j.cpu);
        let taken = self.workers[n].running.keys().map(cpu_of).sum();
        let capacity = self.workers[n].usable_capacity(self.now);
        self.witness
            .check_start(run.task, elsewhere, taken, capacity);
        let runs_for = self.now.saturating_sub(self.executors[n].started_at);
        self.witness
            .check_not_cancelled(run.task, self.now, Some(runs_for));
    }

    pub(super) fn stop(
        &mut self,
        n: usize,
        incarnation: u64,
        worker: &str,
        run: RunName,
        fence: u64,
        order: OrderDelivery,
    ) {
        let now = self.now;
        let reply = if self.can_reach(n, order) {
            self.workers[n].stop(now, worker, run, fence)
        } else {
            OrderReply::Unreachable
        };
        if order.late {
            return;
        }
        let (wait, reply) = self.reply_delay(reply);
        self.schedule(wait, Event::StopReply(n, incarnation, run, reply));
    }

    /// Draws the delay of a reply. A lost reply becomes [`OrderReply::NoAnswer`], as does one in place of
    /// which the connection ends, which is noticed at once.
    pub(super) fn reply_delay(&mut self, reply: OrderReply) -> (u64, OrderReply) {
        if self.ended_share > 0.0 && self.rng.random_bool(self.ended_share) {
            (self.rng.random_range(100..800), OrderReply::NoAnswer)
        } else if self.rng.random_bool(self.lost_share) {
            (ORDER_TIMEOUT_US, OrderReply::NoAnswer)
        } else {
            (self.rng.random_range(100..800), reply)
        }
    }

    pub(super) fn hold(&mut self, n: usize, incarnation: u64, call: HoldCall, until: u64) {
        if !self.workers[n].up {
            return self.schedule(
                1000,
                Event::HoldReply(n, incarnation, call.number, HoldReply::Unreachable),
            );
        }
        let now = self.now;
        let first = self.workers[n].hold(now, &call);
        let lists = matches!(first, HoldReply::Lists { .. });
        if lists && now < until && !self.workers[n].has_unseen_ends(call.seen) {
            return self.schedule(POLL_INTERVAL_US, Event::Hold(n, incarnation, call, until));
        }
        let lost = self.rng.random_bool(self.lost_share);
        let (wait, reply) = if lost {
            (HOLD_GRACE_US, HoldReply::NoAnswer)
        } else {
            (self.rng.random_range(100..800), first)
        };
        self.schedule(wait, Event::HoldReply(n, incarnation, call.number, reply));
    }

    pub(super) fn send_heartbeat(&mut self, number: usize) {
        self.schedule(HEARTBEAT_US, Event::Heartbeat(number));
        let node = &self.executors[number];
        if !self.workers[number].up || !node.up || node.frozen_until > self.now {
            return;
        }
        let incarnation = node.incarnation;
        let heartbeat = self.next_heartbeat(number);
        self.with_executor(number, incarnation, |e, now| {
            e.handle_heartbeat(now, heartbeat)
        });
    }

    /// Returns the worker's next heartbeat.
    fn next_heartbeat(&mut self, number: usize) -> WorkerHeartbeat {
        let worker = &mut self.workers[number];
        worker.heartbeats += 1;
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
            sequence: worker.heartbeats,
        }
    }

    /// Sends a last heartbeat of an incarnation that ends, which arrives late.
    fn delay_heartbeat(&mut self, number: usize) {
        let heartbeat = self.next_heartbeat(number);
        let wait = self.rng.random_range(0..MAX_HEARTBEAT_DELAY_US);
        self.schedule(wait, Event::LateHeartbeat(number, heartbeat));
    }

    /// Delivers a delayed heartbeat to the executor's current incarnation.
    pub(super) fn deliver_late_heartbeat(&mut self, number: usize, heartbeat: WorkerHeartbeat) {
        let node = &self.executors[number];
        if node.up && node.frozen_until <= self.now {
            let incarnation = node.incarnation;
            self.with_executor(number, incarnation, |e, now| {
                e.handle_heartbeat(now, heartbeat)
            });
        }
    }

    /// Ends the runs that are over at `at`.
    pub(super) fn advance_workers(&mut self, at: u64) {
        for number in 0..self.workers.len() {
            if !self.workers[number].up {
                continue;
            }
            for (run, end) in self.workers[number].advance(at) {
                let line = format!("worker: end {run:?} {end:?}");
                self.print(Node::Executor(number), &line);
                self.record_end(run, end);
            }
        }
    }

    pub(super) fn record_end(&mut self, run: RunName, end: RunEnd) {
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

    /// Crashes a worker. It stays down until it is restarted or replaced.
    pub fn crash_worker(&mut self, number: usize) {
        if self.workers[number].up {
            self.witness
                .record_crash(self.workers[number].unacknowledged_tasks());
            if self.reuses_ids {
                self.delay_heartbeat(number);
            }
        }
        self.workers[number].up = false;
        self.workers[number].running.clear();
    }

    /// Crashes a worker and restarts it later.
    pub fn lose_power(&mut self, number: usize) {
        self.restart_quickly(number, CRASH_RESTART_US);
    }

    /// Crashes a worker and restarts it after `downtime` microseconds.
    pub fn restart_quickly(&mut self, number: usize, downtime: u64) {
        self.crash_worker(number);
        self.schedule(downtime, Event::RestartWorker(number));
    }

    /// Crashes the worker of a run, if both are still there.
    pub(super) fn crash_from_run(&mut self, n: usize, life: &str, run: RunName) {
        let worker = &self.workers[n];
        let there = worker.running.get(&run.task).map(|r| r.run);
        if !worker.up || worker.life.id != life || there != Some(run.run) {
            return;
        }
        self.print(
            Node::Executor(n),
            &format!("worker: crash caused by {run:?}"),
        );
        self.crashes += 1;
        self.witness.record_culprit(run.task);
        self.lose_power(n);
    }

    /// Starts a new incarnation of a worker that is down, with the same capacity, speed and rack.
    pub(super) fn restart_worker(&mut self, n: usize) {
        let old = self.workers[n].clone();
        if old.up {
            return;
        }
        let mut worker = self.new_worker(n);
        worker.capacity = old.capacity;
        worker.slowdown = old.slowdown;
        worker.rack = old.rack;
        self.workers[n] = worker;
    }

    /// Starts a new incarnation of a worker that is down, with the default capacity and speed.
    pub fn replace_worker(&mut self, number: usize) {
        if !self.workers[number].up {
            self.workers[number] = self.new_worker(number);
        }
    }

    pub(super) fn new_worker(&mut self, number: usize) -> WorkerModel {
        let incarnation = self.new_incarnation();
        if !self.reuses_ids {
            let id = format!("w{incarnation}");
            return WorkerModel::new(WorkerIncarnation { id, born: None }, CAPACITY);
        }
        // For half of the incarnations the worker's clock was set back, so that a later incarnation has an
        // earlier start time.
        let id = format!("w-{number}");
        let born = Some(if incarnation.is_multiple_of(2) {
            incarnation
        } else {
            u64::MAX - incarnation
        });
        WorkerModel::new(WorkerIncarnation { id, born }, CAPACITY).with_clock_zero(self.now)
    }
}
