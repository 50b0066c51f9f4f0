//! Shares of quotas, which bound a team's running tasks (its quota) and a service's (its capacity).
//! Each quota has a name, as `team/NAME`, and the owner of that name's shard is its allocator. An entry
//! places a task only within its shares of both, and allocates shares of the names it owns.

use std::sync::Arc;

use super::Entry;
use crate::clock::micros;
use crate::lanes::LaneName;
use crate::prelude::*;
use crate::quota::REQUEST_INTERVAL;
use crate::quota::SHARE_SPAN;
use crate::quota::ShareAsk;
use crate::tenure::RightState;

/// The number of slots that a holder requests beyond its current need, so that the next tasks can start
/// at once.
const SHARE_SLACK: u32 = 4;

impl Entry {
    /// Returns whether this entry's shares for the lane's team and service both allow one more task.
    pub(super) fn has_share(&mut self, now: Now, lane: &LaneName) -> bool {
        let [team, service] = self.quota_names(lane);
        self.has_quota_share(now, team) && self.has_quota_share(now, service)
    }

    fn has_quota_share(&mut self, now: Now, name: Arc<str>) -> bool {
        if self.quota(&name).is_none() {
            return true;
        }
        self.shares.entry(name).or_default().is_open(now.mono)
    }

    pub(super) fn take_share(&mut self, lane: &LaneName) {
        for name in self.quota_names(lane) {
            self.shares.entry(name).or_default().take();
        }
    }

    pub(super) fn return_share(&mut self, lane: &LaneName) {
        for name in self.quota_names(lane) {
            self.shares.entry(name).or_default().give();
        }
    }

    /// Returns the names of the quotas that a lane's tasks count against.
    fn quota_names(&mut self, lane: &LaneName) -> [Arc<str>; 2] {
        if let Some(known) = self.quota_names.get(lane) {
            return known.clone();
        }
        let team = self.names.get(&format!("team/{}", lane.team));
        let service = self.names.get(&format!("service/{}", lane.service));
        let both = [team, service];
        self.quota_names.insert(lane.clone(), both.clone());
        both
    }

    /// Returns the quota of a name, or `None` if it is unbounded.
    fn quota(&self, name: &str) -> Option<u32> {
        let config = self.follower.config();
        let (kind, rest) = name.split_once('/')?;
        match kind {
            "team" => config.teams.get(rest).map(|t| t.quota),
            _ => config
                .services
                .get(rest)
                .map(|s| s.capacity)
                .filter(|c| *c > 0),
        }
    }

    fn waiting_for(&self, name: &str) -> usize {
        match name.split_once('/') {
            Some(("team", team)) => self.lanes.waiting(team),
            _ => self.lanes.len(),
        }
    }

