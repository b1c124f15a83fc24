//! The endpoint list of an entry, received from the platform or from other entries.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

use crate::Clock;
use crate::DepartedEndpoint;
use crate::EndpointChange;
use crate::EndpointDirectory;
use crate::EndpointList;
use crate::EndpointRecord;
use crate::EndpointSnapshot;
use crate::ListSource;
use crate::PlatformRevision;
use crate::event;

/// The endpoint list of an entry, received from the platform or from other entries.
///
/// Clones share one list.
#[derive(Clone)]
pub struct EndpointFeed {
    inner: Arc<Inner>,
}

struct Inner {
    clock: Clock,
    directory: Mutex<EndpointDirectory>,
    /// The list in use; `None` until one was received.
    list: watch::Sender<Option<Arc<EndpointList>>>,
    follows_platform: watch::Sender<bool>,
    /// Time at which the platform last confirmed the list, to this entry or to the one that
    /// supplied it.
    confirmed_ms: AtomicU64,
}

impl EndpointFeed {
    /// Creates a feed without a list, for endpoints that renew their records every `heartbeat_ms`;
    /// must be called within a tokio runtime.
    pub(crate) fn new(clock: Clock, heartbeat_ms: u64) -> Self {
        let inner = Inner {
            clock,
            directory: Mutex::new(EndpointDirectory::for_heartbeat(heartbeat_ms)),
            list: watch::channel(None).0,
            follows_platform: watch::channel(false).0,
            confirmed_ms: AtomicU64::new(0),
        };
        let feed = Self {
            inner: Arc::new(inner),
        };
        let lists = feed.lists();
        tokio::spawn(expire_missing_records(Arc::downgrade(&feed.inner), lists));
        feed
    }

    /// Replaces the list by all records that the platform publishes as of `position`, each with the
    /// revision of its last change. An answer from before the platform was restored is ignored.
    pub fn replace_all(&self, records: Vec<(EndpointRecord, u64)>, position: PlatformRevision) {
        let mut directory = self.directory();
        if position.era < directory.position().era {
            return;
        }
        self.observe_platform_answer(&mut directory);
        self.log_new_era(directory.position(), position);
        directory.replace(records, position, self.now_ms());
        self.publish_directory(&directory, ListSource::Platform);
    }

    /// Applies changes that the platform publishes; without any, it only records that the list is
    /// current up to `position`. Changes of another era than the list's are ignored.
    pub fn apply_changes(&self, changes: Vec<EndpointChange>, position: PlatformRevision) {
        let now_ms = self.now_ms();
        let has_changes = !changes.is_empty();
        let mut directory = self.directory();
        if position.era != directory.position().era {
            return;
        }
        self.observe_platform_answer(&mut directory);
        for change in changes {
            let changed_at = PlatformRevision::new(position.era, change.revision);
            match change.record {
                Some(record) => directory.upsert(record, changed_at, now_ms),
                None => directory.remove(&change.id, changed_at, now_ms),
            }
        }
        directory.confirm(position);
        if has_changes {
            self.publish_directory(&directory, ListSource::Platform);
        }
    }

    /// Records that the platform can't be read.
    pub fn mark_platform_unreachable(&self) {
        self.inner.follows_platform.send_replace(false);
    }

    /// Returns whether the platform can be read, so that the list follows its changes.
    #[must_use]
    pub fn follows_platform(&self) -> bool {
        *self.inner.follows_platform.borrow()
    }

