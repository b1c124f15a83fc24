//! The routes, services and organisations of the configuration in force.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use bon::bon;
use bytes::Bytes;

use crate::CallerBounds;
use crate::RouteRule;
use crate::ServiceRule;

/// An organisation that is identified by the credential of its calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationRule {
    /// Name of the organisation.
    pub name: String,
    /// Urgency of its calls; absent to use that of the route.
    pub urgency: Option<u32>,
}

/// The routes, services and organisations of one revision of the configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    revision: u64,
    /// Routes by host and path prefix.
    rules: HashMap<String, HashMap<String, Arc<RouteRule>>>,
    services: HashMap<String, ServiceRule>,
    /// Organisations by credential; absent when calls need no credential.
    organisations: Option<HashMap<String, Arc<OrganisationRule>>>,
    bounds: CallerBounds,
    /// The configuration as it was published.
    document: Bytes,
}

#[bon]
impl RouteTable {
    /// Creates the table of one revision.
    #[builder]
    pub fn new(
        revision: u64,
        rules: Vec<RouteRule>,
        services: Vec<ServiceRule>,
        organisations: Option<HashMap<String, Arc<OrganisationRule>>>,
        bounds: Option<CallerBounds>,
        #[builder(default)] document: Bytes,
    ) -> Self {
        let mut by_host: HashMap<String, HashMap<String, Arc<RouteRule>>> = HashMap::new();
        for rule in rules {
            let prefixes = by_host.entry(rule.host.clone()).or_default();
            prefixes.insert(rule.prefix.clone(), Arc::new(rule));
        }
        let services = services.into_iter();
        Self {
            revision,
            rules: by_host,
            services: services.map(|rule| (rule.name.clone(), rule)).collect(),
            organisations,
            bounds: bounds.unwrap_or_default(),
            document,
        }
    }

    /// Returns the revision of the configuration.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the configuration as it was published.
    #[must_use]
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// Returns the limits on callers' requests.
    #[must_use]
    pub fn bounds(&self) -> CallerBounds {
        self.bounds
    }

    /// Returns whether calls of routes that are not public need a credential.
    #[must_use]
    pub fn needs_credential(&self) -> bool {
        self.organisations.is_some()
    }

    /// Returns the organisation with a credential.
    #[must_use]
    pub fn organisation(&self, credential: &str) -> Option<&Arc<OrganisationRule>> {
        self.organisations.as_ref()?.get(credential)
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = without_port(host).to_ascii_lowercase();
        let prefixes = self.rules.get(&host)?;
        let slashes = path.rmatch_indices('/');
        let mut matches = slashes.filter_map(|(at, _)| prefixes.get(&path[..=at]));
        matches.next()
    }

    /// Returns all routes.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.rules.values().flat_map(HashMap::values)
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Returns the names of all services that are described or that a route leads to.
    #[must_use]
    pub fn service_names(&self) -> BTreeSet<String> {
        let targets = self.rules().flat_map(|rule| &rule.targets);
        let targets = targets.map(|target| &target.service);
        targets.chain(self.services.keys()).cloned().collect()
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }
}

/// Returns a host name without the port that may follow it.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
