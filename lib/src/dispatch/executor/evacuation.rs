//! Evacuation of the executor's availability zone: nothing more is started, and active runs end where they
//! are.
//!
//! The executor refuses tasks by its own record of the zone, so an entry that does not know of the evacuation
//! starts nothing here either. Any scheduler can send the record; the executor forwards it to schedulers with
//! an older one.

use super::Executor;
use crate::dispatch::zones::ZoneRecord;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

impl Executor {
    /// Applies a zone's state from a scheduler. An older record, or one of another zone, is ignored.
    pub(super) fn apply_zone_state(&mut self, now: Mono, owner: &str, state: &proto::ZoneState) {
        if state.zone != self.setup.zone {
            return;
        }
        if let Some(session) = self.sessions.get_mut(owner) {
            session.zone_sent = session.zone_sent.max(state.revision);
        }
        let record = ZoneRecord::from_proto(state);
        if record.revision <= self.zone_record.revision {
            return;
        }
        let before = std::mem::replace(&mut self.zone_record, record);
        if before.evacuated == record.evacuated {
            return;
        }
        if record.evacuated {
            self.log(Kind::ZoneEvacuated, state.zone.clone());
            self.return_queue(now);
        } else {
            self.log(Kind::ZoneBack, state.zone.clone());
        }
        self.sessions.values_mut().for_each(|s| s.urgent = true);
    }

    /// Returns whether this executor's zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.zone_record.evacuated
    }
}
