//! Measures what control alone costs the processes of idle fleets of three sizes.
//!
//! Build with `--release`. Uses the shipped intervals.

use std::thread;
use std::time::Duration;

use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::process_cost::cpu_time_s;
use pomeloramp_testutils::process_cost::resident_bytes;

const SETTLING: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(20);
const SIZES: [FleetSize; 3] = [
    FleetSize {
        entries: 3,
        endpoints: 4,
    },
    FleetSize {
        entries: 8,
        endpoints: 19,
    },
    FleetSize {
        entries: 16,
        endpoints: 48,
    },
];

struct FleetSize {
    entries: usize,
    endpoints: usize,
}

/// Processes of one role.
struct RoleCost {
    name: &'static str,
    process_ids: Vec<u32>,
}

fn main() {
    for size in SIZES {
        let plan = FleetPlan::builder()
            .entries(size.entries)
            .engines(size.endpoints - 3)
            .plain_endpoints(3)
            .control_settings(Vec::new())
            .entry_settings(Vec::new())
            .endpoint_settings(Vec::new())
            .build();
        let fleet = Fleet::start(plan);
        thread::sleep(SETTLING);
        println!("{} entries, {} endpoints", size.entries, size.endpoints);
        let entries = fleet.entries.iter().map(|entry| entry.daemon.id());
        let agents = fleet.endpoints.iter().map(|endpoint| endpoint.agent.id());
        let roles = [
            RoleCost {
                name: "entry",
                process_ids: entries.collect(),
            },
            RoleCost {
                name: "agent",
                process_ids: agents.collect(),
            },
        ];
        let before_s: Vec<f64> = roles.iter().map(RoleCost::cpu_time_s).collect();
        thread::sleep(MEASURED);
        for (role, before_s) in roles.iter().zip(before_s) {
            role.print(role.cpu_time_s() - before_s);
        }
    }
}

impl RoleCost {
    fn cpu_time_s(&self) -> f64 {
        self.process_ids.iter().copied().map(cpu_time_s).sum()
    }

    fn print(&self, spent_s: f64) {
        let count = u32::try_from(self.process_ids.len()).unwrap_or(u32::MAX);
        let core_percent = spent_s * 100.0 / MEASURED.as_secs_f64() / f64::from(count);
        let resident: u64 = self.process_ids.iter().copied().map(resident_bytes).sum();
        let resident_kb = resident / u64::from(count) / 1024;
        println!(
            "  {}: {core_percent:.2} % of a core, {resident_kb} KB resident",
            self.name
        );
    }
}
