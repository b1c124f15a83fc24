//! What one call that an entry relays shows of crashes of endpoints.

use std::time::Duration;

use tokio::time::Instant;

use crate::EndpointRun;
use crate::crashed_call::CrashedCall;
use crate::direct_relay::DirectRelay;
use crate::direct_slot::DirectSlot;
use crate::send_failure::CrashEvidence;

/// Time without an event after which a caller that leaves counts as having waited for a silent endpoint.
const MIN_SILENCE: Duration = Duration::from_millis(300);

impl DirectRelay {
    /// Records that the endpoint answered the whole call, unless it may have crashed while it did: the
    /// end of a connection alone does not tell.
    pub(crate) fn record_whole_answer(&self) {
        if self.is_framed() {
            self.state.crash_tracker.record_survival(&self.suspects);
        }
    }

    /// Reports to the crash tracker what a failed send shows of a crash.
    pub(crate) fn record_crash_evidence(&self, slot: &DirectSlot, evidence: &CrashEvidence) {
        let Some(endpoint) = slot.endpoint() else {
            return;
        };
        let tracker = &self.state.crash_tracker;
        match evidence {
            CrashEvidence::None => {}
            CrashEvidence::Silence => self.record_unanswered(EndpointRun::of(endpoint)),
            CrashEvidence::ConnectionBroken => {
                let run = EndpointRun::of(endpoint);
                let call = CrashedCall::new(&self.call.request_id, &self.suspects, &run);
                tracker.record_broken_call(call, &endpoint.id);
                tracker.watch_for_crash(&endpoint.id, &endpoint.address);
                self.record_unanswered(run);
            }
            CrashEvidence::NotListening => tracker.record_dead_endpoint(&endpoint.id),
            CrashEvidence::OtherEndpointDead(dead) => tracker.record_dead_endpoint(dead),
        }
    }

    /// Reports to the crash tracker that the run of an endpoint left the call unanswered.
    fn record_unanswered(&self, run: EndpointRun) {
        let call = CrashedCall::new(&self.call.request_id, &self.suspects, &run);
        let list = self.state.endpoints.list();
        let tracker = &self.state.crash_tracker;
        tracker.record_unanswered_call(call, run, list.as_deref());
    }

    /// Reports the same when the caller leaves while the endpoint is silent.
    pub(crate) fn record_silence_at_end(&self) {
        let Some(awaited) = &self.awaited else {
            return;
        };
        if awaited.heard.elapsed() >= MIN_SILENCE {
            self.record_unanswered(awaited.run.clone());
        }
    }

    /// Records an event of the endpoint that the call is at.
    pub(crate) fn record_event(&mut self, now: Instant) {
        self.times.record_event(self.arrived, now);
        self.in_flight.progress().record_event(now);
        if let Some(awaited) = &mut self.awaited {
            awaited.heard = now;
        }
    }
}
