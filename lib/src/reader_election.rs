//! Election of the processes that read the configuration service.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ReaderElectionSettings;
use crate::rendezvous;

/// Purpose in the rendezvous hash by which the readers of an availability zone are ranked.
const READER_PURPOSE: &str = "configuration-reader";
const MS_PER_S: u64 = 1_000;
/// A fallback read is a single watch call with a wait of zero.
const CALLS_PER_FALLBACK_READ: u64 = 1;
/// Half the call limit of the configuration service.
const FALLBACK_CALLS_PER_S: u64 = 1_000;
/// Number of configuration revisions after which readers are elected again.
const REVISIONS_PER_TERM: u64 = 16;

/// Decides whether this process watches the configuration service, or relies on peers that do.
///
/// Each availability zone elects its readers by rendezvous hashing over the members that the
/// process considers alive. Processes that disagree elect a few readers more or fewer, which is
/// harmless, since a reader only reads. A reader receives every changed value in full, so after
/// some revisions other processes become readers, which spreads the bytes over all. A process that
/// has no contact with a reader reads by itself, once in each fallback spread, at a random time
/// that is drawn again for each.
#[derive(Debug)]
pub struct ReaderElection {
    settings: ReaderElectionSettings,
    seed: u64,
    /// Latest time at which a reader, or this process, is known to have reached the service.
    last_contact_ms: u64,
    /// Fallback rounds that have been read or skipped since then.
    fallback_rounds: u64,
    /// Time over which the fallback reads of all processes are spread.
    fallback_spread_ms: u64,
    /// Number of the election, given by the revision in force.
    term: u64,
}

impl ReaderElection {
    /// Creates the election state of a process that starts at `now_ms`; `seed` determines the
    /// random times of its fallback reads.
    #[must_use]
    pub fn new(settings: ReaderElectionSettings, seed: u64, now_ms: u64) -> Self {
        Self {
            fallback_spread_ms: settings.fallback_spread_ms,
            settings,
            seed,
            last_contact_ms: now_ms,
            fallback_rounds: 0,
            term: 0,
        }
    }

    /// Records the revision in force at this process, which determines the term of the readers.
    pub fn observe_revision(&mut self, revision: u64) {
        self.term = revision / REVISIONS_PER_TERM;
    }

    /// Records the number of listed processes. The fallback reads are spread so that those of all
    /// processes stay within half the call limit of the service.
    pub fn observe_processes(&mut self, processes: usize) {
        let min_spread_ms = Self::fallback_spread_ms(
            processes as u64,
            CALLS_PER_FALLBACK_READ,
            FALLBACK_CALLS_PER_S,
        );
        self.fallback_spread_ms = self.settings.fallback_spread_ms.max(min_spread_ms);
    }

    /// Returns the time over which to spread the reads of `processes`, each of `calls_per_read`
    /// calls, so that the configuration service receives `calls_per_s` on average at most.
    #[must_use]
    pub fn fallback_spread_ms(processes: u64, calls_per_read: u64, calls_per_s: u64) -> u64 {
        let calls = processes.saturating_mul(calls_per_read);
        calls.saturating_mul(MS_PER_S).div_ceil(calls_per_s.max(1))
    }

    /// Returns whether this process is a reader, given the VMs of its availability zone that it
    /// considers alive; its own name need not be among them.
    #[must_use]
    pub fn is_reader(&self, live_vms: &[&str]) -> bool {
        self.readers(live_vms)
            .contains(&self.settings.vm_name.as_str())
    }

    /// Returns the readers of the availability zone among the same VMs and this process.
    #[must_use]
    pub fn readers<'a>(&'a self, live_vms: &[&'a str]) -> Vec<&'a str> {
        let mut ranked: Vec<&str> = live_vms.to_vec();
        ranked.push(&self.settings.vm_name);
        ranked.sort_by_cached_key(|vm| Reverse((self.weight(vm), *vm)));
        ranked.dedup();
        ranked.truncate(self.settings.readers_per_zone);
        ranked
    }

    /// Records that a reader, or this process itself, reached the service at `reached_ms`.
    pub fn observe_reader_contact(&mut self, reached_ms: u64) {
        if reached_ms > self.last_contact_ms {
            self.last_contact_ms = reached_ms;
            self.fallback_rounds = 0;
        }
    }

    /// Returns the time of this process's next fallback read, unless a reader reaches the service
    /// before.
    #[must_use]
    pub fn next_fallback_read_ms(&self) -> u64 {
        let settings = &self.settings;
        let first_ms = self
            .last_contact_ms
            .saturating_add(settings.fallback_after_ms);
        let spread_ms = self.fallback_spread_ms.max(1);
        let round_ms = self.fallback_rounds.saturating_mul(spread_ms);
        let drawn = xxh3_64_with_seed(&self.fallback_rounds.to_le_bytes(), self.seed);
        let jitter_ms = drawn % spread_ms;
        first_ms.saturating_add(round_ms).saturating_add(jitter_ms)
    }

    /// Returns whether a fallback read is due; true once for each read.
    pub fn take_due_fallback_read(&mut self, now_ms: u64) -> bool {
        if self.next_fallback_read_ms() > now_ms {
            return false;
        }
        self.fallback_rounds += 1;
        self.skip_missed_rounds(now_ms);
        true
    }

    /// Skips the rounds that passed while the process was suspended, so that their reads don't
    /// follow each other at once.
    fn skip_missed_rounds(&mut self, now_ms: u64) {
        let first_ms = self
            .last_contact_ms
            .saturating_add(self.settings.fallback_after_ms);
        let elapsed_ms = now_ms.saturating_sub(first_ms);
        let current_round = elapsed_ms / self.fallback_spread_ms.max(1);
        self.fallback_rounds = self.fallback_rounds.max(current_round);
        if self.next_fallback_read_ms() <= now_ms {
            self.fallback_rounds += 1;
        }
    }

    fn weight(&self, vm_name: &str) -> u64 {
        let purpose = format!("{READER_PURPOSE} {}", self.term);
        rendezvous::weight(&self.settings.availability_zone, vm_name, &purpose)
    }
}
