//! Configuration store: the copy of the configuration in one process.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::iter;
use std::sync::Arc;

use prost::Message;
use sha2::Digest;
use sha2::Sha256;
use xxhash_rust::xxh3::Xxh3;

use crate::ConfigChanges;
use crate::ConfigOfferResult;
use crate::PatchChain;
use crate::TemplateProblem;
use crate::ValuePatch;
use crate::protos::control;
use crate::protos::template::ServiceTemplate;
use crate::stored_value::StoredValue;
use crate::template_check::check_template;

/// Prefix of the keys of service templates; the name of the service follows.
const SERVICE_PREFIX: &str = "services/";

/// Copy of the configuration in one process: for each key, the valid value with the highest
/// revision.
///
/// The values in force depend only on the set of values offered, not on their order or source, and
/// the revision in force of a key never decreases. The template of a service has the key
/// `services/NAME`; values under other keys are sent to peers but not parsed. An empty value
/// removes a document.
///
/// A peer that has an earlier value receives patches to it instead of the whole value. The result
/// of a patch is checked against its digest before it is offered to the store.
#[derive(Debug, Default)]
pub struct ConfigStore {
    documents: BTreeMap<Box<str>, Document>,
    revision: u64,
    highest_known_revision: u64,
    digest: u64,
    /// Keys whose last patch did not result in the expected digest. The whole value is requested.
    needs_whole_value: BTreeSet<Box<str>>,
}

#[derive(Debug, Default)]
struct Document {
    in_force: Option<InForce>,
    /// The invalid value with the highest revision, if that is higher than the revision in force.
    refused: Option<Refused>,
    /// Patches that lead to the value in force.
    chain: PatchChain,
}

#[derive(Debug)]
struct InForce {
    stored: StoredValue,
    template: Option<Arc<ServiceTemplate>>,
}

#[derive(Debug)]
struct Refused {
    stored: StoredValue,
    problems: Vec<TemplateProblem>,
    /// The patch from the value that was in force to the refused one.
    chain: PatchChain,
}

/// A value that a peer does not have.
struct MissingValue<'a> {
    key: &'a str,
    stored: &'a StoredValue,
    /// Revision that the peer has and the steps from there, if they are shorter than the value.
    patch: Option<(u64, Vec<control::PatchStep>)>,
}

impl ConfigStore {
    /// Creates an empty copy.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a value received from the configuration service or a peer.
    pub fn offer(&mut self, offered: &control::ConfigValue) -> ConfigOfferResult {
        self.offer_with_steps(offered, None)
    }

    fn offer_with_steps(
        &mut self,
        offered: &control::ConfigValue,
        patch: Option<&control::ConfigPatch>,
    ) -> ConfigOfferResult {
        self.needs_whole_value.remove(offered.key.as_str());
        self.record_known_revision(offered.revision);
        let document = self.documents.entry(offered.key.as_str().into());
        let document = document.or_default();
        if let Some(result) = document.compare_revision(offered) {
            return result;
        }
        let previous_digest = document.digest(&offered.key);
        let result = document.apply(offered, patch);
        self.digest ^= previous_digest ^ document.digest(&offered.key);
        self.revision = self.revision.max(offered.revision);
        result
    }

    /// Applies a value that a peer sent as a patch to an earlier one.
    pub fn offer_patch(&mut self, patch: &control::ConfigPatch) -> ConfigOfferResult {
        let Some(last) = patch.steps.last() else {
            return ConfigOfferResult::Stale;
        };
        self.record_known_revision(last.revision);
        let document = self.documents.get(patch.key.as_str());
        if document.is_some_and(|document| document.is_known(last.revision)) {
            return ConfigOfferResult::Stale;
        }
        let Some(base) = document.and_then(|document| document.stored(patch.base_revision)) else {
            return ConfigOfferResult::UnknownBase;
        };
        let Some(value) = apply_patch(base, patch) else {
            self.needs_whole_value.insert(patch.key.as_str().into());
            return ConfigOfferResult::DigestMismatch;
        };
        let offered = config_value(&patch.key, last.revision, &value);
        self.offer_with_steps(&offered, Some(patch))
    }

