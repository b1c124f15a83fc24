//! What a changed template costs when peers pass on the change alone.

use std::hint::black_box;
use std::time::Instant;

use pomeloramp_lib::ConfigStore;
use pomeloramp_lib::ValuePatch;
use pomeloramp_lib::protos::control::ConfigValue;
use pomeloramp_lib::protos::control::ExchangeReply;
use pomeloramp_reports::exchange_cost;
use pomeloramp_reports::exchange_reply;
use prost::Message;

use crate::templates;

const CHANGED: [usize; 2] = [1, 10];
const RUNS: u32 = 20;

/// Prints the bytes of a change and of the whole value, with the time to find and to apply it.
pub(crate) fn print_costs(services: usize) {
    println!(
        "organisations  changed  whole_bytes  patch_bytes  connection_sent  connection_received  find_us  take_us"
    );
    for organisations in templates::ORGANISATIONS {
        for changed in CHANGED {
            print_cost(services, organisations, changed);
        }
    }
}

fn print_cost(services: usize, organisations: usize, changed: usize) {
    let former = value(1, organisations, 0);
    let new = value(2, organisations, changed);
    let mut sender = ConfigStore::new();
    sender.offer(&former);
    sender.offer(&new);
    let mut receiver = ConfigStore::new();
    receiver.offer(&former);
    let news = sender.changes_since(&receiver.held_revisions(), usize::MAX);
    let started = Instant::now();
    for _ in 0..RUNS {
        black_box(ValuePatch::between(&former.value, &new.value));
    }
    let find_us = started.elapsed().as_micros() / u128::from(RUNS);
    let started = Instant::now();
    for patch in &news.patches {
        receiver.offer_patch(patch);
    }
    let take_us = started.elapsed().as_micros();
    assert_eq!(sender.digest(), receiver.digest(), "the change was taken");
    let patch_bytes: usize = news.patches.iter().map(Message::encoded_len).sum();
    let reply = ExchangeReply {
        patches: news.patches,
        newer: news.values,
        ..exchange_reply()
    };
    let cost = exchange_cost(services, &reply);
    println!(
        "{organisations:13}  {changed:7}  {:11}  {patch_bytes:11}  {:15}  {:19}  {find_us:7}  {take_us:7}",
        new.value.len(),
        cost.sent_bytes,
        cost.received_bytes,
    );
}

/// Returns a template in which some organisations, evenly spread, have another urgency.
fn value(revision: u64, organisations: usize, changed: usize) -> ConfigValue {
    let mut template = templates::template(organisations);
    let distance = organisations / changed.max(1);
    for number in 0..changed {
        template.organisations[number * distance].urgency = 7;
    }
    let yaml = serde_norway::to_string(&template).expect("a plain document");
    ConfigValue {
        key: "services/quote-draft".to_owned(),
        revision,
        value: yaml.into_bytes(),
    }
}
