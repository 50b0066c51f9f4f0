//! The host of a forwarder, which forwards the jobs of other partitions over links of its own, and the
//! handling of the jobs that other entries forward to this one.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use stackcourse_lib::dispatch::forwarder::Action;
use stackcourse_lib::dispatch::forwarder::Forwarder;
use stackcourse_lib::dispatch::forwarder::Freshness;
use stackcourse_lib::dispatch::model::JobNumber;
use stackcourse_lib::dispatch::model::JobOutcome;
use stackcourse_lib::dispatch::model::JobRequest;
use stackcourse_lib::dispatch::partition::Partition;
use stackcourse_lib::dispatch::policy::Links as LinkPolicy;
use stackcourse_lib::dispatch::scheduler::CallerId;
use stackcourse_lib::dispatch::scheduler::Scheduler;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::LinkId;
use stackcourse_lib::protos::dispatch as proto;
use stackcourse_lib::protos::dispatch::frame::Body;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::dispatch::channel;
use crate::dispatch::channel::ChannelSender;
use crate::dispatch::channel::LinkDecision;
use crate::dispatch::channel::LinkEnd;
use crate::dispatch::channel::LinkHandler;
use crate::dispatch::links::Links;
use crate::dispatch::scheduler_host::SchedulerHost;
use crate::dispatch::traffic::Traffic;

/// The interval between ticks of the forwarder.
const TICK: Duration = Duration::from_millis(20);

/// Receives the requests of the forwarder to read the schedulers of a partition from the store.
pub type ReadRequests = mpsc::UnboundedReceiver<(Partition, Freshness)>;

/// A forwarder with its links and its callers. Cheap to clone.
#[derive(Clone)]
pub struct ForwarderHost {
    inner: Rc<Inner>,
}

struct Inner {
    host: SchedulerHost,
    forwarder: RefCell<Forwarder>,
    links: Links,
    callers: RefCell<HashMap<CallerId, oneshot::Sender<JobOutcome>>>,
    next_caller: Cell<u64>,
    read_requests: mpsc::UnboundedSender<(Partition, Freshness)>,
}

/// Waits for the outcome of a forwarded request. Dropping it before the outcome is known withdraws the
/// request.
pub struct ForwardedWaiter {
    host: ForwarderHost,
    caller: CallerId,
    receiver: oneshot::Receiver<JobOutcome>,
    done: bool,
}

impl ForwardedWaiter {
    /// Waits for the outcome.
    pub async fn outcome(mut self) -> JobOutcome {
        let outcome = (&mut self.receiver).await;
        self.done = true;
        outcome.unwrap_or(JobOutcome::Unknown)
    }
}

impl Drop for ForwardedWaiter {
    fn drop(&mut self) {
        if !self.done {
            self.host.inner.callers.borrow_mut().remove(&self.caller);
            self.host
                .with(|f| f.caller_left(self.host.inner.host.now(), self.caller));
        }
    }
}

impl ForwarderHost {
    /// Starts a forwarder for the entry of a scheduler. Also returns the receiver of the forwarder's requests
    /// to read the schedulers of a partition.
    pub fn start(host: &SchedulerHost, forwarder: Forwarder) -> (ForwarderHost, ReadRequests) {
        let (read_requests, requests) = mpsc::unbounded_channel();
        let inner = Inner {
            host: host.clone(),
            forwarder: RefCell::new(forwarder),
            links: Links::default(),
            callers: RefCell::default(),
            next_caller: Cell::new(1),
            read_requests,
        };
        let forwarder_host = ForwarderHost {
            inner: Rc::new(inner),
        };
        let ticking = forwarder_host.clone();
        actix_rt::spawn(async move {
            loop {
                let now = ticking.inner.host.now();
                ticking.with(|f| f.tick(now));
                actix_rt::time::sleep(TICK).await;
            }
        });
        (forwarder_host, requests)
    }

