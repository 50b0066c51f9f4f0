//! The time of day: ids that are minted ahead of it, and whether it is that of the fleet.

use super::Action;
use super::Entry;
use super::Peer;
use super::Submission;
use crate::clock::micros;
use crate::clock::millis;
use crate::clock_check::Answered;
use crate::event::Kind;
use crate::ownership::OwnershipRecord;
use crate::ownership::Roster;
use crate::prelude::*;

/// How long an entry that has just started waits for another process's time at the most.
const COMPARING: Duration = Duration::from_secs(1);

impl Entry {
    /// Looks at the box's clock, and tells peers at once of a lead that it calls for.
    pub(super) fn watch_clock(&mut self, now: Now) {
        if self.owns() || !self.incoming.is_empty() {
            self.clocks.prove();
        }
        if let Some(step) = self.steps.look(now.step_ms()) {
            self.log(Kind::ClockStepped, step.to_string());
        }
        if self.leads.observe(now, self.tenure.others()) {
            self.beat(now);
        }
    }

    /// How far the box's clock is ahead of the time that this entry carries on, and how far the
    /// clock of the process that differs most is, in milliseconds.
    pub fn clock_gaps_ms(&self) -> [i64; 2] {
        [self.steps.told_ms(), self.clocks.widest_ms()]
    }

    /// The latest mint time of an id that is taken now, in Unix milliseconds.
    pub(super) fn latest_ms(&self, now: Now) -> u64 {
        let lead_ms = self.leads.in_force_ms(self.tenure.others());
        now.wall_ms + lead_ms + millis(self.setup.ahead)
    }

    /// The latest mint time, in Unix milliseconds, of ids that any entry may have taken by now;
    /// `known` tells whether all entries in question know this one as a member.
    pub(super) fn taken_up_to_ms(&self, now: Now, known: bool) -> u64 {
        let latest_id_ms = if known {
            self.leads.latest_id_ms(now)
        } else {
            self.leads.max_latest_id_ms(now)
        };
        latest_id_ms + self.clock_allowance_ms()
    }

    /// Whether this entry may join: its time is the fleet's, or nobody is there who could tell.
    pub(super) fn knows_time(&self, now: Now, record: &OwnershipRecord, roster: &Roster) -> bool {
        let alone = record.members.is_empty() && roster.agents.is_empty();
        alone || self.clocks.is_proven() || now.mono >= self.born + COMPARING
    }

    /// Whether all other members know this entry as one.
    pub(super) fn is_known_to_all(&self) -> bool {
        let mut others = self.tenure.others().iter();
        others.all(|inc| self.knew_me.contains(inc))
    }

    /// Whether the id can be taken as soon as all members have noted the lead.
    pub(super) fn awaits_lead(&self, now: Now, submission: &Submission) -> bool {
        let minted_ms = submission.job.minted_ms();
        let told_ms = now.wall_ms + self.leads.lead_ms() + millis(self.setup.ahead);
        let within = minted_ms > self.latest_ms(now) && minted_ms <= told_ms;
        within && self.leads.is_awaiting_peers(now) && !submission.left.is_zero()
    }

    /// Fills in what a heartbeat tells a peer of clocks.
    pub(super) fn tell_clocks(&self, now: Now, peer: &Peer, beat: &mut wire::Beat) {
        beat.step_ms = self.leads.own_step_ms();
        beat.lead_ms = self.leads.lead_ms();
        beat.noted_ms = self.leads.noted_ms(peer.incarnation);
        beat.clock_ms = now.wall_ms;
        beat.proven = self.clocks.is_proven();
        if let Some((seq, at)) = peer.beaten {
            beat.echo = seq;
            beat.since_us = micros(now.mono.since(at));
        }
    }

    /// Takes in what a peer's heartbeat tells of clocks. `first` is the first one on its link.
    pub(super) fn hear_clocks(&mut self, now: Now, link: LinkId, beat: &wire::Beat, first: bool) {
        let peer = beat.incarnation;
        let (step_ms, lead_ms, noted_ms) = (beat.step_ms, beat.lead_ms, beat.noted_ms);
        let longer = self
            .leads
            .handle_peer_lead(now, peer, step_ms, lead_ms, noted_ms);
        self.watch_clock(now);
        let sent = self.beats.iter().rev().find(|(seq, _)| *seq == beat.echo);
        if let Some(&(_, sent)) = sent {
            let answered = Answered {
                clock_ms: beat.clock_ms,
                sent,
                held: Duration::from_micros(beat.since_us),
                proven: beat.proven,
            };
            self.compare_clock(now, peer, answered);
        }
        if longer || first {
            self.beat_to(now, &[link]);
        }
    }

    /// Goes by the fleet's time instead of the own for as long as nothing was decided by that.
    pub(super) fn compare_clock(&mut self, now: Now, process: u64, answered: Answered) {
        if let Some(ahead_ms) = self.clocks.note(now, process, answered) {
            let name = self.name_of(process);
            self.log(Kind::ClockDiffers, format!("{name}'s by {ahead_ms} ms"));
        }
        let Some(shift_ms) = self.clocks.settle() else {
            return;
        };
        self.steps.reset();
        self.log(Kind::ClockShifted, format!("by {shift_ms} ms"));
        self.actions.push(Action::ShiftClock(shift_ms));
    }

    /// Forgets what is too old to matter.
    pub(super) fn forget_clocks(&mut self, now: Now) {
        self.leads.forget(now);
        let (peers, fleet) = (&self.peers, &self.fleet);
        let linked = |inc| {
            let agent = fleet.of(inc).and_then(|key| fleet.get(key));
            agent.is_some_and(|w| w.link.is_some()) || peers.values().any(|p| p.incarnation == inc)
        };
        self.clocks.retain(linked);
    }

    fn name_of(&self, process: u64) -> String {
        let mut peers = self.peers.values();
        if let Some(peer) = peers.find(|p| p.incarnation == process) {
            return peer.name.clone();
        }
        let agent = self.fleet.of(process).and_then(|key| self.fleet.get(key));
        agent.map(|w| w.name.to_string()).unwrap_or_default()
    }
}
