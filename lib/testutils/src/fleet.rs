//! Fleet of processes on loopback for tests: the platform, endpoints with agents, and entries.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::fleet_text::DEFAULT_CONTROL;
use crate::fleet_text::DEFAULT_ENDPOINT;
use crate::fleet_text::DEFAULT_ENTRY;
use crate::fleet_text::lines;
use crate::fleet_text::push_lines;
use crate::fleet_text::template;
use crate::http;
use crate::process::TestProcess;
use crate::relay::Relay;

const DAEMON: &str = "pomelorampd";
const STANDIN: &str = "pomeloramp-standin";
const ANY_PORT: &str = "127.0.0.1:0";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Shipped default of `entry.endpoints_per_service`.
const ENDPOINTS_PER_SERVICE: usize = 16;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ZONES: [&str; 3] = ["cartago", "heredia", "alajuela"];

/// Service with streamed completions.
pub const DRAFT_SERVICE: &str = "quote-draft";
/// Service whose calls may run at most once.
pub const COMMIT_SERVICE: &str = "order-commit";
/// Organisations of the fleet; an organisation's credential is its name followed by `-secret`.
pub const ORGANISATIONS: [&str; 2] = ["estimating-desk", "shop-floor"];

/// One endpoint with its agent.
#[derive(Debug)]
pub struct EndpointVm {
    /// Name of the VM.
    pub vm_name: String,
    /// Service of the endpoint.
    pub service: String,
    /// Address of the endpoint.
    pub endpoint_address: String,
    /// Address of the agent.
    pub peer_address: String,
    /// The endpoint's process.
    pub endpoint: TestProcess,
    /// The agent's process.
    pub agent: TestProcess,
    /// Relay through which other processes reach the agent, if the plan has one.
    pub peer_relay: Option<Relay>,
    /// Relay through which the agent reaches the endpoint, if the plan has one.
    pub endpoint_relay: Option<Relay>,
    settings_path: String,
}

/// One entry.
#[derive(Debug)]
pub struct EntryVm {
    /// Name of the VM.
    pub vm_name: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for other pomeloramp processes.
    pub peer_address: String,
    /// The entry's process.
    pub daemon: TestProcess,
    /// Relay through which other entries reach this one, if the plan has one.
    pub peer_relay: Option<Relay>,
}

/// Entry whose process has been started and may not serve yet.
#[derive(Debug)]
pub struct StartingEntry {
    vm_name: String,
    daemon: TestProcess,
}

/// Sizes and settings of a fleet.
#[derive(Debug, Clone, bon::Builder)]
pub struct FleetPlan {
    /// Number of entries.
    #[builder(default = 3)]
    pub entries: usize,
    /// Number of availability zones, up to three.
    #[builder(default = ZONES.len())]
    pub zones: usize,
    /// Number of model engines, the endpoints of [`DRAFT_SERVICE`].
    #[builder(default = 2)]
    pub engines: usize,
    /// Number of plain endpoints, those of [`COMMIT_SERVICE`].
    #[builder(default = 1)]
    pub plain_endpoints: usize,
    /// Command-line flags of each model engine.
    #[builder(default)]
    pub engine_flags: Vec<String>,
    /// Command-line flags of each plain endpoint.
    #[builder(default)]
    pub plain_flags: Vec<String>,
    /// YAML lines under `control:` in the settings of every daemon.
    #[builder(default = lines(&DEFAULT_CONTROL))]
    pub control_settings: Vec<String>,
    /// YAML lines under `endpoint:` in the settings of every agent.
    #[builder(default = lines(&DEFAULT_ENDPOINT))]
    pub endpoint_settings: Vec<String>,
    /// YAML lines under `entry:` in the settings of every entry.
    #[builder(default = lines(&DEFAULT_ENTRY))]
    pub entry_settings: Vec<String>,
    /// Deadline of the requests to [`DRAFT_SERVICE`], in milliseconds.
    #[builder(default = 10_000)]
    pub draft_deadline_ms: u64,
    /// Puts a relay in front of each agent and entry, and lists its address in the VM list.
    #[builder(default)]
    pub relay_peers: bool,
    /// Puts a relay between each agent and its endpoint.
    #[builder(default)]
    pub relay_endpoints: bool,
    /// Puts a relay between the daemons and the platform.
    #[builder(default)]
    pub relay_platform: bool,
}

