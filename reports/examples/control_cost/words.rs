//! What the words beside answers cost an entry, and what they spare.

use pomeloramp_lib::HeartbeatTiming;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::ListedVm;
use pomeloramp_lib::Member;
use pomeloramp_lib::MemberReport;
use pomeloramp_lib::Membership;
use pomeloramp_lib::MembershipSettings;
use pomeloramp_lib::protos::control::AgentReport;
use pomeloramp_lib::protos::control::FinalFrame;
use pomeloramp_reports::heartbeat_reply;
use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TICK_MS: u64 = 50;
const DURATION_MS: u64 = 600_000;
const MS_PER_S: u64 = 1_000;
const HEARTBEAT_BYTES: u64 = 226;
const HEARTBEAT_BYTES_PER_S: u64 = 3_000;
const SHIPPED_PACE: HeartbeatTiming = HeartbeatTiming {
    interval_ms: 500,
    suspect_after_ms: 1_500,
};
const NEWS: u64 = 1;

/// What one entry hears of its endpoints.
struct Hearing {
    heartbeats: u64,
    words: u64,
    mean_age_ms: u64,
    oldest_age_ms: u64,
}

/// Prints bytes and ages at several numbers of endpoints and answers.
pub(crate) fn print_costs(seed: u64) {
    let word_bytes = word_bytes();
    println!("word beside an answer: {word_bytes} bytes");
    println!(
        "endpoints  answers_per_s  words  heartbeats_per_s  bytes_per_s  mean_age_ms  oldest_age_ms"
    );
    for endpoints in [19, 32, 176] {
        for answers_per_s in [0, 5, 20, 54] {
            for are_words_sent in [false, true] {
                let hearing = hear(endpoints, answers_per_s, are_words_sent, seed);
                let bytes = hearing.heartbeats * HEARTBEAT_BYTES + hearing.words * word_bytes;
                println!(
                    "{endpoints:9}  {answers_per_s:13}  {are_words_sent:5}  {:16.1}  {:11}  {:11}  {:13}",
                    per_s(hearing.heartbeats),
                    bytes * MS_PER_S / DURATION_MS,
                    hearing.mean_age_ms,
                    hearing.oldest_age_ms,
                );
            }
        }
    }
}

/// Runs the view of one entry, whose answers end at endpoints drawn at random.
fn hear(endpoints: usize, answers_per_s: u64, are_words_sent: bool, seed: u64) -> Hearing {
    let names: Vec<String> = (0..endpoints).map(|n| format!("endpoint-vm-{n}")).collect();
    let monitored: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut view = view(&names);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut hearing = Hearing {
        heartbeats: 0,
        words: 0,
        mean_age_ms: 0,
        oldest_age_ms: 0,
    };
    let mut ages_ms = 0;
    let mut samples = 0;
    for now_ms in 0..DURATION_MS {
        let is_answer = rng.random_range(0..MS_PER_S) < answers_per_s;
        let vm_name = &names[rng.random_range(0..endpoints)];
        if is_answer && are_words_sent {
            hearing.words += 1;
            view.observe_report(&word(vm_name, now_ms), now_ms, now_ms);
        }
        if !now_ms.is_multiple_of(TICK_MS) {
            continue;
        }
        for vm_name in view.due_heartbeats(&monitored, now_ms) {
            hearing.heartbeats += 1;
            view.observe_report(&word(&vm_name, now_ms), now_ms, now_ms);
            view.observe_acknowledged_digest(&vm_name, NEWS);
        }
        let heard = view.members().filter(|member| member.report().is_some());
        for age_ms in heard
            .map(Member::latest_report_ms)
            .map(|latest_report_ms| now_ms - latest_report_ms)
        {
            ages_ms += age_ms;
            samples += 1;
            hearing.oldest_age_ms = hearing.oldest_age_ms.max(age_ms);
        }
    }
    hearing.mean_age_ms = ages_ms / samples;
    hearing
}

fn view(names: &[String]) -> Membership {
    let settings = MembershipSettings::builder()
        .vm_name("entry-vm-0".to_owned())
        .build();
    let mut view = Membership::new(settings);
    view.set_heartbeat_timing(SHIPPED_PACE.within_byte_rate(names.len(), HEARTBEAT_BYTES_PER_S));
    view.set_update_digest(NEWS);
    let vms: Vec<ListedVm> = names
        .iter()
        .map(|vm_name| ListedVm {
            vm_name: vm_name.clone(),
            availability_zone: "heredia".to_owned(),
            peer_address: "10.0.0.1:7000".to_owned(),
            service: "quote-draft".to_owned(),
            leaving: false,
        })
        .collect();
    view.observe_list(&vms, 0);
    view
}

fn word(vm_name: &str, now_ms: u64) -> MemberReport {
    MemberReport {
        vm_name: vm_name.to_owned(),
        incarnation: Incarnation(1),
        clock_ms: now_ms,
        leaving: false,
        endpoint_up: true,
        config_revision: 1,
    }
}

fn word_bytes() -> u64 {
    let reply = heartbeat_reply(3);
    let frame = FinalFrame {
        word: Some(AgentReport {
            incarnation: reply.incarnation,
            clock_ms: reply.clock_ms,
            leaving: reply.leaving,
            endpoint_up: reply.endpoint_up,
            config_revision: reply.config_revision,
            load: reply.load,
        }),
        ..FinalFrame::default()
    };
    frame.encoded_len() as u64
}

#[expect(clippy::cast_precision_loss)]
fn per_s(count: u64) -> f64 {
    (count * MS_PER_S) as f64 / DURATION_MS as f64
}
