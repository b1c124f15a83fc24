//! Gives a rank's engine the orders of the agreement on maps, on the direct path.

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
use crate::RankReport;
use crate::SequenceStep;
use crate::actor::Actor;
use crate::event;
use crate::rank_command::RankCommand;

/// Added to the fencing number after an engine has refused it.
const FENCING_TOKEN_STEP: u64 = 1 << 32;

/// The engine beside an agent, with what is known of it.
#[derive(Clone)]
pub(crate) struct EngineLink {
    pub(crate) engine: DirectEngine,
    /// The last report; absent until there was one.
    pub(crate) report: watch::Sender<Option<RankReport>>,
    /// Held from the report that an order rests on until the order is answered, so that no other
    /// order comes between.
    pub(crate) order_lock: Arc<Mutex<()>>,
}

impl EngineLink {
    /// Makes the link to an engine.
    pub(crate) fn new(engine: DirectEngine) -> Self {
        Self {
            engine,
            report: watch::channel(None).0,
            order_lock: Arc::default(),
        }
    }

    /// Reads the engine's report.
    pub(crate) async fn read(&self) -> Result<RankReport, String> {
        let report = (self.engine.report)().await?;
        self.report.send_replace(Some(report.clone()));
        Ok(report)
    }

    /// Returns the last report.
    pub(crate) fn last_report(&self) -> Option<RankReport> {
        self.report.borrow().clone()
    }
}

/// Fencing numbers of one agent: above those of all maps that its engine has had.
#[derive(Debug, Default)]
pub(crate) struct FencingToken {
    value: u64,
}

impl FencingToken {
    /// Returns the number for orders about a map.
    pub(crate) fn for_map(&mut self, map_id: u64, report: Option<&RankReport>) -> u64 {
        let highest_reported = report.map_or(0, |report| {
            let copied = report.copied_map_id.unwrap_or(0);
            let armed = report.armed_map_id.unwrap_or(0);
            report.active_map_id.max(copied).max(armed)
        });
        self.value = self.value.max(map_id).max(highest_reported);
        self.value
    }

    /// Notes that the engine has seen a higher number.
    pub(crate) fn raise_above_engine(&mut self) {
        event!(OrderFenced, "fencing={}", self.value);
        self.value += FENCING_TOKEN_STEP;
    }
}

/// Carries out steps of the agreement one after another, until the actor ends.
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
                log::debug!("order to the engine: {error}");
                RankCommand::EngineLost
            }
        };
        actor.submit_when_free(command).await;
    }
}

/// Carries out one step of the agreement at an engine and returns its state after it.
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
            SequenceStep::Read => sequencer.on_report(link.read().await?),
            SequenceStep::Order(engine_order) => {
                let result = send_order(engine_order, link, fencing, map_id_of(order)).await;
                sequencer.on_result(result)
            }
            SequenceStep::Done(report) => return Ok(report),
        };
    }
}

/// Gives an order in the formation of the last report.
pub(crate) async fn send_order(
    order: EngineOrder,
    link: &EngineLink,
    fencing: &mut FencingToken,
    map_id: u64,
) -> OrderResult {
    let report = link.last_report();
    let token = fencing.for_map(map_id, report.as_ref());
    let formation = report.map_or(0, |report| report.group_incarnation);
    log::debug!("order {order:?}");
    let result = (link.engine.order)(order, formation, token).await;
    if result == OrderResult::Fenced {
        fencing.raise_above_engine();
    }
    log::debug!("order answered: {result:?}");
    result
}

fn map_id_of(order: &MapOrder) -> u64 {
    match order {
        MapOrder::Read => 0,
        MapOrder::Stage { map, .. } => map.map_id,
        MapOrder::Commit { map_id } | MapOrder::Release { map_id } => *map_id,
    }
}
