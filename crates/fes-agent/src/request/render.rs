//! HTTP responses for answers that aren't streamed from the upstream.

use bytes::Bytes;
use fes_idempotency::Answer;
use fes_idempotency::AnswerDetail;
use fes_idempotency::StoredResponse;
use fes_protocol::ResultCode;
use fes_protocol::headers::RESULT_CODE;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use serde::Serialize;

#[derive(Serialize)]
struct AnswerBody<'a> {
    code: u16,
    summary: &'a str,
    help: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

/// Converts an answer to an HTTP response. "Not run" codes become status 503, other codes 502.
pub(crate) fn render(answer: &Answer) -> (Response<()>, Bytes) {
    match answer {
        Answer::Response(stored) => render_stored(stored),
        Answer::Code { code, detail } => render_code(*code, *detail),
    }
}

/// Returns a `text/plain` response.
pub(crate) fn plain_response(status: StatusCode, body: impl Into<Bytes>) -> (Response<()>, Bytes) {
    let body = body.into();
    let mut response = Response::new(());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    (response, body)
}

fn render_stored(stored: &StoredResponse) -> (Response<()>, Bytes) {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    for (name, value) in &stored.fields {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    (response, stored.body.clone())
}

fn render_code(code: ResultCode, detail: AnswerDetail) -> (Response<()>, Bytes) {
    let detail = (detail != AnswerDetail::None).then(|| detail.to_string());
    let body = AnswerBody {
        code: code.number(),
        summary: code.summary(),
        help: code.help(),
        detail,
    };
    // Serializing numbers and strings can't fail.
    let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
    let mut response = Response::new(());
    *response.status_mut() = match code.is_not_run() {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::BAD_GATEWAY,
    };
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&format!("F{:04}", code.number())) {
        headers.insert(RESULT_CODE, value);
    }
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    (response, body)
}
