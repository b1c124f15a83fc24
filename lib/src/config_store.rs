//! A process's copy of the configuration.

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

/// Keys of service templates begin so; the name of the service follows.
const SERVICE_PREFIX: &str = "services/";

/// A process's copy of the configuration: for each key the valid value with the highest revision.
///
/// What is in force depends only on the set of values offered, not on their order or source, and
/// the revision in force of a key never falls. The template of a service has the key
/// `services/NAME`; values under other keys are passed on but not read. An empty value removes a
/// document.
///
/// A peer that holds an earlier value gets the latest changes of it in place of the whole. The
/// bytes that a patch results in are checked by their digest before they are offered.
#[derive(Debug, Default)]
pub struct ConfigStore {
    documents: BTreeMap<Box<str>, Document>,
    revision: u64,
    heard_revision: u64,
    digest: u64,
    /// Keys whose last patch resulted in other bytes, so that the whole value is asked for.
    whole_wanted: BTreeSet<Box<str>>,
}

#[derive(Debug, Default)]
struct Document {
    in_force: Option<InForce>,
    /// The invalid value with the highest revision, if that is higher than the one in force.
    refused: Option<Refused>,
    /// Changes that led to the value in force.
    chain: PatchChain,
}

#[derive(Debug)]
struct InForce {
    held: StoredValue,
    template: Option<Arc<ServiceTemplate>>,
}

#[derive(Debug)]
struct Refused {
    held: StoredValue,
    problems: Vec<TemplateProblem>,
    /// The change from the value that was in force, which ends at the refused one.
    chain: PatchChain,
}

/// A value that a peer lacks.
struct Lacking<'a> {
    key: &'a str,
    held: &'a StoredValue,
    /// Revision that the peer holds, and the steps from there, if they are shorter than the value.
    patch: Option<(u64, Vec<control::PatchStep>)>,
}

impl ConfigStore {
    /// Makes an empty copy.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a value that the configuration service or a peer passed on.
    pub fn offer(&mut self, offered: &control::ConfigValue) -> ConfigOfferResult {
        self.offer_with_steps(offered, None)
    }

    fn offer_with_steps(
        &mut self,
        offered: &control::ConfigValue,
        patch: Option<&control::ConfigPatch>,
    ) -> ConfigOfferResult {
        self.whole_wanted.remove(offered.key.as_str());
        self.record_known_revision(offered.revision);
        let document = self.documents.entry(offered.key.as_str().into());
        let document = document.or_default();
        if let Some(offer) = document.compare(offered) {
            return offer;
        }
        let before = document.digest(&offered.key);
        let offer = document.take(offered, patch);
        self.digest ^= before ^ document.digest(&offered.key);
        self.revision = self.revision.max(offered.revision);
        offer
    }

    /// Takes the value that a peer passed on as a change of an earlier one.
    pub fn offer_patch(&mut self, patch: &control::ConfigPatch) -> ConfigOfferResult {
        let Some(last) = patch.steps.last() else {
            return ConfigOfferResult::Stale;
        };
        self.record_known_revision(last.revision);
        let document = self.documents.get(patch.key.as_str());
        if document.is_some_and(|document| document.has_seen(last.revision)) {
            return ConfigOfferResult::Stale;
        }
        let Some(base) = document.and_then(|document| document.held(patch.base_revision)) else {
            return ConfigOfferResult::UnknownBase;
        };
        let Some(value) = patched(base, patch) else {
            self.whole_wanted.insert(patch.key.as_str().into());
            return ConfigOfferResult::DigestMismatch;
        };
        let offered = config_value(&patch.key, last.revision, &value);
        self.offer_with_steps(&offered, Some(patch))
    }

    /// Notes a revision that another process has.
    pub fn record_known_revision(&mut self, revision: u64) {
        self.heard_revision = self.heard_revision.max(revision);
    }

