//! Claims of once-only jobs: a store key that the owner creates before any task of the job starts.
//! Only the entry that created the key starts the job; the key is removed when the job expires.

use super::Entry;
use super::PendingOp;
use crate::job_table::JobKey;
use crate::job_table::TaskState;
use crate::outcome::Cause;
use crate::prelude::*;
use crate::store::StoreOp;
use crate::store::StoreReply;

/// The retry delay given to callers while the store can't take a claim.
const NO_CLAIM_RETRY_MS: u64 = 2_000;

impl Entry {
    /// Writes the claim that a once-only job needs before any of its tasks starts.
    ///
    /// The other safeguards assume that clocks differ by less than their bound and that jobs are
    /// remembered for the whole horizon. The claim holds even where these assumptions fail.
    pub(super) fn write_claim(&mut self, key: JobKey) {
        let Some(id) = self.table.update(key, |job| {
            job.claiming = true;
            job.id
        }) else {
            return;
        };
        let op = StoreOp::Swap {
            key: claim_key(id),
            index: 0,
            value: claim_value(self.incarnation),
        };
        self.store(PendingOp::WriteClaim(key), op);
    }

    pub(super) fn on_claim_written(&mut self, now: Now, key: JobKey, reply: StoreReply) {
        let Some(job) = self.table.get(key) else {
            return;
        };
        let id = job.id;
        match reply {
            StoreReply::Swapped(true) => self.confirm_claim(key),
            StoreReply::Swapped(false) => {
                let op = StoreOp::Get { key: claim_key(id) };
                self.store(PendingOp::ReadClaim(key), op);
            }
            StoreReply::Value(_) | StoreReply::Lost => {
                let detail = "the store can't take the claim that a once-only request needs";
                self.refuse_claim(now, key, detail);
            }
        }
    }

    pub(super) fn on_claim_read(&mut self, now: Now, key: JobKey, reply: StoreReply) {
        let mine = match &reply {
            StoreReply::Value(Some(stored)) => stored.value == claim_value(self.incarnation),
            _ => false,
        };
        if mine {
            return self.confirm_claim(key);
        }
        let lost = TaskState::Lost;
        let answered = matches!(reply, StoreReply::Value(Some(_)));
        if answered {
            // Another entry has claimed the job, and which tasks it started is unknown here.
            self.table.update(key, |job| {
                let queued = job
                    .tasks
                    .iter_mut()
                    .filter(|t| t.state == TaskState::Queued);
                queued.for_each(|t| t.state = lost.clone());
            });
            return self.end_if_decided(now, key);
        }
        let detail = "the claim of a once-only request can't be read back";
        self.refuse_claim(now, key, detail);
    }

    fn confirm_claim(&mut self, key: JobKey) {
        self.table.update(key, |job| {
            job.claiming = false;
            job.claimed = true;
        });
        let open = self.table.get(key).is_some_and(|j| j.ended.is_none());
        if open {
            self.enqueue(key);
        }
    }

    fn refuse_claim(&mut self, now: Now, key: JobKey, detail: &str) {
        self.table.update(key, |job| job.claiming = false);
        self.end_job(now, key, Cause::NoClaim, detail, NO_CLAIM_RETRY_MS);
    }
}

/// Returns the store key of a job's claim.
pub fn claim_key(job: JobId) -> String {
    format!("claim/{job}")
}

fn claim_value(owner: u64) -> bytes::Bytes {
    bytes::Bytes::from(owner.to_string())
}
