//! Relays a stream of server-sent events to a caller, and resumes it at another endpoint when it
//! breaks.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use volo_http::body::Body;

use crate::DirectRefusal;
use crate::EventSplitter;
use crate::Repeatability;
use crate::SendResult;
use crate::StreamEvent;
use crate::direct_relay::DirectRelay;
use crate::direct_relay::OpenAnswer;
use crate::direct_slot::DirectSlot;
use crate::event;
use crate::send_failure::SendFailure;

/// Most events that are buffered for a caller that reads slowly.
const MAX_BUFFERED_EVENTS: usize = 32;
/// Events and time after the first event that an endpoint does not reach in an answer which crashes it.
const SURVIVAL_EVENTS: u32 = 4;
const SURVIVAL_TIME: Duration = Duration::from_millis(300);
/// Most bytes of events without an id that an endpoint may send between two events with ids.
const MAX_HELD_BACK_BYTES: usize = 64 << 10;

/// A stream to a caller ended before its last event.
#[derive(Debug, Snafu)]
#[snafu(display("stream broke off: {reason}"))]
struct StreamBroken {
    reason: String,
}

/// What the relay of a stream passes to the connection of its caller.
enum StreamItem {
    Bytes(Bytes),
    /// The endpoint ended the stream. Without this item the caller sees a broken answer.
    End,
    /// The stream broke and could not be resumed.
    Broken(StreamBroken),
}

/// An open stream at one endpoint.
struct OpenStream {
    slot: DirectSlot,
    body: Incoming,
    /// Whether the body consists of events; the body of a failure does not.
    has_events: bool,
    /// Arrival of the first event.
    first_event: Option<Instant>,
    event_count: u32,
    /// Whether the answer went on beyond its start, so that its prompt does not crash endpoints.
    has_survived: bool,
    splitter: EventSplitter,
    /// Arrival of the latest event.
    last_event: Option<Instant>,
    /// Events without an id since the last one with an id.
    held_back: BytesMut,
    /// What the endpoint sent while the stream was about to move.
    early_frame: Option<NextFrame>,
}

/// The next frame of a body; `None` at its end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// The next part of a stream.
enum StreamPart {
    Event(StreamEvent),
    /// The stream ended, with the bytes after its last whole event.
    End(Bytes),
}

