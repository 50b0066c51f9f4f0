//! The resources of a backend server, and the resources that a task takes of it.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::protos::wire;

/// Amounts of several resources. A task runs only where all of them suffice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Room {
    /// Task slots.
    pub slots: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory, in MiB.
    pub memory_mb: u32,
}

impl Room {
    /// The resources of a task that needs no more than a slot.
    pub const TASK: Room = Room::of_slots(1);

    /// Returns a room of slots only.
    pub const fn of_slots(slots: u32) -> Room {
        Room {
            slots,
            accelerators: 0,
            cores: 0,
            memory_mb: 0,
        }
    }

    /// Returns whether `need` fits into this room beside `used`.
    ///
    /// Every task needs at least one slot. Any other resource of which a task needs none does not limit it,
    /// so a server need not state resources that its tasks don't use.
    pub fn fits(self, used: Room, need: Room) -> bool {
        let fit = |all: u32, used: u32, need: u32| need == 0 || used.saturating_add(need) <= all;
        fit(self.slots, used.slots, need.slots.max(1))
            && fit(self.accelerators, used.accelerators, need.accelerators)
            && fit(self.cores, used.cores, need.cores)
            && fit(self.memory_mb, used.memory_mb, need.memory_mb)
    }

    /// Returns the sum of this room and `other`.
    pub fn plus(self, other: Room) -> Room {
        Room {
            slots: self.slots.saturating_add(other.slots),
            accelerators: self.accelerators.saturating_add(other.accelerators),
            cores: self.cores.saturating_add(other.cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
        }
    }

    /// Returns this room without `other`; no amount falls below zero.
    pub fn minus(self, other: Room) -> Room {
        Room {
            slots: self.slots.saturating_sub(other.slots),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cores: self.cores.saturating_sub(other.cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// Converts the room for a message between processes.
    pub fn wire(self) -> wire::Room {
        wire::Room {
            slots: self.slots,
            accelerators: self.accelerators,
            cores: self.cores,
            memory_mb: self.memory_mb,
        }
    }

    /// Converts a room from a message; an absent one is empty.
    pub fn from_wire(room: Option<wire::Room>) -> Room {
        let r = room.unwrap_or_default();
        Room {
            slots: r.slots,
            accelerators: r.accelerators,
            cores: r.cores,
            memory_mb: r.memory_mb,
        }
    }
}
