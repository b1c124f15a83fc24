//! An entry's view of the fleet, and its decisions on routing and control traffic.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::EndpointFlags;
use crate::EntryRecord;
use crate::HeartbeatTiming;
use crate::Incarnation;
use crate::ListedVm;
use crate::Member;
use crate::MemberReport;
use crate::MemberState;
use crate::Membership;
use crate::MembershipSettings;
use crate::ReaderElection;
use crate::ReaderElectionSettings;
use crate::RefusalCode;
use crate::ReportEffect;
use crate::RouteChoice;
use crate::SubsetCache;
use crate::control_plan::ControlPlan;
use crate::control_plan::HeartbeatTarget;
use crate::control_plan::PeerTarget;
use crate::event;
use crate::platform_client::VmRecord;
use crate::protos::control::AgentReport;
use crate::protos::control::MemberStatus;
use crate::protos::control::PlacementHome;
use crate::route_query::RouteQuery;
use crate::routing_settings::RoutingSettings;
use crate::service_routes::RoutedSend;
use crate::service_routes::ServiceRoutes;

const NO_ENDPOINT_RETRY_MS: u64 = 1000;
const LEAVING: &str = "leaving";
const ENTRY: &str = "entry";
/// Time for which an entry that did not answer an exchange is avoided.
const PEER_AVOIDED_MS: u64 = 10_000;

/// An entry's view of the fleet.
pub(crate) struct FleetView {
    settings: RoutingSettings,
    membership: Membership,
    election: ReaderElection,
    has_list: bool,
    listed_vms: usize,
    entries: Vec<VmRecord>,
    /// Entries that did not answer an exchange, with the time until which they are avoided.
    avoided_until_ms: HashMap<String, u64>,
    services: BTreeMap<String, ServiceRoutes>,
    /// Endpoints that this entry monitors and sends requests to, by service.
    subsets: BTreeMap<String, Vec<String>>,
    subset_cache: SubsetCache,
    states: BTreeMap<String, MemberState>,
}

impl FleetView {
    /// Creates the view of a newly started entry.
    pub(crate) fn new(settings: RoutingSettings, now_ms: u64) -> Self {
        let membership = MembershipSettings::builder()
            .vm_name(settings.vm_name.clone())
            .heartbeat_interval_ms(settings.heartbeat_interval_ms)
            .suspect_after_ms(settings.suspect_after_ms)
            .build();
        let election = ReaderElectionSettings::builder()
            .vm_name(settings.vm_name.clone())
            .availability_zone(settings.availability_zone.clone())
            .readers_per_zone(settings.readers_per_zone)
            .build();
        let subset_cache =
            SubsetCache::new(settings.vm_name.clone(), settings.endpoints_per_service);
        Self {
            membership: Membership::new(membership),
            election: ReaderElection::new(election, rand::random(), now_ms),
            settings,
            has_list: false,
            listed_vms: 0,
            entries: Vec::new(),
            avoided_until_ms: HashMap::new(),
            services: BTreeMap::new(),
            subsets: BTreeMap::new(),
            subset_cache,
            states: BTreeMap::new(),
        }
    }

    /// Applies the platform's list of VMs.
    pub(crate) fn observe_list(&mut self, vms: &[VmRecord], now_ms: u64) {
        self.has_list = true;
        self.listed_vms = vms.len();
        self.election.observe_processes(vms.len());
        let listed: Vec<ListedVm> = vms.iter().map(listed_vm).collect();
        self.membership.observe_list(&listed, now_ms);
        self.entries = vms.iter().filter(|vm| vm.role == ENTRY).cloned().collect();
        self.choose_subsets(now_ms);
    }

    /// Applies an agent's report in the answer to a heartbeat or call sent at `request_sent_ms`.
    pub(crate) fn observe_report(
        &mut self,
        vm_name: &str,
        report: &AgentReport,
        request_sent_ms: u64,
        now_ms: u64,
    ) {
        let member_report = MemberReport {
            vm_name: vm_name.to_owned(),
            incarnation: Incarnation(report.incarnation),
            clock_ms: report.clock_ms,
            leaving: report.leaving,
            endpoint_up: report.endpoint_up,
            config_revision: report.config_revision,
        };
        match self
            .membership
            .observe_report(&member_report, request_sent_ms, now_ms)
        {
            ReportEffect::NewIncarnation => event!(AgentFound, "vm_name={vm_name}"),
            ReportEffect::Refreshed => {}
            ReportEffect::Ignored => return,
        }
        self.observe_endpoint(vm_name, report);
        self.refresh_state(vm_name, now_ms);
    }

