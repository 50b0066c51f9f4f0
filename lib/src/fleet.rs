//! The fleet: the backend servers as one entry knows them.
//!
//! An entry's own outstanding tasks are known exactly. What other entries have placed is known
//! from the load reports that ride on answers and heartbeats.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::Mono;
use crate::clock::Now;
use crate::clock::millis;
use crate::configuration::Service;
use crate::configuration::Site;
use crate::health::Health;
use crate::prelude::LinkId;
use crate::protos::wire;
use crate::room::Room;

new_key_type! {
    /// An agent's place in the fleet.
    pub struct AgentKey;
}

/// How long an agent may be silent before it gets nothing new.
pub const MAX_SILENCE: Duration = Duration::from_millis(2_900);

/// One agent and its backend server.
#[derive(Debug)]
pub struct Worker {
    /// The agent's name.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// For how long it had been up when it was met.
    up_ms: u64,
    met: Mono,
    /// Its hall.
    pub hall: String,
    /// Its availability zone.
    pub zone: String,
    /// What it has to give.
    pub room: Room,
    /// The link to it, while there is one.
    pub link: Option<LinkId>,
    /// When it was heard last.
    pub last_heard: Mono,
    /// When its link went down.
    pub lost_at: Option<Mono>,
    /// Whether it said that it leaves.
    pub leaving: bool,
    /// Whether the platform's list says that its box leaves.
    pub box_leaving: bool,
    /// Whether the roster that was confirmed last lists it.
    pub enrolled: bool,
    /// The configuration version in force there.
    pub config: u64,
    /// Room taken by this entry's own tasks.
    pub own: Room,
    /// How many of this entry's tasks are placed there.
    pub placed: u32,
    /// Room taken there by all entries, by its last report.
    reported: Room,
    /// Room taken by this entry's tasks at that report.
    reported_own: Room,
    /// Tasks waiting there, by its last report.
    pub queued: u32,
    /// How many starts were sent on this link.
    pub sent: u64,
    /// The last request for the right that came on this link: its number, and when it came.
    pub last_request: Option<(u64, Mono)>,
    /// When the grant that answers it was sent.
    pub last_grant: Option<(u64, Mono)>,
    /// How it does against its peers.
    pub health: Health,
}

impl Worker {
    /// A worker whose link has just come up.
    pub fn new(hello: &wire::Hello, link: LinkId, now: Mono) -> Worker {
        Worker {
            name: Arc::from(hello.name.as_str()),
            incarnation: hello.incarnation,
            up_ms: hello.up_ms,
            met: now,
            hall: hello.hall.clone(),
            zone: hello.zone.clone(),
            room: Room::from_wire(hello.room),
            link: Some(link),
            last_heard: now,
            lost_at: None,
            leaving: false,
            box_leaving: false,
            enrolled: false,
            config: 0,
            own: Room::default(),
            placed: 0,
            reported: Room::default(),
            reported_own: Room::default(),
            queued: 0,
            sent: 0,
            last_request: None,
            last_grant: None,
            health: Health::default(),
        }
    }

    /// When it started, in Unix milliseconds of this entry's time: boxes' clocks may be set between
    /// two starts of an agent.
    pub fn started_ms(&self, now: Now) -> u64 {
        let up_ms = self.up_ms + millis(now.mono.since(self.met));
        now.wall_ms.saturating_sub(up_ms)
    }