    /// Requests the shares for which a request is due.
    pub(super) fn request_shares(&mut self, now: Now) {
        if self.shares.is_empty() || self.tenure.right_state(now.mono) == RightState::Expired {
            return;
        }
        let due: Vec<Arc<str>> = self
            .shares
            .iter()
            .filter(|(name, share)| {
                self.quota(name).is_some() && share.is_due(now.mono, self.waiting_for(name))
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.request_share(now, name);
        }
    }

    fn request_share(&mut self, now: Now, name: Arc<str>) {
        let waiting = self.waiting_for(&name) as u32;
        let Some(share) = self.shares.get_mut(&name) else {
            return;
        };
        let used = share.used();
        let idle = waiting == 0 && used == 0;
        if idle {
            share.release();
        }
        let want = if idle {
            0
        } else {
            used + waiting + SHARE_SLACK
        };
        let have = share.have(now.mono);
        let seq = share.ask(now.mono);
        let ask = ShareAsk {
            holder: self.incarnation,
            seq,
            used,
            want,
            have,
        };
        if self.is_allocator(&name) {
            let amount = self.allocate_share(now, &name, ask);
            if let Some(share) = self.shares.get_mut(&name) {
                share.granted(seq, amount, SHARE_SPAN);
            }
            return;
        }
        let Some(link) = self.allocator_link(&name) else {
            return;
        };
        let ask = wire::ShareAsk {
            team: name.to_string(),
            seq,
            used,
            want,
            have,
        };
        self.send(link, Body::ShareAsk(ask));
    }

    /// Returns whether this entry allocates the shares of a name.
    fn is_allocator(&self, name: &str) -> bool {
        let Some(read) = &self.read else {
            return false;
        };
        let shard = ShardId::of_name(name, read.record.count());
        self.owned_shards.is_active(shard)
    }

    fn allocator_link(&self, name: &str) -> Option<LinkId> {
        let read = self.read.as_ref()?;
        let shard = ShardId::of_name(name, read.record.count());
        let owner = read.record.slot(shard).owner;
        let found = self.peers.iter().find(|(_, p)| p.incarnation == owner);
        found.map(|(link, _)| *link)
    }

    fn allocate_share(&mut self, now: Now, name: &Arc<str>, ask: ShareAsk) -> u32 {
        self.unread_slots.retain(|_, (until, _)| now.mono < *until);
        let unread: u32 = self.unread_slots.values().map(|(_, slots)| *slots).sum();
        let quota = self.quota(name).unwrap_or(0).saturating_sub(unread);
        let Some(read) = &self.read else {
            return 0;
        };
        let shard = ShardId::of_name(name, read.record.count());
        let first = read.record.slot(shard).epoch <= 1;
        let known = self.is_record_known_everywhere(now);
        let allocator = self.allocators.of(name, now.mono, first);
        allocator.set_known(known);
        allocator.ask(now.mono, quota, ask)
    }

    /// Returns whether all other members have known this entry's record for long enough to send their
    /// requests to the allocators that it names.
    fn is_record_known_everywhere(&self, now: Now) -> bool {
        let knows = |member: &u64| {
            let mut peers = self.peers.values();
            let peer = peers.find(|p| p.incarnation == *member);
            let since = peer.and_then(|p| p.current_since);
            since.is_some_and(|at| now.mono >= at + REQUEST_INTERVAL * 2)
        };
        self.tenure.others().iter().all(knows)
    }

    pub(super) fn on_share_ask(&mut self, now: Now, link: LinkId, ask: wire::ShareAsk) {
        let name = self.names.get(&ask.team);
        let Some(holder) = self.peers.get(&link).map(|p| p.incarnation) else {
            return;
        };
        if !self.is_allocator(&name) || self.tenure.right_state(now.mono) == RightState::Expired {
            return;
        }
        let request = ShareAsk {
            holder,
            seq: ask.seq,
            used: ask.used,
            want: ask.want,
            have: ask.have,
        };
        let amount = self.allocate_share(now, &name, request);
        let share = wire::Share {
            team: ask.team,
            seq: ask.seq,
            amount,
            span_us: micros(SHARE_SPAN),
        };
        self.send(link, Body::Share(share));
    }

    pub(super) fn on_share(&mut self, now: Now, share: wire::Share) {
        let _ = now;
        let name = self.names.get(&share.team);
        if let Some(held) = self.shares.get_mut(&name) {
            let span = Duration::from_micros(share.span_us).min(SHARE_SPAN);
            held.granted(share.seq, share.amount, span);
        }
    }

    /// Drops the allocators of names whose shards this entry no longer owns.
    pub(super) fn drop_allocators(&mut self) {
        let Some(read) = &self.read else {
            return;
        };
        let count = read.record.count();
        let owned_shards = &self.owned_shards;
        self.allocators
            .retain(|name| owned_shards.get(ShardId::of_name(name, count)).is_some());
    }
}

impl Entry {
    /// Returns, by quota name, the number of this entry's tasks that count against the quota.
    pub fn used_shares(&self) -> Vec<(Arc<str>, u32)> {
        let held = |(n, s): (&Arc<str>, &crate::quota::Share)| (n.clone(), s.used());
        self.shares.iter().map(held).collect()
    }
}
