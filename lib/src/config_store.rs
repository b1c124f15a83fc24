//! A process's copy of the configuration.

use std::collections::BTreeMap;
use std::iter;
use std::sync::Arc;

use pomeloramp_proc_macros::value;
use xxhash_rust::xxh3::Xxh3;

use crate::ConfigOffer;
use crate::TemplateProblem;
use crate::protos::control;
use crate::protos::template::ServiceTemplate;
use crate::template_check::check_template;

/// Keys of service templates begin so; the name of the service follows.
const SERVICE_PREFIX: &str = "services/";

/// A process's copy of the configuration: for each key the valid value with the highest revision.
///
/// What is in force depends only on the set of values offered, not on their order or source, and
/// the revision in force of a key never falls. The template of a service has the key
/// `services/NAME`; values under other keys are passed on but not read. An empty value removes a
/// document.
#[derive(Debug, Default)]
pub struct ConfigStore {
    documents: BTreeMap<Box<str>, Document>,
    revision: u64,
    heard_revision: u64,
    digest: u64,
}

#[derive(Debug, Default)]
struct Document {
    in_force: Option<InForce>,
    /// The invalid value with the highest revision, if that is higher than the one in force.
    refused: Option<Refused>,
}

#[derive(Debug)]
struct InForce {
    revision: u64,
    value: Vec<u8>,
    template: Option<Arc<ServiceTemplate>>,
}

#[value]
struct Refused {
    revision: u64,
    value: Vec<u8>,
    problems: Vec<TemplateProblem>,
}

impl ConfigStore {
    /// Makes an empty copy.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a value that the configuration service or a peer passed on.
    pub fn offer(&mut self, offered: &control::ConfigValue) -> ConfigOffer {
        self.heard(offered.revision);
        let document = self.documents.entry(offered.key.as_str().into());
        let document = document.or_default();
        if let Some(offer) = document.compare(offered) {
            return offer;
        }
        let before = document.digest(&offered.key);
        let offer = document.take(offered);
        self.digest ^= before ^ document.digest(&offered.key);
        self.revision = self.revision.max(offered.revision);
        offer
    }

    /// Notes a revision that another process has.
    pub fn heard(&mut self, revision: u64) {
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
            .filter_map(|(key, document)| Some((key, document.in_force.as_ref()?.revision)))
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
                revision: refused.revision,
                reason: reason_text(&refused.problems),
            })
            .collect()
    }

    /// Lists every value held, in force or refused, to ask a peer for what differs.
    ///
    /// A key that is listed twice has a refused value: the lower revision is the one in force (zero
    /// for none), the higher one was refused.
    #[must_use]
    pub fn have(&self) -> Vec<control::KeyRevision> {
        self.documents
            .iter()
            .flat_map(|(key, document)| {
                let revisions = document.revisions();
                revisions.map(|revision| key_revision(key, revision))
            })
            .collect()
    }

    /// Returns the values that a peer with the given list lacks.
    #[must_use]
    pub fn newer_than(&self, have: &[control::KeyRevision]) -> Vec<control::ConfigValue> {
        let mut had: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for item in have {
            had.entry(&item.key).or_default().push(item.revision);
        }
        let none = Vec::new();
        let mut newer = Vec::new();
        for (key, document) in &self.documents {
            let had = had.get(&**key).unwrap_or(&none);
            newer.extend(document.newer_than(key, had));
        }
        newer
    }
}

impl Document {
    fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Decides on an offered value by its revision alone, if that suffices.
    fn compare(&self, offered: &control::ConfigValue) -> Option<ConfigOffer> {
        let in_force = self.in_force.as_ref();
        let refused = self.refused.as_ref();
        let held = in_force.map(|held| (held.revision, &held.value));
        let held = held.into_iter();
        let held = held.chain(refused.map(|held| (held.revision, &held.value)));
        for (revision, value) in held {
            if revision == offered.revision {
                let same = *value == offered.value;
                return Some(if same {
                    ConfigOffer::Stale
                } else {
                    ConfigOffer::Conflict
                });
            }
        }
        let in_force_revision = in_force.map_or(0, |in_force| in_force.revision);
        (offered.revision <= in_force_revision).then_some(ConfigOffer::Stale)
    }

    /// Validates a value with a higher revision than the one in force, and takes it.
    fn take(&mut self, offered: &control::ConfigValue) -> ConfigOffer {
        let revision = offered.revision;
        let value = offered.value.clone();
        match parse(&offered.key, &offered.value) {
            Ok(template) => {
                self.in_force = Some(InForce {
                    revision,
                    value,
                    template: template.map(Arc::new),
                });
                self.refused.take_if(|refused| refused.revision < revision);
                ConfigOffer::InForce
            }
            Err(problems) => {
                let known = self.refused.as_ref();
                if known.is_some_and(|refused| refused.revision > revision) {
                    return ConfigOffer::Stale;
                }
                self.refused = Some(Refused {
                    revision,
                    value,
                    problems,
                });
                ConfigOffer::Refused
            }
        }
    }

    /// Returns the revision in force, zero for none, and then the refused one, if any.
    fn revisions(&self) -> impl Iterator<Item = u64> {
        let in_force = self.in_force.as_ref().map_or(0, |held| held.revision);
        let refused = self.refused.as_ref().map(|held| held.revision);
        iter::once(in_force).chain(refused)
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
    fn newer_than(&self, key: &str, had: &[u64]) -> Vec<control::ConfigValue> {
        let had_in_force = had.iter().min().copied().unwrap_or(0);
        let had_latest = had.iter().max().copied().unwrap_or(0);
        let in_force = self
            .in_force
            .iter()
            .filter(|held| held.revision > had_in_force)
            .map(|held| config_value(key, held.revision, &held.value));
        let refused = self
            .refused
            .iter()
            .filter(|held| held.revision > had_latest)
            .map(|held| config_value(key, held.revision, &held.value));
        in_force.chain(refused).collect()
    }
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
