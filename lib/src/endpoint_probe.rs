//! Health probe of an agent for its endpoint.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::endpoint_client::EndpointClient;
use crate::event;

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Probes the endpoint periodically and sends each change to `up`, until its receivers are dropped.
pub(crate) async fn run(endpoint: EndpointClient, up: watch::Sender<bool>) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let probed = tokio::time::timeout(PROBE_TIMEOUT, endpoint.load()).await;
        let is_up = matches!(probed, Ok(Ok(_)));
        if is_up == *up.borrow() {
            continue;
        }
        if is_up {
            event!(EndpointUp);
        } else {
            event!(EndpointDown);
        }
        if up.send(is_up).is_err() {
            return;
        }
    }
}