/// Running fleet; its processes are killed when the value is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The platform's process.
    pub platform: TestProcess,
    /// Address of the platform.
    pub platform_address: String,
    /// Endpoints with their agents.
    pub endpoints: Vec<EndpointVm>,
    /// Entries.
    pub entries: Vec<EntryVm>,
    /// Relay through which the daemons reach the platform, if the plan has one.
    pub platform_relay: Option<Relay>,
    plan: FleetPlan,
    directory: TempDir,
    leaving: Vec<String>,
    hidden: Vec<String>,
    vm_count: usize,
}

impl Fleet {
    /// Starts a fleet, and waits until each entry can use the endpoints of both services.
    ///
    /// # Panics
    ///
    /// Panics when a process does not start.
    #[must_use]
    pub fn start(plan: FleetPlan) -> Self {
        let platform = TestProcess::start(STANDIN, &["platform", "--listen", ANY_PORT]);
        let platform_address = platform.wait_for_output("listening");
        let platform_relay = plan.relay_platform.then(|| Relay::start(&platform_address));
        let draft_template = template(DRAFT_SERVICE, "model", true)
            .replace("10000", &plan.draft_deadline_ms.to_string());
        let mut fleet = Self {
            platform,
            platform_address,
            platform_relay,
            endpoints: Vec::new(),
            entries: Vec::new(),
            plan,
            directory: tempfile::tempdir().expect("a temporary directory"),
            leaving: Vec::new(),
            hidden: Vec::new(),
            vm_count: 0,
        };
        fleet.publish_template(DRAFT_SERVICE, &draft_template);
        fleet.publish_template(COMMIT_SERVICE, &template(COMMIT_SERVICE, "plain", false));
        for _ in 0..fleet.plan.engines {
            fleet.add_endpoint(DRAFT_SERVICE);
        }
        for _ in 0..fleet.plan.plain_endpoints {
            fleet.add_endpoint(COMMIT_SERVICE);
        }
        for _ in 0..fleet.plan.entries {
            fleet.add_entry();
        }
        fleet.publish_vms();
        fleet.wait_until_ready();
        fleet
    }

    /// Publishes the template of a service.
    pub fn publish_template(&self, service: &str, text: &str) {
        let url = format!(
            "http://{}/admin/config/services/{service}",
            self.platform_address
        );
        http::put(&url, text);
    }

    /// Sets the faults that the platform simulates.
    pub fn set_platform_faults(&self, faults: &Value) {
        let url = format!("http://{}/admin/faults", self.platform_address);
        http::put(&url, &faults.to_string());
    }

    /// Starts an endpoint with its agent and returns its index. It gets no requests before
    /// [`Self::publish_vms`].
    pub fn add_endpoint(&mut self, service: &str) -> usize {
        let vm_name = self.next_vm_name("endpoint");
        let (program, flags) = if service == DRAFT_SERVICE {
            ("engine", self.plan.engine_flags.clone())
        } else {
            ("plain", self.plan.plain_flags.clone())
        };
        let endpoint = start_standin(program, ANY_PORT, &flags);
        let endpoint_address = endpoint.wait_for_output("listening");
        let endpoint_relay = start_relay(self.plan.relay_endpoints, &endpoint_address);
        let target_address = relayed_address(endpoint_relay.as_ref(), &endpoint_address);
        let settings = self.agent_settings(&vm_name, service, &target_address, ANY_PORT);
        let settings_path = self.write_settings(&vm_name, &settings);
        let agent = TestProcess::start(DAEMON, &["--settings", &settings_path]);
        let peer_address = agent.wait_for_output("peers");
        self.endpoints.push(EndpointVm {
            vm_name,
            service: service.to_owned(),
            endpoint_address,
            peer_relay: start_relay(self.plan.relay_peers, &peer_address),
            peer_address,
            endpoint,
            agent,
            endpoint_relay,
            settings_path,
        });
        self.endpoints.len() - 1
    }

    /// Starts an entry, waits until it serves, and returns its index. Other processes discover it
    /// after [`Self::publish_vms`].
    pub fn add_entry(&mut self) -> usize {
        let starting = self.spawn_entry();
        self.wait_for_entry(starting)
    }

