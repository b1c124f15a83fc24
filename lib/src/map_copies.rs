//! Copying of the experts of a map to a rank's engine, before the map is proposed.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::EngineOrder;
use crate::ExpertSlots;
use crate::OrderResult;
use crate::direct_orders;
use crate::direct_orders::EngineLink;
use crate::direct_orders::FencingToken;

const COPY_POLL_INTERVAL: Duration = Duration::from_millis(15);
const COPY_TIMEOUT: Duration = Duration::from_secs(3);

/// Copies the experts of maps one map at a time; sends a message to `done` when a copy is complete.
pub(crate) async fn run_copies(
    mut copies: mpsc::Receiver<(u64, ExpertSlots)>,
    done: mpsc::Sender<()>,
    link: EngineLink,
) {
    let mut fencing = FencingToken::default();
    while let Some((map_id, slots)) = copies.recv().await {
        match copy_map(map_id, &slots, &link, &mut fencing).await {
            Ok(()) => {
                let _ = done.send(()).await;
            }
            Err(reason) => log::info!("copying of map {map_id:#x} failed: {reason}"),
        }
    }
}

/// Orders the engine to copy the experts of a map and waits until the copy is complete.
///
/// While the rank is held or armed for another map, no copy is ordered: the rank could no longer
/// switch to that map.
async fn copy_map(
    map_id: u64,
    slots: &ExpertSlots,
    link: &EngineLink,
    fencing: &mut FencingToken,
) -> Result<(), String> {
    let started_at = Instant::now();
    let mut is_ordered = false;
    while started_at.elapsed() < COPY_TIMEOUT {
        let order_guard = link.order_lock.lock().await;
        let report = link.read().await?;
        if report.copied_map_id == Some(map_id) || report.active_map_id == map_id {
            return Ok(());
        }
        if report.held_step.is_some() || report.armed_map_id.is_some() {
            return Err("the rank is about to switch maps".to_owned());
        }
        if !is_ordered {
            let slots = slots.clone();
            let order = EngineOrder::Copy { map_id, slots };
            // The order must not be executed once the rank has copied or promised another map.
            let order_count = report.order_count;
            match direct_orders::send_order(order, link, fencing, map_id, order_count).await {
                OrderResult::Done => is_ordered = true,
                OrderResult::Refused => return Err("the engine refused the copy order".to_owned()),
                OrderResult::Fenced | OrderResult::Unknown => continue,
            }
        }
        drop(order_guard);
        tokio::time::sleep(COPY_POLL_INTERVAL).await;
    }
    Err("the copy was not complete within the timeout".to_owned())
}
