//! Sends the orders of the agreement on expert maps to the engine of a rank to which entries send
//! calls directly.

use std::sync::Arc;

use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::DirectEngine;
use crate::EngineOrder;
use crate::EngineSequencer;
use crate::MapEngineReport;
use crate::MapOrder;
use crate::OrderResult;
use crate::OrderTerms;
use crate::RankReport;
use crate::SequencerAction;
use crate::actor::Actor;
use crate::event;
use crate::rank_command::RankCommand;

/// Increment of the fencing token after the engine has refused it as too low.
const FENCING_TOKEN_STEP: u64 = 1 << 32;

/// The engine of an agent's rank, with its last report.
#[derive(Clone)]
pub(crate) struct EngineLink {
    pub(crate) engine: DirectEngine,
    /// The last report; absent until the first one is read.
    pub(crate) report: watch::Sender<Option<RankReport>>,
    /// Held from the report that an order is based on until the order is answered, so that no other
    /// order is sent in between.
    pub(crate) order_lock: Arc<Mutex<()>>,
}

impl EngineLink {
    /// Creates the link to an engine whose report is not read yet.
    pub(crate) fn new(engine: DirectEngine) -> Self {
        Self {
            engine,
            report: watch::channel(None).0,
            order_lock: Arc::default(),
        }
    }

    /// Reads and keeps the engine's report.
    pub(crate) async fn read(&self) -> Result<RankReport, String> {
        let report = (self.engine.report)().await?;
        self.report.send_replace(Some(report.clone()));
        Ok(report)
    }

    /// Returns the last report; absent until the first one is read.
    pub(crate) fn last_report(&self) -> Option<RankReport> {
        self.report.borrow().clone()
    }
}

/// The fencing token of one agent's orders.
///
/// It never decreases, and is at least the highest map id that the engine has reported.
#[derive(Debug, Default)]
pub(crate) struct FencingToken {
    value: u64,
}

impl FencingToken {
    /// Returns the token for orders about a map.
    pub(crate) fn for_map(&mut self, map_id: u64, report: Option<&RankReport>) -> u64 {
        let highest_reported = report.map_or(0, |report| {
            let copied = report.copied_map_id.unwrap_or(0);
            let armed = report.armed_map_id.unwrap_or(0);
            report.active_map_id.max(copied).max(armed)
        });
        self.value = self.value.max(map_id).max(highest_reported);
        self.value
    }

    /// Raises the token after the engine has refused it because it has seen a higher one.
    pub(crate) fn raise_above_engine(&mut self) {
        event!(OrderFenced, "fencing={}", self.value);
        self.value += FENCING_TOKEN_STEP;
    }
}

/// Executes the orders of the agreement one after another, until the actor ends.
pub(crate) async fn run_orders(
    mut orders: mpsc::Receiver<MapOrder>,
    link: EngineLink,
    actor: Actor<RankCommand>,
) {
    let mut fencing = FencingToken::default();
    while let Some(order) = orders.recv().await {
        let command = match execute_order(&order, &link, &mut fencing).await {
            Ok(report) => RankCommand::EngineReport(report),
            Err(error) => {
                log::debug!("order to the engine failed: {error}");
                RankCommand::EngineLost
            }
        };
        actor.submit_when_free(command).await;
    }
}

/// Executes one order of the agreement at an engine; returns the engine's state afterwards.
pub(crate) async fn execute_order(
    order: &MapOrder,
    link: &EngineLink,
    fencing: &mut FencingToken,
) -> Result<MapEngineReport, String> {
    let _turn = link.order_lock.lock().await;
    let mut sequencer = EngineSequencer::new(order.clone());
    let mut step = sequencer.start();
    loop {
        step = match step {
            SequencerAction::Read => sequencer.on_report(link.read().await?),
            SequencerAction::Order(engine_order) => {
                let order_count = sequencer.expected_order_count();
                let map_id = map_id_of(order);
                let result = send_order(engine_order, link, fencing, map_id, order_count).await;
                sequencer.on_result(result)
            }
            SequencerAction::Done(report) => return Ok(report),
        };
    }
}

/// Sends an order for the group formation of the last report.
///
/// With an `expected_order_count`, the engine refuses the order once it has begun another one.
pub(crate) async fn send_order(
    order: EngineOrder,
    link: &EngineLink,
    fencing: &mut FencingToken,
    map_id: u64,
    expected_order_count: Option<u64>,
) -> OrderResult {
    let report = link.last_report();
    let text = order_text(&order);
    let terms = OrderTerms {
        group_incarnation: report.as_ref().map_or(0, |report| report.group_incarnation),
        fencing_token: fencing.for_map(map_id, report.as_ref()),
        expected_order_count,
    };
    let result = (link.engine.order)(order, terms).await;
    if result == OrderResult::Fenced {
        fencing.raise_above_engine();
    }
    let before = report.as_ref().map_or_else(String::new, report_text);
    event!(
        EngineOrdered,
        "order=\"{text}\" map={map_id:#x} result={result:?} expects={expected_order_count:?} {before}"
    );
    result
}

fn order_text(order: &EngineOrder) -> String {
    match order {
        EngineOrder::Copy { map_id, .. } => format!("copy {map_id:#x}"),
        EngineOrder::Arm { map_id, step } => format!("arm {map_id:#x} at step {step}"),
        EngineOrder::Disarm { map_id } => format!("disarm {map_id:#x}"),
        EngineOrder::Hold { step } => format!("hold step {step}"),
        EngineOrder::ReleaseHold { step } => format!("release step {step}"),
    }
}

/// Returns the fields of a log line that show what an order was based on.
fn report_text(report: &RankReport) -> String {
    format!(
        "step={} active={:#x} copied={:x?} armed={:x?} held={:?} orders={:?}",
        report.step,
        report.active_map_id,
        report.copied_map_id,
        report.armed_map_id,
        report.held_step,
        report.order_count
    )
}

fn map_id_of(order: &MapOrder) -> u64 {
    match order {
        MapOrder::Read => 0,
        MapOrder::Stage { map, .. } => map.map_id,
        MapOrder::Confirm { map_id }
        | MapOrder::Commit { map_id }
        | MapOrder::Release { map_id } => *map_id,
    }
}
