//! Which processes read the configuration service.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ReaderElectionSettings;
use crate::rendezvous;

/// Purpose under which the readers of an availability zone are ranked.
const READER_PURPOSE: &str = "configuration-reader";
const MS_PER_S: u64 = 1_000;
/// A watch without wait.
const CALLS_PER_FALLBACK_READ: u64 = 1;
/// Half the calls that the configuration service takes.
const FALLBACK_CALLS_PER_S: u64 = 1_000;
/// Revisions of the configuration service after which readers are elected anew.
const REVISIONS_PER_TERM: u64 = 16;

/// Decides whether this process watches the configuration service, or leaves that to peers.
///
/// Each availability zone elects its readers by rendezvous over the members that are alive in the
/// eyes of each process. Processes that disagree elect a few readers more or fewer, which is
/// harmless, since a reader only reads. A reader gets every changed value whole, so after some
/// revisions other processes take over, and the bytes spread over all. A process without news from a reader reads by itself, once
/// in each fallback spread and at a time drawn anew for each.
#[derive(Debug)]
pub struct ReaderElection {
    settings: ReaderElectionSettings,
    seed: u64,
    /// Time of the last sign that a reader reached the service.
    reader_news_ms: u64,
    fallback_reads: u64,
    /// Time over which the reads of all processes spread.
    fallback_spread_ms: u64,
    /// Counts the times that readers were elected, by the revision in force.
    term: u64,
}

impl ReaderElection {
    /// Makes an election for a process that starts at `now_ms`; `seed` draws its fallback times.
    #[must_use]
    pub fn new(settings: ReaderElectionSettings, seed: u64, now_ms: u64) -> Self {
        Self {
            fallback_spread_ms: settings.fallback_spread_ms,
            settings,
            seed,
            reader_news_ms: now_ms,
            fallback_reads: 0,
            term: 0,
        }
    }

    /// Takes note of the revision in force here, which tells the term of the readers.
    pub fn observe_revision(&mut self, revision: u64) {
        self.term = revision / REVISIONS_PER_TERM;
    }

    /// Takes note of the processes listed, over which reads of their own are spread so that the
    /// service gets at most half the calls that it takes.
    pub fn observe_processes(&mut self, processes: usize) {
        let least_ms = Self::fallback_spread_ms(
            processes as u64,
            CALLS_PER_FALLBACK_READ,
            FALLBACK_CALLS_PER_S,
        );
        self.fallback_spread_ms = self.settings.fallback_spread_ms.max(least_ms);
    }

    /// Returns the spread in which `processes` that read by themselves, each with `calls_per_read`,
    /// stay on average within `calls_per_s` at the configuration service.
    #[must_use]
    pub fn fallback_spread_ms(processes: u64, calls_per_read: u64, calls_per_s: u64) -> u64 {
        let calls = processes.saturating_mul(calls_per_read);
        calls.saturating_mul(MS_PER_S).div_ceil(calls_per_s.max(1))
    }

    /// Tells whether this process is a reader, given the VMs of its availability zone that it
    /// holds for alive; its own name need not be among them.
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

    /// Takes note that a reader, or this process itself, reached the service at `reached_ms`.
    pub fn observe_reader_contact(&mut self, reached_ms: u64) {
        if reached_ms > self.reader_news_ms {
            self.reader_news_ms = reached_ms;
            self.fallback_reads = 0;
        }
    }

    /// Returns the time of this process's next read of its own, unless news from a reader come
    /// before.
    #[must_use]
    pub fn next_fallback_read_ms(&self) -> u64 {
        let settings = &self.settings;
        let first_ms = self
            .reader_news_ms
            .saturating_add(settings.fallback_after_ms);
        let spread_ms = self.fallback_spread_ms.max(1);
        let round_ms = self.fallback_reads.saturating_mul(spread_ms);
        let drawn = xxh3_64_with_seed(&self.fallback_reads.to_le_bytes(), self.seed);
        let jitter_ms = drawn % spread_ms;
        first_ms.saturating_add(round_ms).saturating_add(jitter_ms)
    }

    /// Tells whether a read of its own is due; true once for each read.
    pub fn take_due_fallback_read(&mut self, now_ms: u64) -> bool {
        if self.next_fallback_read_ms() > now_ms {
            return false;
        }
        self.fallback_reads += 1;
        self.skip_missed_rounds(now_ms);
        true
    }

    /// Drops the rounds that passed while the process was paused, so that they don't follow each
    /// other at once.
    fn skip_missed_rounds(&mut self, now_ms: u64) {
        let first_ms = self
            .reader_news_ms
            .saturating_add(self.settings.fallback_after_ms);
        let elapsed_ms = now_ms.saturating_sub(first_ms);
        let current_round = elapsed_ms / self.fallback_spread_ms.max(1);
        self.fallback_reads = self.fallback_reads.max(current_round);
        if self.next_fallback_read_ms() <= now_ms {
            self.fallback_reads += 1;
        }
    }

    fn weight(&self, vm_name: &str) -> u64 {
        let purpose = format!("{READER_PURPOSE} {}", self.term);
        rendezvous::weight(&self.settings.availability_zone, vm_name, &purpose)
    }
}