    /// Records that an agent has acknowledged a heartbeat that carried the state of this digest.
    pub(crate) fn observe_acknowledged_digest(&mut self, vm_name: &str, update_digest: u64) {
        self.membership
            .observe_acknowledged_digest(vm_name, update_digest);
    }

    /// Records that a heartbeat or call did not reach an agent, or that its connection broke.
    pub(crate) fn observe_failure(&mut self, vm_name: &str, now_ms: u64) {
        self.membership.observe_failure(vm_name, now_ms);
        self.refresh_state(vm_name, now_ms);
    }

    /// Applies the report of another entry in the answer to an exchange sent at `request_sent_ms`.
    pub(crate) fn observe_peer(
        &mut self,
        report: &MemberReport,
        request_sent_ms: u64,
        now_ms: u64,
    ) {
        self.avoided_until_ms.remove(&report.vm_name);
        self.membership
            .observe_report(report, request_sent_ms, now_ms);
    }

    /// Records that an entry did not answer an exchange, and avoids it for a while.
    pub(crate) fn avoid_peer(&mut self, vm_name: &str, now_ms: u64) {
        let until_ms = now_ms.saturating_add(PEER_AVOIDED_MS);
        self.avoided_until_ms.insert(vm_name.to_owned(), until_ms);
    }

    /// Records that a reader, or this entry itself, reached the configuration service.
    pub(crate) fn observe_reader_contact(&mut self, reached_ms: u64) {
        self.election.observe_reader_contact(reached_ms);
    }

    /// Records the configuration revision in force at this entry.
    pub(crate) fn observe_revision(&mut self, revision: u64) {
        self.election.observe_revision(revision);
    }

    /// Returns whether this entry must read the configuration service itself now.
    pub(crate) fn take_due_fallback_read(&mut self, now_ms: u64) -> bool {
        self.election.take_due_fallback_read(now_ms)
    }

    /// Updates the states that change with time alone.
    pub(crate) fn refresh_states(&mut self, now_ms: u64) {
        let names: Vec<String> = self.subsets.values().flatten().cloned().collect();
        for vm_name in names {
            self.refresh_state(&vm_name, now_ms);
        }
    }

    /// Returns the next control traffic; `update_digest` is that of the state in all heartbeats.
    pub(crate) fn plan(&mut self, update_digest: u64, now_ms: u64) -> ControlPlan {
        self.membership.set_update_digest(update_digest);
        let monitored: Vec<&str> = self
            .subsets
            .values()
            .flatten()
            .map(String::as_str)
            .collect();
        let due = self.membership.due_heartbeats(&monitored, now_ms);
        let heartbeats = due
            .iter()
            .filter_map(|vm_name| self.membership.member(vm_name))
            .map(|member| HeartbeatTarget {
                vm_name: member.listed().vm_name.clone(),
                peer_address: member.listed().peer_address.clone(),
                is_listed_leaving: member.listed().leaving,
                update_digest: self.membership.update_digest(member),
            })
            .collect();
        let peers: Vec<&VmRecord> = self.live_peers(now_ms).collect();
        let zone_peers: Vec<&VmRecord> = peers
            .iter()
            .copied()
            .filter(|vm| vm.availability_zone == self.settings.availability_zone)
            .collect();
        let zone_names: Vec<&str> = zone_peers.iter().map(|vm| vm.vm_name.as_str()).collect();
        let elected = self.election.readers(&zone_names);
        let readers = zone_peers
            .iter()
            .filter(|vm| elected.contains(&vm.vm_name.as_str()))
            .map(|vm| peer_target(vm))
            .collect();
        ControlPlan {
            has_list: self.has_list,
            listed_vms: self.listed_vms,
            heartbeats,
            is_reader: elected.contains(&self.settings.vm_name.as_str()),
            readers,
            peers: peers.into_iter().map(peer_target).collect(),
        }
    }

    /// Chooses an endpoint for a request.
    pub(crate) fn choose(
        &mut self,
        query: &RouteQuery,
        now_ms: u64,
    ) -> Result<RoutedSend, RouteChoice> {
        match self.services.get_mut(&query.service) {
            Some(routes) => routes.choose(query, now_ms),
            None => Err(RouteChoice::Refuse {
                code: RefusalCode::NoEndpoint,
                retry_after_ms: NO_ENDPOINT_RETRY_MS,
            }),
        }
    }