    /// Returns whether another process has a later revision, so that it should be asked for.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.heard_revision > self.revision
    }

    /// Returns the highest revision of any value taken, valid or not.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a digest of all keys and revisions; equal digests mean equal copies.
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
            .filter_map(|(key, document)| Some((key, document.in_force.as_ref()?.held.revision)))
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
                revision: refused.held.revision,
                reason: reason_text(&refused.problems),
            })
            .collect()
    }

    /// Lists every value held, in force or refused, to ask a peer for what differs.
    ///
    /// A key that is listed twice has a refused value: the lower revision is the one in force (zero
    /// for none), the higher one was refused. A key whose last patch resulted in other bytes is left
    /// out, so that its whole value is sent.
    #[must_use]
    pub fn held_revisions(&self) -> Vec<control::KeyRevision> {
        self.documents
            .iter()
            .filter(|(key, _)| !self.whole_wanted.contains(*key))
            .flat_map(|(key, document)| {
                let revisions = document.revisions();
                revisions.map(|revision| key_revision(key, revision))
            })
            .collect()
    }

    /// Returns the values that a peer with the given list lacks, whole.
    #[must_use]
    pub fn newer_than(&self, have: &[control::KeyRevision]) -> Vec<control::ConfigValue> {
        let lacking = self.lacking(have);
        lacking.iter().map(Lacking::whole_value).collect()
    }

    /// Returns what a peer with the given list lacks, as patches where these are shorter.
    ///
    /// Changes with higher revisions are left out above `max_bytes`; at least one is returned.
    #[must_use]
    pub fn changes_since(&self, have: &[control::KeyRevision], max_bytes: usize) -> ConfigChanges {
        let mut changes = ConfigChanges::default();
        let mut bytes = 0;
        for lacking in self.lacking(have) {
            let added_bytes = lacking.bytes();
            if bytes > 0 && bytes + added_bytes > max_bytes {
                changes.has_more = true;
                break;
            }
            bytes += added_bytes;
            match lacking.patch() {
                Some(patch) => changes.patches.push(patch),
                None => changes.values.push(lacking.whole_value()),
            }
        }
        changes
    }

    /// Returns what a peer with the given list lacks, by ascending revision.
    fn lacking(&self, have: &[control::KeyRevision]) -> Vec<Lacking<'_>> {
        let mut had: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for item in have {
            had.entry(&item.key).or_default().push(item.revision);
        }
        let none = Vec::new();
        let mut lacking = Vec::new();
        for (key, document) in &self.documents {
            let had = had.get(&**key).unwrap_or(&none);
            lacking.extend(document.lacking(key, had));
        }
        lacking.sort_by_key(|lacking| lacking.held.revision);
        lacking
    }
}

impl Document {
    fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Returns the values held, the one in force first.
    fn held_values(&self) -> impl Iterator<Item = &StoredValue> {
        let in_force = self.in_force.iter().map(|in_force| &in_force.held);
        in_force.chain(self.refused.iter().map(|refused| &refused.held))
    }

    fn held(&self, revision: u64) -> Option<&StoredValue> {
        self.held_values().find(|held| held.revision == revision)
    }

    fn in_force_revision(&self) -> u64 {
        self.in_force
            .as_ref()
            .map_or(0, |in_force| in_force.held.revision)
    }

    /// Tells whether a revision is held, or older than the one in force.
    fn has_seen(&self, revision: u64) -> bool {
        revision <= self.in_force_revision() || self.held(revision).is_some()
    }

    /// Decides on an offered value by its revision alone, if that suffices.
    fn compare(&self, offered: &control::ConfigValue) -> Option<ConfigOfferResult> {
        if let Some(held) = self.held(offered.revision) {
            let same = held.value == offered.value;
            return Some(if same {
                ConfigOfferResult::Stale
            } else {
                ConfigOfferResult::Conflict
            });
        }
        self.has_seen(offered.revision)
            .then_some(ConfigOfferResult::Stale)
    }

