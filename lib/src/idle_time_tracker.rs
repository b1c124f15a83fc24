//! Accounting of used, lent and idle capacity of one endpoint per organisation.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::CapacityAccount;
use crate::LentTime;
use crate::protos::template::OrganisationParameters;
use crate::slot_stride_scheduler::SlotStrideScheduler;

/// Length of a turn, during which the owner of a slot does not change.
const TURN_MS: u64 = 100;
/// Pairs of owner and borrower that are counted separately, at most; this bounds the memory.
const MAX_LENT_PAIRS: usize = 16_384;
/// Index of the account for capacity of which no organisation declares a share.
const UNOWNED: usize = 0;

/// Accounts for the used, lent and idle capacity of one endpoint per organisation.
///
/// Time is divided into turns, in each of which every slot is owned by one organisation. The
/// running requests of an organisation first fill the slots that it owns; its other requests borrow
/// slots that their owners leave free, in a fixed order. Times are whole slot-milliseconds of the
/// agent's monotonic clock, so the accounts always sum to the elapsed time multiplied by the
/// capacity. Requests in excess of the capacity, after it was reduced, are not counted.
#[derive(Debug)]
pub struct IdleTimeTracker {
    capacity: u32,
    now_ms: u64,
    turn_ends_ms: u64,
    accounts: Vec<CapacityAccount>,
    index_by_name: HashMap<String, usize>,
    scheduler: SlotStrideScheduler,
    /// Slots that each organisation owns in the current turn.
    owned_slots: BTreeMap<usize, u32>,
    /// Slots that the running requests of each organisation hold.
    held_slots: BTreeMap<usize, u32>,
    /// Lent time by owner and borrower.
    lent_pairs_ms: BTreeMap<(usize, usize), u64>,
    /// Lent time of pairs beyond `MAX_LENT_PAIRS`.
    unattributed_lent_ms: u64,
    capacity_ms: u64,
}

impl IdleTimeTracker {
    /// Creates a tracker that starts at `now_ms`, without shares and running requests.
    #[must_use]
    pub fn new(capacity: u32, now_ms: u64) -> Self {
        let mut tracker = Self {
            capacity,
            now_ms,
            turn_ends_ms: now_ms,
            accounts: vec![CapacityAccount::default()],
            index_by_name: HashMap::new(),
            scheduler: SlotStrideScheduler::default(),
            owned_slots: BTreeMap::new(),
            held_slots: BTreeMap::new(),
            lent_pairs_ms: BTreeMap::new(),
            unattributed_lent_ms: 0,
            capacity_ms: 0,
        };
        tracker.start_turn();
        tracker
    }

    /// Replaces the declared shares; accounts of organisations that are not named are kept.
    pub fn set_parameters(&mut self, parameters: &[OrganisationParameters], now_ms: u64) {
        self.advance(now_ms);
        self.end_turn_early();
        let mut weights = vec![0; self.accounts.len()];
        for parameters in parameters {
            let index = self.index_or_insert(&parameters.organisation);
            weights.resize(self.accounts.len(), 0);
            weights[index] = parameters.share_weight;
        }
        for (index, weight) in weights.into_iter().enumerate() {
            self.scheduler.set_weight(index, weight);
        }
        self.start_turn();
    }

    /// Changes the number of slots.
    pub fn set_capacity(&mut self, capacity: u32, now_ms: u64) {
        self.advance(now_ms);
        self.end_turn_early();
        self.capacity = capacity;
        self.start_turn();
    }

    /// Records that a request of the organisation was given a slot.
    pub fn observe_start(&mut self, organisation: &str, now_ms: u64) {
        self.advance(now_ms);
        let index = self.index_or_insert(organisation);
        *self.held_slots.entry(index).or_default() += 1;
    }

    /// Records that a request of the organisation released its slot.
    pub fn observe_finish(&mut self, organisation: &str, now_ms: u64) {
        self.advance(now_ms);
        let index = self.index_or_insert(organisation);
        let slots = self.held_slots.remove(&index).unwrap_or(0);
        if slots > 1 {
            self.held_slots.insert(index, slots - 1);
        }
    }

    /// Updates the accounts up to the given time.
    pub fn advance(&mut self, now_ms: u64) {
        while self.now_ms < now_ms {
            let until_ms = self.turn_ends_ms.min(now_ms);
            self.account_span(until_ms - self.now_ms);
            self.now_ms = until_ms;
            if until_ms == self.turn_ends_ms {
                self.start_turn();
            }
        }
    }

