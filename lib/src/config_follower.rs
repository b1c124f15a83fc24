//! How an entry follows the configuration: as a reader of the service or through peers.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::ConfigStartupGate;
use crate::Incarnation;
use crate::MemberReport;
use crate::StartupDecision;
use crate::StartupReadSchedule;
use crate::actor::Actor;
use crate::clock::Clock;
use crate::config_source::ConfigSource;
use crate::config_source::ExchangeError;
use crate::control_plan::ControlPlan;
use crate::control_plan::PeerTarget;
use crate::event;
use crate::protos::control::ExchangeReply;
use crate::routing_actor::RoutingCommand;

const RETRY_DELAY: Duration = Duration::from_millis(500);
const CATCH_UP_MS: u64 = 2000;
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(50);
const CATCH_UP_PEERS: usize = 3;
const NEVER: u64 = u64::MAX;

/// When this process, or one it heard from, last reached the configuration service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceContact {
    clock: Clock,
    at_ms: Arc<AtomicU64>,
}

impl ServiceContact {
    /// Creates the record of a process that has not heard of the service.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            at_ms: Arc::new(AtomicU64::new(NEVER)),
        }
    }

    /// Returns how long ago the service was reached, in milliseconds.
    pub(crate) fn ago_ms(&self) -> Option<u64> {
        let at_ms = self.at_ms.load(Ordering::Acquire);
        (at_ms != NEVER).then(|| self.clock.now_ms().saturating_sub(at_ms))
    }

    /// Notes that the service was reached `ago_ms` before now, and returns when that was.
    fn note(&self, ago_ms: u64) -> u64 {
        let at_ms = self.clock.now_ms().saturating_sub(ago_ms);
        let known = self.at_ms.load(Ordering::Acquire);
        if known == NEVER || known < at_ms {
            self.at_ms.store(at_ms, Ordering::Release);
        }
        at_ms
    }
}

/// Follows the configuration on behalf of an entry.
#[derive(Clone)]
pub(crate) struct ConfigFollower {
    pub(crate) source: ConfigSource,
    pub(crate) routing: Actor<RoutingCommand>,
    pub(crate) clock: Clock,
    pub(crate) service_contact: ServiceContact,
    pub(crate) exchange_interval: Duration,
    pub(crate) watch_wait: Duration,
}

impl ConfigFollower {
    /// Runs until the process ends.
    pub(crate) async fn run(self, plans: watch::Receiver<Option<ControlPlan>>) {
        let (is_reader, reader) = watch::channel(true);
        tokio::spawn(self.clone().watch_while_reader(reader));
        let mut ticks = tokio::time::interval(self.exchange_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Some(plan) = plans.borrow().clone() else {
                continue;
            };
            is_reader.send_if_modified(|current| {
                let is_modified = *current != plan.is_reader;
                if is_modified && plan.is_reader {
                    event!(ConfigReaderStarted);
                } else if is_modified {
                    event!(ConfigReaderStopped);
                }
                *current = plan.is_reader;
                is_modified
            });
            self.exchange_once(&plan).await;
        }
    }

    /// Reads the service and asks some peers before the process serves, so that a stale service
    /// can't bring back what the fleet has replaced.
    pub(crate) async fn catch_up(&self, mut plans: watch::Receiver<Option<ControlPlan>>) {
        let mut start = ConfigStartupGate::new(self.clock.now_ms() + CATCH_UP_MS);
        let known = plans
            .wait_for(|plan| plan.as_ref().is_some_and(|plan| plan.has_list))
            .await;
        let Some(plan) = known.ok().and_then(|plan| plan.clone()) else {
            return;
        };
        let mut asked: Vec<PeerTarget> = Vec::new();
        let mut plan = plan;
        let mut reads =
            StartupReadSchedule::new(plan.listed_vms, rand::random(), self.clock.now_ms());
        while start.decide(self.clock.now_ms()) == StartupDecision::Wait {
            let fresh = plan.peers.iter().filter(|peer| !asked.contains(peer));
            let drawn = fresh.cloned().sample(&mut rand::rng(), CATCH_UP_PEERS);
            for peer in &drawn {
                start.expect_peer(&peer.vm_name);
            }
            asked.extend(drawn);
            if reads.take_due(self.clock.now_ms()) {
                self.read_at_start(&mut reads, &mut start).await;
            }
            self.ask_all_at_start(&asked, &mut start).await;
            tokio::time::sleep(CATCH_UP_INTERVAL).await;
            if let Some(latest) = plans.borrow().clone() {
                plan = latest;
            }
        }
    }

