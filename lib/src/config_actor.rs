//! Actor that owns the configuration store and publishes the configuration in force.

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
/// Limit on the size of one reply to a peer; a first change that is larger is sent alone.
const MAX_REPLY_BYTES: usize = 2 << 20;

/// Commands of the configuration actor.
pub(crate) enum ConfigCommand {
    /// Applies changes read from the platform or sent by a peer. Once they are processed, `done`
    /// receives whether every patch among them could be applied.
    Offer {
        changes: ConfigChanges,
        done: oneshot::Sender<bool>,
    },
    /// Returns the changes that a peer with the revisions `have` lacks, as patches if it supports
    /// them.
    ChangesSince {
        have: Vec<KeyRevision>,
        takes_patches: bool,
        reply: oneshot::Sender<ConfigChanges>,
    },
    /// Returns the revisions stored by this process, which it sends to a peer to request newer
    /// ones.
    HeldRevisions {
        reply: oneshot::Sender<Vec<KeyRevision>>,
    },
    /// Returns the documents for the status shown to operators.
    Documents {
        reply: oneshot::Sender<DocumentReport>,
    },
}

/// Documents in force and refused documents, for the status shown to operators.
#[derive(Debug, Default)]
pub(crate) struct DocumentReport {
    pub(crate) in_force: Vec<KeyRevision>,
    pub(crate) refused: Vec<RefusedDocument>,
}

/// The configuration in force, shared by the actor with all readers of this process.
pub(crate) type SharedConfig = Arc<ArcSwap<ConfigView>>;

/// Starts the actor, which calls `on_change` with each new configuration.
pub(crate) fn spawn<F>(shared: SharedConfig, on_change: F) -> Actor<ConfigCommand>
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
                    on_change(&view);
                }
                let _ = done.send(effect.all_patches_applied);
            }
            ConfigCommand::ChangesSince {
                have,
                takes_patches,
                reply,
            } => {
                let _ = reply.send(newer_changes(&store, &have, takes_patches));
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

/// Combined result of a set of offered changes.
struct OfferEffect {
    is_changed: bool,
    /// Whether no patch failed to apply.
    all_patches_applied: bool,
}

/// Offers changes to the store, whole values first. Keys that are no service templates are
/// ignored.
fn offer(store: &mut ConfigStore, changes: ConfigChanges) -> OfferEffect {
    let mut effect = OfferEffect {
        is_changed: false,
        all_patches_applied: true,
    };
    for value in changes.values {
        if value.key.starts_with(SERVICE_PREFIX) {
            let result = store.offer(&value);
            effect.record(&value.key, value.revision, result);
        }
    }
    for patch in changes.patches {
        let revision = patch.steps.last().map_or(0, |step| step.revision);
        if patch.key.starts_with(SERVICE_PREFIX) {
            let result = store.offer_patch(&patch);
            effect.record(&patch.key, revision, result);
        }
    }
    effect
}

impl OfferEffect {
    fn record(&mut self, key: &str, revision: u64, result: ConfigOfferResult) {
        match result {
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
            ConfigOfferResult::UnknownBase => self.all_patches_applied = false,
            ConfigOfferResult::DigestMismatch => {
                log::warn!(
                    "key={key} revision={revision}: patched value does not match its digest"
                );
                self.all_patches_applied = false;
            }
            ConfigOfferResult::Stale => {}
        }
    }
}

/// Returns the changes that a peer lacks, bounded in size if the peer accepts patches.
fn newer_changes(store: &ConfigStore, have: &[KeyRevision], takes_patches: bool) -> ConfigChanges {
    if takes_patches {
        return store.changes_since(have, MAX_REPLY_BYTES);
    }
    ConfigChanges {
        values: store.newer_than(have),
        ..ConfigChanges::default()
    }
}

/// Builds the view of the store, reusing the indexes of services whose template did not change.
fn next_view(store: &ConfigStore, previous: &ConfigView) -> ConfigView {
    let mut services = BTreeMap::new();
    for template in store.templates() {
        let unchanged = previous
            .service(&template.service)
            .filter(|service| Arc::ptr_eq(service.shared_template(), template));
        let service = unchanged
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
