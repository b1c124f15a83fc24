//! Keeps the configuration of an entry up to date, from the configuration service or from peers.

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
const STARTUP_DEADLINE_MS: u64 = 2000;
const STARTUP_EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
const STARTUP_PEERS_PER_ROUND: usize = 3;
/// Time of a service contact that has not happened yet.
const NEVER: u64 = u64::MAX;

/// Time at which this process, or a peer that reported it, last reached the configuration service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceContact {
    clock: Clock,
    at_ms: Arc<AtomicU64>,
}

impl ServiceContact {
    /// Creates a record without any contact.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            at_ms: Arc::new(AtomicU64::new(NEVER)),
        }
    }

    /// Returns the time since the service was last reached, in milliseconds; `None` if it never
    /// was.
    pub(crate) fn ago_ms(&self) -> Option<u64> {
        let at_ms = self.at_ms.load(Ordering::Acquire);
        (at_ms != NEVER).then(|| self.clock.now_ms().saturating_sub(at_ms))
    }

    /// Records that the service was reached `ago_ms` ago, and returns the clock time of that
    /// contact.
    fn record(&self, ago_ms: u64) -> u64 {
        let at_ms = self.clock.now_ms().saturating_sub(ago_ms);
        let latest_ms = self.at_ms.load(Ordering::Acquire);
        if latest_ms == NEVER || latest_ms < at_ms {
            self.at_ms.store(at_ms, Ordering::Release);
        }
        at_ms
    }
}

/// Keeps the configuration of an entry up to date.
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
    /// Exchanges configuration with peers, and watches the service while this entry is one of its
    /// readers, until the process ends.
    pub(crate) async fn run(self, plans: watch::Receiver<Option<ControlPlan>>) {
        let (is_reader, is_reader_receiver) = watch::channel(true);
        tokio::spawn(self.clone().watch_while_reader(is_reader_receiver));
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

    /// Reads the service and exchanges with some peers before the process serves, so that a stale
    /// service cannot bring back a revision that the fleet has replaced.
    pub(crate) async fn catch_up(&self, mut plans: watch::Receiver<Option<ControlPlan>>) {
        let mut gate = ConfigStartupGate::new(self.clock.now_ms() + STARTUP_DEADLINE_MS);
        let first_plan = plans
            .wait_for(|plan| plan.as_ref().is_some_and(|plan| plan.has_list))
            .await;
        let Some(plan) = first_plan.ok().and_then(|plan| plan.clone()) else {
            return;
        };
        let mut contacted: Vec<PeerTarget> = Vec::new();
        let mut plan = plan;
        let mut schedule =
            StartupReadSchedule::new(plan.listed_vms, rand::random(), self.clock.now_ms());
        while gate.decide(self.clock.now_ms()) == StartupDecision::Wait {
            let uncontacted = plan.peers.iter().filter(|peer| !contacted.contains(peer));
            let selected = uncontacted
                .cloned()
                .sample(&mut rand::rng(), STARTUP_PEERS_PER_ROUND);
            for peer in &selected {
                gate.expect_peer(&peer.vm_name);
            }
            contacted.extend(selected);
            if schedule.take_due(self.clock.now_ms()) {
                self.read_at_startup(&mut schedule, &mut gate).await;
            }
            self.exchange_all_at_startup(&contacted, &mut gate).await;
            tokio::time::sleep(STARTUP_EXCHANGE_INTERVAL).await;
            if let Some(latest) = plans.borrow().clone() {
                plan = latest;
            }
        }
    }

    async fn read_at_startup(
        &self,
        schedule: &mut StartupReadSchedule,
        gate: &mut ConfigStartupGate,
    ) {
        match self.source.read(0, Duration::ZERO).await {
            Ok(_) => {
                self.record_service_contact(0);
                schedule.record_answer();
                gate.service_answered();
            }
            Err(error) => event!(ConfigServiceFailed, "{error}"),
        }
    }

    /// Exchanges configuration with all selected peers again.
    async fn exchange_all_at_startup(&self, peers: &[PeerTarget], gate: &mut ConfigStartupGate) {
        let exchanges = peers.iter().map(|peer| self.exchange_at_startup(peer));
        for (peer, answer) in peers.iter().zip(futures::future::join_all(exchanges).await) {
            match answer {
                Ok(answer) if answer.starting => gate.peer_absent(&peer.vm_name),
                Ok(_) => gate.peer_answered(&peer.vm_name),
                Err(ExchangeError::Refused) => gate.peer_absent(&peer.vm_name),
                Err(ExchangeError::NoAnswer) => {}
            }
        }
    }

    async fn exchange_at_startup(&self, peer: &PeerTarget) -> Result<ExchangeReply, ExchangeError> {
        self.source.exchange(&peer.peer_address).await
    }

    /// Exchanges configuration with one random reader, unless this entry is a reader itself, and
    /// with one random other entry. Reads the service directly if the fallback is due.
    async fn exchange_once(&self, plan: &ControlPlan) {
        let reader = if plan.is_reader {
            None
        } else {
            plan.readers.choose(&mut rand::rng())
        };
        let peer = plan.peers.choose(&mut rand::rng());
        let other_peer = peer.filter(|peer| reader.is_none_or(|r| r.vm_name != peer.vm_name));
        let exchanges = [reader, other_peer]
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
                    self.record_service_contact(ago_ms);
                }
                RoutingCommand::PeerReport {
                    report: report_of(&answer),
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
            Ok(_) => self.record_service_contact(0),
            Err(error) => event!(ConfigServiceFailed, "{error}"),
        }
    }

    /// Watches the service while this entry is one of its readers.
    async fn watch_while_reader(self, mut is_reader: watch::Receiver<bool>) {
        let mut revision = self.source.config.load().revision;
        loop {
            if !*is_reader.borrow_and_update() {
                if is_reader.wait_for(|is_reader| *is_reader).await.is_err() {
                    return;
                }
                // Peers have sent the changes up to the revision in force.
                revision = self.source.config.load().revision;
            }
            let read = tokio::select! {
                read = self.source.read(revision, self.watch_wait) => read,
                _ = is_reader.changed() => continue,
            };
            match read {
                Ok(read_revision) => {
                    self.record_service_contact(0);
                    // After the service has restarted with older state, the watch continues from
                    // its lower revision. The store never replaces a value by an older one.
                    revision = read_revision;
                }
                Err(error) => {
                    event!(ConfigServiceFailed, "{error}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn record_service_contact(&self, ago_ms: u64) {
        let reached_ms = self.service_contact.record(ago_ms);
        let _ = self
            .routing
            .submit(RoutingCommand::ConfigServiceReached { reached_ms });
    }
}

fn report_of(answer: &ExchangeReply) -> MemberReport {
    MemberReport {
        vm_name: answer.vm_name.clone(),
        incarnation: Incarnation(answer.incarnation),
        clock_ms: 0,
        leaving: answer.leaving,
        endpoint_up: true,
        config_revision: answer.config_revision,
    }
}
