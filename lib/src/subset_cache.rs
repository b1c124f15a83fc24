//! Cache of endpoint subsets.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::EndpointSubset;

/// Cache of the endpoint subsets of one entry, by service. A subset is computed again only when
/// the names of the entries or endpoints change.
#[derive(Debug)]
pub struct SubsetCache {
    own_entry: String,
    size: usize,
    subsets: BTreeMap<String, CachedSubset>,
    choices_made: u64,
}

#[derive(Debug)]
struct CachedSubset {
    names_digest: u64,
    endpoints: Vec<String>,
}

impl SubsetCache {
    /// Creates an empty cache of subsets with `size` endpoints each.
    #[must_use]
    pub fn new(own_entry: String, size: usize) -> Self {
        Self {
            own_entry,
            size,
            subsets: BTreeMap::new(),
            choices_made: 0,
        }
    }

    /// Returns the result of [`EndpointSubset::choose`] for the service.
    pub fn choose(&mut self, service: &str, entries: &[&str], endpoints: &[&str]) -> &[String] {
        let names_digest = digest(entries, endpoints);
        let cached = self.subsets.get(service);
        if cached.is_none_or(|cached| cached.names_digest != names_digest) {
            let subset = EndpointSubset {
                service,
                size: self.size,
            };
            let cached = CachedSubset {
                names_digest,
                endpoints: subset.choose(&self.own_entry, entries, endpoints),
            };
            self.subsets.insert(service.to_owned(), cached);
            self.choices_made += 1;
        }
        &self.subsets[service].endpoints
    }

    /// Removes the services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.subsets.retain(|service, _| keep(service));
    }

    /// Returns how many subsets have been computed, rather than found in the cache.
    #[must_use]
    pub fn choices_made(&self) -> u64 {
        self.choices_made
    }
}

/// Returns a digest of both lists in their order. A different order only costs a cache miss.
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
