//! A scheduler under the real runtime.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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
use crate::dispatch::day_watch::ClockWatch;
use crate::dispatch::division::Division;
use crate::dispatch::division::PartitionedHost;
use crate::dispatch::forwarding::ForwarderHost;
use crate::dispatch::forwarding::Inbound;
use crate::dispatch::forwarding::Reply;
use crate::dispatch::lag::LoopLag;
use crate::dispatch::links;
use crate::dispatch::links::Links;
use crate::dispatch::log_sink::LogSink;
use crate::dispatch::metrics_page::ProcessGauges;
use crate::dispatch::processor::CpuUsage;
use crate::dispatch::traffic::Traffic;

/// Time passes for the scheduler in steps of this.
const TICK: Duration = Duration::from_millis(20);

/// A scheduler, its links and its callers. Cheap to clone.
#[derive(Clone)]
pub struct SchedulerHost {
    inner: Rc<Inner>,
}

struct Inner {
    policy: Policy,
    division: Division,
    /// Hands on the jobs of other partitions, if there are any.
    forwarder: OnceCell<ForwarderHost>,
    inbound: Inbound,
    scheduler: RefCell<Scheduler>,
    clock: BootClock,
    own: SocketAddr,
    links: Links,
    lag: LoopLag,
    clock_watch: ClockWatch,
    processor: CpuUsage,
    callers: RefCell<HashMap<CallerId, oneshot::Sender<JobOutcome>>>,
    next_caller: Cell<u64>,
    log: RefCell<LogSink>,
}

/// The end of a job, as its caller waits for it: of one that runs here, or in another partition.
pub enum Waiter {
    /// It is one of this partition.
    Here(LocalWaiter),
    /// It is forwarded.
    Elsewhere(Reply),
}

impl Waiter {
    /// Waits for the end.
    pub async fn outcome(self) -> JobOutcome {
        match self {
            Waiter::Here(waiter) => waiter.outcome().await,
            Waiter::Elsewhere(reply) => reply.outcome().await,
        }
    }
}

/// The end of a job that runs here. Dropping it tells the scheduler that the caller has left.
pub struct LocalWaiter {
    host: SchedulerHost,
    caller: CallerId,
    number: JobNumber,
    receiver: oneshot::Receiver<JobOutcome>,
    done: bool,
}

