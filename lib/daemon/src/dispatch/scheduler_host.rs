//! A scheduler under the real runtime.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::model::JobRequest;
use stackcourse_lib::dispatch::policy::Links as LinkPolicy;
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
use crate::dispatch::channel::LinkEnd;
use crate::dispatch::channel::Listener;
use crate::dispatch::lag::LoopLag;
use crate::dispatch::links;
use crate::dispatch::links::Links;
use crate::dispatch::log_sink::LogSink;
use crate::dispatch::metrics_page::ProcessGauges;
use crate::dispatch::traffic::Traffic;

/// Time passes for the scheduler in steps of this.
const TICK: Duration = Duration::from_millis(20);

/// A scheduler, its links and its callers. Cheap to clone.
#[derive(Clone)]
pub struct SchedulerHost {
    inner: Rc<Inner>,
}

struct Inner {
    policy: LinkPolicy,
    scheduler: RefCell<Scheduler>,
    clock: BootClock,
    own: SocketAddr,
    links: Links,
    lag: LoopLag,
    callers: RefCell<HashMap<CallerId, oneshot::Sender<JobOutcome>>>,
    next_caller: Cell<u64>,
    log: RefCell<LogSink>,
}

/// The end of a job, as its caller waits for it. Dropping it tells the scheduler that the caller
/// has left.
pub struct Waiter {
    host: SchedulerHost,
    caller: CallerId,
    number: JobNumber,
    receiver: oneshot::Receiver<JobOutcome>,
    done: bool,
}

impl Waiter {
    /// Waits for the end.
    pub async fn outcome(mut self) -> JobOutcome {
        let outcome = (&mut self.receiver).await;
        self.done = true;
        outcome.unwrap_or(JobOutcome::Unknown)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if !self.done {
            let (caller, number) = (self.caller, self.number);
            self.host.inner.callers.borrow_mut().remove(&caller);
            self.host.with(|s, now| s.caller_left(now, caller, number));
        }
    }
}

impl SchedulerHost {
    /// Starts a scheduler that listens at `listen` and is reached by others at `own`.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn start(
        setup: SchedulerSetup,
        listen: SocketAddr,
        own: SocketAddr,
        log: LogSink,
    ) -> std::io::Result<SchedulerHost> {
        let listener = channel::listen(listen)?;
        let inner = Inner {
            policy: setup.policy.links,
            scheduler: RefCell::new(Scheduler::new(setup)),
            clock: BootClock::start(),
            own,
            links: Links::default(),
            lag: LoopLag::default(),
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

    /// Hands in a job.
    pub fn submit(&self, request: JobRequest) -> Waiter {
        let caller = CallerId(self.inner.next_caller.get());
        self.inner.next_caller.set(caller.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.inner.callers.borrow_mut().insert(caller, sender);
        let number = request.number;
        self.with(|s, now| s.submit(now, caller, request));
        Waiter {
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

    /// How late this process gets to what is due, and what passes on its links.
    pub fn process(&self) -> ProcessGauges<'_> {
        ProcessGauges {
            lag: &self.inner.lag,
            traffic: &self.inner.links.traffic,
            dropped: self.inner.log.borrow().dropped(),
        }
    }

    /// Keeps a link to the scheduler at this address.
    pub fn dial(&self, address: SocketAddr) {
        if address == self.inner.own || !self.inner.links.begin(address) {
            return;
        }
        let host = self.clone();
        actix_rt::spawn(async move {
            // Of two schedulers that know each other, one is given the time to connect first.
            if address < host.inner.own {
                actix_rt::time::sleep(host.inner.policy.yield_for).await;
            }
            let known = address.to_string();
            let reading = host.clone();
            let linked = move || reading.read(|s| s.is_linked_to(&known));
            links::keep(address, host, linked).await;
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

impl Listener for SchedulerHost {
    fn policy(&self) -> LinkPolicy {
        self.inner.policy
    }

    fn greeting(&self) -> proto::Greeting {
        self.read(Scheduler::greeting)
    }

    fn wants(&self, theirs: &proto::Greeting) -> bool {
        theirs.executor || theirs.address != self.inner.own.to_string()
    }

    fn up(&self, link: LinkId, theirs: &proto::Greeting, sender: ChannelSender) {
        self.inner.links.insert(link, sender);
        self.with(|s, now| s.link_up(now, link, theirs));
    }

    fn message(&self, link: LinkId, body: Body) {
        self.with(|s, now| s.message(now, link, body));
    }

    fn down(&self, link: LinkId, theirs: &proto::Greeting, end: LinkEnd) {
        self.inner.links.remove(link);
        self.log(Kind::LinkEnded, format!("{}: {end}", theirs.name));
        self.with(|s, now| s.link_down(now, link));
    }

    fn traffic(&self) -> Rc<Traffic> {
        self.inner.links.traffic.clone()
    }
}
