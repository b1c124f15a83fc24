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
use crate::SequencerAction;
use crate::duty::Duty;
use crate::event;
use crate::rank_command::RankCommand;

/// Added to the fencing number after an engine has refused it.
const FENCE_STEP: u64 = 1 << 32;

/// The engine beside an agent, with what is known of it.
#[derive(Clone)]
pub(crate) struct RankLink {
    pub(crate) engine: DirectEngine,
    /// The last report; absent until there was one.
    pub(crate) report: watch::Sender<Option<RankReport>>,
    /// Held from the report that an order rests on until the order is answered, so that no other
    /// order comes between.
    pub(crate) turn: Arc<Mutex<()>>,
}

impl RankLink {
    /// Makes the link to an engine.
    pub(crate) fn new(engine: DirectEngine) -> Self {
        Self {
            engine,
            report: watch::channel(None).0,
            turn: Arc::default(),
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
pub(crate) struct FencingNumber {
    number: u64,
}

impl FencingNumber {
    /// Returns the number for orders about a map.
    pub(crate) fn for_map(&mut self, map_id: u64, report: Option<&RankReport>) -> u64 {
        let seen = report.map_or(0, |report| {
            let copied = report.copied_map_id.unwrap_or(0);
            let armed = report.armed_map_id.unwrap_or(0);
            report.active_map_id.max(copied).max(armed)
        });
        self.number = self.number.max(map_id).max(seen);
        self.number
    }

    /// Notes that the engine has seen a higher number.
    pub(crate) fn refused(&mut self) {
        event!(OrderFenced, "fencing={}", self.number);
        self.number += FENCE_STEP;
    }
}

/// Carries out steps of the agreement one after another, until the duty ends.
pub(crate) async fn run_orders(
    mut orders: mpsc::Receiver<MapOrder>,
    link: RankLink,
    duty: Duty<RankCommand>,
) {
    let mut fencing = FencingNumber::default();
    while let Some(order) = orders.recv().await {
        let command = match carry_out(&order, &link, &mut fencing).await {
            Ok(report) => RankCommand::EngineReport(report),
            Err(error) => {
                log::debug!("order to the engine: {error}");
                RankCommand::EngineLost
            }
        };
        duty.submit_when_free(command).await;
    }
}

/// Carries out one step of the agreement at an engine and returns its state after it.
pub(crate) async fn carry_out(
    order: &MapOrder,
    link: &RankLink,
    fencing: &mut FencingNumber,
) -> Result<MapEngineReport, String> {
    let _turn = link.turn.lock().await;
    let mut sequencer = EngineSequencer::new(order.clone());
    let mut step = sequencer.start();
    loop {
        step = match step {
            SequencerAction::Read => sequencer.on_report(link.read().await?),
            SequencerAction::Order(engine_order) => {
                let result = give(engine_order, link, fencing, map_of(order)).await;
                sequencer.on_result(result)
            }
            SequencerAction::Done(report) => return Ok(report),
        };
    }
}

/// Gives an order in the formation of the last report.
pub(crate) async fn give(
    order: EngineOrder,
    link: &RankLink,
    fencing: &mut FencingNumber,
    map_id: u64,
) -> OrderResult {
    let report = link.last_report();
    let fence = fencing.for_map(map_id, report.as_ref());
    let formation = report.map_or(0, |report| report.group_incarnation);
    log::debug!("order {order:?}");
    let result = (link.engine.order)(order, formation, fence).await;
    if result == OrderResult::Fenced {
        fencing.refused();
    }
    log::debug!("order answered: {result:?}");
    result
}

fn map_of(order: &MapOrder) -> u64 {
    match order {
        MapOrder::Read => 0,
        MapOrder::Stage { map, .. } => map.map_id,
        MapOrder::Commit { map_id } | MapOrder::Release { map_id } => *map_id,
    }
}
