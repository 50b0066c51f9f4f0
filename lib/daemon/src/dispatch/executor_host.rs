//! The host of an executor: it connects the state machine to the clock, the links, the worker and the log.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stackcourse_lib::dispatch::executor::Action;
use stackcourse_lib::dispatch::executor::Executor;
use stackcourse_lib::dispatch::executor::ExecutorSetup;
use stackcourse_lib::dispatch::executor::HoldCall;
use stackcourse_lib::dispatch::executor::HoldReply;
use stackcourse_lib::dispatch::executor::OrderReply;
use stackcourse_lib::dispatch::executor::RunName;
use stackcourse_lib::dispatch::executor::StartCall;
use stackcourse_lib::dispatch::executor::WorkerHeartbeat;
use stackcourse_lib::dispatch::policy::Links as LinkPolicy;
use stackcourse_lib::event::Event;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::prelude::Mono;
use stackcourse_lib::protos::dispatch as proto;
use stackcourse_lib::protos::dispatch::frame::Body;
use tokio::sync::watch;

use crate::boot_clock::BootClock;
use crate::dispatch::channel::ChannelSender;
use crate::dispatch::channel::LinkDecision;
use crate::dispatch::channel::LinkEnd;
use crate::dispatch::channel::LinkHandler;
use crate::dispatch::clock_watch::ClockWatch;
use crate::dispatch::division::Division;
use crate::dispatch::division::PartitionedHost;
use crate::dispatch::lag::LoopLag;
use crate::dispatch::links;
use crate::dispatch::links::Links;
use crate::dispatch::log_sink::LogSink;
use crate::dispatch::metrics_page::ProcessGauges;
use crate::dispatch::traffic::Traffic;

/// The interval between ticks of the executor.
const TICK: Duration = Duration::from_millis(25);

/// The calls that an executor makes to its worker.
pub trait Worker: 'static {
    /// Starts a run.
    fn start(&self, call: StartCall) -> impl Future<Output = OrderReply>;
    /// Stops a run.
    fn stop(
        &self,
        incarnation: String,
        run: RunName,
        fence: u64,
    ) -> impl Future<Output = OrderReply>;
    /// Renews the runs and lists them.
    fn hold(&self, call: HoldCall) -> impl Future<Output = HoldReply>;
    /// Takes the descriptions of the rows of its lists that could not be read, each once.
    fn take_faults(&self) -> Vec<String> {
        Vec::new()
    }
}

/// An executor with its links and its worker. Cheap to clone.
pub struct ExecutorHost<W> {
    inner: Rc<Inner<W>>,
}

impl<W> Clone for ExecutorHost<W> {
    fn clone(&self) -> ExecutorHost<W> {
        ExecutorHost {
            inner: self.inner.clone(),
        }
    }
}

struct Inner<W> {
    policy: LinkPolicy,
    division: Division,
    executor: RefCell<Executor>,
    worker: W,
    /// The worker's heartbeat to be stored for the agent's next incarnation.
    saved_heartbeat: watch::Sender<Option<WorkerHeartbeat>>,
    clock: BootClock,
    links: Links,
    lag: LoopLag,
    clock_watch: ClockWatch,
    log: RefCell<LogSink>,
}

impl<W: Worker> ExecutorHost<W> {
    /// Starts an executor. It asks the `seeds` for the members while the store does not answer.
    pub fn start(
        setup: ExecutorSetup,
        seeds: Vec<SocketAddr>,
        worker: W,
        log: LogSink,
    ) -> ExecutorHost<W> {
        let clock = BootClock::start();
        let inner = Inner {
            policy: setup.policy.links,
            division: Division::new(&setup.name, seeds),
            executor: RefCell::new(Executor::new(setup)),
            worker,
            saved_heartbeat: watch::Sender::default(),
            clock,
            links: Links::default(),
            lag: LoopLag::default(),
            clock_watch: ClockWatch::new(clock),
            log: RefCell::new(log),
        };
        let host = ExecutorHost {
            inner: Rc::new(inner),
        };
        let ticking = host.clone();
        actix_rt::spawn(async move {
            loop {
                if let Some(late) = ticking.inner.lag.sleep(TICK).await {
                    ticking.log(Kind::LoopLate, format!("{} ms", late.as_millis()));
                }
                if let Some(step) = ticking.inner.clock_watch.check(ticking.now()) {
                    ticking.log(Kind::ClockStepped, step.to_string());
                }
                ticking.with(|e, now| e.tick(now));
            }
        });
        host
    }

    /// Returns the time of this process's clock.
    pub fn now(&self) -> Mono {
        self.inner.clock.now()
    }

    /// Runs `work` on the executor and performs the resulting actions.
    pub fn with<R>(&self, work: impl FnOnce(&mut Executor, Mono) -> R) -> R {
        let now = self.now();
        let (result, actions) = {
            let mut executor = self.inner.executor.borrow_mut();
            let result = work(&mut executor, now);
            (result, executor.take_actions())
        };
        for action in actions {
            self.perform(now, action);
        }
        result
    }

