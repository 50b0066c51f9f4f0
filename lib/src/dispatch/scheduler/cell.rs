//! The executors at which a scheduler places tasks: its cell.
//!
//! Load pattern: tens of schedulers beside hundreds of executors, each of which can do only a small part of what
//! all of them report. If every executor reports to every scheduler as often as placing needs it, what a scheduler
//! takes in grows with the fleet, and what is sent grows with its square.
//!
//! A cell is the first `cells.size` (more where schedulers are few beside the executors) of the linked executors in an order of each scheduler's own: those of its zone
//! before others, then by a hash of both names, and those of evacuated zones last. So cells need no agreement, stay as they are when others come
//! and go, overlap, and load every executor alike. At the others a scheduler is on standby: it hears heartbeats,
//! can claim jobs, and can lend itself some of them while its cell has no room.

use rand::seq::IteratorRandom;

use super::Scheduler;
use super::fleet::ExecutorKey;
use crate::dispatch::rank::Rank;
use crate::prelude::*;

/// Where a fleet is more than one cell, tasks are placed at an executor this long after it was taken into the cell,
/// so that all others have heard that this scheduler may place tasks there: it tells them 20 ms later, with the
/// next message of a link on which one is due each 100 ms.
pub(super) const CELL_SETTLE: Duration = Duration::from_millis(200);

/// The cell of a scheduler.
#[derive(Clone, Debug, Default)]
pub(super) struct Cell {
    /// Executors at which tasks may be placed.
    pub near: Vec<ExecutorKey>,
    /// Whether links have come or gone since it was formed.
    pub stale: bool,
    /// How many executors it was formed of at most.
    size: usize,
    lent_at: Mono,
}

impl Scheduler {
    /// Forms the cell anew if links have come or gone, or a loan is over.
    pub(super) fn settle_cell(&mut self) {
        let now = self.now;
        let over = |key: &ExecutorKey| self.executors.get(*key).is_none_or(|e| e.loan_is_over(now));
        let ended = self.flush_all && self.cell.near.iter().any(over);
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
        let (home, others) = ranks.split_at(ranks.len().min(size));
        self.cell.near.clear();
        for (_, key) in home {
            self.executors[*key].home = true;
            self.approach(*key);
        }
        for (_, key) in others {
            let executor = &mut self.executors[*key];
            executor.home = false;
            if executor.loan_is_over(now) {
                executor.standby = true;
            } else {
                self.approach(*key);
            }
        }
    }

    /// How many executors the cell has at most. The cells of all schedulers together hold each executor a few
    /// times, or some would stand idle. One that has just started has not met its peers yet, and would take the
    /// whole fleet.
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

    /// Whether all executors that are known are in the cell.
    pub(super) fn is_one_cell(&self) -> bool {
        self.executors.len() <= self.cell_size()
    }

    /// Takes an executor into the cell.
    fn approach(&mut self, key: ExecutorKey) {
        self.cell.near.push(key);
        let settle = if self.is_one_cell() {
            Duration::ZERO
        } else {
            CELL_SETTLE
        };
        let executor = &mut self.executors[key];
        if std::mem::replace(&mut executor.standby, false) {
            executor.hurried = self.now;
            executor.usable_at = self.now + settle;
            self.pending.push(key);
        }
    }

    /// Places tasks at some more executors for a while: jobs wait, and the cell has no room for them. A draw of
    /// twice as many, of which those are taken that had the most room when last heard.
    pub(super) fn widen_cell(&mut self) {
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
            self.approach(key);
        }
    }
}