    /// Records a revision that another process has.
    pub fn record_known_revision(&mut self, revision: u64) {
        self.highest_known_revision = self.highest_known_revision.max(revision);
    }

    /// Returns whether another process has a later revision, which should then be requested.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.highest_known_revision > self.revision
    }

    /// Returns the highest revision of any value applied, valid or not.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a digest of all keys and revisions. Equal digests mean equal copies.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the template in force for a service.
    #[must_use]
    pub fn template(&self, service: &str) -> Option<&Arc<ServiceTemplate>> {
        self.templates()
            .find(|template| template.service == service)
    }

    /// Returns the templates in force.
    pub fn templates(&self) -> impl Iterator<Item = &Arc<ServiceTemplate>> {
        let in_force = self.documents.values().filter_map(Document::in_force);
        in_force.filter_map(|in_force| in_force.template.as_ref())
    }

    /// Lists the revisions in force, for operators; removed documents are included.
    #[must_use]
    pub fn documents(&self) -> Vec<control::KeyRevision> {
        self.documents
            .iter()
            .filter_map(|(key, document)| Some((key, document.in_force.as_ref()?.stored.revision)))
            .map(|(key, revision)| key_revision(key, revision))
            .collect()
    }

    /// Lists the refused documents with every reason, for operators.
    #[must_use]
    pub fn refused_documents(&self) -> Vec<control::RefusedDocument> {
        self.documents
            .iter()
            .filter_map(|(key, document)| Some((key, document.refused.as_ref()?)))
            .map(|(key, refused)| control::RefusedDocument {
                key: key.to_string(),
                revision: refused.stored.revision,
                reason: reason_text(&refused.problems),
            })
            .collect()
    }

    /// Lists the revisions of all stored values, in force or refused, for a request to a peer.
    ///
    /// A key that is listed twice has a refused value: the lower revision is the one in force (zero
    /// for none), the higher one was refused. A key whose last patch did not result in the expected
    /// digest is left out, so that the peer sends its whole value.
    #[must_use]
    pub fn held_revisions(&self) -> Vec<control::KeyRevision> {
        self.documents
            .iter()
            .filter(|(key, _)| !self.needs_whole_value.contains(*key))
            .flat_map(|(key, document)| {
                let revisions = document.revisions();
                revisions.map(|revision| key_revision(key, revision))
            })
            .collect()
    }

    /// Returns, as whole values, those that a peer with the revisions `have` lacks.
    #[must_use]
    pub fn newer_than(&self, have: &[control::KeyRevision]) -> Vec<control::ConfigValue> {
        let missing = self.missing_values(have);
        missing.iter().map(MissingValue::whole_value).collect()
    }

    /// Returns the changes that a peer with the revisions `have` lacks, as patches where these are
    /// shorter than the whole value.
    ///
    /// Stops before the change that would exceed `max_bytes`, but returns at least one change.
    #[must_use]
    pub fn changes_since(&self, have: &[control::KeyRevision], max_bytes: usize) -> ConfigChanges {
        let mut changes = ConfigChanges::default();
        let mut bytes = 0;
        for missing in self.missing_values(have) {
            let added_bytes = missing.encoded_bytes();
            if bytes > 0 && bytes + added_bytes > max_bytes {
                changes.has_more = true;
                break;
            }
            bytes += added_bytes;
            match missing.patch() {
                Some(patch) => changes.patches.push(patch),
                None => changes.values.push(missing.whole_value()),
            }
        }
        changes
    }

    /// Returns the values that a peer with the revisions `have` lacks, in ascending order of
    /// revision.
    fn missing_values(&self, have: &[control::KeyRevision]) -> Vec<MissingValue<'_>> {
        let mut peer_revisions: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for item in have {
            peer_revisions
                .entry(&item.key)
                .or_default()
                .push(item.revision);
        }
        let none = Vec::new();
        let mut missing = Vec::new();
        for (key, document) in &self.documents {
            let revisions = peer_revisions.get(&**key).unwrap_or(&none);
            missing.extend(document.missing_values(key, revisions));
        }
        missing.sort_by_key(|value| value.stored.revision);
        missing
    }
}