    /// Reads from the executor without changing it.
    pub fn read<R>(&self, read: impl FnOnce(&Executor) -> R) -> R {
        read(&self.inner.executor.borrow())
    }

    /// Writes a log line.
    pub fn log(&self, kind: Kind, detail: impl Into<String>) {
        let event = Event::new(kind, detail);
        self.inner.log.borrow_mut().log(self.now(), &event);
    }

    /// Returns the metrics that are common to all processes.
    pub fn process_gauges(&self) -> ProcessGauges<'_> {
        ProcessGauges {
            lag: &self.inner.lag,
            clock_watch: &self.inner.clock_watch,
            traffic: &self.inner.links.traffic,
            dropped: self.inner.log.borrow().dropped(),
        }
    }

    /// Returns the worker's heartbeat, with its changes, to be stored for the agent's next incarnation.
    pub fn saved_heartbeat(&self) -> watch::Receiver<Option<WorkerHeartbeat>> {
        self.inner.saved_heartbeat.subscribe()
    }

    fn keep_link(&self, address: SocketAddr) {
        if self.inner.links.begin_dialling(address) {
            let host = self.clone();
            actix_rt::spawn(async move {
                links::maintain(address, host.clone(), || false).await;
                host.inner.links.end_dialling(address);
            });
        }
    }

    fn perform(&self, now: Mono, action: Action) {
        match action {
            Action::Send(link, body) => self.inner.links.send(link, *body),
            Action::Close(link) => self.inner.links.remove(link),
            Action::Start(call) => self.call_start(call),
            Action::Stop(incarnation, run, fence) => self.call_stop(incarnation, run, fence),
            Action::Hold(call) => self.call_hold(call),
            Action::Dial(members) => links::addresses(&members)
                .into_iter()
                .for_each(|address| self.dial(address)),
            Action::SaveHeartbeat(heartbeat) => {
                self.inner.saved_heartbeat.send_replace(heartbeat);
            }
            Action::Log(event) => self.inner.log.borrow_mut().log(now, &event),
        }
    }

    fn call_start(&self, call: StartCall) {
        let host = self.clone();
        actix_rt::spawn(async move {
            let run = call.run;
            let reply = host.inner.worker.start(call).await;
            host.with(|e, now| e.handle_start_reply(now, run, reply));
        });
    }

    fn call_stop(&self, incarnation: String, run: RunName, fence: u64) {
        let host = self.clone();
        actix_rt::spawn(async move {
            let reply = host.inner.worker.stop(incarnation, run, fence).await;
            host.with(|e, now| e.handle_stop_reply(now, run, reply));
        });
    }

    fn call_hold(&self, call: HoldCall) {
        let host = self.clone();
        actix_rt::spawn(async move {
            let number = call.number;
            let reply = host.inner.worker.hold(call).await;
            for fault in host.inner.worker.take_faults() {
                host.log(Kind::UnreadableRow, fault);
            }
            host.with(|e, now| e.handle_hold_reply(now, number, reply));
        });
    }
}

impl<W: Worker> PartitionedHost for ExecutorHost<W> {
    fn division(&self) -> &Division {
        &self.inner.division
    }

    fn dial(&self, address: SocketAddr) {
        self.keep_link(address);
    }

    fn log(&self, kind: Kind, detail: String) {
        ExecutorHost::log(self, kind, detail);
    }
}

impl<W: Worker> LinkHandler for ExecutorHost<W> {
    fn policy(&self) -> LinkPolicy {
        self.inner.policy
    }

    fn greeting(&self) -> proto::Greeting {
        proto::Greeting {
            divided: self.inner.division.to_greeting(),
            ..self.read(Executor::greeting)
        }
    }

    fn decide_link(&self, theirs: &proto::Greeting) -> LinkDecision {
        if theirs.executor {
            return LinkDecision::Never;
        }
        if self.inner.division.set_from_greeting(theirs) {
            let detail = self.inner.division.describe(&theirs.name);
            self.log(Kind::FleetDivided, detail);
        }
        self.inner.division.decide_link(theirs)
    }

    fn handle_redirect(&self, members: Vec<proto::Member>) {
        links::addresses(&members)
            .into_iter()
            .for_each(|address| self.dial(address));
    }

    fn up(&self, link: LinkId, theirs: &proto::Greeting, sender: ChannelSender) {
        self.inner.links.insert(link, sender);
        self.with(|e, now| e.link_up(now, link, theirs));
    }

    fn message(&self, link: LinkId, body: Body) {
        if let Body::Orders(orders) = body {
            self.with(|e, now| e.handle_orders(now, link, orders));
        }
    }

    fn down(&self, link: LinkId, theirs: &proto::Greeting, end: LinkEnd) {
        self.inner.links.remove(link);
        self.log(Kind::LinkEnded, format!("{}: {end}", theirs.name));
        self.with(|e, _| e.link_down(link));
    }

    fn traffic(&self) -> Rc<Traffic> {
        self.inner.links.traffic.clone()
    }
}
