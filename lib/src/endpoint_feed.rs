//! The endpoint list of an entry, received from the platform or from other entries.

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
use crate::EndpointChange;
use crate::EndpointDirectory;
use crate::EndpointList;
use crate::EndpointRecord;
use crate::EndpointSnapshot;
use crate::ListSource;
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

    /// Replaces the list by all records that the platform publishes as of `revision`, each with the
    /// revision of its last change.
    pub fn replace_all(&self, records: Vec<(EndpointRecord, u64)>, revision: u64) {
        let mut directory = self.directory();
        self.observe_platform_answer(&mut directory);
        directory.replace(records, revision, self.now_ms());
        self.publish_directory(&directory);
    }

    /// Applies changes that the platform publishes; without any, it only records that the list is
    /// current up to `revision`.
    pub fn apply_changes(&self, changes: Vec<EndpointChange>, revision: u64) {
        let now_ms = self.now_ms();
        let has_changes = !changes.is_empty();
        let mut directory = self.directory();
        self.observe_platform_answer(&mut directory);
        for change in changes {
            match change.record {
                Some(record) => directory.upsert(record, change.revision),
                None => directory.remove(&change.id, change.revision, now_ms),
            }
        }
        directory.confirm(revision);
        if has_changes {
            self.publish_directory(&directory);
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
            revision: self.directory().revision(),
            age_ms: self.age_ms(),
            endpoints: records.map(|record| (**record).clone()).collect(),
        })
    }

    /// Replaces the list by that of another entry while the platform can't be read; returns
    /// whether the list has changed.
    pub(crate) fn replace_from_entry(&self, snapshot: EndpointSnapshot, address: &str) -> bool {
        let mut directory = self.directory();
        let revision = snapshot.revision;
        if self.follows_platform() || !directory.replace_from_entry(snapshot.endpoints, revision) {
            return false;
        }
        let confirmed_ms = self.now_ms().saturating_sub(snapshot.age_ms);
        self.inner
            .confirmed_ms
            .store(confirmed_ms, Ordering::Release);
        let records = directory.list();
        if self.list().is_some_and(|list| list.records == records) {
            return false;
        }
        self.set_list(EndpointList {
            records,
            missing: directory.missing(),
            revision,
            source: ListSource::Entry(address.to_owned()),
        });
        true
    }

    /// Removes the missing records whose grace period has ended; returns the time until the next
    /// one ends.
    fn expire(&self) -> Option<Duration> {
        let now_ms = self.now_ms();
        let mut directory = self.directory();
        if directory.expire(now_ms) {
            self.publish_directory(&directory);
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

    fn publish_directory(&self, directory: &EndpointDirectory) {
        self.set_list(EndpointList {
            records: directory.list(),
            missing: directory.missing(),
            revision: directory.revision(),
            source: ListSource::Platform,
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
