//! The status of an entry and the agents that it knows, as `GET /v1/status` returns it and `stackcourse
//! status` shows it.

use serde::Deserialize;
use serde::Serialize;
use stackcourse_lib::clock::Now;
use stackcourse_lib::entry::Entry;
use stackcourse_lib::tenure::RightState;

/// The status of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry's name.
    pub name: String,
    /// The state of its right to act: `confirmed`, `promised` or `lapsed`.
    pub right: String,
    /// Whether it was asked to leave.
    pub leaving: bool,
    /// Whether it is leaving and has finished its work.
    pub drained: bool,
    /// The configuration version in force.
    pub config: u64,
    /// The number of shards that it owns.
    pub owned: usize,
    /// The number of owned shards that it serves.
    pub served: usize,
    /// The number of peers that answer and know it as a member.
    pub peers: usize,
    /// The number of job records that it holds.
    pub jobs: usize,
    /// The number of waiting tasks.
    pub waiting: usize,
    /// The number of tasks placed at agents.
    pub running: usize,
    /// The agents that it knows, sorted by name.
    pub agents: Vec<AgentStatus>,
}

/// The status of an agent as an entry knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its hall.
    pub hall: String,
    /// The configuration version in force at the agent.
    pub config: u64,
    /// Whether it is linked and enrolled, and not leaving.
    #[serde(rename = "usable")]
    pub available: bool,
    /// Whether it is unhealthy and gets trial tasks only.
    #[serde(rename = "sick")]
    pub unhealthy: bool,
    /// The number of slots in use.
    pub used: u32,
    /// The number of slots in total.
    pub slots: u32,
}

impl EntryStatus {
    /// Returns the current status of an entry.
    pub fn from_entry(entry: &Entry, now: Now) -> EntryStatus {
        let right = match entry.right_state(now) {
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
                available: w.is_available(),
                unhealthy: w.health.is_unhealthy(),
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

    /// Returns whether a load balancer should send callers to this entry.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.config > 0
    }
}

/// Fetches an entry's status over HTTP. Returns `None` if there is no valid answer in time.
pub async fn fetch_status(address: &str) -> Option<EntryStatus> {
    let url = format!("http://{address}/v1/status");
    let request = awc::Client::default()
        .get(url)
        .timeout(std::time::Duration::from_secs(2));
    let mut response = request.send().await.ok()?;
    response.json().await.ok()
}
