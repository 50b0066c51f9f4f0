//! The host of a scheduler: it connects the state machine to the clock, the links, the callers and the log.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stackcourse_lib::dispatch::cancels::CancelReply;
use stackcourse_lib::dispatch::forwarder::Forwarder;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::model::JobRequest;
use stackcourse_lib::dispatch::policy::Links as LinkPolicy;
use stackcourse_lib::dispatch::policy::Policy;
use stackcourse_lib::dispatch::scheduler::Action;
use stackcourse_lib::dispatch::scheduler::CallerId;
use stackcourse_lib::dispatch::scheduler::Scheduler;
use stackcourse_lib::dispatch::scheduler::SchedulerSetup;
use stackcourse_lib::event::Event;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::prelude::Mono;
use stackcourse_lib::protos::dispatch as proto;
use stackcourse_lib::protos::dispatch::frame::Body;
use tokio::sync::oneshot;

use crate::boot_clock::BootClock;
use crate::dispatch::channel;
use crate::dispatch::channel::ChannelSender;
use crate::dispatch::channel::LinkDecision;
use crate::dispatch::channel::LinkEnd;
use crate::dispatch::channel::LinkHandler;
use crate::dispatch::clients::Clients;
use crate::dispatch::clock_watch::ClockWatch;
use crate::dispatch::cpu_usage::CpuUsage;
use crate::dispatch::division::Division;
use crate::dispatch::division::PartitionedHost;
use crate::dispatch::forwarder_host::ForwardedWaiter;
use crate::dispatch::forwarder_host::ForwarderHost;
use crate::dispatch::forwarder_host::Inbound;
use crate::dispatch::lag::LoopLag;
use crate::dispatch::links;
use crate::dispatch::links::Links;
use crate::dispatch::log_sink::LogSink;
use crate::dispatch::metrics_page::ProcessGauges;
use crate::dispatch::traffic::Traffic;

/// The interval between ticks of the scheduler.
const TICK: Duration = Duration::from_millis(20);
/// The delay before accepting again after a failure, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A scheduler with its links and its callers. Cheap to clone.
#[derive(Clone)]
pub struct SchedulerHost {
    inner: Rc<Inner>,
}

struct Inner {
    policy: Policy,
    division: Division,
    /// Forwards the jobs of other partitions, if the fleet has any.
    forwarder: OnceCell<ForwarderHost>,
    inbound: Inbound,
    scheduler: RefCell<Scheduler>,
    clock: BootClock,
    own_address: SocketAddr,
    links: Links,
    lag: LoopLag,
    clock_watch: ClockWatch,
    cpu_usage: CpuUsage,
    callers: RefCell<HashMap<CallerId, oneshot::Sender<JobOutcome>>>,
    next_caller: Cell<u64>,
    log: RefCell<LogSink>,
}

/// Waits for the outcome of a job that runs here or in another partition.
pub enum Waiter {
    /// The job belongs to this partition.
    Local(LocalWaiter),
    /// The job is forwarded to another partition.
    Forwarded(ForwardedWaiter),
}

impl Waiter {
    /// Waits for the outcome.
    pub async fn outcome(self) -> JobOutcome {
        match self {
            Waiter::Local(waiter) => waiter.outcome().await,
            Waiter::Forwarded(waiter) => waiter.outcome().await,
        }
    }
}

/// Waits for the outcome of a job that runs here. Dropping it before the outcome is known tells the scheduler
/// that the caller has left.
pub struct LocalWaiter {
    host: SchedulerHost,
    caller: CallerId,
    number: JobNumber,
    receiver: oneshot::Receiver<JobOutcome>,
    done: bool,
}

impl LocalWaiter {
    /// Waits for the outcome.
    pub async fn outcome(mut self) -> JobOutcome {
        let outcome = (&mut self.receiver).await;
        self.done = true;
        outcome.unwrap_or(JobOutcome::Unknown)
    }
}

