//! The endpoints of one service, and which of them take calls.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::DispatchQuery;
use crate::EndpointRecord;
use crate::ObstacleCounts;
use crate::direct_endpoint::DirectEndpoint;
use crate::endpoint_preference::EndpointPreference;
use crate::permit_forecast::PermitForecast;
use crate::short_hash::short_hash;

/// The endpoints of one service.
#[derive(Debug)]
pub(crate) struct ServiceEndpoints {
    availability_zone: String,
    listed: BTreeMap<String, DirectEndpoint>,
    /// Endpoints that are not listed any more, while they want no calls or run some of this entry; they may
    /// be listed again. For some time those that have said that they leave.
    unlisted: BTreeMap<String, DirectEndpoint>,
    /// Whether any endpoint names a limit.
    has_limits: bool,
}

impl ServiceEndpoints {
    /// Creates the endpoints of a service that has none, as seen from an availability zone.
    pub(crate) fn new(availability_zone: &str) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            listed: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            has_limits: false,
        }
    }

    /// Replaces the endpoints; statistics of those that remain are kept. `running_calls` returns the number
    /// of this entry's running calls at one run of an endpoint.
    pub(crate) fn set(
        &mut self,
        records: Vec<Arc<EndpointRecord>>,
        running_calls: impl Fn(&EndpointRecord) -> u32,
        now_ms: u64,
    ) {
        let mut previous = std::mem::take(&mut self.listed);
        for record in records {
            let existing = previous.remove(&record.id).or_else(|| {
                let mut unlisted = self.unlisted.remove(&record.id)?;
                unlisted.own_calls = running_calls(&record);
                Some(unlisted)
            });
            let existing = existing.filter(|existing| existing.record.born_ms == record.born_ms);
            let is_local = record.availability_zone == self.availability_zone;
            let mut endpoint =
                existing.unwrap_or_else(|| DirectEndpoint::new(Arc::clone(&record), is_local));
            endpoint.record = record;
            self.listed.insert(endpoint.record.id.clone(), endpoint);
        }
        self.unlisted.append(&mut previous);
        self.unlisted.retain(|_, endpoint| {
            endpoint.pause.wait_ms(now_ms) > 0
                || endpoint.leaving.is_kept(now_ms)
                || running_calls(&endpoint.record) > 0
        });
        self.check_for_limits();
    }

    /// Sets the running calls of other entries, by short hash of the endpoint.
    pub(crate) fn set_peer_calls(&mut self, calls: &HashMap<u32, u32>) {
        for (id, endpoint) in &mut self.listed {
            endpoint.peer_calls = calls.get(&short_hash(id)).copied().unwrap_or(0);
        }
    }

    /// Sets the step times of slow endpoints, in percent of the usual step time, by short hash of
    /// their address; all other endpoints take the usual time.
    pub(crate) fn set_slowdowns(&mut self, slowdowns: &HashMap<u32, u32>) {
        for endpoint in self.listed.values_mut() {
            let slowdown_percent = slowdowns.get(&short_hash(&endpoint.record.address));
            endpoint.set_slowdown(slowdown_percent.copied());
        }
    }

    /// Returns the listed endpoints.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &DirectEndpoint> {
        self.listed.values()
    }

    /// Returns the listed endpoints, to change them.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut DirectEndpoint> {
        self.listed.values_mut()
    }

    /// Returns the listed endpoint with this id.
    pub(crate) fn get(&self, id: &str) -> Option<&DirectEndpoint> {
        self.listed.get(id)
    }

    /// Returns the listed endpoint with this id, to change it.
    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut DirectEndpoint> {
        self.listed.get_mut(id)
    }

    /// Returns the endpoint with this id, listed or not, if it is in the run that started at `born_ms`.
    pub(crate) fn get_run_mut(&mut self, id: &str, born_ms: u64) -> Option<&mut DirectEndpoint> {
        let endpoint = self.listed.get_mut(id);
        let endpoint = endpoint.or_else(|| self.unlisted.get_mut(id));
        endpoint.filter(|endpoint| endpoint.record.born_ms == born_ms)
    }

    /// Returns the listed endpoint whose limit has this key.
    pub(crate) fn with_limit_key_mut(&mut self, key: u32) -> Option<&mut DirectEndpoint> {
        let mut endpoints = self.listed.values_mut();
        endpoints.find(|endpoint| endpoint.limit_key == key)
    }

    /// Returns the ids of the slow endpoints; none when all endpoints are slow.
    pub(crate) fn slow(&self) -> impl Iterator<Item = String> {
        let all_slow = self.iter().all(DirectEndpoint::is_slow);
        let endpoints = self.listed.iter();
        let slow = endpoints.filter(move |(_, endpoint)| !all_slow && endpoint.is_slow());
        slow.map(|(id, _)| id.clone())
    }

    /// Returns whether an endpoint is slow.
    pub(crate) fn is_slow(&self, id: &str) -> bool {
        self.get(id).is_some_and(DirectEndpoint::is_slow)
    }

    /// Returns whether no endpoint is listed that stays.
    pub(crate) fn all_leave(&self) -> bool {
        self.iter().all(DirectEndpoint::is_leaving)
    }

    /// Returns whether any endpoint names a limit.
    pub(crate) fn has_limits(&self) -> bool {
        self.has_limits
    }

    /// Finds out whether any endpoint names a limit, after what is known of one has changed.
    pub(crate) fn check_for_limits(&mut self) {
        let mut endpoints = self.listed.values();
        self.has_limits = endpoints.any(|endpoint| endpoint.limit.calls_per_s().is_some());
    }

    /// Returns how many endpoints take no call now, and why.
    pub(crate) fn obstacles(&self, now_ms: u64) -> ObstacleCounts {
        let obstacles = self.iter().filter_map(|endpoint| endpoint.obstacle(now_ms));
        obstacles.collect()
    }

    /// Returns the endpoints that take calls; slow ones only when all are slow.
    pub(crate) fn eligible(&self, now_ms: u64) -> impl Iterator<Item = &DirectEndpoint> {
        let open = move || self.iter().filter(move |endpoint| endpoint.is_open(now_ms));
        let all_slow = open().all(DirectEndpoint::is_slow);
        open().filter(move |endpoint| all_slow || !endpoint.is_slow())
    }

    /// Returns whether an endpoint that is not in `exclude` accepts calls.
    pub(crate) fn has_alternative(&self, exclude: &[String], now_ms: u64) -> bool {
        let mut alternatives = self.with_room(exclude, now_ms);
        alternatives.any(|endpoint| !endpoint.is_avoided(now_ms))
    }

    /// Returns the endpoints outside `exclude` that have a free slot and take a call within their
    /// limits.
    fn with_room(&self, exclude: &[String], now_ms: u64) -> impl Iterator<Item = &DirectEndpoint> {
        self.eligible(now_ms).filter(move |endpoint| {
            let is_excluded = exclude.contains(&endpoint.record.id);
            !is_excluded && endpoint.obstacle(now_ms).is_none()
        })
    }

    /// Chooses the endpoint with the lowest cost. Ties go to the local availability zone; an
    /// avoided endpoint is chosen only when all are avoided.
    pub(crate) fn choose(
        &self,
        query: &DispatchQuery,
        rng: &mut SmallRng,
        now_ms: u64,
    ) -> Option<String> {
        let endpoints = self.with_room(&query.exclude, now_ms);
        let preferences = endpoints.map(|endpoint| {
            let preference = EndpointPreference {
                is_avoided: endpoint.is_avoided(now_ms),
                cost: endpoint.cost(query.is_stream),
                is_remote: !endpoint.is_local,
                tie: rng.random(),
            };
            (preference, &endpoint.record.id)
        });
        let best = preferences.min_by(|(a, _), (b, _)| a.compare(b));
        best.map(|(_, id)| id.clone())
    }

    /// Records that a call is sent to the endpoint `id`; returns its record.
    pub(crate) fn record_send(&mut self, id: &str, now_ms: u64) -> Option<Arc<EndpointRecord>> {
        if self.has_limits {
            self.count_elsewhere(id, now_ms);
        }
        let endpoint = self.listed.get_mut(id)?;
        endpoint.record_send(now_ms);
        Some(Arc::clone(&endpoint.record))
    }

    /// Counts a call that goes to the endpoint `chosen` at those that have no permit.
    fn count_elsewhere(&mut self, chosen: &str, now_ms: u64) {
        let endpoints = self.listed.iter_mut();
        for (_, endpoint) in endpoints.filter(|(id, _)| *id != chosen) {
            endpoint.limit.count_elsewhere(now_ms);
        }
    }

    /// Returns how long all endpoints that stay, outside `exclude`, want no calls of this entry; `None` if
    /// one takes calls, or there is none.
    pub(crate) fn pause_ms(&self, exclude: &[String], now_ms: u64) -> Option<u64> {
        let staying = self
            .iter()
            .filter(|endpoint| !endpoint.is_leaving() && !exclude.contains(&endpoint.record.id));
        let waits = staying.map(|endpoint| endpoint.pause.wait_ms(now_ms));
        waits.min().filter(|wait_ms| *wait_ms > 0)
    }

    /// Predicts when calls get permits if every endpoint outside `exclude` names a limit.
    pub(crate) fn permit_forecast(
        &self,
        exclude: &[String],
        now_ms: u64,
    ) -> Option<PermitForecast> {
        if !self.has_limits {
            return None;
        }
        let endpoints = self.eligible(now_ms);
        let endpoints = endpoints.filter(|endpoint| !exclude.contains(&endpoint.record.id));
        PermitForecast::of(endpoints.map(|endpoint| &endpoint.limit), now_ms)
    }
}