    /// Runs `work` on the forwarder and performs the resulting actions.
    pub fn with<R>(&self, work: impl FnOnce(&mut Forwarder) -> R) -> R {
        let (result, actions) = {
            let mut forwarder = self.inner.forwarder.borrow_mut();
            let result = work(&mut forwarder);
            (result, forwarder.take_actions())
        };
        for action in actions {
            self.perform(action);
        }
        result
    }

    /// Reads from the forwarder without changing it.
    pub fn read<R>(&self, read: impl FnOnce(&Forwarder) -> R) -> R {
        read(&self.inner.forwarder.borrow())
    }

    /// Returns whether a job belongs to another partition.
    pub fn is_remote(&self, number: JobNumber) -> bool {
        self.read(|f| f.partitions().of_job(number) != f.own())
    }

    /// Submits a job of another partition.
    pub fn submit(&self, request: JobRequest) -> ForwardedWaiter {
        let now = self.inner.host.now();
        self.send_request(|f, caller| f.submit(now, caller, request))
    }

    /// Cancels a job of another partition.
    pub fn cancel(&self, number: JobNumber) -> ForwardedWaiter {
        let now = self.inner.host.now();
        self.send_request(|f, caller| f.cancel(now, caller, number))
    }

    fn send_request(&self, send: impl FnOnce(&mut Forwarder, CallerId)) -> ForwardedWaiter {
        let caller = CallerId(self.inner.next_caller.get());
        self.inner.next_caller.set(caller.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.inner.callers.borrow_mut().insert(caller, sender);
        self.with(|f| send(f, caller));
        ForwardedWaiter {
            host: self.clone(),
            caller,
            receiver,
            done: false,
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Dial(name, address) => self.dial(name, &address),
            Action::Send(link, forward) => self.inner.links.send(link, Body::Forward(forward)),
            Action::Close(link) => self.inner.links.remove(link),
            Action::Answer(caller, outcome) => {
                if let Some(sender) = self.inner.callers.borrow_mut().remove(&caller) {
                    let _ = sender.send(outcome);
                }
            }
            Action::Read(partition, freshness) => {
                // The receiving task runs until the process ends, so sending can't fail before.
                let _ = self.inner.read_requests.send((partition, freshness));
            }
            Action::Log(event) => self.inner.host.log_event(&event),
        }
    }

    fn dial(&self, name: String, address: &str) {
        let address: Result<SocketAddr, _> = address.parse();
        let host = self.clone();
        actix_rt::spawn(async move {
            if let Ok(address) = address {
                let timeout = host.policy().connect_first;
                if let Err(e) = channel::dial(address, timeout, &host).await {
                    let detail = format!("forwarding to {name}: {e}");
                    host.inner.host.log(Kind::LinkDown, detail);
                }
            }
            let now = host.inner.host.now();
            host.with(|f| f.connect_failed(now, &name));
        });
    }
}

impl LinkHandler for ForwarderHost {
    fn policy(&self) -> LinkPolicy {
        self.inner.host.policy()
    }

    fn greeting(&self) -> proto::Greeting {
        proto::Greeting {
            forwards: true,
            ..self.inner.host.greeting()
        }
    }

    fn decide_link(&self, theirs: &proto::Greeting) -> LinkDecision {
        match theirs.executor {
            true => LinkDecision::Never,
            false => LinkDecision::Yes,
        }
    }

    fn up(&self, link: LinkId, theirs: &proto::Greeting, sender: ChannelSender) {
        self.inner.links.insert(link, sender);
        let now = self.inner.host.now();
        self.with(|f| f.link_up(now, &theirs.name, link));
    }

    fn message(&self, link: LinkId, body: Body) {
        if let Body::ForwardReply(reply) = body {
            let now = self.inner.host.now();
            self.with(|f| f.handle_message(now, link, &reply));
        }
    }

    fn down(&self, link: LinkId, theirs: &proto::Greeting, end: LinkEnd) {
        self.inner.links.remove(link);
        let host = &self.inner.host;
        host.log(
            Kind::LinkEnded,
            format!("forwarding to {}: {end}", theirs.name),
        );
        self.with(|f| f.link_down(host.now(), link));
    }

