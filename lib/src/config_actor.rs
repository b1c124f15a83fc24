//! The actor that holds the configuration in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::oneshot;

use crate::ConfigChanges;
use crate::ConfigOfferResult;
use crate::ConfigStore;
use crate::actor::Actor;
use crate::actor::ActorInput;
use crate::config_view::ConfigView;
use crate::config_view::ServiceView;
use crate::event;
use crate::protos::control::KeyRevision;
use crate::protos::control::RefusedDocument;

const RING_CAPACITY: usize = 64;
const TICK: Duration = Duration::from_secs(1);
const SERVICE_PREFIX: &str = "services/";
/// Bytes of values in one answer to a peer, but for the first value.
const REPLY_BYTES: usize = 2 << 20;

/// What the actor is told or asked.
pub(crate) enum ConfigCommand {
    /// Changes read from the platform or passed on by a peer; `done` hears when they are taken,
    /// and whether every patch among them fitted.
    Offer {
        changes: ConfigChanges,
        done: oneshot::Sender<bool>,
    },
    /// A peer asks for what is newer than its own, as patches if it takes them.
    ChangesSince {
        have: Vec<KeyRevision>,
        takes_patches: bool,
        reply: oneshot::Sender<ConfigChanges>,
    },
    /// This process asks which revisions it holds, to ask a peer for newer ones.
    HeldRevisions {
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

/// Starts the actor; `changed` hears of each new configuration.
pub(crate) fn spawn<F>(shared: SharedConfig, changed: F) -> Actor<ConfigCommand>
where
    F: Fn(&ConfigView) + Send + 'static,
{
    let mut store = ConfigStore::new();
    Actor::spawn("config", RING_CAPACITY, TICK, move |wake| {
        let ActorInput::Command(command) = wake else {
            return;
        };
        match command {
            ConfigCommand::Offer { changes, done } => {
                let effect = offer(&mut store, changes);
                if effect.is_changed {
                    let view = Arc::new(next_view(&store, &shared.load()));
                    shared.store(Arc::clone(&view));
                    changed(&view);
                }
                let _ = done.send(effect.all_fitted);
            }
            ConfigCommand::ChangesSince {
                have,
                takes_patches,
                reply,
            } => {
                let _ = reply.send(newer(&store, &have, takes_patches));
            }
            ConfigCommand::HeldRevisions { reply } => {
                let _ = reply.send(store.held_revisions());
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

/// What became of the changes that were offered together.
struct OfferEffect {
    is_changed: bool,
    /// No patch failed to apply.
    all_fitted: bool,
}

/// Offers changes to the store, whole values first.
fn offer(store: &mut ConfigStore, changes: ConfigChanges) -> OfferEffect {
    let mut effect = OfferEffect {
        is_changed: false,
        all_fitted: true,
    };
    for value in changes.values {
        if value.key.starts_with(SERVICE_PREFIX) {
            let offer = store.offer(&value);
            effect.note(&value.key, value.revision, offer);
        }
    }
    for patch in changes.patches {
        let revision = patch.steps.last().map_or(0, |step| step.revision);
        if patch.key.starts_with(SERVICE_PREFIX) {
            let offer = store.offer_patch(&patch);
            effect.note(&patch.key, revision, offer);
        }
    }
    effect
}

impl OfferEffect {
    fn note(&mut self, key: &str, revision: u64, offer: ConfigOfferResult) {
        match offer {
            ConfigOfferResult::InForce => {
                event!(ConfigAccepted, "key={key} revision={revision}");
                self.is_changed = true;
            }
            ConfigOfferResult::Refused => {
                event!(ConfigRefused, "key={key} revision={revision}");
                self.is_changed = true;
            }
            ConfigOfferResult::Conflict => {
                event!(
                    ConfigRefused,
                    "key={key} revision={revision} published twice"
                );
            }
            ConfigOfferResult::UnknownBase => self.all_fitted = false,
            ConfigOfferResult::DigestMismatch => {
                log::warn!("key={key} revision={revision}: patch with other bytes");
                self.all_fitted = false;
            }
            ConfigOfferResult::Stale => {}
        }
    }
}

/// Returns what a peer lacks, in a message of bounded size.
fn newer(store: &ConfigStore, have: &[KeyRevision], takes_patches: bool) -> ConfigChanges {
    if takes_patches {
        return store.changes_since(have, REPLY_BYTES);
    }
    ConfigChanges {
        values: store.newer_than(have),
        ..ConfigChanges::default()
    }
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
