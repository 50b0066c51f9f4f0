//! Calls the state machines and carries out their actions: messages, orders to workers and log lines.

use super::*;

impl World {
    /// Calls a scheduler, if it is up, and carries out its actions.
    pub fn with_scheduler(&mut self, n: usize, work: impl FnOnce(&mut Scheduler, Mono)) {
        let node = &mut self.schedulers[n];
        if !node.up {
            return;
        }
        work(&mut node.scheduler, Mono(self.now + node.skew));
        let actions = node.scheduler.take_actions();
        for action in actions {
            match action {
                scheduler::Action::Send(link, body) => {
                    self.check_evacuations(n, link, &body);
                    self.send(Node::Scheduler(n), link, *body);
                }
                scheduler::Action::Close(link) => self.close(Node::Scheduler(n), link),
                scheduler::Action::Answer(caller, outcome) => self.answer(caller, outcome),
                scheduler::Action::Log(event) => self.print(Node::Scheduler(n), &event.to_string()),
                scheduler::Action::Dial(_) => {}
            }
        }
    }

    /// Calls an executor, if it is up in the given incarnation, and carries out its actions.
    pub(super) fn with_executor(
        &mut self,
        n: usize,
        incarnation: u64,
        work: impl FnOnce(&mut Executor, Mono),
    ) {
        let node = &mut self.executors[n];
        if !node.up || node.incarnation != incarnation {
            return;
        }
        work(&mut node.executor, Mono(self.now + node.skew));
        let actions = node.executor.take_actions();
        for action in actions {
            match action {
                executor::Action::Send(link, body) => self.send(Node::Executor(n), link, *body),
                executor::Action::Close(link) => self.close(Node::Executor(n), link),
                executor::Action::Start(call) => {
                    if self.executors[n].executor.is_evacuated() {
                        let what = format!(
                            "{:?} is started in a zone that its executor knows to be evacuated",
                            call.run
                        );
                        self.witness.report_violation(what);
                    }
                    let (wait, order) = self.order_delay(n);
                    if order.late {
                        let unanswered =
                            Event::StartReply(n, incarnation, call.run, OrderReply::NoAnswer);
                        self.schedule(ORDER_TIMEOUT_US, unanswered);
                    }
                    self.schedule(wait, Event::Start(n, incarnation, call, order));
                }
                executor::Action::Stop(worker, run, fence) => {
                    let (wait, order) = self.order_delay(n);
                    if order.late {
                        let unanswered =
                            Event::StopReply(n, incarnation, run, OrderReply::NoAnswer);
                        self.schedule(ORDER_TIMEOUT_US, unanswered);
                    }
                    self.schedule(wait, Event::Stop(n, incarnation, worker, run, fence, order));
                }
                executor::Action::Hold(call) => {
                    let wait = call.wait.as_micros() as u64;
                    if self.rng.random_bool(self.late_share_of(n)) {
                        let reply = HoldReply::NoAnswer;
                        let unanswered = Event::HoldReply(n, incarnation, call.number, reply);
                        self.schedule(wait + HOLD_GRACE_US, unanswered);
                    } else {
                        let until = self.now + wait;
                        self.schedule(200, Event::Hold(n, incarnation, call, until));
                    }
                }
                executor::Action::Log(event) => self.print(Node::Executor(n), &event.to_string()),
                executor::Action::SaveHeartbeat(heartbeat) => self.saved_heartbeats[n] = heartbeat,
                executor::Action::Dial(_) => {}
            }
        }
    }
}