impl LocalWaiter {
    /// Waits for the end.
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
    /// Starts a scheduler that listens at `listen` and is reached by others at `own`. `seeds` are asked who there is
    /// while the store does not answer. `cores` is what the process may use of the processors, if that is known.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn start(
        setup: SchedulerSetup,
        seeds: Vec<SocketAddr>,
        listen: SocketAddr,
        own: SocketAddr,
        cores: Option<f64>,
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
            own,
            links: Links::default(),
            lag: LoopLag::default(),
            clock_watch: ClockWatch::new(clock),
            processor: CpuUsage::new(cores),
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
                if let Ok((stream, _)) = listener.accept().await {
                    let host = accepting.clone();
                    actix_rt::spawn(async move {
                        let _ = channel::serve(stream, &host).await;
                    });
                }
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
                if let Some(percent) = ticking.inner.processor.sample(elapsed) {
                    ticking.with(|s, now| s.set_busy(now, percent));
                }
                ticking.with(|s, now| s.tick(now));
            }
        });
        Ok(host)
    }

    /// This process's clock.
    pub fn now(&self) -> Mono {
        self.inner.clock.now()
    }

    /// Gives the scheduler something to do, and does what it wants done.
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

    /// Reads something of the scheduler.
    pub fn read<R>(&self, read: impl FnOnce(&Scheduler) -> R) -> R {
        read(&self.inner.scheduler.borrow())
    }

    /// Has the jobs of other partitions forwarded from now on.
    pub fn forward_by(&self, forwarder: ForwarderHost) {
        // It is started once, when the division becomes known.
        let _ = self.inner.forwarder.set(forwarder);
    }

    /// The forwarder, in a fleet that is divided.
    pub fn forwarder(&self) -> Option<&ForwarderHost> {
        self.inner.forwarder.get()
    }

    /// Whether requests should be sent here: those of this partition are served, and the others can be forwarded.
    pub fn is_ready(&self) -> bool {
        let divided = self.inner.division.get().is_some_and(|p| p.count() > 1);
        let forwards = match self.forwarder() {
            Some(forwarder) => forwarder.read(|f| f.is_ready()),
            None => !divided,
        };
        forwards && self.read(Scheduler::is_ready)
    }

    /// Whether no job is held or forwarded and nobody waits.
    pub fn is_idle(&self) -> bool {
        let forwarded = self.forwarder().is_none_or(|f| f.read(Forwarder::is_idle));
        forwarded && self.read(Scheduler::is_idle)
    }

    /// How long no job has come.
    pub fn untaken(&self) -> Duration {
        let now = self.now();
        let here = self.read(|s| s.untaken(now));
        let forwarded = self.forwarder().map(|f| f.read(|f| f.untaken(now)));
        forwarded.map_or(here, |span| span.min(here))
    }

    /// Gives up all that is held and forwarded, so that every caller has an answer.
    pub fn abandon(&self) {
        self.with(|s, now| s.abandon(now));
        if let Some(forwarder) = self.forwarder() {
            let now = self.now();
            forwarder.with(|f| f.abandon(now));
        }
    }

    /// Hands in a job, at the partition that runs it.
    pub fn submit(&self, request: JobRequest) -> Waiter {
        match self.foreign(request.number) {
            Some(forwarder) => Waiter::Elsewhere(forwarder.submit(request)),
            None => Waiter::Here(self.submit_here(request)),
        }
    }

    /// Cancels a job; whether it is known.
    pub async fn cancel(&self, number: JobNumber) -> bool {
        match self.foreign(number) {
            Some(forwarder) => forwarder.cancel(number).outcome().await == JobOutcome::Cancelled,
            None => self.with(|s, now| s.cancel(now, number)),
        }
    }

    fn foreign(&self, number: JobNumber) -> Option<&ForwarderHost> {
        self.forwarder().filter(|f| f.is_foreign(number))
    }

    /// Whether a job is of another partition.
    pub(super) fn is_foreign(&self, number: JobNumber) -> bool {
        self.foreign(number).is_some()
    }

    /// Hands in a job that runs here.
    pub(super) fn submit_here(&self, request: JobRequest) -> LocalWaiter {
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

    /// Writes a log line that is made already.
    pub(super) fn log_event(&self, event: &Event) {
        self.inner.log.borrow_mut().log(self.now(), event);
    }

    /// What other entries have forwarded.
    pub(super) fn inbound(&self) -> &Inbound {
        &self.inner.inbound
    }

    /// How often an entry hears of this one while it has forwarded something here.
    pub(super) fn forward_heartbeat(&self) -> Duration {
        self.inner.policy.partitions.heartbeat
    }

    /// Answers an entry that forwards jobs here: how one ended, if any has.
    pub(super) fn reply(&self, link: LinkId, end: Option<(u64, JobOutcome)>) {
        let told = |(caller, outcome): (u64, JobOutcome)| proto::ForwardedEnd {
            caller,
            outcome: outcome.code(),
        };
        let reply = proto::ForwardReply {
            ends: end.map(told).into_iter().collect(),
            ready: self.read(Scheduler::is_ready),
        };
        self.inner.links.send(link, Body::ForwardReply(reply));
    }

    /// How late this process gets to what is due, and what passes on its links.
    pub fn process_gauges(&self) -> ProcessGauges<'_> {
        ProcessGauges {
            lag: &self.inner.lag,
            clock_watch: &self.inner.clock_watch,
            traffic: &self.inner.links.traffic,
            dropped: self.inner.log.borrow().dropped(),
        }
    }

    fn keep_link(&self, address: SocketAddr) {
        if address == self.inner.own || !self.inner.links.begin_dialling(address) {
            return;
        }
        let host = self.clone();
        actix_rt::spawn(async move {
            // Of two schedulers that know each other, one is given the time to connect first.
            if address < host.inner.own {
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
        if theirs.address == self.inner.own.to_string() && !theirs.executor {
            return LinkDecision::Never;
        }
        if self.inner.division.set_from_greeting(theirs) {
            let detail = self.inner.division.describe(&theirs.name);
            self.log(Kind::FleetDivided, detail);
        }
        match self.inner.division.decide_link(theirs) {
            LinkDecision::Never if theirs.forwards => LinkDecision::Yes,
            wanted => wanted,
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
            Body::Forward(forward) if self.inner.inbound.holds(link) => {
                self.inner.inbound.message(self, link, forward);
            }
            body => self.with(|s, now| s.message(now, link, body)),
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
