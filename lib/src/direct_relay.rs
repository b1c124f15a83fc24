//! Sends one call to endpoints, within its deadline, its route's attempts and the retry budget.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::request;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::CrashSuspect;
use crate::DirectCall;
use crate::DirectRefusal;
use crate::DispatchDecision;
use crate::DispatchQuery;
use crate::EndpointRequestHead;
use crate::MeasuredCall;
use crate::ObstacleCounts;
use crate::OrganisationRule;
use crate::RefusalCode;
use crate::RouteRule;
use crate::SendResult;
use crate::answer_framing::AnswerFraming;
use crate::as_ms::as_ms;
use crate::awaited_endpoint::AwaitedEndpoint;
use crate::call_timeouts::CallTimeouts;
use crate::caller_connection::CallerConnection;
use crate::calls_in_flight::CallInFlight;
use crate::direct_actor::DirectCommand;
use crate::direct_actor::DispatchReply;
use crate::direct_exchange::DirectExchange;
use crate::direct_exchange::SendOutcome;
use crate::direct_server;
use crate::direct_slot::DirectSlot;
use crate::direct_state::DirectState;
use crate::event;
use crate::http_client;
use crate::in_flight::InFlightGuard;
use crate::send_failure::SendFailure;
use crate::stream_times::StreamTimes;

/// Retry delay of a call that the dispatcher's full ring could not take.
const RING_FULL_RETRY_MS: u64 = 500;
/// Largest body of an answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Most sends of one call that found no endpoint listening; none of them wrote a byte.
const MAX_UNWRITTEN_SENDS: u32 = 4;
/// A caller whose time left is below this share of the route's timeout counts as returning after a
/// refusal, in percent.
const RETURNING_CALLER_BELOW_PERCENT: u64 = 97;

/// One call with the state that is needed to send it, retry it and resume its stream.
pub(crate) struct DirectRelay {
    pub(crate) state: Arc<DirectState>,
    pub(crate) call: DirectCall,
    pub(crate) rule: Arc<RouteRule>,
    pub(crate) organisation: Option<Arc<OrganisationRule>>,
    pub(crate) service: String,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// What the call may have in common with others that crash endpoints.
    pub(crate) suspects: Arc<[CrashSuspect]>,
    /// The connection on which the call arrived.
    pub(crate) connection: CallerConnection,
    /// Measures how long the call takes.
    pub(crate) measured: MeasuredCall,
    pub(crate) arrived: Instant,
    pub(crate) timeouts: CallTimeouts,
    /// Ids of the endpoints that the call was sent to, the latest last.
    pub(crate) tried: Vec<String>,
    /// Retries that the budget had left when the call last asked for one.
    pub(crate) retries_left: f64,
    /// Sends that failed before a byte was written.
    pub(crate) unwritten_sends: u32,
    /// The slot at another endpoint that the call moves to; its retry was taken from the budget.
    pub(crate) next_slot: Option<DirectSlot>,
    /// Whether an endpoint may have run the call, so that a refusal can't promise the contrary.
    pub(crate) may_have_run: bool,
    /// Id of the last event that the caller has received.
    pub(crate) resume_after: Option<u64>,
    /// Times of the events that the caller was sent; the silence limit counts from the last one.
    pub(crate) times: StreamTimes,
    /// The endpoint that the call waits for; absent while it is at none.
    pub(crate) awaited: Option<AwaitedEndpoint>,
    /// How the latest answer marks its end; absent until one has begun.
    pub(crate) framing: Option<AnswerFraming>,
    /// Bytes of an unfinished event at the end of the latest answer.
    pub(crate) unfinished_bytes: usize,
    /// Lists the call among those in flight.
    pub(crate) in_flight: CallInFlight,
    /// Whether the end of the call was recorded.
    pub(crate) has_ended: AtomicBool,
    /// Counts the call as in flight.
    pub(crate) _guard: InFlightGuard,
}

/// An answer whose head has arrived and whose body is still to be read.
pub(crate) struct OpenAnswer {
    pub(crate) slot: DirectSlot,
    pub(crate) response: Response<Incoming>,
}

