//! Copies of expert maps that a rank's engine makes before the map is proposed.

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

/// Copies maps one after another; tells each that is complete.
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
            Err(reason) => log::info!("copy of map {map_id:#x}: {reason}"),
        }
    }
}

/// Orders the copy of a map and waits until it is complete.
///
/// A rank that holds or is armed gets no other map: its own could not be switched to any more.
async fn copy_map(
    map_id: u64,
    slots: &ExpertSlots,
    link: &EngineLink,
    fencing: &mut FencingToken,
) -> Result<(), String> {
    let began = Instant::now();
    let mut is_ordered = false;
    while began.elapsed() < COPY_TIMEOUT {
        let turn = link.order_lock.lock().await;
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
            match direct_orders::send_order(order, link, fencing, map_id).await {
                OrderResult::Done => is_ordered = true,
                OrderResult::Refused => return Err("the engine refused it".to_owned()),
                OrderResult::Fenced | OrderResult::Unknown => continue,
            }
        }
        drop(turn);
        tokio::time::sleep(COPY_POLL_INTERVAL).await;
    }
    Err("the copy took too long".to_owned())
}
