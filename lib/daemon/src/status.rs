//! The state of a node, as `GET /v1/status` tells it and `stackcourse status` shows it.

use serde::Deserialize;
use serde::Serialize;
use stackcourse_lib::clock::Now;
use stackcourse_lib::entry::Entry;
use stackcourse_lib::tenure::RightState;

/// An entry and the nodes it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry's name.
    pub name: String,
    /// `confirmed`, `promised` or `lapsed`.
    pub right: String,
    /// Whether it leaves.
    pub leaving: bool,
    /// Whether a leaving entry has nothing left to finish.
    pub drained: bool,
    /// The configuration version in force.
    pub config: u64,
    /// How many shards it owns.
    pub owned: usize,
    /// How many of them it serves.
    pub served: usize,
    /// Peers that answer and that count it as a member.
    pub peers: usize,
    /// Jobs that it remembers.
    pub jobs: usize,
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks at agents.
    pub running: usize,
    /// The agents it knows.
    pub agents: Vec<AgentStatus>,
}

/// An agent as an entry knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its hall.
    pub hall: String,
    /// The configuration version in force there.
    pub config: u64,
    /// Whether it is linked and enrolled, and not leaving.
    pub usable: bool,
    /// Whether it gets trial tasks only.
    pub sick: bool,
    /// Slots taken there.
    pub used: u32,
    /// Slots it has.
    pub slots: u32,
}

impl EntryStatus {
    /// The state of an entry now.
    pub fn of(entry: &Entry, now: Now) -> EntryStatus {
        let right = match entry.standing(now) {
            RightState::Confirmed => "confirmed",
            RightState::Promised => "promised",
            RightState::Expired => "lapsed",
        };
        let (owned, served) = entry.shard_counts();
        let (jobs, _, waiting) = entry.job_counts();
        let mut agents: Vec<AgentStatus> = entry
            .fleet()
            .iter()
            .map(|(_, w)| AgentStatus {
                name: w.name.to_string(),
                zone: w.zone.clone(),
                hall: w.hall.clone(),
                config: w.config,
                usable: w.is_available(),
                sick: w.health.is_unhealthy(),
                used: w.used().slots,
                slots: w.room.slots,
            })
            .collect();
        agents.sort_by(|a, b| a.name.cmp(&b.name));
        EntryStatus {
            name: entry.name().to_owned(),
            right: right.to_owned(),
            leaving: entry.is_leaving(),
            drained: entry.is_drained(),
            config: entry.follower().version(),
            owned,
            served,
            peers: entry.reachable_peers(now),
            jobs,
            waiting,
            running: entry.placed_tasks(),
            agents,
        }
    }

    /// Whether a load balancer should send callers here.
    pub fn ready(&self) -> bool {
        !self.leaving && self.config > 0
    }
}

/// Asks an entry for its state over HTTP; `None` when it does not answer in time.
pub async fn fetch_status(address: &str) -> Option<EntryStatus> {
    let url = format!("http://{address}/v1/status");
    let request = awc::Client::default()
        .get(url)
        .timeout(std::time::Duration::from_secs(2));
    let mut answer = request.send().await.ok()?;
    answer.json().await.ok()
}
