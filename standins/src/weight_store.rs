//! The rate-limited store of expert weights.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Uri;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;
use volo_http::response::Response;

use crate::http_answer::stream_answer;

const CHUNK_BYTES: u64 = 16 * 1024;
const QUEUED_CHUNKS: usize = 4;
const BINARY_TYPE: &str = "application/octet-stream";
const MICROS_PER_S: u64 = 1_000_000;

/// Serves weights to all readers together at a bounded rate.
#[derive(Debug)]
pub(crate) struct WeightStore {
    bytes_per_s: u64,
    weight_bytes: u64,
    /// When the bytes that were promised so far will have been sent.
    free_at: Mutex<Instant>,
}

impl WeightStore {
    /// Creates a store whose every weight has `weight_bytes`.
    pub(crate) fn new(bytes_per_s: u64, weight_bytes: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1),
            weight_bytes,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Streams the weights of the expert that the path names.
    pub(crate) fn read(self: &Arc<Self>, uri: &Uri) -> Response {
        let (chunks, receiver) = mpsc::channel(QUEUED_CHUNKS);
        let fill = uri.path().bytes().fold(0, u8::wrapping_add);
        tokio::spawn(Arc::clone(self).send(fill, chunks));
        stream_answer(BINARY_TYPE, receiver)
    }

    async fn send(self: Arc<Self>, fill: u8, chunks: mpsc::Sender<Bytes>) {
        let mut left = self.weight_bytes;
        while left > 0 {
            let bytes = left.min(CHUNK_BYTES);
            sleep_until(self.reserve(bytes)).await;
            let chunk = vec![fill; usize::try_from(bytes).unwrap_or_default()];
            if chunks.send(Bytes::from(chunk)).await.is_err() {
                return;
            }
            left -= bytes;
        }
    }

    /// Books `bytes` of the rate and returns when they have been earned.
    fn reserve(&self, bytes: u64) -> Instant {
        let mut free_at = self.free_at.lock().expect("no holder of the lock panics");
        let micros = bytes * MICROS_PER_S / self.bytes_per_s;
        *free_at = (*free_at).max(Instant::now()) + Duration::from_micros(micros);
        *free_at
    }
}