    /// Returns all accounts; the first one is that of capacity without an owner.
    #[must_use]
    pub fn accounts(&self) -> &[CapacityAccount] {
        &self.accounts
    }

    /// Returns the account of one organisation.
    #[must_use]
    pub fn account(&self, organisation: &str) -> Option<&CapacityAccount> {
        let index = self.index_by_name.get(organisation)?;
        self.accounts.get(*index)
    }

    /// Returns the lent time for each pair of owner and borrower.
    pub fn lent_times(&self) -> impl Iterator<Item = LentTime<'_>> {
        self.lent_pairs_ms
            .iter()
            .map(|((owner, borrower), lent_ms)| LentTime {
                owner: &self.accounts[*owner].organisation,
                borrower: &self.accounts[*borrower].organisation,
                lent_ms: *lent_ms,
            })
    }

    /// Returns the lent time that [`lent_times`](Self::lent_times) leaves out because there are too
    /// many pairs of owner and borrower.
    #[must_use]
    pub fn unattributed_lent_ms(&self) -> u64 {
        self.unattributed_lent_ms
    }

    /// Returns the slot-milliseconds that have elapsed since the start.
    #[must_use]
    pub fn capacity_ms(&self) -> u64 {
        self.capacity_ms
    }

    /// Adds a span in which neither owned nor held slots changed to the accounts.
    fn account_span(&mut self, span_ms: u64) {
        self.capacity_ms += span_ms * u64::from(self.capacity);
        let mut borrowers = Vec::new();
        for (index, held) in &self.held_slots {
            let owned = self.owned_slots.get(index).copied().unwrap_or(0);
            if *held > owned {
                borrowers.push((*index, held - owned));
            }
        }
        let owned_slots = std::mem::take(&mut self.owned_slots);
        for (owner, owned) in &owned_slots {
            let held = self.held_slots.get(owner).copied().unwrap_or(0);
            let used = held.min(*owned);
            self.accounts[*owner].used_ms += span_ms * u64::from(used);
            let spare = owned - used;
            let lent = self.lend(*owner, spare, &mut borrowers, span_ms);
            self.accounts[*owner].idle_ms += span_ms * u64::from(spare - lent);
        }
        self.owned_slots = owned_slots;
    }

    /// Lends up to `spare` slots of the owner, starting with the last borrower; returns the number
    /// of slots lent.
    fn lend(
        &mut self,
        owner: usize,
        spare: u32,
        borrowers: &mut Vec<(usize, u32)>,
        span_ms: u64,
    ) -> u32 {
        let mut lent = 0;
        while lent < spare {
            let Some((borrower, wanted)) = borrowers.pop() else {
                break;
            };
            let slots = wanted.min(spare - lent);
            if wanted > slots {
                borrowers.push((borrower, wanted - slots));
            }
            lent += slots;
            let lent_ms = span_ms * u64::from(slots);
            self.accounts[owner].lent_ms += lent_ms;
            self.accounts[borrower].borrowed_ms += lent_ms;
            self.record_lent(owner, borrower, lent_ms);
        }
        lent
    }

    fn record_lent(&mut self, owner: usize, borrower: usize, lent_ms: u64) {
        let has_room = self.lent_pairs_ms.len() < MAX_LENT_PAIRS;
        if let Some(total_ms) = self.lent_pairs_ms.get_mut(&(owner, borrower)) {
            *total_ms += lent_ms;
        } else if has_room {
            self.lent_pairs_ms.insert((owner, borrower), lent_ms);
        } else {
            self.unattributed_lent_ms += lent_ms;
        }
    }

    fn start_turn(&mut self) {
        self.turn_ends_ms = self.now_ms + TURN_MS;
        self.owned_slots = self.scheduler.assign_turns(self.capacity, TURN_MS);
        if self.owned_slots.is_empty() {
            self.owned_slots.insert(UNOWNED, self.capacity);
        }
    }

    fn end_turn_early(&mut self) {
        let unused_ms = self.turn_ends_ms - self.now_ms;
        self.owned_slots.remove(&UNOWNED);
        self.scheduler.refund_turns(&self.owned_slots, unused_ms);
    }

    fn index_or_insert(&mut self, organisation: &str) -> usize {
        if let Some(index) = self.index_by_name.get(organisation) {
            return *index;
        }
        let index = self.accounts.len();
        self.accounts.push(CapacityAccount {
            organisation: organisation.to_owned(),
            ..CapacityAccount::default()
        });
        self.index_by_name.insert(organisation.to_owned(), index);
        index
    }
}
