//! The duty that holds the configuration in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::oneshot;

use crate::ConfigOffer;
use crate::ConfigStore;
use crate::config_view::ConfigView;
use crate::config_view::ServiceView;
use crate::duty::Duty;
use crate::duty::Wake;
use crate::event;
use crate::protos::control::ConfigValue;
use crate::protos::control::KeyRevision;
use crate::protos::control::RefusedDocument;

const RING_CAPACITY: usize = 64;
const TICK: Duration = Duration::from_secs(1);
const SERVICE_PREFIX: &str = "services/";

/// What the duty is told or asked.
pub(crate) enum ConfigCommand {
    /// Values read from the platform or passed on by a peer; `done` hears when they are taken.
    Offer {
        values: Vec<ConfigValue>,
        done: oneshot::Sender<()>,
    },
    /// A peer asks for the values that are newer than its own.
    Newer {
        have: Vec<KeyRevision>,
        reply: oneshot::Sender<Vec<ConfigValue>>,
    },
    /// This process asks which revisions it holds, to ask a peer for newer ones.
    Have {
        reply: oneshot::Sender<Vec<KeyRevision>>,
    },
    /// An operator asks for the documents.
    Documents {
        reply: oneshot::Sender<DocumentReport>,
    },
}

/// Documents in force and refused, for operators.
#[derive(Debug, Default)]
pub(crate) struct DocumentReport {
    pub(crate) in_force: Vec<KeyRevision>,
    pub(crate) refused: Vec<RefusedDocument>,
}

/// The configuration in force, shared with its readers.
pub(crate) type SharedConfig = Arc<ArcSwap<ConfigView>>;

/// Starts the duty; `changed` hears of each new configuration.
pub(crate) fn spawn<F>(shared: SharedConfig, changed: F) -> Duty<ConfigCommand>
where
    F: Fn(&ConfigView) + Send + 'static,
{
    let mut store = ConfigStore::new();
    Duty::spawn("config", RING_CAPACITY, TICK, move |wake| {
        let Wake::Command(command) = wake else {
            return;
        };
        match command {
            ConfigCommand::Offer { values, done } => {
                if offer(&mut store, values) {
                    let view = Arc::new(next_view(&store, &shared.load()));
                    shared.store(Arc::clone(&view));
                    changed(&view);
                }
                let _ = done.send(());
            }
            ConfigCommand::Newer { have, reply } => {
                let _ = reply.send(store.newer_than(&have));
            }
            ConfigCommand::Have { reply } => {
                let _ = reply.send(store.have());
            }
            ConfigCommand::Documents { reply } => {
                let _ = reply.send(DocumentReport {
                    in_force: store.documents(),
                    refused: store.refused_documents(),
                });
            }
        }
    })
}

/// Offers values to the store and tells whether it changed.
fn offer(store: &mut ConfigStore, values: Vec<ConfigValue>) -> bool {
    let mut is_changed = false;
    for value in values {
        if !value.key.starts_with(SERVICE_PREFIX) {
            continue;
        }
        let key = &value.key;
        let revision = value.revision;
        match store.offer(&value) {
            ConfigOffer::InForce => {
                event!(ConfigAccepted, "key={key} revision={revision}");
                is_changed = true;
            }
            ConfigOffer::Refused => {
                event!(ConfigRefused, "key={key} revision={revision}");
                is_changed = true;
            }
            ConfigOffer::Conflict => {
                event!(
                    ConfigRefused,
                    "key={key} revision={revision} published twice"
                );
            }
            ConfigOffer::Stale => {}
        }
    }
    is_changed
}

/// Builds the view of the store, keeping the indexes of services that did not change.
fn next_view(store: &ConfigStore, former: &ConfigView) -> ConfigView {
    let mut services = BTreeMap::new();
    for template in store.templates() {
        let kept = former
            .service(&template.service)
            .filter(|service| Arc::ptr_eq(service.shared_template(), template));
        let service = kept
            .cloned()
            .unwrap_or_else(|| Arc::new(ServiceView::new(Arc::clone(template))));
        services.insert(template.service.clone(), service);
    }
    ConfigView {
        revision: store.revision(),
        digest: store.digest(),
        services,
    }
}