impl Document {
    fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Returns the stored values, the one in force first.
    fn stored_values(&self) -> impl Iterator<Item = &StoredValue> {
        let in_force = self.in_force.iter().map(|in_force| &in_force.stored);
        in_force.chain(self.refused.iter().map(|refused| &refused.stored))
    }

    fn stored(&self, revision: u64) -> Option<&StoredValue> {
        self.stored_values()
            .find(|stored| stored.revision == revision)
    }

    fn in_force_revision(&self) -> u64 {
        self.in_force
            .as_ref()
            .map_or(0, |in_force| in_force.stored.revision)
    }

    /// Returns whether a revision is stored, or not later than the one in force.
    fn is_known(&self, revision: u64) -> bool {
        revision <= self.in_force_revision() || self.stored(revision).is_some()
    }

    /// Compares an offered value with the stored revisions. Returns the result if the value need
    /// not be parsed.
    fn compare_revision(&self, offered: &control::ConfigValue) -> Option<ConfigOfferResult> {
        if let Some(stored) = self.stored(offered.revision) {
            let is_same = stored.value == offered.value;
            return Some(if is_same {
                ConfigOfferResult::Stale
            } else {
                ConfigOfferResult::Conflict
            });
        }
        self.is_known(offered.revision)
            .then_some(ConfigOfferResult::Stale)
    }

    /// Validates a value with a higher revision than the one in force, and stores it.
    ///
    /// If the value was received as a patch, the steps of that patch are kept for other peers.
    fn apply(
        &mut self,
        offered: &control::ConfigValue,
        patch: Option<&control::ConfigPatch>,
    ) -> ConfigOfferResult {
        let revision = offered.revision;
        match parse(&offered.key, &offered.value) {
            Ok(template) => {
                self.extend_chain(offered, patch);
                self.in_force = Some(InForce {
                    stored: StoredValue::new(revision, &offered.value),
                    template: template.map(Arc::new),
                });
                self.refused
                    .take_if(|refused| refused.stored.revision < revision);
                ConfigOfferResult::InForce
            }
            Err(problems) => {
                let previous_refused = self.refused.as_ref();
                if previous_refused.is_some_and(|refused| refused.stored.revision > revision) {
                    return ConfigOfferResult::Stale;
                }
                let mut chain = PatchChain::new(self.in_force_revision());
                if let Some(step) = self.patch_step_to(offered) {
                    chain.push(self.in_force_revision(), step);
                }
                self.refused = Some(Refused {
                    stored: StoredValue::new(revision, &offered.value),
                    problems,
                    chain,
                });
                ConfigOfferResult::Refused
            }
        }
    }

    /// Adds the patch from the value in force to the one that replaces it.
    fn extend_chain(
        &mut self,
        offered: &control::ConfigValue,
        patch: Option<&control::ConfigPatch>,
    ) {
        let mut previous_revision = self.in_force_revision();
        if let Some(patch) = patch.filter(|patch| patch.base_revision == previous_revision) {
            for step in &patch.steps {
                self.chain.push(previous_revision, step.clone());
                previous_revision = step.revision;
            }
            return;
        }
        match self.patch_step_to(offered) {
            Some(step) => self.chain.push(previous_revision, step),
            None => self.chain = PatchChain::new(offered.revision),
        }
    }

    fn patch_step_to(&self, offered: &control::ConfigValue) -> Option<control::PatchStep> {
        let previous = self.in_force.as_ref()?;
        let patch = ValuePatch::between(&previous.stored.value, &offered.value);
        Some(patch.into_step(offered.revision))
    }

    /// Returns the revision in force (zero for none), followed by the refused one, if any.
    fn revisions(&self) -> impl Iterator<Item = u64> {
        let refused = self.refused.as_ref().map(|refused| refused.stored.revision);
        iter::once(self.in_force_revision()).chain(refused)
    }