    /// Validates a value with a higher revision than the one in force, and takes it.
    ///
    /// The steps of the patch that it came as, if any, are passed on in their turn.
    fn take(
        &mut self,
        offered: &control::ConfigValue,
        patch: Option<&control::ConfigPatch>,
    ) -> ConfigOfferResult {
        let revision = offered.revision;
        match parse(&offered.key, &offered.value) {
            Ok(template) => {
                self.extend_chain(offered, patch);
                self.in_force = Some(InForce {
                    held: StoredValue::new(revision, &offered.value),
                    template: template.map(Arc::new),
                });
                self.refused
                    .take_if(|refused| refused.held.revision < revision);
                ConfigOfferResult::InForce
            }
            Err(problems) => {
                let known = self.refused.as_ref();
                if known.is_some_and(|refused| refused.held.revision > revision) {
                    return ConfigOfferResult::Stale;
                }
                let mut chain = PatchChain::new(self.in_force_revision());
                if let Some(step) = self.step_to(offered) {
                    chain.push(self.in_force_revision(), step);
                }
                self.refused = Some(Refused {
                    held: StoredValue::new(revision, &offered.value),
                    problems,
                    chain,
                });
                ConfigOfferResult::Refused
            }
        }
    }

    /// Notes the change from the value in force to the one that replaces it.
    fn extend_chain(
        &mut self,
        offered: &control::ConfigValue,
        patch: Option<&control::ConfigPatch>,
    ) {
        let mut former_revision = self.in_force_revision();
        if let Some(patch) = patch.filter(|patch| patch.base_revision == former_revision) {
            for step in &patch.steps {
                self.chain.push(former_revision, step.clone());
                former_revision = step.revision;
            }
            return;
        }
        match self.step_to(offered) {
            Some(step) => self.chain.push(former_revision, step),
            None => self.chain = PatchChain::new(offered.revision),
        }
    }

    fn step_to(&self, offered: &control::ConfigValue) -> Option<control::PatchStep> {
        let former = self.in_force.as_ref()?;
        let patch = ValuePatch::between(&former.held.value, &offered.value);
        Some(patch.into_step(offered.revision))
    }

    /// Returns the revision in force, zero for none, and then the refused one, if any.
    fn revisions(&self) -> impl Iterator<Item = u64> {
        let refused = self.refused.as_ref().map(|refused| refused.held.revision);
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

    /// Returns what a peer lacks that listed the given revisions of this document.
    fn lacking<'a>(&'a self, key: &'a str, had: &[u64]) -> Vec<Lacking<'a>> {
        let had_in_force = had.iter().min().copied().unwrap_or(0);
        let had_latest = had.iter().max().copied().unwrap_or(0);
        let mut lacking = Vec::new();
        let mut base_revision = had_in_force;
        if let Some(in_force) = &self.in_force
            && in_force.held.revision > had_in_force
        {
            let held = &in_force.held;
            lacking.push(Lacking::new(key, held, &self.chain, base_revision));
            base_revision = held.revision;
        }
        if let Some(refused) = &self.refused
            && refused.held.revision > had_latest
        {
            let held = &refused.held;
            lacking.push(Lacking::new(key, held, &refused.chain, base_revision));
        }
        lacking
    }
}

impl<'a> Lacking<'a> {
    /// Describes a value that a peer lacks which holds `base_revision`, zero for none.
    fn new(key: &'a str, held: &'a StoredValue, chain: &PatchChain, base_revision: u64) -> Self {
        let steps = (base_revision > 0 && chain.revision() == held.revision)
            .then(|| chain.since(base_revision))
            .flatten()
            .filter(|steps| encoded_bytes(steps) < held.value.len());
        Self {
            key,
            held,
            patch: steps.map(|steps| (base_revision, steps)),
        }
    }

    fn bytes(&self) -> usize {
        let patch = self.patch.as_ref();
        patch.map_or(self.held.value.len(), |(_, steps)| encoded_bytes(steps))
    }

    fn whole_value(&self) -> control::ConfigValue {
        config_value(self.key, self.held.revision, &self.held.value)
    }

    fn patch(&self) -> Option<control::ConfigPatch> {
        let (base_revision, steps) = self.patch.as_ref()?;
        Some(control::ConfigPatch {
            key: self.key.to_owned(),
            base_revision: *base_revision,
            steps: steps.clone(),
            sha256: self.held.sha256.to_vec(),
        })
    }
}

/// Applies a patch, and returns the value only if it has the digest that the sender told.
fn patched(base: &StoredValue, patch: &control::ConfigPatch) -> Option<Vec<u8>> {
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
