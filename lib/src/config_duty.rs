//! The duty that holds the configuration in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::config_view::ConfigView;
use crate::config_view::ServiceView;
use crate::duty::Duty;
use crate::duty::Wake;
use crate::platform_client::PlatformClient;
use crate::protos::control::ConfigValue;
use crate::protos::template::ServiceTemplate;

const RING_CAPACITY: usize = 64;
const TICK: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(500);
const SERVICE_PREFIX: &str = "services/";

/// What the duty is told.
pub(crate) enum ConfigCommand {
    /// Values read from the platform or passed on by a peer.
    Offer(Vec<ConfigValue>),
}

/// The configuration in force, shared with its readers.
pub(crate) type SharedConfig = Arc<ArcSwap<ConfigView>>;

/// Starts the duty.
pub(crate) fn spawn(shared: SharedConfig) -> Duty<ConfigCommand> {
    let mut values = BTreeMap::new();
    Duty::spawn("config", RING_CAPACITY, TICK, move |wake| {
        if let Wake::Command(ConfigCommand::Offer(offered)) = wake {
            accept(&mut values, offered);
            shared.store(Arc::new(view_of(&values)));
        }
    })
}

/// Reads the configuration service for ever and offers what it publishes.
pub(crate) async fn watch(platform: PlatformClient, duty: Duty<ConfigCommand>, wait: Duration) {
    let mut revision = 0;
    loop {
        match platform.watch(revision, wait).await {
            Ok(published) => {
                revision = revision.max(published.revision);
                let offered = published
                    .values
                    .into_iter()
                    .map(|value| ConfigValue {
                        key: value.key,
                        revision: value.revision,
                        value: value.value.into_bytes(),
                    })
                    .collect();
                if duty.submit(ConfigCommand::Offer(offered)).is_err() {
                    return;
                }
            }
            Err(error) => {
                log::warn!("configuration: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn accept(values: &mut BTreeMap<String, ConfigValue>, offered: Vec<ConfigValue>) {
    for value in offered {
        let newer = values
            .get(&value.key)
            .is_none_or(|held| held.revision < value.revision);
        if newer {
            values.insert(value.key.clone(), value);
        }
    }
}

fn view_of(values: &BTreeMap<String, ConfigValue>) -> ConfigView {
    let mut view = ConfigView::default();
    for (key, value) in values {
        view.revision = view.revision.max(value.revision);
        if !key.starts_with(SERVICE_PREFIX) {
            continue;
        }
        match serde_norway::from_slice::<ServiceTemplate>(&value.value) {
            Ok(template) => {
                let service = Arc::new(ServiceView::new(template));
                view.services
                    .insert(service.template().service.clone(), service);
            }
            Err(error) => log::warn!("document \"{key}\": {error}"),
        }
    }
    view
}
