//! One process's view of the other VMs.
//!
//! The platform's VM list lags, so it only says who may exist. Whether a process runs, and whether
//! it is leaving, is its own word, which it gives in answers to heartbeats and beside other
//! answers. The view steers routing; no guarantee rests on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::HeartbeatTiming;
use crate::Incarnation;
use crate::ListedVm;
use crate::Member;
use crate::MemberReport;
use crate::MemberState;
use crate::MembershipSettings;
use crate::ReportEffect;

/// One process's view of the other VMs.
///
/// A word counts from the time at which its request was sent, or from the later one that follows
/// from the process's own clock since its word before, not from its receipt. So a process that began to leave is no longer [`MemberState::Alive`] here after `suspect_after_ms`, however
/// late answers come and however old the VM list is.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    members: BTreeMap<String, Member>,
    /// Digest of what heartbeats tell; without one they only ask.
    update_digest: Option<u64>,
}

impl Membership {
    /// Makes a view that knows no other VM.
    #[must_use]
    pub fn new(settings: MembershipSettings) -> Self {
        Self {
            settings,
            members: BTreeMap::new(),
            update_digest: None,
        }
    }

    /// Sets the digest of what heartbeats tell; a changed one is not put off by other words.
    pub fn set_update_digest(&mut self, update_digest: u64) {
        self.update_digest = Some(update_digest);
    }

    /// Changes the pace of heartbeats, and the silence after which a VM is suspected with it.
    pub fn set_heartbeat_timing(&mut self, timing: HeartbeatTiming) {
        self.settings.heartbeat_interval_ms = timing.interval_ms;
        self.settings.suspect_after_ms = timing.suspect_after_ms;
    }

    /// Takes a whole VM list. VMs that it lacks are kept while they answer.
    pub fn observe_list(&mut self, vms: &[ListedVm], now_ms: u64) {
        let named: BTreeSet<&str> = vms.iter().map(|vm| vm.vm_name.as_str()).collect();
        for (name, member) in &mut self.members {
            member.is_listed = named.contains(name.as_str());
        }
        for vm in vms {
            if vm.vm_name == self.settings.vm_name {
                continue;
            }
            if let Some(member) = self.members.get_mut(&vm.vm_name) {
                member.observe_listed(vm);
                continue;
            }
            let first_ms = now_ms.saturating_add(self.heartbeat_offset_ms(&vm.vm_name));
            let member = Member::new(vm.clone(), first_ms);
            self.members.insert(vm.vm_name.clone(), member);
        }
        self.forget(now_ms);
    }

    /// Takes a process's own word, in answer to a request sent at `request_sent_ms`.
    pub fn observe_report(
        &mut self,
        word: &MemberReport,
        request_sent_ms: u64,
        now_ms: u64,
    ) -> ReportEffect {
        match self.members.get_mut(&word.vm_name) {
            Some(member) => member.observe_report(word, request_sent_ms, now_ms),
            None => ReportEffect::Ignored,
        }
    }

    /// Notes that a request failed to reach the VM's process, or that its connection broke.
    ///
    /// The VM is suspected until a word comes that was made after this.
    pub fn observe_failure(&mut self, vm_name: &str, now_ms: u64) {
        if let Some(member) = self.members.get_mut(vm_name) {
            member.observe_failure(now_ms);
        }
    }

    /// Notes that the VM's process has heard the news of this digest by a heartbeat.
    pub fn observe_acknowledged_digest(&mut self, vm_name: &str, update_digest: u64) {
        if let Some(member) = self.members.get_mut(vm_name) {
            member.observe_acknowledged_digest(update_digest);
        }
    }

    /// Returns the digest of what a heartbeat tells the VM's process now.
    #[must_use]
    pub fn update_digest(&self, member: &Member) -> u64 {
        self.update_digest
            .map_or(0, |digest| member.update_digest(digest))
    }

    /// Takes another process's word that an incarnation is leaving.
    pub fn observe_relayed_leaving(&mut self, vm_name: &str, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(vm_name) {
            member.observe_relayed_leaving(incarnation);
        }
    }

    /// Returns which of the monitored VMs are due a heartbeat now, and plans their next ones.
    pub fn due_heartbeats(&mut self, monitored: &[&str], now_ms: u64) -> Vec<String> {
        let interval_ms = self.settings.heartbeat_interval_ms;
        let update_digest = self.update_digest;
        let mut due = Vec::new();
        for name in monitored {
            let Some(member) = self.members.get_mut(*name) else {
                continue;
            };
            if member.take_due_heartbeat(now_ms, interval_ms, update_digest) {
                due.push((*name).to_owned());
            }
        }
        due
    }

    /// Returns how the VM is regarded, or `None` when it is unknown.
    #[must_use]
    pub fn state(&self, vm_name: &str, now_ms: u64) -> Option<MemberState> {
        let member = self.members.get(vm_name)?;
        Some(member.state(now_ms, self.settings.suspect_after_ms))
    }

    /// Returns what is known of the VM.
    #[must_use]
    pub fn member(&self, vm_name: &str) -> Option<&Member> {
        self.members.get(vm_name)
    }

    /// Returns all known VMs in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the endpoints of a service that are in the given state.
    pub fn endpoints_in_state(
        &self,
        service: &str,
        state: MemberState,
        now_ms: u64,
    ) -> impl Iterator<Item = &Member> {
        let suspect_after_ms = self.settings.suspect_after_ms;
        self.endpoints(service)
            .filter(move |member| member.state(now_ms, suspect_after_ms) == state)
    }

    /// Returns the endpoints of a service that are alive, or would be but for a failed request.
    pub fn endpoints_reported_alive(
        &self,
        service: &str,
        now_ms: u64,
    ) -> impl Iterator<Item = &Member> {
        let suspect_after_ms = self.settings.suspect_after_ms;
        self.endpoints(service).filter(move |member| {
            member.state_by_reports(now_ms, suspect_after_ms) == MemberState::Alive
        })
    }

    fn endpoints(&self, service: &str) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |member| member.listed().service == service)
    }

    /// Returns the highest configuration revision that any known process named.
    #[must_use]
    pub fn highest_config_revision(&self) -> u64 {
        let words = self.members.values().filter_map(Member::word);
        words.map(|word| word.config_revision).max().unwrap_or(0)
    }

    /// Forgets VMs that left the list and have not answered for long.
    pub fn forget(&mut self, now_ms: u64) {
        let forget_after_ms = self.settings.forget_after_ms;
        self.members.retain(|_, member| {
            let silent_ms = now_ms.saturating_sub(member.latest_report_ms());
            let was_heard = member.word().is_some();
            member.is_listed || (was_heard && silent_ms <= forget_after_ms)
        });
    }

    /// Spreads the first heartbeats of processes that start together.
    fn heartbeat_offset_ms(&self, vm_name: &str) -> u64 {
        let seed = xxh3_64_with_seed(self.settings.vm_name.as_bytes(), 0);
        let hash = xxh3_64_with_seed(vm_name.as_bytes(), seed);
        hash % self.settings.heartbeat_interval_ms.max(1)
    }
}
