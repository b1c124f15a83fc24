//! What a changed template costs.

use std::hint::black_box;
use std::time::Instant;

use pomeloramp_lib::protos::template::OrganisationParameters;
use pomeloramp_lib::protos::template::ServiceTemplate;
use prost::Message;

pub(crate) const ORGANISATIONS: [usize; 3] = [10, 400, 3_800];
const VMS: [usize; 3] = [43, 650, 1_690];
const PARSES: u32 = 5;

/// Prints size and parse time of one template, and the size of one organisation in it.
pub(crate) fn print_costs() {
    println!("organisations  yaml_bytes  protobuf_bytes  parse_yaml_us  decode_protobuf_us");
    for count in ORGANISATIONS {
        let template = template(count);
        let yaml = serde_norway::to_string(&template).expect("a plain document");
        let protobuf = template.encode_to_vec();
        let started = Instant::now();
        for _ in 0..PARSES {
            black_box(serde_norway::from_str::<ServiceTemplate>(&yaml).expect("its own output"));
        }
        let parse_us = started.elapsed().as_micros() / u128::from(PARSES);
        let started = Instant::now();
        for _ in 0..PARSES {
            black_box(ServiceTemplate::decode(&protobuf[..]).expect("its own output"));
        }
        let decode_us = started.elapsed().as_micros() / u128::from(PARSES);
        println!(
            "{count:13}  {:10}  {:14}  {parse_us:13}  {decode_us:18}",
            yaml.len(),
            protobuf.len()
        );
    }
    println!(
        "one organisation's parameters: {} protobuf bytes",
        organisation(17).encoded_len()
    );
}

/// Prints the size of the platform's VM list as the entry reads it.
pub(crate) fn print_vm_list() {
    println!("VMs  json_bytes");
    for count in VMS {
        let vms: Vec<_> = (0..count).map(vm_record).collect();
        let list = serde_json::json!({ "vms": vms });
        println!("{count:5}  {}", list.to_string().len());
    }
}

fn vm_record(number: usize) -> serde_json::Value {
    serde_json::json!({
        "vm_name": format!("endpoint-vm-{number:05}"),
        "role": "endpoint",
        "service": "quote-draft",
        "region": "cr-central",
        "availability_zone": "heredia",
        "peer_address": "10.0.100.100:7000",
        "caller_address": "",
        "state": "live",
    })
}

pub(crate) fn template(count: usize) -> ServiceTemplate {
    ServiceTemplate {
        service: "quote-draft".to_owned(),
        kind: "model".to_owned(),
        repeatable: true,
        deadline_ms: 30_000,
        rebalance: None,
        organisations: (0..count).map(organisation).collect(),
    }
}

fn organisation(number: usize) -> OrganisationParameters {
    OrganisationParameters {
        organisation: format!("organisation-{number:05}"),
        credential_sha256: format!("{number:064x}"),
        max_in_flight: 64,
        urgency: 5,
        share_weight: 3,
        idle_weight: 1,
    }
}
