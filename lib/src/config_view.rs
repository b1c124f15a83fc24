//! Snapshot of the configuration in force, for use by request handling.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

use crate::protos::template::OrganisationParameters;
use crate::protos::template::ServiceTemplate;

/// Template of one service with an index of its organisations by credential.
#[derive(Debug)]
pub struct ServiceView {
    template: Arc<ServiceTemplate>,
    /// Indexes of organisations in the template by the hexadecimal SHA-256 of their credentials.
    by_credential: HashMap<String, usize>,
}

impl ServiceView {
    /// Creates the view of a template.
    #[must_use]
    pub fn new(template: Arc<ServiceTemplate>) -> Self {
        let by_credential = template
            .organisations
            .iter()
            .enumerate()
            .map(|(index, organisation)| {
                let digest = organisation.credential_sha256.to_ascii_lowercase();
                (digest, index)
            })
            .collect();
        Self {
            template,
            by_credential,
        }
    }

    /// Returns the template.
    #[must_use]
    pub fn template(&self) -> &ServiceTemplate {
        &self.template
    }

    /// Returns the template, shared with the store.
    #[must_use]
    pub fn shared_template(&self) -> &Arc<ServiceTemplate> {
        &self.template
    }

    /// Returns the organisation with the credential `credential`.
    #[must_use]
    pub fn organisation(&self, credential: &str) -> Option<&OrganisationParameters> {
        let digest = hex_digest(credential.as_bytes());
        self.by_credential
            .get(&digest)
            .map(|&index| &self.template.organisations[index])
    }
}

/// Snapshot of all services in force at one revision.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// Highest revision of any applied value, valid or not.
    pub revision: u64,
    /// Digest of all stored keys and revisions.
    pub digest: u64,
    /// Services by name.
    pub services: BTreeMap<String, Arc<ServiceView>>,
}

impl ConfigView {
    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceView>> {
        self.services.get(name)
    }
}

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal digits.
#[must_use]
pub fn hex_digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}
