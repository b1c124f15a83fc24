//! One entry's view of a fleet of a given size.

use std::time::Instant;

use pomeloramp_lib::EndpointSubset;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::ListedVm;
use pomeloramp_lib::MemberReport;
use pomeloramp_lib::Membership;
use pomeloramp_lib::MembershipSettings;
use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::control_wire;

const SERVERS_PER_10_DAEMONS: usize = 33;
const ZONES: usize = 13;
const TICK_MS: u64 = 50;
const DURATION_MS: u64 = 60_000;
const MS_PER_S: u64 = 1_000;

/// The names of a fleet's processes.
pub(crate) struct Fleet {
    entries: Vec<String>,
    /// Endpoint VMs of each service.
    services: Vec<Vec<String>>,
    seed: u64,
}

/// Heartbeats of one entry.
pub(crate) struct HeartbeatTraffic {
    pub(crate) endpoints: usize,
    pub(crate) heartbeats_per_s: u64,
    /// Time to encode and decode request and reply and to update the view.
    pub(crate) view_ns_per_heartbeat: u128,
    /// Time to choose the endpoints of all services anew.
    pub(crate) subset_ms: u128,
}

impl Fleet {
    pub(crate) fn new(daemons: usize, services: usize, seed: u64) -> Self {
        let servers = daemons * SERVERS_PER_10_DAEMONS / 10;
        let mut endpoints = vec![Vec::new(); services];
        for server in 0..servers {
            endpoints[server % services].push(format!("endpoint-vm-{server:05}"));
        }
        Self {
            entries: (0..daemons).map(|n| format!("entry-vm-{n:05}")).collect(),
            services: endpoints,
            seed,
        }
    }

    pub(crate) fn servers(&self) -> usize {
        self.services.iter().map(Vec::len).sum()
    }

    /// Runs the view of one entry for a minute of its own clock; each heartbeat is answered at once.
    pub(crate) fn heartbeat_traffic(&self, services: usize, size: usize) -> HeartbeatTraffic {
        let started = Instant::now();
        let monitored = self.choose(services, size);
        let subset_ms = started.elapsed().as_millis();
        let monitored: Vec<&str> = monitored.iter().map(String::as_str).collect();
        let mut view = self.view();
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let started = Instant::now();
        let mut heartbeats = 0;
        for now_ms in (0..DURATION_MS).step_by(usize::try_from(TICK_MS).unwrap_or(1)) {
            for vm_name in view.due_heartbeats(&monitored, now_ms) {
                heartbeats += 1;
                exchange(&mut view, &vm_name, now_ms, rng.random_range(1..=u64::MAX));
            }
        }
        HeartbeatTraffic {
            endpoints: monitored.len(),
            heartbeats_per_s: heartbeats * MS_PER_S / DURATION_MS,
            view_ns_per_heartbeat: started.elapsed().as_nanos() / u128::from(heartbeats.max(1)),
            subset_ms,
        }
    }

    fn choose(&self, services: usize, size: usize) -> Vec<String> {
        let entries: Vec<&str> = self.entries.iter().map(String::as_str).collect();
        let mut chosen = Vec::new();
        for (number, endpoints) in self.services.iter().take(services).enumerate() {
            let service = format!("service-{number}");
            let endpoints: Vec<&str> = endpoints.iter().map(String::as_str).collect();
            let subset = EndpointSubset {
                service: &service,
                size,
            };
            chosen.extend(subset.choose(&self.entries[0], &entries, &endpoints));
        }
        chosen
    }

    fn view(&self) -> Membership {
        let settings = MembershipSettings::builder()
            .vm_name(self.entries[0].clone())
            .build();
        let mut view = Membership::new(settings);
        let mut vms = Vec::new();
        for (number, endpoints) in self.services.iter().enumerate() {
            for (position, vm_name) in endpoints.iter().enumerate() {
                vms.push(ListedVm {
                    vm_name: vm_name.clone(),
                    availability_zone: format!("zone-{}", position % ZONES),
                    peer_address: "10.0.0.1:7000".to_owned(),
                    service: format!("service-{number}"),
                    leaving: false,
                });
            }
        }
        view.observe_list(&vms, 0);
        view
    }
}

/// Encodes and decodes both messages of one heartbeat and lets the view take the answer.
fn exchange(view: &mut Membership, vm_name: &str, now_ms: u64, salt: u64) {
    let request = control_wire::heartbeat_request().encode_to_vec();
    let request = pomeloramp_lib::protos::control::HeartbeatRequest::decode(&request[..]);
    let revision = request.map_or(0, |request| request.config_revision);
    let mut reply = control_wire::heartbeat_reply(salt % 64);
    vm_name.clone_into(&mut reply.vm_name);
    let reply = reply.encode_to_vec();
    let Ok(reply) = pomeloramp_lib::protos::control::HeartbeatReply::decode(&reply[..]) else {
        return;
    };
    let word = MemberReport {
        vm_name: reply.vm_name,
        incarnation: Incarnation(reply.incarnation),
        clock_ms: reply.clock_ms,
        leaving: reply.leaving,
        endpoint_up: reply.endpoint_up,
        config_revision: reply.config_revision.max(revision),
    };
    view.observe_report(&word, now_ms, now_ms);
}
