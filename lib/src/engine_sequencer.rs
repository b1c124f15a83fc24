//! The orders to a rank's engine that carry out one step of the agreement on maps.
//!
//! The argument for the rules is in `docs/design/platform.md`.

use crate::EngineOrder;
use crate::MapEngineReport;
use crate::MapOrder;
use crate::OrderResult;
use crate::RankReport;

/// Orders that one step of the agreement gives at most; what is left undone is asked for again.
const MAX_ORDERS: u32 = 6;

/// What the driver of an [`EngineSequencer`] has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SequencerAction {
    /// Read the engine's report.
    Read,
    /// Give the engine an order.
    Order(EngineOrder),
    /// The step of the agreement is done as far as it can be.
    Done(MapEngineReport),
}

/// Carries out one step of the agreement on maps at the engine of a rank.
///
/// An order without an answer may be carried out later. So every order but the answered ones is
/// followed by a look at the report, and given again until the report shows its effect. A rank
/// lets go of a step that it holds for a committed map only once it is armed.
#[derive(Debug)]
pub struct EngineSequencer {
    order: MapOrder,
    report: Option<RankReport>,
    orders_left: u32,
    /// The order whose answer is awaited.
    awaited: Option<EngineOrder>,
}

impl EngineSequencer {
    /// Starts on one step of the agreement.
    #[must_use]
    pub fn new(order: MapOrder) -> Self {
        Self {
            order,
            report: None,
            orders_left: MAX_ORDERS,
            awaited: None,
        }
    }

    /// Returns what to do first.
    #[must_use]
    pub fn start(&self) -> SequencerAction {
        SequencerAction::Read
    }

    /// Takes in the engine's report.
    pub fn on_report(&mut self, report: RankReport) -> SequencerAction {
        self.report = Some(report);
        self.next()
    }

    /// Takes in what became of the last order.
    pub fn on_result(&mut self, result: OrderResult) -> SequencerAction {
        let awaited = self.awaited.take();
        match (result, awaited, &mut self.report) {
            (OrderResult::Done, Some(order), Some(report)) => {
                note_effect(report, &order);
                self.next()
            }
            _ => SequencerAction::Read,
        }
    }

    fn next(&mut self) -> SequencerAction {
        let Some(report) = &self.report else {
            return SequencerAction::Read;
        };
        let wanted = wanted_order(&self.order, report);
        match wanted {
            Some(order) if self.orders_left > 0 => {
                self.orders_left -= 1;
                self.awaited = Some(order.clone());
                SequencerAction::Order(order)
            }
            _ => SequencerAction::Done(report.to_map_engine_report()),
        }
    }
}

/// Returns the order that brings the engine nearer to what the agreement asks for.
fn wanted_order(order: &MapOrder, report: &RankReport) -> Option<EngineOrder> {
    match order {
        MapOrder::Read => None,
        MapOrder::Stage { map, switch_step } => {
            let is_copied = report.copied_map_id == Some(map.map_id);
            let is_free = report.held_step.is_none() && report.armed_map_id.is_none();
            let is_ahead = report.step < *switch_step;
            let step = *switch_step;
            (is_copied && is_free && is_ahead).then_some(EngineOrder::Hold { step })
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
            let is_armed = report.armed_map_id.is_some();
            (!is_armed).then_some(EngineOrder::ReleaseHold { step })
        }
    }
}

/// Notes what an order that was carried out has changed.
fn note_effect(report: &mut RankReport, order: &EngineOrder) {
    match order {
        EngineOrder::Copy { .. } => {}
        EngineOrder::Arm { map_id, step } => {
            report.armed_map_id = Some(*map_id);
            report.armed_step = Some(*step);
        }
        EngineOrder::Hold { step } => report.held_step = Some(*step),
        EngineOrder::ReleaseHold { .. } => report.held_step = None,
    }
}