    /// Returns the routes of a service that has endpoints.
    pub(crate) fn routes(&mut self, service: &str) -> Option<&mut ServiceRoutes> {
        self.services.get_mut(service)
    }

    /// Returns the agents that calls of a service may be bound to.
    ///
    /// Agents that a request failed to reach are left out as long as any other agent is alive.
    pub(crate) fn homes(&self, service: &str, now_ms: u64) -> Vec<PlacementHome> {
        let alive = self
            .membership
            .endpoints_in_state(service, MemberState::Alive, now_ms);
        let homes = self.homes_among(service, alive);
        if !homes.is_empty() {
            return homes;
        }
        let reported = self.membership.endpoints_reported_alive(service, now_ms);
        self.homes_among(service, reported)
    }

    fn homes_among<'a>(
        &self,
        service: &str,
        members: impl Iterator<Item = &'a Member>,
    ) -> Vec<PlacementHome> {
        let subset = self.subsets.get(service).map_or(&[][..], Vec::as_slice);
        members
            .filter(|member| subset.contains(&member.listed().vm_name))
            .filter_map(|member| {
                let report = member.report()?;
                Some(PlacementHome {
                    vm_name: member.listed().vm_name.clone(),
                    peer_address: member.listed().peer_address.clone(),
                    incarnation: report.incarnation.0,
                    stamp_ms: report.clock_ms,
                })
            })
            .collect()
    }

    /// Returns the entries on the platform's list, with whether they are leaving or suspected.
    pub(crate) fn entries(&self, now_ms: u64) -> Vec<ListedEntry> {
        self.entries
            .iter()
            .map(|record| ListedEntry {
                record: record.clone(),
                is_leaving: self.is_leaving(record, now_ms),
                is_suspected: self.is_avoided(&record.vm_name, now_ms),
            })
            .collect()
    }

    /// Returns the statuses of the members, as operators see them.
    pub(crate) fn member_statuses(&self, now_ms: u64) -> Vec<MemberStatus> {
        self.membership
            .members()
            .filter_map(|member| {
                let state = self.membership.state(&member.listed().vm_name, now_ms)?;
                let report = member.report();
                Some(MemberStatus {
                    vm_name: member.listed().vm_name.clone(),
                    service: member.listed().service.clone(),
                    state: state.as_str().to_owned(),
                    incarnation: report.map_or(0, |report| report.incarnation.0),
                    config_revision: report.map_or(0, |report| report.config_revision),
                })
            })
            .collect()
    }

    fn choose_subsets(&mut self, now_ms: u64) {
        let entries: Vec<&str> = self
            .entries
            .iter()
            .map(|entry| entry.vm_name.as_str())
            .collect();
        let mut by_service: BTreeMap<String, Vec<&ListedVm>> = BTreeMap::new();
        for member in self.membership.members() {
            let vm = member.listed();
            if !vm.service.is_empty() {
                by_service.entry(vm.service.clone()).or_default().push(vm);
            }
        }
        self.subsets.clear();
        for (service, vms) in &by_service {
            let names: Vec<&str> = vms.iter().map(|vm| vm.vm_name.as_str()).collect();
            let chosen = self.subset_cache.choose(service, &entries, &names).to_vec();
            let routes = self.services.entry(service.clone()).or_insert_with(|| {
                let settings = &self.settings;
                ServiceRoutes::new(&settings.availability_zone, settings.retry_percent, now_ms)
            });
            routes.retain(|vm_name| chosen.iter().any(|name| name == vm_name));
            routes.set_other_entries(other_entries(entries.len(), chosen.len(), names.len()));
            for vm in vms.iter().filter(|vm| chosen.contains(&vm.vm_name)) {
                routes.upsert(&vm.vm_name, &vm.availability_zone, &vm.peer_address);
            }
            self.subsets.insert(service.clone(), chosen);
        }
        self.services
            .retain(|service, _| by_service.contains_key(service));
        self.subset_cache
            .retain(|service| by_service.contains_key(service));
        let monitored = self.subsets.values().map(Vec::len).sum();
        let configured = HeartbeatTiming {
            interval_ms: self.settings.heartbeat_interval_ms,
            suspect_after_ms: self.settings.suspect_after_ms,
        };
        let timing = configured.within_byte_rate(monitored, self.settings.heartbeat_bytes_per_s);
        self.membership.set_heartbeat_timing(timing);
        let membership = &self.membership;
        self.states
            .retain(|vm_name, _| membership.member(vm_name).is_some());
        self.refresh_states(now_ms);
        for (vm_name, state) in self.states.clone() {
            self.set_route_state(&vm_name, state);
        }
    }

    fn refresh_state(&mut self, vm_name: &str, now_ms: u64) {
        let Some(state) = self.membership.state(vm_name, now_ms) else {
            return;
        };
        let former = self.states.insert(vm_name.to_owned(), state);
        if former == Some(state) {
            return;
        }
        log_state_change(vm_name, former, state);
        self.set_route_state(vm_name, state);
    }

    /// Applies the load in a report to the routes, unless a later report was received before.
    fn observe_endpoint(&mut self, vm_name: &str, report: &AgentReport) {
        let Some(member) = self.membership.member(vm_name) else {
            return;
        };
        let is_latest = member
            .report()
            .is_some_and(|latest| latest.clock_ms <= report.clock_ms);
        let Some(routes) = self.services.get_mut(&member.listed().service) else {
            return;
        };
        if is_latest && let Some(load) = &report.load {
            routes.update_load(vm_name, load, member.latest_report_ms());
        }
    }

    fn set_route_state(&mut self, vm_name: &str, state: MemberState) {
        let service = self.service_of(vm_name);
        if let Some(routes) = self.services.get_mut(&service) {
            routes.set_flags(vm_name, flags_of(state));
        }
    }

    fn service_of(&self, vm_name: &str) -> String {
        self.membership
            .member(vm_name)
            .map(|member| member.listed().service.clone())
            .unwrap_or_default()
    }

    fn live_peers(&self, now_ms: u64) -> impl Iterator<Item = &VmRecord> {
        self.entries
            .iter()
            .filter(|vm| vm.vm_name != self.settings.vm_name)
            .filter(move |vm| !self.is_leaving(vm, now_ms))
            .filter(move |vm| !self.is_avoided(&vm.vm_name, now_ms))
    }

    fn is_leaving(&self, vm: &VmRecord, now_ms: u64) -> bool {
        let state = self.membership.state(&vm.vm_name, now_ms);
        vm.state == LEAVING || state == Some(MemberState::Leaving)
    }

    fn is_avoided(&self, vm_name: &str, now_ms: u64) -> bool {
        let until_ms = self.avoided_until_ms.get(vm_name).copied().unwrap_or(0);
        until_ms > now_ms
    }
}