impl Drop for LocalWaiter {
    fn drop(&mut self) {
        if !self.done {
            let (caller, number) = (self.caller, self.number);
            self.host.inner.callers.borrow_mut().remove(&caller);
            self.host.with(|s, now| s.caller_left(now, caller, number));
        }
    }
}

impl SchedulerHost {
    /// Starts a scheduler that listens at `listen` and that others reach at `own_address`. It asks the
    /// `seeds` for the members while the store does not answer. `cores` is the processor limit of the
    /// process, if it is known. `clients` limits the links whose other ends have not greeted.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn start(
        setup: SchedulerSetup,
        seeds: Vec<SocketAddr>,
        listen: SocketAddr,
        own_address: SocketAddr,
        cores: Option<f64>,
        clients: Clients,
        log: LogSink,
    ) -> std::io::Result<SchedulerHost> {
        let listener = channel::listen(listen)?;
        let clock = BootClock::start();
        let inner = Inner {
            policy: setup.policy,
            division: Division::new(&setup.name, seeds),
            forwarder: OnceCell::new(),
            inbound: Inbound::default(),
            scheduler: RefCell::new(Scheduler::new(setup)),
            clock,
            own_address,
            links: Links::default(),
            lag: LoopLag::default(),
            clock_watch: ClockWatch::new(clock),
            cpu_usage: CpuUsage::new(cores),
            callers: RefCell::default(),
            next_caller: Cell::new(1),
            log: RefCell::new(log),
        };
        let host = SchedulerHost {
            inner: Rc::new(inner),
        };
        let accepting = host.clone();
        actix_rt::spawn(async move {
            loop {
                let Ok((stream, peer)) = listener.accept().await else {
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                let host = accepting.clone();
                let admission = clients.admit_link(peer).await;
                actix_rt::spawn(async move {
                    let closed = admission.closed();
                    tokio::select! {
                        // A process that sets up no link tries again, and logs why if it lasts.
                        _ = channel::serve(stream, &host, || drop(admission)) => {}
                        () = closed => {}
                    }
                });
            }
        });
        let ticking = host.clone();
        actix_rt::spawn(async move {
            loop {
                if let Some(late) = ticking.inner.lag.sleep(TICK).await {
                    ticking.log(Kind::LoopLate, format!("{} ms", late.as_millis()));
                }
                if let Some(step) = ticking.inner.clock_watch.check(ticking.now()) {
                    ticking.log(Kind::ClockStepped, step.to_string());
                }
                let elapsed = ticking.inner.clock.elapsed();
                if let Some(percent) = ticking.inner.cpu_usage.sample(elapsed) {
                    ticking.with(|s, now| s.set_busy(now, percent));
                }
                ticking.with(|s, now| s.tick(now));
            }
        });
        Ok(host)
    }

    /// Returns the time of this process's clock.
    pub fn now(&self) -> Mono {
        self.inner.clock.now()
    }

    /// Runs `work` on the scheduler and performs the resulting actions.
    pub fn with<R>(&self, work: impl FnOnce(&mut Scheduler, Mono) -> R) -> R {
        let now = self.now();
        let (result, actions) = {
            let mut scheduler = self.inner.scheduler.borrow_mut();
            let result = work(&mut scheduler, now);
            (result, scheduler.take_actions())
        };
        for action in actions {
            self.perform(now, action);
        }
        result
    }

    /// Reads from the scheduler without changing it.
    pub fn read<R>(&self, read: impl FnOnce(&Scheduler) -> R) -> R {
        read(&self.inner.scheduler.borrow())
    }

    /// Sets the forwarder for the jobs of other partitions.
    pub fn set_forwarder(&self, forwarder: ForwarderHost) {
        if self.read(Scheduler::is_closed) {
            // Nobody would answer what it takes later.
            let now = self.now();
            forwarder.with(|f| f.abandon(now));
        }
        // The forwarder is started only once, when the division becomes known, so the cell is empty.
        let _ = self.inner.forwarder.set(forwarder);
    }

    /// Returns the forwarder, if the fleet has several partitions.
    pub fn forwarder(&self) -> Option<&ForwarderHost> {
        self.inner.forwarder.get()
    }

    /// Returns whether requests should be sent to this entry: the scheduler is ready for the jobs of its own
    /// partition, and those of other partitions can be forwarded.
    pub fn is_ready(&self) -> bool {
        let divided = self.inner.division.get().is_some_and(|p| p.count() > 1);
        let forwards = match self.forwarder() {
            Some(forwarder) => forwarder.read(|f| f.is_ready()),
            None => !divided,
        };
        forwards && self.read(Scheduler::is_ready)
    }

    /// Returns whether no job is held or forwarded and no caller waits.
    pub fn is_idle(&self) -> bool {
        let forwarded = self.forwarder().is_none_or(|f| f.read(Forwarder::is_idle));
        forwarded && self.read(Scheduler::is_idle)
    }

    /// Returns the time since the last job was accepted or the last request was forwarded.
    pub fn since_last_job(&self) -> Duration {
        let now = self.now();
        let local = self.read(|s| s.quiet_time(now));
        let forwarded = self.forwarder().map(|f| f.read(|f| f.quiet_time(now)));
        forwarded.map_or(local, |span| span.min(local))
    }

    /// Gives up all jobs held here and forwarded, so that every caller gets an answer.
    pub fn abandon(&self) {
        self.with(|s, now| s.abandon(now));
        if let Some(forwarder) = self.forwarder() {
            let now = self.now();
            forwarder.with(|f| f.abandon(now));
        }
    }

    /// Submits a job to the partition that runs it.
    pub fn submit(&self, request: JobRequest) -> Waiter {
        match self.forwarder_for(request.number) {
            Some(forwarder) => Waiter::Forwarded(forwarder.submit(request)),
            None => Waiter::Local(self.submit_local(request)),
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, number: JobNumber) -> CancelReply {
        match self.forwarder_for(number) {
            Some(forwarder) => CancelReply::from_outcome(forwarder.cancel(number).outcome().await),
            None => self.with(|s, now| s.cancel(now, number)),
        }
    }

    fn forwarder_for(&self, number: JobNumber) -> Option<&ForwarderHost> {
        self.forwarder().filter(|f| f.is_remote(number))
    }

    /// Returns whether a job belongs to another partition.
    pub(super) fn is_remote(&self, number: JobNumber) -> bool {
        self.forwarder_for(number).is_some()
    }

    /// Submits a job that runs in this partition.
    pub(super) fn submit_local(&self, request: JobRequest) -> LocalWaiter {
        let caller = CallerId(self.inner.next_caller.get());
        self.inner.next_caller.set(caller.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.inner.callers.borrow_mut().insert(caller, sender);
        let number = request.number;
        self.with(|s, now| s.submit(now, caller, request));
        LocalWaiter {
            host: self.clone(),
            caller,
            number,
            receiver,
            done: false,
        }
    }

    /// Writes a log line.
    pub fn log(&self, kind: Kind, detail: impl Into<String>) {
        let event = Event::new(kind, detail);
        self.inner.log.borrow_mut().log(self.now(), &event);
    }

    /// Writes the log line of an event.
    pub(super) fn log_event(&self, event: &Event) {
        self.inner.log.borrow_mut().log(self.now(), event);
    }

    /// Returns the links on which other entries forward jobs to this one.
    pub(super) fn inbound(&self) -> &Inbound {
        &self.inner.inbound
    }

    /// Returns the interval of heartbeats to an entry that has forwarded jobs here.
    pub(super) fn forward_heartbeat(&self) -> Duration {
        self.inner.policy.partitions.heartbeat
    }

    /// Sends a reply to an entry that forwards jobs here: the readiness of this scheduler and the outcome of
    /// a job, if any.
    pub(super) fn send_reply(&self, link: LinkId, end: Option<(u64, JobOutcome)>) {
        let to_proto = |(caller, outcome): (u64, JobOutcome)| proto::ForwardedEnd {
            caller,
            outcome: outcome.code(),
        };
        let reply = proto::ForwardReply {
            ends: end.map(to_proto).into_iter().collect(),
            ready: self.read(Scheduler::is_ready),
        };
        self.inner.links.send(link, Body::ForwardReply(reply));
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

    fn keep_link(&self, address: SocketAddr) {
        if address == self.inner.own_address || !self.inner.links.begin_dialling(address) {
            return;
        }
        let host = self.clone();
        actix_rt::spawn(async move {
            // Two schedulers that know each other would both connect. The one with the higher address waits,
            // so that the other one can connect first.
            if address < host.inner.own_address {
                actix_rt::time::sleep(host.inner.policy.links.yield_for).await;
            }
            let known = address.to_string();
            let reading = host.clone();
            let linked = move || reading.read(|s| s.is_linked_to(&known));
            links::maintain(address, host.clone(), linked).await;
            host.inner.links.end_dialling(address);
        });
    }

    fn perform(&self, now: Mono, action: Action) {
        match action {
            Action::Send(link, body) => self.inner.links.send(link, *body),
            Action::Close(link) => self.inner.links.remove(link),
            Action::Answer(caller, outcome) => {
                if let Some(sender) = self.inner.callers.borrow_mut().remove(&caller) {
                    let _ = sender.send(outcome);
                }
            }
            Action::Dial(members) => links::addresses(&members)
                .into_iter()
                .for_each(|address| self.dial(address)),
            Action::Log(event) => self.inner.log.borrow_mut().log(now, &event),
        }
    }
}

impl PartitionedHost for SchedulerHost {
    fn division(&self) -> &Division {
        &self.inner.division
    }

    fn dial(&self, address: SocketAddr) {
        self.keep_link(address);
    }

    fn log(&self, kind: Kind, detail: String) {
        SchedulerHost::log(self, kind, detail);
    }
}

impl LinkHandler for SchedulerHost {
    fn policy(&self) -> LinkPolicy {
        self.inner.policy.links
    }

    fn greeting(&self) -> proto::Greeting {
        proto::Greeting {
            divided: self.inner.division.to_greeting(),
            ..self.read(Scheduler::greeting)
        }
    }

    fn decide_link(&self, theirs: &proto::Greeting) -> LinkDecision {
        if theirs.address == self.inner.own_address.to_string() && !theirs.executor {
            return LinkDecision::Never;
        }
        if self.inner.division.set_from_greeting(theirs) {
            let detail = self.inner.division.describe(&theirs.name);
            self.log(Kind::FleetDivided, detail);
        }
        match self.inner.division.decide_link(theirs) {
            LinkDecision::Never if theirs.forwards => LinkDecision::Yes,
            decision => decision,
        }
    }

    fn redirect_targets(&self, theirs: &proto::Greeting) -> Vec<proto::Member> {
        let named = |f: &Forwarder| f.schedulers_beside(&theirs.name);
        self.forwarder().map(|f| f.read(named)).unwrap_or_default()
    }

    fn handle_redirect(&self, members: Vec<proto::Member>) {
        links::addresses(&members)
            .into_iter()
            .for_each(|address| self.dial(address));
    }

    fn up(&self, link: LinkId, theirs: &proto::Greeting, sender: ChannelSender) {
        self.inner.links.insert(link, sender);
        if theirs.forwards {
            return self.inner.inbound.up(self, link);
        }
        self.with(|s, now| s.link_up(now, link, theirs));
    }

    fn message(&self, link: LinkId, body: Body) {
        match body {
            Body::Forward(forward) if self.inner.inbound.contains(link) => {
                self.inner.inbound.message(self, link, forward);
            }
            body => self.with(|s, now| s.handle_message(now, link, body)),
        }
    }

    fn down(&self, link: LinkId, theirs: &proto::Greeting, end: LinkEnd) {
        self.inner.links.remove(link);
        self.log(Kind::LinkEnded, format!("{}: {end}", theirs.name));
        if !self.inner.inbound.down(link) {
            self.with(|s, now| s.link_down(now, link));
        }
    }

    fn traffic(&self) -> Rc<Traffic> {
        self.inner.links.traffic.clone()
    }
}