    /// Starts the process of an entry without waiting until it serves.
    pub fn spawn_entry(&mut self) -> StartingEntry {
        let vm_name = self.next_vm_name("entry");
        let zone = ZONES[self.entries.len() % self.plan.zones];
        let mut settings = self.common_settings("entry", &vm_name, zone, ANY_PORT);
        settings.push_str("entry:\n  caller_address: \"127.0.0.1:0\"\n");
        push_lines(&mut settings, &self.plan.entry_settings);
        let path = self.write_settings(&vm_name, &settings);
        let daemon = TestProcess::start(DAEMON, &["--settings", &path]);
        StartingEntry { vm_name, daemon }
    }

    /// Waits until a starting entry serves, adds it to the fleet and returns its index.
    pub fn wait_for_entry(&mut self, starting: StartingEntry) -> usize {
        let peer_address = starting.daemon.wait_for_output("peers");
        let caller_address = starting.daemon.wait_for_output("callers");
        self.entries.push(EntryVm {
            vm_name: starting.vm_name,
            caller_address,
            peer_relay: start_relay(self.plan.relay_peers, &peer_address),
            peer_address,
            daemon: starting.daemon,
        });
        self.entries.len() - 1
    }

    /// Kills an agent and starts a new process at the same address.
    ///
    /// # Panics
    ///
    /// Panics when the agent does not start.
    pub fn restart_agent(&mut self, index: usize) {
        self.endpoints[index].agent.kill();
        let endpoint = &self.endpoints[index];
        let target_address =
            relayed_address(endpoint.endpoint_relay.as_ref(), &endpoint.endpoint_address);
        let settings = self.agent_settings(
            &endpoint.vm_name,
            &endpoint.service,
            &target_address,
            &endpoint.peer_address,
        );
        std::fs::write(&endpoint.settings_path, settings).expect("settings are written");
        let agent = TestProcess::start(DAEMON, &["--settings", &endpoint.settings_path]);
        let _ = agent.wait_for_output("peers");
        self.endpoints[index].agent = agent;
    }

    /// Kills an endpoint's process and starts a new one at the same address.
    pub fn restart_endpoint_process(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.endpoint.kill();
        let (program, flags) = if endpoint.service == DRAFT_SERVICE {
            ("engine", &self.plan.engine_flags)
        } else {
            ("plain", &self.plan.plain_flags)
        };
        endpoint.endpoint = start_standin(program, &endpoint.endpoint_address, flags);
        let _ = endpoint.endpoint.wait_for_output("listening");
    }

    /// Marks a VM as leaving in the platform's VM list.
    pub fn mark_leaving(&mut self, vm_name: &str) {
        self.leaving.push(vm_name.to_owned());
        self.publish_vms();
    }

    /// Removes a VM from the platform's VM list.
    pub fn remove_from_vm_list(&mut self, vm_name: &str) {
        self.hidden.push(vm_name.to_owned());
        self.publish_vms();
    }

