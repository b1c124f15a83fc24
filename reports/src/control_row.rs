//! Heartbeats of one entry against the size of the fleet.

use crate::control_fleet::Fleet;
use crate::control_wire::RpcCost;

/// Sizes of fleets, in entry daemons.
pub const DAEMONS: [usize; 4] = [10, 50, 150, 390];
/// Services of every fleet.
pub const SERVICES: usize = 22;
const ENDPOINTS_PER_SERVICE: usize = 8;
const SERVICES_PER_ENTRY: usize = 4;

/// Which endpoints an entry keeps in touch with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointChoice {
    /// Name that tables and plots show.
    pub name: &'static str,
    services: usize,
    per_service: usize,
}

impl EndpointChoice {
    /// Every choice.
    pub const ALL: [Self; 3] = [
        Self {
            name: "all endpoints",
            services: SERVICES,
            per_service: usize::MAX,
        },
        Self {
            name: "8 of each service",
            services: SERVICES,
            per_service: ENDPOINTS_PER_SERVICE,
        },
        Self {
            name: "8 of each of 4 services",
            services: SERVICES_PER_ENTRY,
            per_service: ENDPOINTS_PER_SERVICE,
        },
    ];
}

/// Heartbeats of one entry in one fleet.
#[derive(Debug, Clone)]
pub struct ControlRow {
    /// Entry daemons of the fleet.
    pub daemons: usize,
    /// Endpoints of the fleet.
    pub servers: usize,
    /// Which endpoints the entry keeps in touch with.
    pub choice: EndpointChoice,
    /// How many these are.
    pub endpoints: usize,
    /// Heartbeats that the entry sends.
    pub heartbeats_per_s: u64,
    /// Bytes of them in both directions, without the headers of TCP and IP.
    pub bytes_per_s: u64,
    /// Time to encode and decode both messages and to update the view, on the machine of the run.
    pub view_ns_per_heartbeat: u128,
    /// Time to choose the endpoints of all services anew, on the machine of the run.
    pub subset_ms: u128,
}

/// Returns the rows of all choices in fleets of all sizes.
#[must_use]
pub fn control_rows(seed: u64, heartbeat: &RpcCost) -> Vec<ControlRow> {
    let mut rows = Vec::new();
    for daemons in DAEMONS {
        let fleet = Fleet::new(daemons, SERVICES, seed);
        for choice in EndpointChoice::ALL {
            let traffic = fleet.heartbeat_traffic(choice.services, choice.per_service);
            let heartbeat_bytes = heartbeat.sent_bytes + heartbeat.received_bytes;
            rows.push(ControlRow {
                daemons,
                servers: fleet.servers(),
                choice,
                endpoints: traffic.endpoints,
                heartbeats_per_s: traffic.heartbeats_per_s,
                bytes_per_s: traffic.heartbeats_per_s * heartbeat_bytes,
                view_ns_per_heartbeat: traffic.view_ns_per_heartbeat,
                subset_ms: traffic.subset_ms,
            });
        }
    }
    rows
}