    async fn read_at_start(&self, reads: &mut StartupReadSchedule, start: &mut ConfigStartupGate) {
        match self.source.read(0, Duration::ZERO).await {
            Ok(_) => {
                self.note_reached(0);
                reads.record_answer();
                start.service_answered();
            }
            Err(error) => event!(ConfigServiceFailed, "{error}"),
        }
    }

    /// Asks the drawn peers once more what they hold.
    async fn ask_all_at_start(&self, peers: &[PeerTarget], start: &mut ConfigStartupGate) {
        let exchanges = peers.iter().map(|peer| self.ask_at_start(peer));
        for (peer, answer) in peers.iter().zip(futures::future::join_all(exchanges).await) {
            match answer {
                Ok(answer) if answer.starting => start.peer_absent(&peer.vm_name),
                Ok(_) => start.peer_answered(&peer.vm_name),
                Err(ExchangeError::Absent) => start.peer_absent(&peer.vm_name),
                Err(ExchangeError::Silent) => {}
            }
        }
    }

    async fn ask_at_start(&self, peer: &PeerTarget) -> Result<ExchangeReply, ExchangeError> {
        self.source.exchange(&peer.peer_address).await
    }

    /// Asks one reader, unless this entry is one itself, and one other entry.
    async fn exchange_once(&self, plan: &ControlPlan) {
        let reader = if plan.is_reader {
            None
        } else {
            plan.readers.choose(&mut rand::rng())
        };
        let other = plan.peers.choose(&mut rand::rng());
        let others = other.filter(|other| reader.is_none_or(|r| r.vm_name != other.vm_name));
        let exchanges = [reader, others]
            .into_iter()
            .flatten()
            .map(|peer| self.exchange(peer));
        futures::future::join_all(exchanges).await;
        if !plan.is_reader && self.is_fallback_due().await {
            self.read_directly().await;
        }
    }

    async fn exchange(&self, peer: &PeerTarget) {
        let request_sent_ms = self.clock.now_ms();
        let command = match self.source.exchange(&peer.peer_address).await {
            Ok(answer) => {
                if let Some(ago_ms) = answer.service_reached_ago_ms {
                    self.note_reached(ago_ms);
                }
                RoutingCommand::PeerReport {
                    report: word_of(&answer),
                    request_sent_ms,
                }
            }
            Err(_) => RoutingCommand::PeerUnreachable {
                vm_name: peer.vm_name.clone(),
            },
        };
        if let Err(error) = self.routing.submit(command) {
            log::debug!("exchange with {}: {error}", peer.vm_name);
        }
    }

    async fn is_fallback_due(&self) -> bool {
        let (reply, due) = oneshot::channel();
        let command = RoutingCommand::FallbackRead { reply };
        self.routing.submit(command).is_ok() && due.await.unwrap_or(false)
    }

    async fn read_directly(&self) {
        let revision = self.source.config.load().revision;
        match self.source.read(revision, Duration::ZERO).await {
            Ok(_) => self.note_reached(0),
            Err(error) => event!(ConfigServiceFailed, "{error}"),
        }
    }

    /// Watches the service for as long as this entry is a reader.
    async fn watch_while_reader(self, mut is_reader: watch::Receiver<bool>) {
        let mut revision = self.source.config.load().revision;
        loop {
            if !*is_reader.borrow_and_update() {
                if is_reader.wait_for(|is_reader| *is_reader).await.is_err() {
                    return;
                }
                // Peers passed on what came before.
                revision = self.source.config.load().revision;
            }
            let read = tokio::select! {
                read = self.source.read(revision, self.watch_wait) => read,
                _ = is_reader.changed() => continue,
            };
            match read {
                Ok(reached) => {
                    self.note_reached(0);
                    // A service that restarted with older state is watched from there; the store
                    // never takes an older value for a newer one.
                    revision = reached;
                }
                Err(error) => {
                    event!(ConfigServiceFailed, "{error}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn note_reached(&self, ago_ms: u64) {
        let reached_ms = self.service_contact.note(ago_ms);
        let _ = self
            .routing
            .submit(RoutingCommand::ConfigServiceReached { reached_ms });
    }
}

fn word_of(answer: &ExchangeReply) -> MemberReport {
    MemberReport {
        vm_name: answer.vm_name.clone(),
        incarnation: Incarnation(answer.incarnation),
        clock_ms: 0,
        leaving: answer.leaving,
        endpoint_up: true,
        config_revision: answer.config_revision,
    }
}
