//! Model of an engine on the direct path that may execute orders late.

use pomeloramp_lib::EngineOrder;
use pomeloramp_lib::OrderResult;
use pomeloramp_lib::OrderTerms;
use pomeloramp_lib::RankReport;

/// Order count from which an engine starts that has begun none.
const NO_ORDERS: u64 = 0;

/// A model of an engine on the direct path. It copies experts at once and runs no steps by itself.
#[derive(Debug, Clone)]
pub struct LateEngine {
    /// Id of the map in use.
    pub map: u64,
    /// Id of the map whose experts are copied.
    pub copied: Option<u64>,
    /// Id of the armed map, and the step at which the rank switches to it.
    pub armed: Option<(u64, u64)>,
    /// The step that is held.
    pub held_step: Option<u64>,
    /// Orders that were not answered and may still be executed.
    pub late_orders: Vec<(EngineOrder, OrderTerms)>,
    /// Number of orders that have begun something.
    pub order_count: u64,
    /// Whether orders with a lower fencing token than the highest are refused.
    pub checks_tokens: bool,
    highest_token: u64,
    highest_map_id: u64,
}

impl LateEngine {
    /// Creates an engine that uses map 0 and has nothing copied, armed or held.
    #[must_use]
    pub fn new(checks_tokens: bool) -> Self {
        Self {
            map: 0,
            copied: None,
            armed: None,
            held_step: None,
            late_orders: Vec::new(),
            order_count: NO_ORDERS,
            checks_tokens,
            highest_token: 0,
            highest_map_id: 0,
        }
    }

    /// Executes an order on its terms; `step` is the last step that was started.
    pub fn apply(&mut self, order: &EngineOrder, terms: OrderTerms, step: u64) -> OrderResult {
        if self.checks_tokens && terms.fencing_token < self.highest_token {
            return OrderResult::Fenced;
        }
        self.highest_token = self.highest_token.max(terms.fencing_token);
        let expected_count = terms.expected_order_count;
        if expected_count.is_some_and(|expected| expected != self.order_count) {
            return OrderResult::Refused;
        }
        if self.holds_already(order) {
            return OrderResult::Done;
        }
        if !self.begin(order, step) {
            return OrderResult::Refused;
        }
        self.order_count += 1;
        OrderResult::Done
    }

    /// Executes the late order at `index`, and returns its result; `None` if there is none.
    pub fn execute_late(&mut self, index: usize, step: u64) -> Option<OrderResult> {
        let count = self.late_orders.len();
        if count == 0 {
            return None;
        }
        let (order, terms) = self.late_orders.remove(index % count);
        Some(self.apply(&order, terms, step))
    }

    /// Starts a step, at which an armed map comes into use.
    pub fn start_step(&mut self, step: u64) {
        if let Some((map_id, _)) = self.armed.take_if(|(_, at)| *at <= step) {
            self.map = map_id;
            self.copied = None;
        }
    }

    /// Returns the report of the engine; `step` is the last step that was started.
    #[must_use]
    pub fn report(&self, rank: usize, rank_count: usize, step: u64) -> RankReport {
        RankReport {
            group: "group".to_owned(),
            group_incarnation: 1,
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            rank_count: u32::try_from(rank_count).unwrap_or(u32::MAX),
            is_open: true,
            started_ms: 1,
            step,
            active_map_id: self.map,
            copied_map_id: self.copied,
            armed_map_id: self.armed.map(|(map_id, _)| map_id),
            armed_step: self.armed.map(|(_, at)| at),
            slowdown_percent: 100,
            held_step: self.held_step,
            order_count: Some(self.order_count),
        }
    }

    fn holds_already(&self, order: &EngineOrder) -> bool {
        match *order {
            EngineOrder::Copy { .. } => false,
            EngineOrder::Arm { map_id, step } => self.armed == Some((map_id, step)),
            EngineOrder::Disarm { map_id } => self.armed.is_none_or(|(armed, _)| armed != map_id),
            EngineOrder::Hold { step } => self.held_step == Some(step),
            EngineOrder::ReleaseHold { .. } => self.held_step.is_none(),
        }
    }

    fn begin(&mut self, order: &EngineOrder, step: u64) -> bool {
        match *order {
            EngineOrder::Copy { map_id, .. } => self.copy(map_id),
            EngineOrder::Arm { map_id, step: at } => {
                let fits = self.copied == Some(map_id) && at > step;
                if fits {
                    self.armed = Some((map_id, at));
                }
                fits
            }
            EngineOrder::Disarm { map_id } => {
                self.armed.take_if(|(armed, _)| *armed == map_id).is_some()
            }
            EngineOrder::Hold { step: at } => {
                let fits = self.held_step.is_none() && at > step;
                if fits {
                    self.held_step = Some(at);
                }
                fits
            }
            EngineOrder::ReleaseHold { step: at } => {
                self.held_step.take_if(|held| *held == at).is_some()
            }
        }
    }

    fn copy(&mut self, map_id: u64) -> bool {
        let fits = map_id > self.highest_map_id && self.armed.is_none();
        if fits {
            self.highest_map_id = map_id;
            self.copied = Some(map_id);
        }
        fits
    }
}
