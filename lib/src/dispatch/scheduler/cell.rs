//! The cell of a scheduler: the executors at which it places tasks.
//!
//! With tens of schedulers and hundreds of executors, each scheduler can process only a small part of all
//! reports. If every executor reported to every scheduler as often as placing requires, the incoming traffic
//! of a scheduler would grow with the size of the fleet, and the total traffic with its square.
//!
//! Each scheduler sorts the linked executors in an order of its own: those in evacuated zones last, those in
//! its own zone before others, then by a hash of both names. The cell is the first `cells.size` of them, or
//! more if there are few schedulers for the number of executors. Cells therefore need no agreement, remain
//! stable when other processes come and go, overlap, and load the executors evenly. A scheduler is on standby
//! at all other executors: it exchanges heartbeats with them, can claim jobs there, and can borrow some of
//! them while its cell has no capacity.

use rand::seq::IteratorRandom;

use super::Scheduler;
use super::executors::ExecutorKey;
use crate::dispatch::rank::Rank;
use crate::prelude::*;

/// The delay after which tasks are placed at an executor that was added to the cell, in a fleet larger than
/// one cell. By then the executor has reported to all other schedulers that this one may place tasks there:
/// it does so 20 ms later, with the next message on each link, which is due every 100 ms.
pub(super) const CELL_JOIN_DELAY: Duration = Duration::from_millis(200);

/// The executors in the cell, and what they were selected by.
#[derive(Clone, Debug, Default)]
pub(super) struct Cell {
    /// The executors in the cell, including the borrowed ones.
    pub executors: Vec<ExecutorKey>,
    /// Whether links or evacuated zones have changed since the cell was formed.
    pub stale: bool,
    /// The size limit that the cell was formed with, without borrowed executors.
    size: usize,
    /// When executors were last borrowed.
    lent_at: Mono,
}

impl Scheduler {
    /// Forms the cell again if links or evacuated zones have changed, a loan is over, or the size limit has
    /// changed.
    pub(super) fn refresh_cell(&mut self) {
        let now = self.now;
        let over = |key: &ExecutorKey| self.executors.get(*key).is_none_or(|e| e.is_loan_over(now));
        let ended = self.flush_all && self.cell.executors.iter().any(over);
        let resized = self.flush_all && self.cell.size != self.cell_size();
        if !std::mem::take(&mut self.cell.stale) && !ended && !resized {
            return;
        }
        let size = self.cell_size();
        self.cell.size = size;
        let linked = self.executors.iter().filter(|(_, e)| e.link.is_some());
        let ranks = linked.map(|(key, e)| ((e.evacuated, e.rank), key));
        let mut ranks: Vec<((bool, Rank), ExecutorKey)> = ranks.collect();
        if ranks.len() > size {
            ranks.select_nth_unstable(size - 1);
        }
        let (core, others) = ranks.split_at(ranks.len().min(size));
        self.cell.executors.clear();
        for (_, key) in core {
            self.executors[*key].core_member = true;
            self.add_to_cell(*key);
        }
        for (_, key) in others {
            let executor = &mut self.executors[*key];
            executor.core_member = false;
            if executor.is_loan_over(now) {
                executor.standby = true;
            } else {
                self.add_to_cell(*key);
            }
        }
    }

    /// Returns the size limit of the cell. It is large enough that the cells of all schedulers together
    /// contain each executor several times, as executors in no cell would be idle. A scheduler that has just
    /// started uses the configured size: it has not met its peers yet, and would take the whole fleet into
    /// its cell otherwise.
    fn cell_size(&self) -> usize {
        let policy = self.setup.policy.cells;
        let least = policy.size as usize;
        if self.is_warming_up() {
            return least;
        }
        let schedulers = 1 + self.peers.values().filter(|p| p.link.is_some()).count();
        let covering = policy.cover as usize * self.executors.len();
        least.max(covering.div_ceil(schedulers))
    }

    /// Returns whether the size limit of the cell covers all known executors.
    pub(super) fn is_single_cell(&self) -> bool {
        self.executors.len() <= self.cell_size()
    }

    /// Adds an executor to the cell, and ends its standby.
    fn add_to_cell(&mut self, key: ExecutorKey) {
        self.cell.executors.push(key);
        let delay = if self.is_single_cell() {
            Duration::ZERO
        } else {
            CELL_JOIN_DELAY
        };
        let executor = &mut self.executors[key];
        if std::mem::replace(&mut executor.standby, false) {
            executor.asked_at = self.now;
            executor.usable_at = self.now + delay;
            self.pending.push(key);
        }
    }

    /// Borrows some executors outside the cell for a while, because jobs wait for which the cell has no
    /// capacity. Draws twice as many ready executors at random, and takes those with the most free CPU by
    /// their last reports. Does nothing if the previous loan has not expired yet.
    pub(super) fn borrow_executors(&mut self) {
        let now = self.now;
        let policy = self.setup.policy.cells;
        if now.since(self.cell.lent_at) < policy.lent_for || policy.lent == 0 {
            return;
        }
        self.cell.lent_at = now;
        let standby = self
            .executors
            .iter()
            .filter(|(_, e)| e.standby && e.link.is_some());
        let ready = standby.filter(|(_, e)| e.report.ready).map(|(key, _)| key);
        let most = policy.lent as usize;
        let mut drawn = ready.choose_multiple(&mut self.rng, 2 * most);
        drawn.sort_by_key(|key| std::cmp::Reverse(self.executors[*key].free.cpu_milli));
        for key in drawn.into_iter().take(most) {
            self.executors[key].lent_until = now + policy.lent_for;
            self.add_to_cell(key);
        }
    }
}