/// Sends a call whose answer is a stream; returns the answer once its first event has arrived.
pub(crate) async fn respond(mut relay: DirectRelay) -> Result<Response<Body>, DirectRefusal> {
    loop {
        let opened = relay.open_answer().await;
        let OpenAnswer { slot, response } = opened.map_err(|refusal| relay.end_refused(refusal))?;
        let (head, body) = response.into_parts();
        let status = head.status;
        let mut open = OpenStream::new(slot, body, status.is_success());
        open.slot.record_answer_start();
        let first = match open.next(&mut relay).await {
            Ok(first) => first,
            Err(failure) => {
                let handled = relay.handle_failure(open.slot, failure).await;
                handled.map_err(|refusal| relay.end_refused(refusal))?;
                continue;
            }
        };
        if status.is_success() {
            relay.state.metrics.record_first_token(
                &relay.service,
                relay.urgency(),
                relay.arrived.elapsed(),
            );
        }
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
        let headers = (relay.state.protocol.caller_headers)(&head.headers);
        tokio::spawn(relay_events(relay, open, first, sender));
        let mut response = Response::new(Body::from_stream(frames(receiver)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        return Ok(response);
    }
}

/// Converts the relay's items to body frames. A relay that ends without [`StreamItem::End`] breaks
/// the answer.
fn frames(
    receiver: mpsc::Receiver<StreamItem>,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>> {
    let ended_early = || StreamBroken {
        reason: "relay ended early".to_owned(),
    };
    let items = ReceiverStream::new(receiver).chain(futures::stream::once(async move {
        StreamItem::Broken(ended_early())
    }));
    let frames = items.map(|item| match item {
        StreamItem::Bytes(bytes) => Some(Ok(Frame::data(bytes))),
        StreamItem::Broken(error) => Some(Err(error.into())),
        StreamItem::End => None,
    });
    frames
        .take_while(|item| std::future::ready(item.is_some()))
        .filter_map(std::future::ready)
}

/// Relays events until the stream ends, its caller disconnects, or it breaks and can't be resumed.
async fn relay_events(
    mut relay: DirectRelay,
    mut open: OpenStream,
    first: StreamPart,
    sender: mpsc::Sender<StreamItem>,
) {
    let mut part = Ok(first);
    loop {
        match part {
            Ok(StreamPart::Event(event)) => {
                relay.resume_after = event.id.or(relay.resume_after);
                let now = Instant::now();
                relay.record_event(now);
                if sender.send(StreamItem::Bytes(event.bytes)).await.is_err() {
                    return finish_abandoned(&relay, open);
                }
            }
            Ok(StreamPart::End(rest)) => {
                finish(&relay, open);
                if !rest.is_empty() {
                    let _ = sender.send(StreamItem::Bytes(rest)).await;
                }
                let _ = sender.send(StreamItem::End).await;
                return;
            }
            Err(failure) if relay.next_slot.is_some() => {
                open = tokio::select! {
                    open = move_stream(&mut relay, open, failure) => open,
                    () = sender.closed() => return,
                };
            }
            Err(failure) => {
                let resumed = tokio::select! {
                    resumed = resume(&mut relay, open, failure) => resumed,
                    () = sender.closed() => return,
                };
                match resumed {
                    Ok(resumed) => open = resumed,
                    Err(reason) => {
                        relay.record_end("broken", &reason);
                        let _ = sender
                            .send(StreamItem::Broken(StreamBroken { reason }))
                            .await;
                        return;
                    }
                }
            }
        }
        part = tokio::select! {
            part = open.next(&mut relay) => part,
            () = sender.closed() => return finish_abandoned(&relay, open),
        };
    }
}

/// Moves a stream to the endpoint whose slot it has. Its present endpoint, which is silent or slow, keeps
/// it until the other one has taken it, and for good if that does not or if it is at work again before.
async fn move_stream(
    relay: &mut DirectRelay,
    mut open: OpenStream,
    failure: SendFailure,
) -> OpenStream {
    let Some(slot) = relay.next_slot.take() else {
        return open;
    };
    relay.log_retry(&open.slot, &failure.reason);
    relay.may_have_run = true;
    let framing = relay.framing;
    let awaited = relay.awaited.clone();
    let longest = relay.timeouts.longest_silence();
    let opening = relay.open_moved(slot);
    let moved = if failure.is_slow() {
        tokio::time::timeout(longest, opening).await.ok()
    } else {
        open.unless_at_work(opening).await
    };
    let Some(Ok((slot, response))) = moved else {
        let endpoint = open.slot.endpoint();
        relay.return_to(
            endpoint.map_or("", |endpoint| &endpoint.id),
            framing,
            awaited,
        );
        return open;
    };
    relay.record_crash_evidence(&open.slot, &failure.crash_evidence);
    open.slot.release(failure.result);
    log_resumed(relay, &slot);
    OpenStream::new(slot, response.into_body(), true)
}

/// Sends the call to another endpoint, which continues after the last event that the caller has.
async fn resume(
    relay: &mut DirectRelay,
    broken: OpenStream,
    failure: SendFailure,
) -> Result<OpenStream, String> {
    let reason = failure.reason.clone();
    let refused = |refusal: DirectRefusal| format!("{reason}; {}", refusal.message);
    relay
        .handle_failure(broken.slot, failure)
        .await
        .map_err(refused)?;
    let OpenAnswer { slot, response } = relay.open_answer().await.map_err(refused)?;
    let status = response.status();
    if !status.is_success() {
        slot.release(SendResult::Failed);
        return Err(format!("{reason}; resuming it ended with status {status}"));
    }
    log_resumed(relay, &slot);
    Ok(OpenStream::new(slot, response.into_body(), true))
}

fn log_resumed(relay: &DirectRelay, slot: &DirectSlot) {
    event!(
        StreamResumed,
        "request_id={} endpoint={} after_event={}",
        relay.call.request_id,
        slot.endpoint().map_or("", |endpoint| endpoint.id.as_str()),
        relay.resume_after.unwrap_or(0)
    );
}

impl OpenStream {
    fn new(slot: DirectSlot, body: Incoming, has_events: bool) -> Self {
        Self {
            slot,
            body,
            has_events,
            first_event: None,
            event_count: 0,
            has_survived: false,
            splitter: EventSplitter::default(),
            last_event: None,
            held_back: BytesMut::new(),
            early_frame: None,
        }
    }

    /// Reads the next event that the caller has not received yet.
    ///
    /// Where events carry ids, bytes without one are no progress: they are held back until an event
    /// with an id or the end of the stream follows.
    async fn next(&mut self, relay: &mut DirectRelay) -> Result<StreamPart, SendFailure> {
        let mut deadline = relay.timeouts.event_deadline(relay.tried.len());
        let needs_id = relay.rule.repeatability == Repeatability::ResumableStream;
        loop {
            while let Some(event) = self.splitter.next_event() {
                if needs_id && event.id.is_none() {
                    self.hold_back(&event.bytes)?;
                } else if let Some(event) = skip_delivered(event, relay.resume_after)? {
                    self.record_event(relay);
                    return Ok(StreamPart::Event(self.with_held_back(event)));
                }
            }
            if self.splitter.is_overlong() {
                let reason = "an event grew too long".to_owned();
                return Err(SendFailure::lost(SendResult::Failed, reason));
            }
            match self.next_frame(relay, &mut deadline).await? {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                Some(Err(error)) => {
                    return Err(broken(&format!("stream broke off: {error}")));
                }
                None => return self.end(relay),
            }
        }
    }

    /// Returns the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the stream ended inside an event, also where its framing marks a proper end: an
    /// endpoint that crashes may end its answer in any form. Fails as well when the connection was
    /// closed without an event and nothing else marks the end.
    fn end(&mut self, relay: &mut DirectRelay) -> Result<StreamPart, SendFailure> {
        let is_unfinished = self.has_events && self.splitter.has_unfinished_event();
        let rest = self.splitter.take_rest();
        relay.unfinished_bytes = if is_unfinished { rest.len() } else { 0 };
        if is_unfinished {
            return Err(broken("stream ended inside an event"));
        }
        if self.has_events && self.is_empty() && !relay.is_framed() {
            return Err(broken("connection closed before the first event"));
        }
        if self.has_events && !self.has_survived {
            relay.record_whole_answer();
        }
        self.held_back.extend_from_slice(&rest);
        Ok(StreamPart::End(self.held_back.split().freeze()))
    }

    /// Returns whether the answer has brought no event that the caller lacks.
    fn is_empty(&self) -> bool {
        self.last_event.is_none() && self.held_back.is_empty()
    }

    /// Holds back an event without an id.
    ///
    /// # Errors
    ///
    /// Fails when there are more of them than an endpoint sends between two events with ids.
    fn hold_back(&mut self, bytes: &[u8]) -> Result<(), SendFailure> {
        self.held_back.extend_from_slice(bytes);
        if self.held_back.len() > MAX_HELD_BACK_BYTES {
            let reason = "too many events without an id".to_owned();
            return Err(SendFailure::lost(SendResult::Failed, reason));
        }
        Ok(())
    }

    /// Returns an event with those before it that were held back.
    fn with_held_back(&mut self, event: StreamEvent) -> StreamEvent {
        if self.held_back.is_empty() {
            return event;
        }
        self.held_back.extend_from_slice(&event.bytes);
        StreamEvent {
            bytes: self.held_back.split().freeze(),
            ..event
        }
    }

    /// Waits for another endpoint to take the stream; `None` if this one is at work again before.
    async fn unless_at_work<T>(&mut self, opening: impl Future<Output = T>) -> Option<T> {
        let mut opening = std::pin::pin!(opening);
        let frame = tokio::select! {
            biased;
            opened = opening.as_mut() => return Some(opened),
            frame = self.body.frame() => frame,
        };
        let is_broken = matches!(frame, Some(Err(_)));
        self.early_frame = Some(frame);
        if is_broken {
            return Some(opening.await);
        }
        None
    }

    /// Waits for the next frame until `deadline`. A call at a silent or slow endpoint stays there
    /// until its own deadline when the dispatcher does not allow it to move.
    async fn next_frame(
        &mut self,
        relay: &mut DirectRelay,
        deadline: &mut Instant,
    ) -> Result<NextFrame, SendFailure> {
        let endpoint = self.slot.endpoint();
        let endpoint_id = endpoint.map_or("", |endpoint| endpoint.id.as_str());
        if let Some(frame) = self.early_frame.take() {
            return Ok(frame);
        }
        if Instant::now() >= relay.timeouts.deadline {
            return Err(SendFailure::timed_out());
        }
        let failure = tokio::select! {
            biased;
            failure = relay.wait_for_move_reason(endpoint_id, *deadline) => failure,
            frame = self.body.frame() => return Ok(frame),
        };
        if relay.try_move_away().await {
            return Err(failure);
        }
        *deadline = relay.timeouts.deadline;
        let frame = tokio::time::timeout_at(relay.timeouts.deadline, self.body.frame());
        frame.await.map_err(|_| SendFailure::timed_out())
    }

    /// Records the pause since the previous event, for the concurrency limit of the service, and
    /// whether the answer has gone on beyond its start.
    fn record_event(&mut self, relay: &DirectRelay) {
        let now = Instant::now();
        self.event_count += 1;
        let first_event = *self.first_event.get_or_insert(now);
        let is_beyond_start =
            self.event_count >= SURVIVAL_EVENTS && now - first_event >= SURVIVAL_TIME;
        if is_beyond_start && !std::mem::replace(&mut self.has_survived, true) {
            relay.state.crash_tracker.record_survival(&relay.suspects);
        }
        if let Some(previous) = self.last_event.replace(now) {
            relay.state.pauses.add(&relay.service, now - previous);
        }
    }
}

fn broken(reason: &str) -> SendFailure {
    SendFailure::broken(SendResult::Failed, reason.to_owned())
}

/// Drops an event that the caller already has.
///
/// # Errors
///
/// Fails when an event is missing between `last` and this one.
fn skip_delivered(
    event: StreamEvent,
    last: Option<u64>,
) -> Result<Option<StreamEvent>, SendFailure> {
    let (Some(id), Some(last)) = (event.id, last) else {
        return Ok(Some(event));
    };
    if id <= last {
        return Ok(None);
    }
    if id > last + 1 {
        let reason = format!("event {id} came after event {last}");
        return Err(SendFailure::lost(SendResult::Failed, reason));
    }
    Ok(Some(event))
}

/// Records a stream that its endpoint has ended.
fn finish(relay: &DirectRelay, open: OpenStream) {
    open.slot.release(SendResult::Answered);
    relay.measured.record_end();
    relay.record_end("ran", "");
}

/// Records a stream whose caller has disconnected.
fn finish_abandoned(relay: &DirectRelay, open: OpenStream) {
    relay.record_silence_at_end();
    open.slot.release(SendResult::Abandoned);
    relay.record_end("abandoned", "caller disconnected");
}
