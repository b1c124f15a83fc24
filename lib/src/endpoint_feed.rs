//! The list of endpoints of an entry, as the platform and other entries tell it.

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

/// The list of endpoints of an entry, as the platform and other entries tell it.
///
/// Copies share one list.
#[derive(Clone)]
pub struct EndpointFeed {
    inner: Arc<Inner>,
}

struct Inner {
    clock: Clock,
    directory: Mutex<EndpointDirectory>,
    /// The list in use; absent until one was told.
    list: watch::Sender<Option<Arc<EndpointList>>>,
    follows_platform: watch::Sender<bool>,
    /// When the platform last confirmed the list, to this entry or to the one that told it.
    confirmed_ms: AtomicU64,
}

impl EndpointFeed {
    /// Makes a feed that knows no list, of endpoints that write to the platform every
    /// `heartbeat_ms`; must be called on a tokio runtime.
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
        tokio::spawn(expire_in_time(Arc::downgrade(&feed.inner), lists));
        feed
    }

    /// Takes over all records that the platform publishes, each with the revision of its last
    /// change, as of `revision`.
    pub fn replace_all(&self, records: Vec<(EndpointRecord, u64)>, revision: u64) {
        let mut directory = self.directory();
        self.observe_platform_answer(&mut directory);
        directory.replace(records, revision, self.now_ms());
        self.publish(&directory);
    }

    /// Takes over changes that the platform publishes; without any, the list holds at `revision`
    /// as well.
    pub fn apply_changes(&self, changes: Vec<EndpointChange>, revision: u64) {
        let now_ms = self.now_ms();
        let has_changes = !changes.is_empty();
        let mut directory = self.directory();
        self.observe_platform_answer(&mut directory);
        for change in changes {
            match change.record {
                Some(record) => directory.change(record, change.revision),
                None => directory.remove(&change.id, change.revision, now_ms),
            }
        }
        directory.confirm(revision);
        if has_changes {
            self.publish(&directory);
        }
    }

    /// Notes that the platform can't be read.
    pub fn mark_platform_unreachable(&self) {
        self.inner.follows_platform.send_replace(false);
    }

    /// Returns whether the list follows what the platform publishes.
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

    /// Returns the list in use; absent until one was told.
    #[must_use]
    pub fn list(&self) -> Option<Arc<EndpointList>> {
        self.inner.list.borrow().clone()
    }

    /// Returns a receiver of the list in use.
    pub(crate) fn lists(&self) -> watch::Receiver<Option<Arc<EndpointList>>> {
        self.inner.list.subscribe()
    }

    /// Returns the list as another entry is told it; absent until one is known.
    pub(crate) fn snapshot(&self) -> Option<EndpointSnapshot> {
        let list = self.list()?;
        let records = list.records.iter();
        Some(EndpointSnapshot {
            revision: self.directory().revision(),
            age_ms: self.age_ms(),
            endpoints: records.map(|record| (**record).clone()).collect(),
        })
    }

    /// Takes over the list of another entry while the platform can't be heard; returns whether it
    /// differs from the present one.
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
        self.put_in_use(EndpointList {
            records,
            missing: directory.missing(),
            revision,
            source: ListSource::Entry(address.to_owned()),
        });
        true
    }

    /// Forgets the records that are missing and did not come back in time; returns the time until
    /// the next ones are to be forgotten.
    fn expire(&self) -> Option<Duration> {
        let now_ms = self.now_ms();
        let mut directory = self.directory();
        if directory.expire(now_ms) {
            self.publish(&directory);
        }
        let next_ms = directory.next_expiry_ms()?;
        Some(Duration::from_millis(next_ms.saturating_sub(now_ms)))
    }

    /// Notes that the platform has answered.
    fn observe_platform_answer(&self, directory: &mut EndpointDirectory) {
        let now_ms = self.now_ms();
        let silent_ms = directory.silent_ms(now_ms).unwrap_or(now_ms);
        directory.observe_platform_answer(now_ms);
        self.inner.confirmed_ms.store(now_ms, Ordering::Release);
        if !self.inner.follows_platform.send_replace(true) {
            event!(PlatformHeard, "silent_ms={silent_ms}");
        }
    }

    fn publish(&self, directory: &EndpointDirectory) {
        self.put_in_use(EndpointList {
            records: directory.list(),
            missing: directory.missing(),
            revision: directory.revision(),
            source: ListSource::Platform,
        });
    }

    fn put_in_use(&self, list: EndpointList) {
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

/// Forgets missing records when their time is over, whether or not the platform says anything; ends
/// with the feed.
async fn expire_in_time(feed: Weak<Inner>, mut lists: watch::Receiver<Option<Arc<EndpointList>>>) {
    while let Some(inner) = feed.upgrade() {
        let wait = EndpointFeed { inner }.expire();
        let ended = match wait {
            Some(wait) => tokio::time::timeout(wait, lists.changed()).await,
            None => Ok(lists.changed().await),
        };
        if let Ok(Err(_)) = ended {
            return;
        }
    }
}
