//! One process's view of the other VMs.
//!
//! The platform's VM list lags, so it only shows which VMs may exist. Whether a process runs, and
//! whether it is leaving, is known from its own reports, in replies to heartbeats and in other
//! answers. The view directs routing; no guarantee depends on it.

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
/// A report counts from the time at which its request was sent, or from a later time that follows
/// from the process's own clock since its previous report, not from its receipt. A process that
/// began to leave is therefore no longer [`MemberState::Alive`] here after `suspect_after_ms`,
/// however late answers arrive and however old the VM list is.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    members: BTreeMap<String, Member>,
    /// Times at which requests to VMs that are no members failed last; they may be listed again.
    failures_ms: BTreeMap<String, u64>,
    /// Digest of the state that heartbeats carry; without one they only request reports.
    update_digest: Option<u64>,
}

impl Membership {
    /// Creates a view without other VMs.
    #[must_use]
    pub fn new(settings: MembershipSettings) -> Self {
        Self {
            settings,
            members: BTreeMap::new(),
            failures_ms: BTreeMap::new(),
            update_digest: None,
        }
    }

    /// Sets the digest of the state that heartbeats carry. Heartbeats that carry a changed state
    /// are not postponed by reports in other answers.
    pub fn set_update_digest(&mut self, update_digest: u64) {
        self.update_digest = Some(update_digest);
    }

    /// Sets the heartbeat interval and the time without a report after which a VM is suspected.
    pub fn set_heartbeat_timing(&mut self, timing: HeartbeatTiming) {
        self.settings.heartbeat_interval_ms = timing.interval_ms;
        self.settings.suspect_after_ms = timing.suspect_after_ms;
    }

    /// Applies a complete VM list. VMs that are no longer on it are kept while they answer.
    pub fn observe_list(&mut self, vms: &[ListedVm], now_ms: u64) {
        let listed_names: BTreeSet<&str> = vms.iter().map(|vm| vm.vm_name.as_str()).collect();
        for (name, member) in &mut self.members {
            member.is_listed = listed_names.contains(name.as_str());
        }
        for vm in vms {
            if vm.vm_name == self.settings.vm_name {
                continue;
            }
            if let Some(member) = self.members.get_mut(&vm.vm_name) {
                member.observe_listed(vm);
                continue;
            }
            let first_heartbeat_ms = now_ms.saturating_add(self.heartbeat_offset_ms(&vm.vm_name));
            let mut member = Member::new(vm.clone(), first_heartbeat_ms);
            if let Some(failed_ms) = self.failures_ms.remove(&vm.vm_name) {
                member.observe_failure(failed_ms);
            }
            self.members.insert(vm.vm_name.clone(), member);
        }
        self.forget(now_ms);
    }

    /// Applies a process's own report, in the answer to a request sent at `request_sent_ms`.
    pub fn observe_report(
        &mut self,
        report: &MemberReport,
        request_sent_ms: u64,
        now_ms: u64,
    ) -> ReportEffect {
        match self.members.get_mut(&report.vm_name) {
            Some(member) => member.observe_report(report, request_sent_ms, now_ms),
            None => ReportEffect::Ignored,
        }
    }

    /// Records that a request failed to reach the VM's process, or that its connection broke.
    ///
    /// The VM is suspected until it sends a report made after this.
    pub fn observe_failure(&mut self, vm_name: &str, now_ms: u64) {
        match self.members.get_mut(vm_name) {
            Some(member) => member.observe_failure(now_ms),
            None => {
                self.failures_ms.insert(vm_name.to_owned(), now_ms);
            }
        }
    }

    /// Records that the VM's process has received the state of this digest by a heartbeat.
    pub fn observe_acknowledged_digest(&mut self, vm_name: &str, update_digest: u64) {
        if let Some(member) = self.members.get_mut(vm_name) {
            member.observe_acknowledged_digest(update_digest);
        }
    }

    /// Returns the digest of the state that a heartbeat carries to the VM's process now.
    #[must_use]
    pub fn update_digest(&self, member: &Member) -> u64 {
        self.update_digest
            .map_or(0, |digest| member.update_digest(digest))
    }

    /// Applies a report of another process that an incarnation is leaving.
    pub fn observe_relayed_leaving(&mut self, vm_name: &str, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(vm_name) {
            member.observe_relayed_leaving(incarnation);
        }
    }

    /// Returns the monitored VMs to which a heartbeat is due now, and schedules their next ones.
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

    /// Returns the state of the VM, or `None` if it is unknown.
    #[must_use]
    pub fn state(&self, vm_name: &str, now_ms: u64) -> Option<MemberState> {
        let member = self.members.get(vm_name)?;
        Some(member.state(now_ms, self.settings.suspect_after_ms))
    }

    /// Returns the view of one VM, or `None` if it is unknown.
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

    /// Returns the endpoints of a service that are alive if failed requests are disregarded.
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

    /// Returns the highest configuration revision in the reports of all known processes.
    #[must_use]
    pub fn highest_config_revision(&self) -> u64 {
        let reports = self.members.values().filter_map(Member::report);
        reports
            .map(|report| report.config_revision)
            .max()
            .unwrap_or(0)
    }

    /// Forgets VMs that are no longer on the list and have not answered for `forget_after_ms`.
    pub fn forget(&mut self, now_ms: u64) {
        let forget_after_ms = self.settings.forget_after_ms;
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) <= forget_after_ms;
        let forgotten = self.members.extract_if(.., |_, member| {
            let has_reported = member.report().is_some();
            let is_heard = has_reported && is_recent(member.latest_report_ms());
            !member.is_listed && !is_heard
        });
        let failures = forgotten.filter_map(|(name, member)| Some((name, member.failed_ms()?)));
        self.failures_ms.extend(failures);
        self.failures_ms
            .retain(|_, failed_ms| is_recent(*failed_ms));
    }

    /// Returns a delay that spreads the first heartbeats of processes that start at the same time.
    fn heartbeat_offset_ms(&self, vm_name: &str) -> u64 {
        let seed = xxh3_64_with_seed(self.settings.vm_name.as_bytes(), 0);
        let hash = xxh3_64_with_seed(vm_name.as_bytes(), seed);
        hash % self.settings.heartbeat_interval_ms.max(1)
    }
}
