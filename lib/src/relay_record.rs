//! What is recorded of one call that an entry relays, in the log and in metrics.

use std::sync::atomic::Ordering;

use crate::BelievedLimit;
use crate::ListSource;
use crate::PlatformRevision;
use crate::answer_framing::AnswerFraming;
use crate::direct_relay::DirectRelay;
use crate::direct_slot::DirectSlot;
use crate::drain_report;
use crate::event;

impl DirectRelay {
    /// Records the end of the call in metrics and log, with the reason if it has none of its own.
    pub(crate) fn record_end(&self, outcome: &str, reason: &str) {
        self.has_ended.store(true, Ordering::Relaxed);
        let elapsed = self.arrived.elapsed();
        let organisation = self.organisation.as_ref().map_or("", |o| o.name.as_str());
        let metrics = &self.state.metrics;
        metrics.record_request(organisation, outcome, elapsed);
        let rule = &self.rule;
        let lateness = self
            .times
            .lateness(rule.target_latency_ms, rule.target_gap_ms);
        event!(
            CallEnded,
            "request_id={} outcome={outcome} attempts={} elapsed_ms={} first_event_ms={} \
             longest_pause_ms={} late_by={} framing={} unfinished_bytes={}{}{}",
            self.call.request_id,
            self.tried.len(),
            elapsed.as_millis(),
            self.times.first_event_ms(),
            self.times.longest_pause_ms(),
            lateness.name(),
            self.framing.map_or("none", AnswerFraming::name),
            self.unfinished_bytes,
            reason_field(reason),
            drain_report::end_fields(&self.state, &self.in_flight, self.arrived)
        );
    }

    /// Logs that the call is sent to an endpoint.
    pub(crate) fn log_send(&self, slot: &DirectSlot, endpoint_id: &str) {
        let list = slot.list();
        let position = list.map_or_else(PlatformRevision::default, |list| list.position);
        event!(
            CallSent,
            "request_id={} service={} endpoint={endpoint_id} attempt={} waited_ms={} left_ms={} \
             endpoints_era={} endpoints_revision={} endpoints_age_ms={} endpoints_from={}{}{}",
            self.call.request_id,
            self.service,
            self.tried.len() + 1,
            self.arrived.elapsed().as_millis(),
            self.timeouts.time_left_ms(),
            position.era,
            position.revision,
            self.state.endpoints.age_ms(),
            list.map_or(&ListSource::Platform, |list| &list.source),
            slot.limit()
                .map(BelievedLimit::log_fields)
                .unwrap_or_default(),
            drain_report::send_fields(&self.state, &self.in_flight, &self.connection, &self.rule)
        );
    }

    /// Logs that a send has failed, after which the call is sent again.
    pub(crate) fn log_retry(&self, slot: &DirectSlot, reason: &str) {
        event!(
            CallRetried,
            "request_id={} endpoint={} attempts={} retries_left={:.2} reason=\"{reason}\"",
            self.call.request_id,
            slot.endpoint().map_or("", |endpoint| endpoint.id.as_str()),
            self.tried.len(),
            self.retries_left
        );
    }

    /// Logs that a send has failed, after which the call is given up.
    pub(crate) fn log_failure(&self, slot: &DirectSlot, reason: &str) {
        event!(
            CallFailed,
            "request_id={} endpoint={} attempts={} retries_left={:.2} left_ms={} reason=\"{reason}\"",
            self.call.request_id,
            slot.endpoint().map_or("", |endpoint| endpoint.id.as_str()),
            self.tried.len(),
            self.retries_left,
            self.timeouts.time_left_ms()
        );
    }
}

/// Returns the log field of a reason; nothing if there is none.
fn reason_field(reason: &str) -> String {
    if reason.is_empty() {
        return String::new();
    }
    format!(" reason=\"{}\"", reason.replace('"', "'"))
}
