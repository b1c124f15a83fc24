//! Answers in JSON and the reading of JSON bodies.

use bytes::Bytes;
use futures::stream;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;

use crate::refusal::Refusal;

const JSON_TYPE: &str = "application/json";

/// Answers 200 with `value` in JSON.
pub(crate) fn ok_json(value: &impl Serialize) -> Response {
    let text = serde_json::to_string(value).expect("answers of the stand-ins serialise");
    with_status(StatusCode::OK, text)
}

/// Reads a JSON body, or refuses it with the reason.
pub(crate) fn read_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Answers `status` with a text in JSON.
pub(crate) fn with_status(status: StatusCode, text: String) -> Response {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, JSON_TYPE)
        .body(Body::from(text))
        .expect("the parts of the answer are valid")
}

/// Answers 200 with the chunks that `receiver` yields until its sender is gone.
///
/// The channel is closed when the caller's connection is gone.
pub(crate) fn stream_answer(content_type: &str, mut receiver: mpsc::Receiver<Bytes>) -> Response {
    let frames = stream::poll_fn(move |context| {
        receiver
            .poll_recv(context)
            .map(|chunk| chunk.map(|bytes| Ok::<_, BoxError>(Frame::data(bytes))))
    });
    Response::builder()
        .header(CONTENT_TYPE, content_type)
        .body(Body::from_body(StreamBody::new(frames)))
        .expect("the parts of the answer are valid")
}
