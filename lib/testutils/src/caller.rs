//! A caller that follows the contract of the callers' interface.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::fleet::COMMIT_SERVICE;
use crate::fleet::DRAFT_SERVICE;
use crate::fleet_text::credential;
use crate::http;

/// The answer that a caller received.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallerAnswer {
    /// HTTP status; 0 if no answer arrived.
    pub status: u16,
    /// Value of the outcome header; empty if no answer arrived.
    pub outcome: String,
    /// Fresh placement that came with an error.
    pub placement: Option<String>,
    /// Body of the answer.
    pub body: String,
    /// Value of the `Retry-After` header in seconds.
    pub retry_after_s: Option<u64>,
}

impl CallerAnswer {
    /// Returns the stable error code in the body; empty if the body has none.
    #[must_use]
    pub fn code(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// One caller of one organisation.
#[derive(Debug, Clone)]
pub struct Caller {
    credential: String,
    timeout: Duration,
}

impl Caller {
    /// Creates a caller that waits up to `timeout` for each answer.
    #[must_use]
    pub fn new(organisation: &str, timeout: Duration) -> Self {
        Self {
            credential: credential(organisation),
            timeout,
        }
    }

    /// Requests the entry addresses and a placement for a service.
    #[must_use]
    pub fn addresses(&self, entry: &str, service: &str) -> Option<Value> {
        http::try_get(&format!("http://{entry}/v1/addresses?service={service}"))
    }

    /// Requests a placement for the commit service.
    #[must_use]
    pub fn placement(&self, entry: &str) -> Option<String> {
        let answer = self.addresses(entry, COMMIT_SERVICE)?;
        answer["placement"].as_str().map(ToOwned::to_owned)
    }

    /// Sends one attempt of an order commit, without a placement when `placement` is empty.
    #[must_use]
    pub fn commit(
        &self,
        entry: &str,
        key: &str,
        placement: &str,
        attempt: u32,
        body: &str,
    ) -> CallerAnswer {
        let url = format!("http://{entry}/v1/services/{COMMIT_SERVICE}/commit");
        let mut request = http::agent(self.timeout)
            .post(&url)
            .header("authorization", format!("Bearer {}", self.credential))
            .header("idempotency-key", key)
            .header("pomeloramp-attempt", attempt.to_string());
        if !placement.is_empty() {
            request = request.header("pomeloramp-placement", placement);
        }
        read_answer(request.send(body))
    }

    /// Requests a draft, streamed if `stream` is true, and reads it to its end.
    #[must_use]
    pub fn draft(&self, entry: &str, prompt: &str, max_tokens: u32, stream: bool) -> CallerAnswer {
        let url = format!("http://{entry}/v1/completions");
        let body = json!({
            "model": DRAFT_SERVICE,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
        });
        let result = http::agent(self.timeout)
            .post(&url)
            .header("authorization", format!("Bearer {}", self.credential))
            .send(body.to_string());
        read_answer(result)
    }
}

/// Returns the text of a streamed draft, or `None` if an event is malformed or the end marker is missing.
#[must_use]
pub fn whole_draft(body: &str) -> Option<String> {
    let mut text = String::new();
    for event in body.split("\n\n") {
        let data = event.strip_prefix("data: ").unwrap_or_default();
        if data == "[DONE]" {
            return Some(text);
        }
        let chunk: Value = serde_json::from_str(data).ok()?;
        text.push_str(chunk["choices"][0]["text"].as_str()?);
    }
    None
}

fn read_answer(result: Result<ureq::http::Response<ureq::Body>, ureq::Error>) -> CallerAnswer {
    let Ok(mut response) = result else {
        return CallerAnswer::default();
    };
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(ToOwned::to_owned)
    };
    let outcome = header("pomeloramp-outcome").unwrap_or_default();
    let placement = header("pomeloramp-placement");
    let retry_after_s = header("retry-after").and_then(|text| text.parse().ok());
    let status = response.status().as_u16();
    match response.body_mut().read_to_string() {
        Ok(body) => CallerAnswer {
            status,
            outcome,
            placement,
            body,
            retry_after_s,
        },
        Err(_) => CallerAnswer::default(),
    }
}
