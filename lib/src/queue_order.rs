//! Order in which organisations with queued requests get slots.

use std::collections::BTreeSet;

use crate::SlotAccount;
use crate::organisation_queue::OrganisationQueue;

const MICROSECONDS_PER_MS: i128 = 1_000;

/// Order in which organisations with queued requests get slots.
#[derive(Debug)]
pub(crate) struct QueueOrder {
    urgency_step_ms: u64,
    /// Organisations with a declared share, by the time at which the share allows their next
    /// request.
    owned: BTreeSet<(i128, usize)>,
    /// Organisations by their idle clock, those without an idle weight last.
    idle: BTreeSet<(bool, u128, usize)>,
    /// Organisations by the number of their queued requests.
    lengths: BTreeSet<(usize, usize)>,
}

impl QueueOrder {
    pub(crate) fn new(urgency_step_ms: u64) -> Self {
        Self {
            urgency_step_ms,
            owned: BTreeSet::new(),
            idle: BTreeSet::new(),
            lengths: BTreeSet::new(),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.owned.clear();
        self.idle.clear();
        self.lengths.clear();
    }

    /// Adds an organisation if it has queued requests.
    pub(crate) fn insert(&mut self, index: usize, organisation: &OrganisationQueue) {
        if organisation.queued.is_empty() {
            return;
        }
        if organisation.share_weight > 0 {
            let key_us = organisation.owned_key_us(self.urgency_step_ms);
            self.owned.insert((key_us, index));
        }
        self.idle.insert(idle_key(index, organisation));
        self.lengths.insert((organisation.queued.len(), index));
    }

    /// Removes an organisation; must be called before its clocks or its queue change.
    pub(crate) fn remove(&mut self, index: usize, organisation: &OrganisationQueue) {
        if organisation.queued.is_empty() {
            return;
        }
        let key_us = organisation.owned_key_us(self.urgency_step_ms);
        self.owned.remove(&(key_us, index));
        self.idle.remove(&idle_key(index, organisation));
        self.lengths.remove(&(organisation.queued.len(), index));
    }

    /// Returns the organisation that gets the next slot, and the account to charge for it.
    pub(crate) fn first(&self, now_ms: u64) -> Option<(usize, SlotAccount)> {
        let present_us = i128::from(now_ms) * MICROSECONDS_PER_MS;
        if let Some((key_us, index)) = self.owned.first()
            && *key_us <= present_us
        {
            return Some((*index, SlotAccount::Owned));
        }
        let (_, _, index) = self.idle.first()?;
        Some((*index, SlotAccount::Borrowed))
    }

    /// Returns the organisation with the most queued requests.
    pub(crate) fn longest(&self) -> Option<usize> {
        let (_, index) = self.lengths.last()?;
        Some(*index)
    }
}

fn idle_key(index: usize, organisation: &OrganisationQueue) -> (bool, u128, usize) {
    let has_no_weight = organisation.idle_weight == 0;
    (has_no_weight, organisation.idle_clock, index)
}
