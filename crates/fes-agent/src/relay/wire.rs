//! Wire types of requests between agents.

use std::str::FromStr;

use fes_idempotency::AnswerDetail;
use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::request::Parts;
use serde::Deserialize;
use serde::Serialize;

/// Kind of the link messages that carry requests.
pub(crate) const REQUEST_KIND: &str = "request";

/// Why an agent forwards a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ForwardReason {
    /// The receiver owns the request's idempotency key.
    Relayed,
    /// The receiver is less loaded.
    Offloaded,
}

/// Head of a forwarded request; the body follows.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RequestWire {
    pub(crate) service_id: u32,
    pub(crate) reason: ForwardReason,
    /// Remaining time until the deadline of the request.
    pub(crate) deadline_ms: u64,
    method: String,
    uri: String,
    fields: Vec<(String, Vec<u8>)>,
}

/// Head of the reply; the body of a response follows.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ReplyWire {
    Response {
        status: u16,
        fields: Vec<(String, Vec<u8>)>,
    },
    Code {
        code: u16,
        detail: DetailWire,
    },
}

/// Wire form of [`AnswerDetail`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum DetailWire {
    None,
    FirstRefusal(u16),
    NotForwarded,
    Forwarded,
}

impl RequestWire {
    pub(crate) fn new(
        parts: &Parts,
        service_id: u32,
        reason: ForwardReason,
        deadline_ms: u64,
    ) -> Self {
        Self {
            service_id,
            reason,
            deadline_ms,
            method: parts.method.to_string(),
            uri: parts.uri.to_string(),
            fields: encode_headers(&parts.headers),
        }
    }

    pub(crate) fn decode_parts(&self) -> Result<Parts> {
        let malformed =
            |e: &dyn std::fmt::Display| Error::coded(ResultCode::ControlMalformed, e.to_string());
        let (mut parts, ()) = Request::new(()).into_parts();
        parts.method = Method::from_str(&self.method).map_err(|e| malformed(&e))?;
        parts.uri = Uri::from_str(&self.uri).map_err(|e| malformed(&e))?;
        parts.headers = decode_headers(&self.fields)?;
        Ok(parts)
    }
}

impl From<&Response<()>> for ReplyWire {
    fn from(head: &Response<()>) -> Self {
        Self::Response {
            status: head.status().as_u16(),
            fields: encode_headers(head.headers()),
        }
    }
}

/// Decodes the head of a response.
pub(crate) fn decode_response_head(
    status: u16,
    fields: &[(String, Vec<u8>)],
) -> Result<Response<()>> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(status)
        .map_err(|e| Error::coded(ResultCode::ControlMalformed, e.to_string()))?;
    *response.headers_mut() = decode_headers(fields)?;
    Ok(response)
}

impl From<AnswerDetail> for DetailWire {
    fn from(detail: AnswerDetail) -> Self {
        match detail {
            AnswerDetail::None => Self::None,
            AnswerDetail::FirstRefusal(code) => Self::FirstRefusal(code.number()),
            AnswerDetail::NotForwarded => Self::NotForwarded,
            AnswerDetail::Forwarded => Self::Forwarded,
        }
    }
}

impl From<DetailWire> for AnswerDetail {
    fn from(detail: DetailWire) -> Self {
        match detail {
            DetailWire::None => Self::None,
            DetailWire::FirstRefusal(number) => {
                ResultCode::from_number(number).map_or(Self::None, Self::FirstRefusal)
            }
            DetailWire::NotForwarded => Self::NotForwarded,
            DetailWire::Forwarded => Self::Forwarded,
        }
    }
}

fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect()
}

fn decode_headers(fields: &[(String, Vec<u8>)]) -> Result<HeaderMap> {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        let name = HeaderName::from_str(name)
            .map_err(|e| Error::coded(ResultCode::ControlMalformed, e.to_string()))?;
        let value = HeaderValue::from_bytes(value)
            .map_err(|e| Error::coded(ResultCode::ControlMalformed, e.to_string()))?;
        headers.append(name, value);
    }
    Ok(headers)
}