    /// Publishes the VM list at the platform.
    pub fn publish_vms(&self) {
        let mut vms = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            vms.push(self.vm_record(
                &entry.vm_name,
                "entry",
                ZONES[index % self.plan.zones],
                "",
                &entry.caller_address,
                &relayed_address(entry.peer_relay.as_ref(), &entry.peer_address),
            ));
        }
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            vms.push(self.vm_record(
                &endpoint.vm_name,
                "endpoint",
                ZONES[index % self.plan.zones],
                &endpoint.service,
                "",
                &relayed_address(endpoint.peer_relay.as_ref(), &endpoint.peer_address),
            ));
        }
        vms.retain(|vm| {
            let name = vm["vm_name"].as_str().unwrap_or_default();
            !self.hidden.iter().any(|hidden| hidden == name)
        });
        let url = format!("http://{}/admin/vms", self.platform_address);
        http::put(&url, &json!({ "vms": vms }).to_string());
    }

    /// Waits until `check` returns true.
    ///
    /// # Panics
    ///
    /// Panics, with the description `what`, when `check` does not return true within 20 s.
    pub fn wait_for(what: &str, mut check: impl FnMut() -> bool) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !check() {
            assert!(
                Instant::now() < deadline,
                "{what}: not within {READY_TIMEOUT:?}"
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the number of executions by idempotency key, summed over the reachable plain
    /// endpoints.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for endpoint in self
            .endpoints
            .iter()
            .filter(|vm| vm.service == COMMIT_SERVICE)
        {
            let url = format!("http://{}/admin/executions", endpoint.endpoint_address);
            let Some(answer) = http::try_get(&url) else {
                continue;
            };
            let by_key = answer["by_key"].as_object().cloned().unwrap_or_default();
            for (key, count) in by_key {
                *counts.entry(key).or_default() += count.as_u64().unwrap_or(0);
            }
        }
        counts
    }

    fn wait_until_ready(&self) {
        for entry in &self.entries {
            for service in [DRAFT_SERVICE, COMMIT_SERVICE] {
                let expected = self
                    .endpoints
                    .iter()
                    .filter(|vm| vm.service == service)
                    .count()
                    .min(ENDPOINTS_PER_SERVICE);
                let url = format!(
                    "http://{}/v1/endpoints?service={service}",
                    entry.caller_address
                );
                Self::wait_for("entry knows its endpoints", || {
                    let answer = http::try_get(&url).unwrap_or_default();
                    let usable = answer["usable"].as_u64().unwrap_or(0);
                    usable >= expected as u64 && answer["configured"] == true
                });
            }
        }
    }

    fn vm_record(
        &self,
        name: &str,
        role: &str,
        zone: &str,
        service: &str,
        caller_address: &str,
        peer_address: &str,
    ) -> Value {
        let leaving = self.leaving.iter().any(|leaving| leaving == name);
        json!({
            "vm_name": name,
            "region": "cr-central",
            "availability_zone": zone,
            "role": role,
            "caller_address": caller_address,
            "peer_address": peer_address,
            "service": service,
            "state": if leaving { "leaving" } else { "live" },
        })
    }

    fn agent_settings(
        &self,
        vm_name: &str,
        service: &str,
        endpoint_address: &str,
        peer_address: &str,
    ) -> String {
        let zone = ZONES[self.endpoints.len() % self.plan.zones];
        let mut settings = self.common_settings("endpoint", vm_name, zone, peer_address);
        settings.push_str("endpoint:\n");
        let lines = [
            format!("service: \"{service}\""),
            format!("endpoint_address: \"{endpoint_address}\""),
        ];
        push_lines(&mut settings, &lines);
        push_lines(&mut settings, &self.plan.endpoint_settings);
        settings
    }

    fn common_settings(&self, role: &str, vm_name: &str, zone: &str, peer_address: &str) -> String {
        let platform_address =
            relayed_address(self.platform_relay.as_ref(), &self.platform_address);
        let mut settings = format!(
            "role: {role}\nvm_name: {vm_name}\nregion: cr-central\navailability_zone: {zone}\n\
             peer_address: \"{peer_address}\"\nplatform_address: \"{platform_address}\"\n\
             peer_key: local-fleet-of-tests\n",
        );
        if !self.plan.control_settings.is_empty() {
            settings.push_str("control:\n");
            push_lines(&mut settings, &self.plan.control_settings);
        }
        settings
    }

    fn write_settings(&self, vm_name: &str, settings: &str) -> String {
        let path = self.directory.path().join(format!("{vm_name}.yaml"));
        std::fs::write(&path, settings).expect("settings are written");
        path.to_string_lossy().into_owned()
    }

    fn next_vm_name(&mut self, role: &str) -> String {
        self.vm_count += 1;
        format!("{role}-{}", self.vm_count)
    }
}

fn start_standin(program: &str, address: &str, flags: &[String]) -> TestProcess {
    let mut arguments = vec![program, "--listen", address];
    arguments.extend(flags.iter().map(String::as_str));
    TestProcess::start(STANDIN, &arguments)
}

fn start_relay(is_enabled: bool, target: &str) -> Option<Relay> {
    is_enabled.then(|| Relay::start(target))
}

/// Returns the address of the relay in front of a process, or `address` if there is none.
fn relayed_address(relay: Option<&Relay>, address: &str) -> String {
    relay.map_or_else(|| address.to_owned(), Relay::address)
}