/// An answer that was read completely.
pub(crate) struct WholeAnswer {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Bytes,
}

/// The endpoint that a stream was to move to did not take it.
pub(crate) struct MoveFailed;

/// What a call waited for, or why it was moved away from its endpoint.
struct SendWait<T> {
    outcome: Result<T, SendFailure>,
    /// The slot at another endpoint that the call moves to.
    next_slot: Option<DirectSlot>,
}

impl<T> SendWait<T> {
    fn stayed(outcome: Result<T, SendFailure>) -> Self {
        Self {
            outcome,
            next_slot: None,
        }
    }
}

impl DirectRelay {
    /// Sends a call whose answer is not a stream and reads the whole answer.
    pub(crate) async fn fetch_whole(&mut self) -> Result<WholeAnswer, DirectRefusal> {
        loop {
            let slot = self.reserve().await?;
            let failure = match self.fetch_whole_from(&slot).await {
                Ok(answer) if self.is_retryable_failure(answer.head.status) => {
                    if !self.try_retry().await {
                        slot.release(SendResult::Failed);
                        return Ok(answer);
                    }
                    self.release_for_retry(slot);
                    continue;
                }
                Ok(answer) => {
                    let result = if answer.head.status.is_server_error() {
                        SendResult::Failed
                    } else {
                        self.record_whole_answer();
                        SendResult::Answered
                    };
                    slot.release(result);
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            self.handle_failure(slot, failure).await?;
        }
    }

    /// Sends the call and waits for the head of its answer. A resumed stream goes to another
    /// endpoint.
    pub(crate) async fn open_answer(&mut self) -> Result<OpenAnswer, DirectRefusal> {
        loop {
            let slot = self.reserve().await?;
            let failure = match self.open_answer_at(&slot).await {
                Ok(response) if self.is_retryable_failure(response.status()) => {
                    if !self.try_retry().await {
                        return Ok(OpenAnswer { slot, response });
                    }
                    self.release_for_retry(slot);
                    continue;
                }
                Ok(response) => return Ok(OpenAnswer { slot, response }),
                Err(failure) => failure,
            };
            self.handle_failure(slot, failure).await?;
        }
    }

    /// Returns whether more than the end of its connection marks the end of the latest answer.
    pub(crate) fn is_framed(&self) -> bool {
        self.framing != Some(AnswerFraming::Connection)
    }

    /// Releases the slot of a send that ran and failed, before the call is retried.
    fn release_for_retry(&mut self, slot: DirectSlot) {
        self.may_have_run = true;
        self.log_retry(&slot, "endpoint answered with a failure");
        slot.release(SendResult::Failed);
    }

    /// Releases the slot of a failed send and decides whether the call is retried.
    ///
    /// # Errors
    ///
    /// Fails with the final answer when the call is not retried.
    pub(crate) async fn handle_failure(
        &mut self,
        slot: DirectSlot,
        failure: SendFailure,
    ) -> Result<(), DirectRefusal> {
        self.record_crash_evidence(&slot, &failure.crash_evidence);
        self.awaited = None;
        let reason = failure.reason.as_str();
        let may_repeat = failure.is_not_run || self.rule.repeatability.may_repeat();
        let is_retried = if failure.is_written {
            may_repeat && self.try_retry().await
        } else {
            self.unwritten_sends += 1;
            self.unwritten_sends < MAX_UNWRITTEN_SENDS && self.timeouts.has_time_left()
        };
        if is_retried {
            self.log_retry(&slot, reason);
        } else {
            self.log_failure(&slot, reason);
        }
        slot.release(failure.result);
        self.may_have_run |= !failure.is_not_run;
        if is_retried {
            return Ok(());
        }
        let refusal = self.with_time_of_room(failure.refusal).await;
        Err(self.withdraw_not_run_promise(refusal))
    }

    /// Sets when the caller of a refused call should come again: when the service has room.
    async fn with_time_of_room(&self, refusal: DirectRefusal) -> DirectRefusal {
        let Some(default_ms) = refusal.retry_after_ms else {
            return refusal;
        };
        let (reply, room_after_ms) = oneshot::channel();
        let service = self.service.clone();
        let command = DirectCommand::RoomAfter { service, reply };
        let room_after_ms = self.request(command, room_after_ms).await;
        DirectRefusal {
            retry_after_ms: Some(room_after_ms.unwrap_or(default_ms)),
            ..refusal
        }
    }

    /// Opens the answer at the endpoint of `slot`, to which a stream is to move that has begun elsewhere.
    ///
    /// # Errors
    ///
    /// Fails when that endpoint does not take the stream; its slot is released then.
    pub(crate) async fn open_moved(
        &mut self,
        slot: DirectSlot,
    ) -> Result<(DirectSlot, Response<Incoming>), MoveFailed> {
        if self.check_quarantine().is_err() {
            return Err(MoveFailed);
        }
        let failure = match self.open_answer_at(&slot).await {
            Ok(response) if response.status().is_success() => return Ok((slot, response)),
            Ok(response) => {
                let reason = format!("endpoint answered with status {}", response.status());
                SendFailure::lost(SendResult::Failed, reason)
            }
            Err(failure) => failure,
        };
        self.record_crash_evidence(&slot, &failure.crash_evidence);
        self.log_retry(&slot, &failure.reason);
        slot.release(failure.result);
        Err(MoveFailed)
    }

    /// Makes `endpoint_id` the endpoint that the call is at, after a send elsewhere was given up.
    pub(crate) fn return_to(
        &mut self,
        endpoint_id: &str,
        framing: Option<AnswerFraming>,
        awaited: Option<AwaitedEndpoint>,
    ) {
        self.next_slot = None;
        self.awaited = awaited;
        self.tried.retain(|id| id != endpoint_id);
        self.tried.push(endpoint_id.to_owned());
        self.framing = framing;
    }

    /// Withdraws a refusal's promise that the call did not run if an earlier send may have run it.
    fn withdraw_not_run_promise(&self, refusal: DirectRefusal) -> DirectRefusal {
        if self.may_have_run && refusal.retry_after_ms.is_some() {
            return DirectRefusal::lost(refusal.code, refusal.message);
        }
        refusal
    }

    /// Returns whether the call may be sent to one more endpoint; takes the retry from the budget.
    pub(crate) async fn try_retry(&mut self) -> bool {
        if self.next_slot.is_some() {
            return true;
        }
        let (reply, allowed) = oneshot::channel();
        let service = self.service.clone();
        let command = DirectCommand::Retry { service, reply };
        if !self.timeouts.has_attempt_left(self.tried.len()) {
            return false;
        }
        let reply = self.request(command, allowed).await.unwrap_or_default();
        self.retries_left = reply.retries_left;
        reply.is_allowed
    }

    /// Returns a slot at another endpoint if the call may be moved away from the last endpoint in
    /// `sent_to`, which is silent or slow; takes the retry from the budget.
    async fn try_move(&self, sent_to: Vec<String>) -> Option<DirectSlot> {
        if !self.timeouts.has_attempt_left(sent_to.len()) {
            return None;
        }
        let number = self.state.call_number();
        let slot = DirectSlot::queued(self.state.dispatcher.clone(), number);
        let (reply, moved) = oneshot::channel();
        let query = self.query(number, sent_to);
        let command = DirectCommand::Move { query, reply };
        if let Err(error) = self.state.dispatcher.submit(command) {
            let request_id = &self.call.request_id;
            log::warn!("request {request_id} can't be moved: {error}");
            return None;
        }
        let reply = moved.await.ok()?;
        let DispatchDecision::Send(endpoint) = reply.decision else {
            return None;
        };
        // The dispatcher may have taken long to reply.
        let has_time_left = self.timeouts.has_time_left();
        has_time_left.then(|| slot.assign(endpoint, reply.list, reply.limit))
    }

    /// Decides whether a stream that has begun is moved away from its silent or slow endpoint.
    pub(crate) async fn try_move_away(&mut self) -> bool {
        self.next_slot = self.try_move(self.tried.clone()).await;
        self.next_slot.is_some()
    }

    /// Sends a command to the dispatcher and waits for its reply; `None` if the ring is full.
    async fn request<T>(&self, command: DirectCommand, reply: oneshot::Receiver<T>) -> Option<T> {
        if let Err(error) = self.state.dispatcher.submit(command) {
            log::warn!("no decision on request {}: {error}", self.call.request_id);
            return None;
        }
        reply.await.ok()
    }

    fn is_retryable_failure(&self, status: StatusCode) -> bool {
        status.is_server_error() && self.rule.repeatability.may_repeat()
    }

    /// Requests a slot at an endpoint and waits for it. A call that moves has its slot.
    async fn reserve(&mut self) -> Result<DirectSlot, DirectRefusal> {
        if let Some(slot) = self.next_slot.take() {
            self.check_quarantine()?;
            return Ok(slot);
        }
        let number = self.state.call_number();
        let queued = DirectSlot::queued(self.state.dispatcher.clone(), number);
        let (reply, decision) = oneshot::channel();
        let command = DirectCommand::RequestEndpoint {
            query: self.query(number, self.tried.clone()),
            reply,
        };
        if self.state.dispatcher.submit(command).is_err() {
            return Err(self.overload_refusal());
        }
        let decision = tokio::select! {
            decision = decision => decision,
            () = self.state.drain.until_not_taken(self.timeouts.deadline), if !self.may_have_run => {
                return Err(self.drain_refusal());
            }
        };
        let Ok(DispatchReply {
            decision,
            list,
            limit,
        }) = decision
        else {
            return Err(self.overload_refusal());
        };
        match decision {
            DispatchDecision::Send(endpoint) => {
                let slot = queued.assign(endpoint, list, limit);
                self.check_quarantine()?;
                self.check_drain()?;
                Ok(slot)
            }
            DispatchDecision::Refuse {
                code,
                retry_after_ms,
                obstacles,
            } => Err(self.dispatch_refusal(code, retry_after_ms, obstacles)),
        }
    }

    /// Refuses a call that was quarantined since it arrived: while it waited, or before it is repeated
    /// or resumed.
    fn check_quarantine(&self) -> Result<(), DirectRefusal> {
        let checked = direct_server::refuse_quarantined(&self.state, &self.call, &self.suspects);
        checked.map_err(|refusal| self.withdraw_not_run_promise(refusal))
    }

    /// Returns the refusal of a call that was not sent while the draining entry took it.
    fn drain_refusal(&self) -> DirectRefusal {
        direct_server::drain_refusal(&self.state, &self.call, &self.rule, self.timeouts.deadline)
    }

    /// Refuses a call that the draining entry no longer takes. A call that may have run is finished here.
    fn check_drain(&self) -> Result<(), DirectRefusal> {
        if self.may_have_run {
            return Ok(());
        }
        let clause = self.state.drain.clause();
        if !self.state.drain.takes(self.timeouts.deadline) {
            return Err(self.drain_refusal());
        }
        self.in_flight.progress().record_clause(clause);
        self.state.drain.record_taken(clause);
        Ok(())
    }

    /// Returns the refusal of a call that the dispatcher's full ring could not take.
    fn overload_refusal(&self) -> DirectRefusal {
        let message = "entry has no room for the request";
        let refusal = DirectRefusal::not_run("entry-overloaded", message, RING_FULL_RETRY_MS);
        self.withdraw_not_run_promise(refusal)
    }

    /// Logs a refusal of the dispatcher and returns the answer to the caller; it promises nothing
    /// once the call may have run.
    fn dispatch_refusal(
        &self,
        code: RefusalCode,
        retry_after_ms: u64,
        obstacles: ObstacleCounts,
    ) -> DirectRefusal {
        let code = code.as_str();
        event!(
            CallRefused,
            "request_id={} service={} code={code} retry_after_ms={retry_after_ms} \
             obstacles=\"{obstacles}\" waited_ms={}",
            self.call.request_id,
            self.service,
            self.arrived.elapsed().as_millis()
        );
        let message = format!("service \"{}\" has no room for the request", self.service);
        self.withdraw_not_run_promise(DirectRefusal::not_run(code, message, retry_after_ms))
    }

    /// Returns the dispatch query for a send to an endpoint outside `exclude`, as call `number` of this
    /// process.
    fn query(&self, number: u64, exclude: Vec<String>) -> DispatchQuery {
        let now_ms = self.state.clock.now_ms();
        let waited_ms = as_ms(self.arrived.elapsed());
        let silent_ms = as_ms(self.times.last_event().unwrap_or(self.arrived).elapsed());
        let max_wait_ms = self.timeouts.max_queue_wait_ms(silent_ms);
        let target_left_ms = self.rule.target_latency_ms.saturating_sub(waited_ms);
        DispatchQuery::builder()
            .call(number)
            .service(self.service.clone())
            .urgency(self.urgency())
            .is_stream(self.rule.repeatability.is_stream())
            .is_first(exclude.is_empty() && self.unwritten_sends == 0)
            .is_returning(self.is_returning())
            .on_time_until_ms(now_ms + target_left_ms)
            .useful_until_ms(now_ms + max_wait_ms)
            .exclude(exclude)
            .build()
    }

    /// Returns the refusal of a call whose answer has not begun; its own line tells of its end.
    pub(crate) fn end_refused(&self, refusal: DirectRefusal) -> DirectRefusal {
        self.has_ended.store(true, Ordering::Relaxed);
        refusal
    }

    /// Returns the urgency of the call: that of its organisation, else that of its route.
    pub(crate) fn urgency(&self) -> u32 {
        let organisation = self.organisation.as_ref();
        let of_organisation = organisation.and_then(|organisation| organisation.urgency);
        of_organisation.unwrap_or(self.rule.urgency)
    }

    /// Returns whether the caller returns after a refusal, or has part of its answer already.
    fn is_returning(&self) -> bool {
        if self.resume_after.is_some() {
            return true;
        }
        let bound_ms = self.rule.timeout_ms * RETURNING_CALLER_BELOW_PERCENT / 100;
        self.call
            .time_left_ms
            .is_some_and(|left_ms| left_ms < bound_ms)
    }

    /// Sends the call to the endpoint of `slot` and reads the whole answer.
    async fn fetch_whole_from(&mut self, slot: &DirectSlot) -> Result<WholeAnswer, SendFailure> {
        let sent = Instant::now();
        let response = self.open_answer_at(slot).await?;
        let (head, body) = response.into_parts();
        let reading = http_client::read_body(Response::new(body), MAX_ANSWER_BYTES);
        // The head shows that the endpoint is at work: the body has a time of its own.
        let silent_until = self.timeouts.resend_time(self.tried.len());
        let sent_to = self.tried.clone();
        let SendWait { outcome, next_slot } = self.wait_for(reading, sent_to, silent_until).await;
        self.next_slot = next_slot;
        let body = outcome?.map_err(|error| {
            let reason = format!("answer broke off: {error}");
            SendFailure::broken(SendResult::Failed, reason)
        })?;
        if !head.status.is_server_error() {
            let answer_times = &self.state.answer_times;
            answer_times.record(&self.rule.name, sent.elapsed());
        }
        Ok(WholeAnswer { head, body })
    }

    /// Sends the call to the endpoint of `slot` and waits for the head of its answer.
    pub(crate) async fn open_answer_at(
        &mut self,
        slot: &DirectSlot,
    ) -> Result<Response<Incoming>, SendFailure> {
        let Some(endpoint) = slot.endpoint() else {
            return Err(SendFailure::unwritten(
                "the call has no endpoint".to_owned(),
            ));
        };
        self.log_send(slot, &endpoint.id);
        self.in_flight.progress().record_send(&endpoint.id);
        self.awaited = Some(AwaitedEndpoint::sent_to(endpoint));
        let exchange = DirectExchange {
            protocol: &self.state.protocol,
            call: &self.call,
            head: &self.head,
            body: &self.body,
        };
        let request_head = EndpointRequestHead {
            endpoint_id: &endpoint.id,
            organisation: self.organisation.as_ref().map(|o| o.name.as_str()),
            urgency: self.urgency(),
            time_left_ms: self.timeouts.time_left_ms(),
            resume_after: self.resume_after,
        };
        let sending = exchange.send(&endpoint.address, &request_head);
        // A send that is given up while it waits counts as well.
        self.tried.push(endpoint.id.clone());
        let sent_to = self.tried.clone();
        let silent_until = self.timeouts.resend_time(sent_to.len());
        let SendWait { outcome, next_slot } = self.wait_for(sending, sent_to, silent_until).await;
        self.next_slot = next_slot;
        if matches!(outcome, Ok(SendOutcome::Unwritten { .. })) {
            self.tried.pop();
        }
        match outcome? {
            SendOutcome::Answered { response, notice } => {
                slot.record_notice(notice, true, &self.call.request_id);
                self.framing = Some(AnswerFraming::of(response.headers()));
                Ok(response)
            }
            SendOutcome::Unwritten { reason } => Err(SendFailure::unwritten(reason)),
            SendOutcome::NotRun {
                result,
                reason,
                endpoint_at_fault,
                notice,
            } => {
                slot.record_notice(notice, false, &self.call.request_id);
                Err(SendFailure::not_run(result, reason, endpoint_at_fault))
            }
            SendOutcome::Lost { result, reason } if result == SendResult::Unreachable => {
                Err(SendFailure::broken(result, reason))
            }
            SendOutcome::Lost { result, reason } => Err(SendFailure::lost(result, reason)),
        }
    }

    /// Waits for a part of the answer of the endpoint that the call was sent to last. A call that should
    /// move to another endpoint stays until its deadline when the dispatcher does not allow it.
    async fn wait_for<T>(
        &self,
        answer: impl Future<Output = T>,
        sent_to: Vec<String>,
        silent_until: Instant,
    ) -> SendWait<T> {
        let mut answer = std::pin::pin!(answer);
        let endpoint_id = sent_to.last().map_or("", String::as_str);
        let failure = tokio::select! {
            outcome = answer.as_mut() => return SendWait::stayed(Ok(outcome)),
            failure = self.wait_for_move_reason(endpoint_id, silent_until) => failure,
        };
        let next_slot = tokio::select! {
            biased;
            outcome = answer.as_mut() => return SendWait::stayed(Ok(outcome)),
            next_slot = self.try_move(sent_to) => next_slot,
        };
        if next_slot.is_some() {
            return SendWait {
                outcome: Err(failure),
                next_slot,
            };
        }
        let outcome = tokio::time::timeout_at(self.timeouts.deadline, answer).await;
        SendWait::stayed(outcome.map_err(|_| SendFailure::timed_out()))
    }

    /// Waits until the call should move away from an endpoint: because the endpoint is silent until
    /// `silent_until`, or becomes slow and the call may be repeated.
    pub(crate) async fn wait_for_move_reason(
        &self,
        endpoint_id: &str,
        silent_until: Instant,
    ) -> SendFailure {
        let mut slow_endpoints = self.state.slow_endpoints.clone();
        let becomes_slow = async {
            let became_slow = slow_endpoints.wait_for(|slow| slow.contains(endpoint_id));
            let is_slow = became_slow.await.is_ok();
            if !is_slow || !self.rule.repeatability.may_repeat() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = becomes_slow => SendFailure::abandoned_slow(),
            () = tokio::time::sleep_until(silent_until) => SendFailure::timed_out(),
        }
    }
}

impl Drop for DirectRelay {
    fn drop(&mut self) {
        if !self.has_ended.load(Ordering::Relaxed) {
            self.record_silence_at_end();
            self.record_end(
                "abandoned",
                "caller disconnected while an endpoint was awaited",
            );
        }
    }
}
