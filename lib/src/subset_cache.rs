//! Remembered choices of endpoints.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::EndpointSubset;

/// Choices of endpoints of one entry, each made anew only when the names that it rests on change.
#[derive(Debug)]
pub struct SubsetCache {
    own_entry: String,
    size: usize,
    chosen: BTreeMap<String, Choice>,
    choices_made: u64,
}

#[derive(Debug)]
struct Choice {
    names_digest: u64,
    endpoints: Vec<String>,
}

impl SubsetCache {
    /// Remembers nothing yet; each service's choice has `size` endpoints.
    #[must_use]
    pub fn new(own_entry: String, size: usize) -> Self {
        Self {
            own_entry,
            size,
            chosen: BTreeMap::new(),
            choices_made: 0,
        }
    }

    /// Returns what [`EndpointSubset::choose`] chooses for the service.
    pub fn choose(&mut self, service: &str, entries: &[&str], endpoints: &[&str]) -> &[String] {
        let names_digest = digest(entries, endpoints);
        let known = self.chosen.get(service);
        if known.is_none_or(|choice| choice.names_digest != names_digest) {
            let subset = EndpointSubset {
                service,
                size: self.size,
            };
            let choice = Choice {
                names_digest,
                endpoints: subset.choose(&self.own_entry, entries, endpoints),
            };
            self.chosen.insert(service.to_owned(), choice);
            self.choices_made += 1;
        }
        &self.chosen[service].endpoints
    }

    /// Forgets the services that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.chosen.retain(|service, _| keep(service));
    }

    /// Returns how often a choice was made anew.
    #[must_use]
    pub fn choices_made(&self) -> u64 {
        self.choices_made
    }
}

/// Digests both lists in their order; an order that differs only costs another choice.
fn digest(entries: &[&str], endpoints: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    for names in [entries, endpoints] {
        hasher.update(&names.len().to_le_bytes());
        for name in names {
            hasher.update(&name.len().to_le_bytes());
            hasher.update(name.as_bytes());
        }
    }
    hasher.digest()
}