    fn traffic(&self) -> Rc<Traffic> {
        self.inner.host.traffic()
    }
}

/// The links on which other entries forward jobs to this one.
#[derive(Default)]
pub(super) struct Inbound {
    links: RefCell<HashMap<LinkId, InboundLink>>,
}

struct InboundLink {
    /// The tasks that wait for the jobs of its callers.
    tasks: HashMap<u64, JoinHandle<()>>,
    heartbeats: JoinHandle<()>,
}

impl Inbound {
    /// Returns whether a link is an inbound one.
    pub fn contains(&self, link: LinkId) -> bool {
        self.links.borrow().contains_key(&link)
    }

    /// Adds a link that is up.
    pub fn up(&self, host: &SchedulerHost, link: LinkId) {
        let inbound_link = InboundLink {
            tasks: HashMap::new(),
            heartbeats: actix_rt::spawn(send_heartbeats(host.clone(), link)),
        };
        self.links.borrow_mut().insert(link, inbound_link);
    }

    /// Aborts the tasks for the jobs forwarded on a link that is down. Returns whether it was an inbound
    /// link.
    pub fn down(&self, link: LinkId) -> bool {
        let Some(closed) = self.links.borrow_mut().remove(&link) else {
            return false;
        };
        closed.heartbeats.abort();
        closed.tasks.into_values().for_each(|task| task.abort());
        true
    }

    /// Handles the jobs, the cancellations and the departures of callers that a link forwards.
    pub fn message(&self, host: &SchedulerHost, link: LinkId, forward: proto::Forward) {
        for caller in forward.left {
            if let Some(task) = self.remove(link, caller) {
                task.abort();
            }
        }
        for job in forward.jobs {
            let request = job.job.as_ref().map(JobRequest::from_proto);
            if let Some(request) = request {
                let task = actix_rt::spawn(run_forwarded(host.clone(), link, job.caller, request));
                self.insert(link, job.caller, task);
            }
        }
        for cancel in forward.cancels {
            let reply = host.with(|s, now| s.cancel(now, JobNumber(cancel.job)));
            host.send_reply(link, Some((cancel.caller, reply.outcome())));
        }
    }

    fn insert(&self, link: LinkId, caller: u64, task: JoinHandle<()>) {
        if let Some(known) = self.links.borrow_mut().get_mut(&link) {
            known.tasks.insert(caller, task);
        }
    }

    fn remove(&self, link: LinkId, caller: u64) -> Option<JoinHandle<()>> {
        self.links
            .borrow_mut()
            .get_mut(&link)?
            .tasks
            .remove(&caller)
    }

    fn is_idle(&self, link: LinkId) -> bool {
        let links = self.links.borrow();
        links.get(&link).is_none_or(|known| known.tasks.is_empty())
    }
}

/// Runs a forwarded job and reports its outcome to the entry that forwarded it.
async fn run_forwarded(host: SchedulerHost, link: LinkId, caller: u64, request: JobRequest) {
    let outcome = match request.check() {
        Ok(()) if host.is_remote(request.number) => {
            let detail = format!(
                "{} forwarded to another partition than its own",
                request.number
            );
            host.log(Kind::ForwardFailed, detail);
            JobOutcome::Unknown
        }
        Ok(()) => host.submit_local(request).outcome().await,
        Err(error) => {
            let detail = format!("{} forwarded: {error}", request.number);
            host.log(Kind::JobRefused, detail);
            JobOutcome::Failed
        }
    };
    host.inbound().remove(link, caller);
    host.send_reply(link, Some((caller, outcome)));
}

/// Sends heartbeats to the other end of an inbound link: one at once, and one in each interval in which the
/// readiness of this process has changed or jobs run for the other end.
async fn send_heartbeats(host: SchedulerHost, link: LinkId) {
    let mut reported = host.read(Scheduler::is_ready);
    host.send_reply(link, None);
    loop {
        actix_rt::time::sleep(host.forward_heartbeat()).await;
        let ready = host.read(Scheduler::is_ready);
        if ready != reported || !host.inbound().is_idle(link) {
            host.send_reply(link, None);
        }
        reported = ready;
    }
}