    /// Where it stands, for a service's rules.
    pub fn site(&self) -> Site<'_> {
        Site {
            name: &self.name,
            hall: &self.hall,
            zone: &self.zone,
        }
    }

    /// Whether it is linked and enrolled, and not leaving.
    pub fn is_available(&self) -> bool {
        let here = self.link.is_some() && self.last_request.is_some() && self.enrolled;
        here && !self.leaving && !self.box_leaving
    }

    /// Whether new work may be sent to it.
    pub fn is_usable(&self, now: Mono) -> bool {
        self.is_available() && now < self.last_heard + MAX_SILENCE
    }

    /// Room taken there: own tasks exactly, those of other entries as reported last.
    pub fn used(&self) -> Room {
        self.own.plus(self.reported.minus(self.reported_own))
    }

    /// Slots taken there, in thousandths of all, with the tasks that wait there.
    pub fn fill(&self) -> u32 {
        let slots = self.room.slots.max(1);
        (self.used().slots + self.queued) * 1000 / slots
    }

    /// Whether one more task fits.
    pub fn fits(&self, need: Room) -> bool {
        self.room.fits(self.used(), need)
    }

    /// Takes in a load report. Starts that the agent had not seen yet when it wrote the report
    /// are not part of it.
    pub fn report(&mut self, load: &wire::Load) {
        let flying = self.sent.saturating_sub(load.seen) as u32;
        self.reported = Room::from_wire(load.used);
        self.reported_own = Room {
            slots: self.own.slots.saturating_sub(flying),
            ..self.own
        };
        self.queued = load.queued.saturating_sub(self.own_queued());
    }

    /// Takes room for a task of this entry.
    pub fn reserve(&mut self, need: Room) {
        self.own = self.own.plus(need);
        self.placed += 1;
    }

    /// Gives back the room of a task of this entry.
    pub fn release(&mut self, need: Room) {
        self.own = self.own.minus(need);
        self.placed = self.placed.saturating_sub(1);
    }

    fn own_queued(&self) -> u32 {
        self.own.slots.saturating_sub(self.room.slots)
    }
}

/// All agents that this entry has heard of.
#[derive(Debug, Default)]
pub struct Fleet {
    workers: SlotMap<AgentKey, Worker>,
    by_incarnation: HashMap<u64, AgentKey>,
    by_link: HashMap<LinkId, AgentKey>,
}

impl Fleet {
    /// An agent's link is up. An agent that is known by its incarnation keeps its tasks.
    pub fn link_up(&mut self, hello: &wire::Hello, link: LinkId, now: Mono) -> AgentKey {
        if let Some(&key) = self.by_incarnation.get(&hello.incarnation) {
            let worker = &mut self.workers[key];
            if let Some(old) = worker.link.replace(link) {
                self.by_link.remove(&old);
            }
            worker.last_heard = now;
            worker.lost_at = None;
            worker.sent = 0;
            worker.last_request = None;
            worker.last_grant = None;
            self.by_link.insert(link, key);
            return key;
        }
        let key = self.workers.insert(Worker::new(hello, link, now));
        self.by_incarnation.insert(hello.incarnation, key);
        self.by_link.insert(link, key);
        key
    }

    /// A link is down.
    pub fn link_down(&mut self, link: LinkId, now: Mono) -> Option<AgentKey> {
        let key = self.by_link.remove(&link)?;
        let worker = self.workers.get_mut(key)?;
        worker.link = None;
        worker.lost_at = Some(now);
        Some(key)
    }

    /// Forgets an agent.
    pub fn remove(&mut self, key: AgentKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_incarnation.remove(&worker.incarnation);
            if let Some(link) = worker.link {
                self.by_link.remove(&link);
            }
        }
    }

    /// An agent by its key.
    pub fn get(&self, key: AgentKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// An agent by its key.
    pub fn get_mut(&mut self, key: AgentKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    /// The agent at the other end of a link.
    pub fn key_by_link(&self, link: LinkId) -> Option<AgentKey> {
        self.by_link.get(&link).copied()
    }

    /// The agent of an incarnation.
    pub fn key_by_incarnation(&self, incarnation: u64) -> Option<AgentKey> {
        self.by_incarnation.get(&incarnation).copied()
    }

    /// All agents.
    pub fn iter(&self) -> impl Iterator<Item = (AgentKey, &Worker)> {
        self.workers.iter()
    }

    /// All agents.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (AgentKey, &mut Worker)> {
        self.workers.iter_mut()
    }

    /// The agents at which a service's work may run, whether or not they can be used now.
    pub fn permitted(&self, service: &Service) -> Vec<AgentKey> {
        let may = self
            .workers
            .iter()
            .filter(|(_, w)| service.permits(w.site()));
        may.map(|(key, _)| key).collect()
    }
}

#[cfg(test)]
mod tests;