    /// Returns the time since the platform last confirmed the list.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        let confirmed_ms = self.inner.confirmed_ms.load(Ordering::Acquire);
        self.now_ms().saturating_sub(confirmed_ms)
    }

    /// Returns the list in use; `None` until one was received.
    #[must_use]
    pub fn list(&self) -> Option<Arc<EndpointList>> {
        self.inner.list.borrow().clone()
    }

    /// Returns a receiver of the list in use.
    pub(crate) fn lists(&self) -> watch::Receiver<Option<Arc<EndpointList>>> {
        self.inner.list.subscribe()
    }

    /// Returns the list as it is sent to other entries; `None` until one was received.
    pub(crate) fn snapshot(&self) -> Option<EndpointSnapshot> {
        let list = self.list()?;
        let records = list.records.iter();
        Some(EndpointSnapshot {
            position: self.directory().position(),
            age_ms: self.age_ms(),
            endpoints: records.map(|record| (**record).clone()).collect(),
        })
    }

    /// Replaces the list by that of another entry while the platform can't be read; returns
    /// whether the list has changed.
    pub(crate) fn replace_from_entry(&self, snapshot: EndpointSnapshot, address: &str) -> bool {
        let mut directory = self.directory();
        if self.follows_platform() {
            return false;
        }
        let EndpointSnapshot {
            position,
            age_ms,
            endpoints,
        } = snapshot;
        let now_ms = self.now_ms();
        let before = directory.position();
        if !directory.replace_from_entry(endpoints, position, now_ms) {
            return false;
        }
        self.log_new_era(before, position);
        let confirmed_ms = now_ms.saturating_sub(age_ms);
        self.inner
            .confirmed_ms
            .store(confirmed_ms, Ordering::Release);
        if !self.has_changed(&directory) {
            return false;
        }
        self.publish_directory(&directory, ListSource::Entry(address.to_owned()));
        true
    }

    /// Returns whether the platform was restored so recently that other entries may know of
    /// endpoints that left before, which this one believes to be live.
    pub(crate) fn is_settling(&self) -> bool {
        self.directory().is_settling(self.now_ms())
    }

    /// Returns what this entry knows of endpoints that have left.
    pub(crate) fn departed(&self) -> Vec<DepartedEndpoint> {
        self.directory().departed()
    }

    /// Takes over what another entry knows of endpoints that left before the platform was restored.
    pub(crate) fn merge_departed(&self, departed: Vec<DepartedEndpoint>) {
        let mut directory = self.directory();
        directory.merge_departed(departed, self.now_ms());
        self.publish_if_changed(&directory);
    }

    /// Sets the services that the configuration in force names.
    pub(crate) fn set_named_services(&self, services: BTreeSet<String>) {
        let mut directory = self.directory();
        directory.set_named_services(services);
        self.publish_if_changed(&directory);
    }

    /// Removes the missing records whose grace period has ended; returns the time until the next
    /// one ends.
    fn expire(&self) -> Option<Duration> {
        let now_ms = self.now_ms();
        let mut directory = self.directory();
        if directory.expire(now_ms) {
            self.publish_directory(&directory, ListSource::Platform);
        }
        let next_ms = directory.next_expiry_ms()?;
        Some(Duration::from_millis(next_ms.saturating_sub(now_ms)))
    }

    /// Records an answer from the platform.
    fn observe_platform_answer(&self, directory: &mut EndpointDirectory) {
        let now_ms = self.now_ms();
        let silent_ms = directory.silent_ms(now_ms).unwrap_or(now_ms);
        directory.observe_platform_answer(now_ms);
        self.inner.confirmed_ms.store(now_ms, Ordering::Release);
        if !self.inner.follows_platform.send_replace(true) {
            event!(PlatformHeard, "silent_ms={silent_ms}");
        }
    }

    /// Logs that the platform began a new era, unless this is the first one that is known.
    fn log_new_era(&self, before: PlatformRevision, now: PlatformRevision) {
        if now.era > before.era && self.list().is_some() {
            event!(
                PlatformRestored,
                "era_before={} revision_before={} era={} revision={}",
                before.era,
                before.revision,
                now.era,
                now.revision
            );
        }
    }

    /// Returns whether the directory differs from the list in use.
    fn has_changed(&self, directory: &EndpointDirectory) -> bool {
        self.list().is_none_or(|list| {
            list.records != directory.list() || list.held_back != directory.held_back()
        })
    }

    /// Publishes the list again, if there is one, unless it is still the same.
    fn publish_if_changed(&self, directory: &EndpointDirectory) {
        if self.has_changed(directory)
            && let Some(list) = self.list()
        {
            self.publish_directory(directory, list.source.clone());
        }
    }

    fn publish_directory(&self, directory: &EndpointDirectory, source: ListSource) {
        self.set_list(EndpointList {
            records: directory.list(),
            missing: directory.missing(),
            held_back: directory.held_back(),
            position: directory.position(),
            source,
        });
    }

    fn set_list(&self, list: EndpointList) {
        list.log_changes_since(self.list().as_deref());
        self.inner.list.send_replace(Some(Arc::new(list)));
    }

    fn now_ms(&self) -> u64 {
        self.inner.clock.now_ms()
    }

    fn directory(&self) -> MutexGuard<'_, EndpointDirectory> {
        let directory = self.inner.directory.lock();
        directory.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes missing records when their grace period ends, even while the platform does not answer.
/// Ends when the feed is dropped.
async fn expire_missing_records(
    feed: Weak<Inner>,
    mut lists: watch::Receiver<Option<Arc<EndpointList>>>,
) {
    while let Some(inner) = feed.upgrade() {
        let until_expiry = EndpointFeed { inner }.expire();
        let change = match until_expiry {
            Some(until_expiry) => tokio::time::timeout(until_expiry, lists.changed()).await,
            None => Ok(lists.changed().await),
        };
        if let Ok(Err(_)) = change {
            return;
        }
    }
}
