//! Translates an order of the map agreement into orders that an engine on the direct path accepts.
//!
//! `docs/design/platform.md` explains why the order of operations is safe.

use crate::EngineOrder;
use crate::MapEngineReport;
use crate::MapOrder;
use crate::OrderResult;
use crate::RankReport;

/// Limit of engine orders for one [`MapOrder`]. If it is reached, the agreement sees the map order
/// as not yet effective and issues it again.
const MAX_ENGINE_ORDERS: u32 = 6;

/// The next operation that the driver of an [`EngineSequencer`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SequencerAction {
    /// Read the engine's report and pass it to [`EngineSequencer::on_report`].
    Read,
    /// Send the order to the engine and pass its result to [`EngineSequencer::on_result`].
    Order(EngineOrder),
    /// The map order is complete, or cannot make further progress; carries the engine's state.
    Done(MapEngineReport),
}

/// Executes one [`MapOrder`] as a sequence of orders to the engine of a rank.
///
/// An order without an answer may take effect later. Therefore the sequencer reads the engine's
/// report after every unanswered order and repeats the order until the report shows its effect. A
/// hold for a committed map is released only after the report shows that the switch is armed.
#[derive(Debug)]
pub struct EngineSequencer {
    order: MapOrder,
    report: Option<RankReport>,
    remaining_orders: u32,
    /// The order that was sent last and whose result is not known yet.
    order_in_flight: Option<EngineOrder>,
}

impl EngineSequencer {
    /// Creates a sequencer for one map order.
    #[must_use]
    pub fn new(order: MapOrder) -> Self {
        Self {
            order,
            report: None,
            remaining_orders: MAX_ENGINE_ORDERS,
            order_in_flight: None,
        }
    }

    /// Returns the first action.
    #[must_use]
    pub fn start(&self) -> SequencerAction {
        SequencerAction::Read
    }

    /// Returns the engine's order count that the last order is based on; the order must not be executed
    /// at another one.
    #[must_use]
    pub fn expected_order_count(&self) -> Option<u64> {
        self.report.as_ref()?.order_count
    }

    /// Handles the engine's report and returns the next action.
    pub fn on_report(&mut self, report: RankReport) -> SequencerAction {
        self.report = Some(report);
        self.next()
    }

    /// Handles the result of the last engine order and returns the next action.
    pub fn on_result(&mut self, result: OrderResult) -> SequencerAction {
        let order_in_flight = self.order_in_flight.take();
        match (result, order_in_flight, &mut self.report) {
            (OrderResult::Done, Some(order), Some(report)) => {
                apply_effect(report, &order);
                self.next()
            }
            _ => SequencerAction::Read,
        }
    }

    fn next(&mut self) -> SequencerAction {
        let Some(report) = &self.report else {
            return SequencerAction::Read;
        };
        let next_order = next_order(&self.order, report);
        match next_order {
            Some(order) if self.remaining_orders > 0 => {
                self.remaining_orders -= 1;
                self.order_in_flight = Some(order.clone());
                SequencerAction::Order(order)
            }
            _ => SequencerAction::Done(report.to_map_engine_report()),
        }
    }
}

/// Returns the next engine order that the map order requires, if the report shows that one is
/// necessary and possible.
fn next_order(order: &MapOrder, report: &RankReport) -> Option<EngineOrder> {
    match order {
        MapOrder::Read => None,
        MapOrder::Stage { map, switch_step } => {
            let is_copied = report.copied_map_id == Some(map.map_id);
            let is_free = report.held_step.is_none() && report.armed_map_id.is_none();
            let is_ahead = report.step < *switch_step;
            let step = *switch_step;
            (is_copied && is_free && is_ahead).then_some(EngineOrder::Hold { step })
        }
        MapOrder::Confirm { map_id } => {
            let step = report.held_step?;
            let map_id = *map_id;
            let can_arm = report.copied_map_id == Some(map_id) && report.armed_map_id.is_none();
            can_arm.then_some(EngineOrder::Arm { map_id, step })
        }
        MapOrder::Commit { map_id } => {
            let step = report.held_step?;
            if report.armed_map_id == Some(*map_id) || report.active_map_id == *map_id {
                return Some(EngineOrder::ReleaseHold { step });
            }
            let map_id = *map_id;
            let is_copied = report.copied_map_id == Some(map_id);
            is_copied.then_some(EngineOrder::Arm { map_id, step })
        }
        MapOrder::Release { .. } => {
            let step = report.held_step?;
            let disarm = report
                .armed_map_id
                .map(|map_id| EngineOrder::Disarm { map_id });
            Some(disarm.unwrap_or(EngineOrder::ReleaseHold { step }))
        }
    }
}

/// Updates the report with the effect of an order that the engine confirmed.
fn apply_effect(report: &mut RankReport, order: &EngineOrder) {
    report.order_count = report.order_count.map(|count| count + 1);
    match order {
        EngineOrder::Copy { .. } => {}
        EngineOrder::Arm { map_id, step } => {
            report.armed_map_id = Some(*map_id);
            report.armed_step = Some(*step);
        }
        EngineOrder::Disarm { .. } => {
            report.armed_map_id = None;
            report.armed_step = None;
        }
        EngineOrder::Hold { step } => report.held_step = Some(*step),
        EngineOrder::ReleaseHold { .. } => report.held_step = None,
    }
}