    fn digest(&self, key: &str) -> u64 {
        let mut digest = 0;
        for revision in self.revisions() {
            let mut hasher = Xxh3::new();
            hasher.update(&revision.to_le_bytes());
            hasher.update(key.as_bytes());
            digest ^= hasher.digest();
        }
        digest
    }

    /// Returns the values of this document that a peer with the given revisions of it lacks.
    fn missing_values<'a>(&'a self, key: &'a str, peer_revisions: &[u64]) -> Vec<MissingValue<'a>> {
        let peer_in_force = peer_revisions.iter().min().copied().unwrap_or(0);
        let peer_latest = peer_revisions.iter().max().copied().unwrap_or(0);
        let mut missing = Vec::new();
        let mut base_revision = peer_in_force;
        if let Some(in_force) = &self.in_force
            && in_force.stored.revision > peer_in_force
        {
            let stored = &in_force.stored;
            missing.push(MissingValue::new(key, stored, &self.chain, base_revision));
            base_revision = stored.revision;
        }
        if let Some(refused) = &self.refused
            && refused.stored.revision > peer_latest
        {
            let stored = &refused.stored;
            missing.push(MissingValue::new(
                key,
                stored,
                &refused.chain,
                base_revision,
            ));
        }
        missing
    }
}

impl<'a> MissingValue<'a> {
    /// Describes a value that a peer lacks; the peer has `base_revision` of it, zero for none.
    fn new(key: &'a str, stored: &'a StoredValue, chain: &PatchChain, base_revision: u64) -> Self {
        let steps = (base_revision > 0 && chain.revision() == stored.revision)
            .then(|| chain.since(base_revision))
            .flatten()
            .filter(|steps| encoded_bytes(steps) < stored.value.len());
        Self {
            key,
            stored,
            patch: steps.map(|steps| (base_revision, steps)),
        }
    }

    fn encoded_bytes(&self) -> usize {
        let patch = self.patch.as_ref();
        patch.map_or(self.stored.value.len(), |(_, steps)| encoded_bytes(steps))
    }

    fn whole_value(&self) -> control::ConfigValue {
        config_value(self.key, self.stored.revision, &self.stored.value)
    }

    fn patch(&self) -> Option<control::ConfigPatch> {
        let (base_revision, steps) = self.patch.as_ref()?;
        Some(control::ConfigPatch {
            key: self.key.to_owned(),
            base_revision: *base_revision,
            steps: steps.clone(),
            sha256: self.stored.sha256.to_vec(),
        })
    }
}

/// Applies a patch, and returns the result only if it has the digest in the patch.
fn apply_patch(base: &StoredValue, patch: &control::ConfigPatch) -> Option<Vec<u8>> {
    let mut value = base.value.clone();
    for step in &patch.steps {
        value = ValuePatch::from_step(step).apply(&value)?;
    }
    let sha256 = Sha256::digest(&value);
    (sha256[..] == patch.sha256[..]).then_some(value)
}

fn encoded_bytes(steps: &[control::PatchStep]) -> usize {
    steps.iter().map(Message::encoded_len).sum()
}

fn parse(key: &str, value: &[u8]) -> Result<Option<ServiceTemplate>, Vec<TemplateProblem>> {
    match key.strip_prefix(SERVICE_PREFIX) {
        Some(service) if !value.is_empty() => check_template(service, value).map(Some),
        _ => Ok(None),
    }
}

fn reason_text(problems: &[TemplateProblem]) -> String {
    let reasons: Vec<_> = problems.iter().map(ToString::to_string).collect();
    reasons.join("; ")
}

fn key_revision(key: &str, revision: u64) -> control::KeyRevision {
    control::KeyRevision {
        key: key.to_owned(),
        revision,
    }
}

fn config_value(key: &str, revision: u64, value: &[u8]) -> control::ConfigValue {
    control::ConfigValue {
        key: key.to_owned(),
        revision,
        value: value.to_vec(),
    }
}
