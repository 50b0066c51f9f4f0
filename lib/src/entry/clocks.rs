//! The time of day: which mint times of ids are accepted, and whether this process's time agrees
//! with the fleet's. The clock data travels on heartbeats and grants.

use super::Action;
use super::Entry;
use super::Peer;
use super::Submission;
use crate::clock::micros;
use crate::clock::millis;
use crate::clock_check::ClockAnswer;
use crate::event::Kind;
use crate::ownership::OwnershipRecord;
use crate::ownership::Roster;
use crate::prelude::*;

/// How long an entry that has just started waits at most for another process's time.
const COMPARISON_TIMEOUT: Duration = Duration::from_secs(1);

impl Entry {
    /// Checks the box's clock and announces a longer lead to peers at once.
    pub(super) fn watch_clock(&mut self, now: Now) {
        if self.is_owner() || !self.incoming.is_empty() {
            self.clocks.prove();
        }
        if let Some(step) = self.steps.detect_step(now.step_ms()) {
            self.log(Kind::ClockStepped, step.to_string());
        }
        if self.leads.observe(now, self.tenure.others()) {
            self.send_heartbeats(now);
        }
    }

    /// Returns how far the box's clock is ahead of this entry's time, and how far the process whose
    /// clock differs most is ahead of it, both in milliseconds.
    pub fn clock_offsets_ms(&self) -> [i64; 2] {
        [self.steps.reported_ms(), self.clocks.widest_ms()]
    }

    /// Returns the latest mint time that is accepted now, in Unix milliseconds.
    pub(super) fn latest_mint_ms(&self, now: Now) -> u64 {
        let lead_ms = self.leads.in_force_ms(self.tenure.others());
        now.wall_ms + lead_ms + millis(self.setup.max_ahead)
    }

    /// Returns the latest mint time, in Unix milliseconds, that any entry may have accepted so far.
    /// `known` is whether all entries in question know this one as a member.
    pub(super) fn latest_taken_ms(&self, now: Now, known: bool) -> u64 {
        let latest_id_ms = if known {
            self.leads.latest_id_ms(now)
        } else {
            self.leads.max_latest_id_ms(now)
        };
        latest_id_ms + self.clock_allowance_ms()
    }

    /// Returns whether this entry may join: its time agrees with the fleet's, no other process
    /// exists to compare with, or the comparison has timed out.
    pub(super) fn can_join(&self, now: Now, record: &OwnershipRecord, roster: &Roster) -> bool {
        let alone = record.members.is_empty() && roster.agents.is_empty();
        alone || self.clocks.is_proven() || now.mono >= self.started_at + COMPARISON_TIMEOUT
    }

    /// Returns whether all other members know this entry as a member.
    pub(super) fn is_known_to_all(&self) -> bool {
        let mut others = self.tenure.others().iter();
        others.all(|inc| self.acknowledged_by.contains(inc))
    }

    /// Returns whether the id will be accepted once all members have noted this entry's lead.
    pub(super) fn is_awaiting_lead(&self, now: Now, submission: &Submission) -> bool {
        let minted_ms = submission.job.minted_ms();
        let lead_end_ms = now.wall_ms + self.leads.lead_ms() + millis(self.setup.max_ahead);
        let within = minted_ms > self.latest_mint_ms(now) && minted_ms <= lead_end_ms;
        within && self.leads.is_awaiting_peers(now) && !submission.left.is_zero()
    }

    /// Fills in the clock fields of a heartbeat to a peer.
    pub(super) fn fill_clock_fields(&self, now: Now, peer: &Peer, heartbeat: &mut wire::Beat) {
        heartbeat.step_ms = self.leads.own_step_ms();
        heartbeat.lead_ms = self.leads.lead_ms();
        heartbeat.noted_ms = self.leads.noted_ms(peer.incarnation);
        heartbeat.clock_ms = now.wall_ms;
        heartbeat.proven = self.clocks.is_proven();
        if let Some((seq, at)) = peer.last_heartbeat {
            heartbeat.echo = seq;
            heartbeat.since_us = micros(now.mono.since(at));
        }
    }

    /// Handles the clock fields of a peer's heartbeat. `first` is whether it is the first on its link.
    pub(super) fn handle_clock_fields(
        &mut self,
        now: Now,
        link: LinkId,
        heartbeat: &wire::Beat,
        first: bool,
    ) {
        let peer = heartbeat.incarnation;
        let (step_ms, lead_ms, noted_ms) =
            (heartbeat.step_ms, heartbeat.lead_ms, heartbeat.noted_ms);
        let longer = self
            .leads
            .handle_peer_lead(now, peer, step_ms, lead_ms, noted_ms);
        self.watch_clock(now);
        let sent = self
            .heartbeats
            .iter()
            .rev()
            .find(|(seq, _)| *seq == heartbeat.echo);
        if let Some(&(_, sent)) = sent {
            let answered = ClockAnswer {
                clock_ms: heartbeat.clock_ms,
                sent,
                held: Duration::from_micros(heartbeat.since_us),
                proven: heartbeat.proven,
            };
            self.compare_clock(now, peer, answered);
        }
        if longer || first {
            self.send_heartbeats_to(now, &[link]);
        }
    }

    /// Compares this process's time with another's, and adopts the fleet's time if nothing has been
    /// decided by its own yet.
    pub(super) fn compare_clock(&mut self, now: Now, process: u64, answered: ClockAnswer) {
        if let Some(ahead_ms) = self.clocks.note(now, process, answered) {
            let name = self.process_name(process);
            self.log(Kind::ClockDiffers, format!("{name}'s by {ahead_ms} ms"));
        }
        let Some(shift_ms) = self.clocks.take_correction() else {
            return;
        };
        self.steps.reset();
        self.log(Kind::ClockShifted, format!("by {shift_ms} ms"));
        self.actions.push(Action::ShiftClock(shift_ms));
    }

    /// Drops leads that are too old to matter and readings of processes that are no longer linked.
    pub(super) fn forget_old_clocks(&mut self, now: Now) {
        self.leads.forget(now);
        let (peers, fleet) = (&self.peers, &self.fleet);
        let linked = |inc| {
            let agent = fleet.key_by_incarnation(inc).and_then(|key| fleet.get(key));
            agent.is_some_and(|w| w.link.is_some()) || peers.values().any(|p| p.incarnation == inc)
        };
        self.clocks.retain(linked);
    }

    fn process_name(&self, process: u64) -> String {
        let mut peers = self.peers.values();
        if let Some(peer) = peers.find(|p| p.incarnation == process) {
            return peer.name.clone();
        }
        let agent = self
            .fleet
            .key_by_incarnation(process)
            .and_then(|key| self.fleet.get(key));
        agent.map(|w| w.name.to_string()).unwrap_or_default()
    }
}
