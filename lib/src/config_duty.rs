//! The duty that holds the configuration in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::oneshot;

use crate::config_view::ConfigView;
use crate::config_view::ServiceView;
use crate::duty::Duty;
use crate::duty::DutyError;
use crate::duty::Wake;
use crate::event;
use crate::platform_client::PlatformClient;
use crate::platform_client::PlatformError;
use crate::platform_client::PublishedValues;
use crate::protos::control::ConfigValue;
use crate::protos::control::KeyRevision;
use crate::protos::template::ServiceTemplate;

const RING_CAPACITY: usize = 64;
const TICK: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(500);
const SERVICE_PREFIX: &str = "services/";

/// What the duty is told.
pub(crate) enum ConfigCommand {
    /// Values read from the platform or passed on by a peer.
    Offer(Vec<ConfigValue>),
    /// A peer asks for the values that are newer than its own.
    Newer {
        have: Vec<KeyRevision>,
        reply: oneshot::Sender<Vec<ConfigValue>>,
    },
    /// This process asks which revisions it holds, to ask a peer for newer ones.
    Held {
        reply: oneshot::Sender<Vec<KeyRevision>>,
    },
}

/// The configuration in force, shared with its readers.
pub(crate) type SharedConfig = Arc<ArcSwap<ConfigView>>;

/// Starts the duty; `changed` hears of each new configuration.
pub(crate) fn spawn<F>(shared: SharedConfig, changed: F) -> Duty<ConfigCommand>
where
    F: Fn(&ConfigView) + Send + 'static,
{
    let mut values = BTreeMap::new();
    Duty::spawn("config", RING_CAPACITY, TICK, move |wake| match wake {
        Wake::Command(ConfigCommand::Offer(offered)) => {
            accept(&mut values, offered);
            let view = Arc::new(view_of(&values));
            shared.store(Arc::clone(&view));
            changed(&view);
        }
        Wake::Command(ConfigCommand::Newer { have, reply }) => {
            let _ = reply.send(newer(&values, &have));
        }
        Wake::Command(ConfigCommand::Held { reply }) => {
            let _ = reply.send(held(&values));
        }
        Wake::Tick => {}
    })
}

/// Reads the configuration service for ever and offers what it publishes.
pub(crate) async fn watch(platform: PlatformClient, duty: Duty<ConfigCommand>, wait: Duration) {
    let mut revision = 0;
    loop {
        match platform.watch(revision, wait).await {
            Ok(published) => {
                revision = revision.max(published.revision);
                let command = ConfigCommand::Offer(values_of(published));
                if let Err(DutyError::Ended { .. }) = duty.submit(command) {
                    return;
                }
            }
            Err(error) => {
                event!(ConfigServiceFailed, "{error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the whole configuration once and offers it.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub(crate) async fn read_once(
    platform: &PlatformClient,
    duty: &Duty<ConfigCommand>,
) -> Result<(), PlatformError> {
    let published = platform.watch(0, Duration::ZERO).await?;
    if let Err(error) = duty.submit(ConfigCommand::Offer(values_of(published))) {
        log::warn!("configuration: {error}");
    }
    Ok(())
}

fn values_of(published: PublishedValues) -> Vec<ConfigValue> {
    published
        .values
        .into_iter()
        .map(|value| ConfigValue {
            key: value.key,
            revision: value.revision,
            value: value.value.into_bytes(),
        })
        .collect()
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

fn newer(values: &BTreeMap<String, ConfigValue>, have: &[KeyRevision]) -> Vec<ConfigValue> {
    let known: BTreeMap<&str, u64> = have
        .iter()
        .map(|held| (held.key.as_str(), held.revision))
        .collect();
    values
        .values()
        .filter(|value| known.get(value.key.as_str()) < Some(&value.revision))
        .cloned()
        .collect()
}

fn held(values: &BTreeMap<String, ConfigValue>) -> Vec<KeyRevision> {
    values
        .values()
        .map(|value| KeyRevision {
            key: value.key.clone(),
            revision: value.revision,
        })
        .collect()
}
