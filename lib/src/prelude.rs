//! The types that most modules of this crate use.

pub use crate::clock::Mono;
pub use crate::clock::Now;
pub use crate::job_id::JobId;
pub use crate::job_id::TaskKey;
pub use crate::outcome::Outcome;
pub use crate::protos::wire;
pub use crate::protos::wire::frame::Body;
pub use crate::room::Room;
pub use crate::shard::Epoch;
pub use crate::shard::ShardId;
pub use std::time::Duration;

/// The id of a connection to another process. It is assigned by, and unique within, the process at this end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);
