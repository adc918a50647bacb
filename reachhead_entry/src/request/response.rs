//! Builds responses to callers; each has a header that states the outcome of the request.

use std::rc::Rc;

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderName, HeaderValue},
    http::response::Parts,
};
use reachhead_types::{
    answer::{KeptAnswer, KeptField},
    error::{ErrorAnswer, ErrorKind, KIND_HEADER, OUTCOME_HEADER, Outcome},
};

use crate::{
    process::proxy::Proxy,
    request::{
        headers,
        response_body::{ResponseBody, StreamingBody},
        send::{ProxiedBody, ProxiedResponse},
    },
    route_table::Route,
};

/// Header field that marks the replay of a response to an earlier request with the same key.
const REPLAYED_HEADER: &str = "reachhead-replayed";

/// Returns the error response for `kind` and counts the error.
pub fn error(proxy: &Proxy, kind: ErrorKind) -> Response<ResponseBody> {
    proxy.metrics.count_error(kind);
    let answer = kind.answer();
    let body = format!("{}: {}\n", kind, answer.outcome);
    let mut response = Response::new(ResponseBody::buffered(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(answer.outcome.as_str()));
    headers.insert(KIND_HEADER, HeaderValue::from_static(kind.as_str()));
    if let Some(seconds) = answer.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    // The unread part of a body can't be distinguished from the next request.
    if matches!(kind, ErrorKind::BodyTooLarge | ErrorKind::TooSlow | ErrorKind::Malformed) {
        close_connection(&mut response);
    }
    response
}

/// Returns the response to a request that is refused before its head is whole, as raw HTTP for a
/// connection that Hyper no longer serves.
pub fn refusal_head(kind: ErrorKind) -> String {
    let ErrorAnswer { status, outcome, retry_after } = kind.answer();
    let reason = StatusCode::from_u16(status).ok().and_then(|status| status.canonical_reason());
    let retry_after =
        retry_after.map_or_else(String::new, |seconds| format!("retry-after: {seconds}\r\n"));
    format!(
        "HTTP/1.1 {status} {}\r\n{OUTCOME_HEADER}: {outcome}\r\n{KIND_HEADER}: {kind}\r\n\
         {retry_after}connection: close\r\ncontent-length: 0\r\n\r\n",
        reason.unwrap_or_default()
    )
}

/// Returns the response of a minion in the form that the caller receives.
pub fn from_minion(route: &Rc<Route>, minion_response: ProxiedResponse) -> Response<ResponseBody> {
    route.metrics.ran.inc();
    let ProxiedResponse { mut head, body } = minion_response;
    remove_reserved_headers(&mut head);
    let outcome = HeaderValue::from_static(Outcome::Ran.as_str());
    head.headers.insert(OUTCOME_HEADER, outcome);
    let body = match body {
        ProxiedBody::Buffered(body) => ResponseBody::buffered(body),
        ProxiedBody::Streaming { first, rest, connection } => {
            ResponseBody::streaming(StreamingBody::new(first, rest, connection))
        }
    };
    Response::from_parts(head, body)
}

fn remove_reserved_headers(head: &mut Parts) {
    headers::remove_hop_by_hop(&mut head.headers);
    // Only this system may set these header fields, not a minion.
    head.headers.remove(KIND_HEADER);
    head.headers.remove(REPLAYED_HEADER);
}

/// Returns a response in the form that is stored for its idempotency key.
pub fn to_kept_answer(head: &Parts, body: &Bytes) -> KeptAnswer {
    let mut head = head.clone();
    remove_reserved_headers(&mut head);
    let fields = head.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(KeptField { name: name.to_string(), value })
    });
    KeptAnswer {
        status: head.status.as_u16(),
        fields: fields.collect(),
        body: STANDARD.encode(body),
    }
}

/// Returns a stored response, marked as a replay.
pub fn replay(proxy: &Proxy, kept: &KeptAnswer) -> Response<ResponseBody> {
    let (Ok(status), Ok(body)) = (StatusCode::from_u16(kept.status), STANDARD.decode(&kept.body))
    else {
        return error(proxy, ErrorKind::AnswerNotKept);
    };
    proxy.metrics.replays.inc();
    let mut response = Response::new(ResponseBody::buffered(Bytes::from(body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    for KeptField { name, value } in &kept.fields {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), value.parse()) {
            headers.append(name, value);
        }
    }
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Ran.as_str()));
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("1"));
    response
}

/// Makes Hyper close the connection after this response.
pub fn close_connection(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