/// An entry on the platform's list.
#[derive(Debug, Clone)]
pub(crate) struct ListedEntry {
    pub(crate) record: VmRecord,
    pub(crate) is_leaving: bool,
    pub(crate) is_suspected: bool,
}

impl ListedEntry {
    /// Returns the fields that the selection of entry addresses needs.
    pub(crate) fn as_record(&self) -> EntryRecord<'_> {
        EntryRecord {
            vm_name: &self.record.vm_name,
            caller_address: &self.record.caller_address,
            availability_zone: &self.record.availability_zone,
            leaving: self.is_leaving,
            suspected: self.is_suspected,
        }
    }
}

fn listed_vm(record: &VmRecord) -> ListedVm {
    ListedVm {
        vm_name: record.vm_name.clone(),
        availability_zone: record.availability_zone.clone(),
        peer_address: record.peer_address.clone(),
        service: record.service.clone(),
        leaving: record.state == LEAVING,
    }
}

fn peer_target(record: &VmRecord) -> PeerTarget {
    PeerTarget {
        vm_name: record.vm_name.clone(),
        peer_address: record.peer_address.clone(),
    }
}

fn flags_of(state: MemberState) -> EndpointFlags {
    EndpointFlags {
        leaving: state == MemberState::Leaving,
        suspected: matches!(
            state,
            MemberState::Suspected | MemberState::EndpointDown | MemberState::Unheard
        ),
        quarantining: false,
    }
}

/// Returns the average number of other entries that send to the same endpoint.
fn other_entries(entries: usize, subset: usize, endpoints: usize) -> u32 {
    let sharing = entries * subset / endpoints.max(1);
    u32::try_from(sharing.saturating_sub(1)).unwrap_or(u32::MAX)
}

/// Logs those changes of an agent's state that matter to operators.
fn log_state_change(vm_name: &str, former: Option<MemberState>, state: MemberState) {
    match (former, state) {
        (_, MemberState::Suspected) => event!(AgentSuspected, "vm_name={vm_name}"),
        (_, MemberState::Leaving) => event!(AgentLeaving, "vm_name={vm_name}"),
        (Some(MemberState::Suspected), MemberState::Alive) => {
            event!(AgentRecovered, "vm_name={vm_name}");
        }
        _ => {}
    }
}
